package backend

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"trefoildock.example/standin"
	"trefoildock.example/standin/answer"
)

// Server is a stand-in backend server. It is safe for concurrent use.
type Server struct {
	config      Config
	incarnation string
	recorder    *recorder
	control     *http.ServeMux
	srv         *http.Server
	acceptor    *acceptor
	controlSrv  *http.Server
	announcer   *announcer // nil without announcements

	ctx    context.Context // ends with the server
	cancel context.CancelFunc
	tasks  sync.WaitGroup

	mu             sync.Mutex
	controlAddress string
	draining       bool
	faults         Faults
	inFlight       int
	sequence       uint64
	warmup         warmup
	history        history
	last           answer.Answer
	stats          Stats
	announceErr    error
}

// run is one admitted execution.
type run struct {
	plan   plan
	faults Faults
}

// ending is how an execution ended.
type ending uint8

const (
	interrupted ending = iota
	timedOut
	cutOff
	completed
)

// New validates the configuration and returns a server that does not listen yet.
// Its cold start begins now.
func New(c Config) (*Server, error) {
	c, err := c.withDefaults()
	if err != nil {
		return nil, err
	}
	rec, err := newRecorder(c.Journal)
	if err != nil {
		return nil, err
	}
	s := &Server{config: c, incarnation: uuid.NewString(), recorder: rec}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	now := time.Now()
	s.warmup = warmup{config: &s.config, since: now}
	s.history.add(sample{at: now})
	s.last = answer.Answer{Server: c.Name, Service: c.Service, RequestID: "none-before", BodyDigest: answer.BodyDigest(nil)}
	s.control = s.controlMux()
	s.srv = standin.NewHTTPServer(s)
	s.srv.BaseContext = func(net.Listener) context.Context { return s.ctx }
	s.acceptor = &acceptor{srv: s.srv, limit: int64(c.Connections), address: c.Listen}
	s.controlSrv = standin.NewHTTPServer(s.control)
	if c.Announce != "" {
		s.announcer = newAnnouncer(c.Announce, c.Name, s.Announcement, s.announced)
	}
	return s, nil
}

// Start listens and begins to announce the server.
func (s *Server) Start() error {
	if err := s.acceptor.start(); err != nil {
		return err
	}
	if s.config.Control != "" {
		if err := s.startControl(); err != nil {
			s.Kill()
			return err
		}
	}
	if s.announcer != nil {
		s.tasks.Go(func() { s.announcer.run(s.ctx) })
	}
	return nil
}

func (s *Server) startControl() error {
	l, err := net.Listen("tcp", s.config.Control)
	if err != nil {
		return errors.Wrap(err, "listen for control")
	}
	s.mu.Lock()
	s.controlAddress = l.Addr().String()
	s.mu.Unlock()
	s.tasks.Go(func() {
		_ = s.controlSrv.Serve(l) // Ends with an error when the server is closed.
	})
	return nil
}

// Addr returns the address for requests.
func (s *Server) Addr() string { return s.acceptor.addr() }

// ControlAddr returns the address of the control listener; empty means none.
func (s *Server) ControlAddr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.controlAddress
}

// Incarnation identifies this start of the server.
func (s *Server) Incarnation() string { return s.incarnation }

// Done is closed when the server was killed or has shut down.
func (s *Server) Done() <-chan struct{} { return s.ctx.Done() }

// Shutdown announces that the server is draining, waits for DrainTime so that
// owners notice, lets requests in flight finish and stops. When ctx ends
// earlier, the remaining requests are cut and an error is returned.
func (s *Server) Shutdown(ctx context.Context) error {
	s.SetDraining(true)
	if s.announcer != nil {
		// The regular announcement may come later than the end of DrainTime.
		s.announced(s.announcer.announce(ctx))
	}
	sleep(ctx, s.config.DrainTime)
	err := s.srv.Shutdown(ctx)
	s.Kill()
	s.tasks.Wait()
	s.acceptor.serving.Wait()
	return errors.Wrap(err, "requests in flight were cut")
}

// Kill stops the server at once as a crash does: connections are closed without
// answers and announcements stop.
func (s *Server) Kill() {
	s.cancel()
	s.acceptor.stop()
	// Errors of closing listeners and connections leave nothing to do.
	_ = s.srv.Close()
	_ = s.controlSrv.Close()
	s.recorder.close()
}

func (s *Server) crash() {
	s.mu.Lock()
	s.stats.Crashes++
	s.mu.Unlock()
	s.config.Logger.Log("msg", "request contains the crash marker")
	if s.config.OnCrash != nil {
		s.config.OnCrash()
		return
	}
	s.Kill()
}

// SetDraining starts or ends draining and announces the change.
func (s *Server) SetDraining(draining bool) {
	s.mu.Lock()
	changed := s.draining != draining
	s.draining = draining
	s.sample(time.Now())
	s.mu.Unlock()
	if !changed {
		return
	}
	s.config.Logger.Log("msg", "state changed", "state", stateName(draining))
	if s.announcer != nil {
		s.announcer.notify()
	}
}

// SetFaults replaces the faults for all later requests. It returns an error and
// changes nothing if a value is out of range, and an error if the listener
// cannot be opened again.
func (s *Server) SetFaults(f Faults) error {
	if err := f.validate(); err != nil {
		return err
	}
	s.mu.Lock()
	was := s.faults
	s.faults = f
	if f.ColdRestart {
		s.warmup.restart(time.Now())
	}
	s.mu.Unlock()
	switch {
	case f.RefuseConnections && !was.RefuseConnections:
		s.acceptor.stop()
	case !f.RefuseConnections && was.RefuseConnections && s.ctx.Err() == nil:
		return s.acceptor.start()
	}
	return nil
}

// Faults returns the current faults.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Executions returns the counts of executions of POST requests.
func (s *Server) Executions() Executions { return s.recorder.snapshot() }

// Stats returns the counts of the server.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stats
	st.Incarnation = s.incarnation
	st.State = stateName(s.draining)
	st.Cold = s.warmup.cold(time.Now())
	st.InFlight = s.inFlight
	st.Collapses = s.warmup.collapses
	st.RejectedConnections = s.acceptor.rejected.Load()
	return st
}

// Announcement returns what the server announces now.
func (s *Server) Announcement() Announcement {
	address := s.Addr()
	s.mu.Lock()
	defer s.mu.Unlock()
	return Announcement{
		Service:     s.config.Service,
		Address:     address,
		Slots:       s.config.Slots,
		Connections: s.config.Connections,
		Incarnation: s.incarnation,
		State:       stateName(s.draining),
	}
}

// announced counts an announcement and logs the first failure and the recovery.
func (s *Server) announced(err error) {
	s.mu.Lock()
	was := s.announceErr
	s.announceErr = err
	if err == nil {
		s.stats.Announced++
	} else {
		s.stats.AnnounceFailures++
	}
	s.mu.Unlock()
	switch {
	case err != nil && was == nil:
		s.config.Logger.Log("msg", "announcement failed", "err", err)
	case err == nil && was != nil:
		s.config.Logger.Log("msg", "announcement accepted again")
	}
}

// begin takes a slot and plans the execution, or returns why it is refused.
func (s *Server) begin(now time.Time) (run, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		s.stats.RefusedDraining++
		return run{}, refusedDraining
	}
	if s.inFlight >= s.config.Slots {
		s.stats.Shed++
		return run{}, refusedShed
	}
	s.inFlight++
	s.sequence++
	s.stats.Started++
	s.stats.LastStarted = now
	s.sample(now)
	p := drawPlan(&s.config, &s.faults, s.sequence)
	p.serviceTime = time.Duration(float64(p.serviceTime) * s.warmup.begin(now))
	return run{plan: p, faults: s.faults}, ""
}

// end gives the slot back.
func (s *Server) end(now time.Time, how ending) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	s.warmup.end(how == completed || how == cutOff)
	s.sample(now)
	switch how {
	case completed, cutOff:
		s.stats.Completed++
	case timedOut:
		s.stats.TimedOut++
	case interrupted:
		s.stats.Cancelled++
	}
}

// sample keeps the current state for lagging reports; the caller holds mu.
func (s *Server) sample(now time.Time) {
	s.history.add(sample{at: now, inFlight: s.inFlight, draining: s.draining})
}

// reported returns the state that the health and load endpoints see.
func (s *Server) reported(now time.Time) (sample, Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.history.at(now.Add(-s.faults.reportLag())), s.faults
}

// exchangeLast keeps a as the latest answer and returns the one before it.
func (s *Server) exchangeLast(a answer.Answer) answer.Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.last
	a.Padding = ""
	s.last = a
	return before
}
