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

// Server is a simulated backend server. It is safe for concurrent use.
type Server struct {
	config        Config
	incarnation   string
	executions    *executionLog
	control       *http.ServeMux
	httpServer    *http.Server
	acceptor      *acceptor
	controlServer *http.Server
	announcer     *announcer // nil without announcements

	ctx    context.Context // canceled when the server stops
	cancel context.CancelFunc
	tasks  sync.WaitGroup

	mu              sync.Mutex
	controlAddress  string
	draining        bool
	faults          Faults
	inFlight        int
	sequence        uint64
	coldStart       coldStart
	history         history
	lastAnswer      answer.Answer
	stats           Stats
	lastAnnounceErr error
}

// admittedRequest is the plan of an admitted request and the faults that apply to it.
type admittedRequest struct {
	plan   executionPlan
	faults Faults
}

// completion is the actual end of an execution.
type completion uint8

const (
	interrupted completion = iota
	timedOut
	truncated
	completed
)

// New validates the configuration and returns a server that is not listening yet. Its
// cold start begins immediately.
func New(c Config) (*Server, error) {
	c, err := c.withDefaults()
	if err != nil {
		return nil, err
	}
	executions, err := newExecutionLog(c.Journal)
	if err != nil {
		return nil, err
	}
	s := &Server{config: c, incarnation: uuid.NewString(), executions: executions}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	now := time.Now()
	s.coldStart = coldStart{config: &s.config, startedAt: now}
	s.history.add(sample{at: now})
	s.lastAnswer = answer.Answer{Server: c.Name, Service: c.Service, RequestID: "none-before", BodyDigest: answer.BodyDigest(nil)}
	s.control = s.controlMux()
	s.httpServer = standin.NewHTTPServer(s)
	s.httpServer.BaseContext = func(net.Listener) context.Context { return s.ctx }
	s.acceptor = &acceptor{srv: s.httpServer, limit: int64(c.Connections), address: c.Listen}
	s.controlServer = standin.NewHTTPServer(s.control)
	if c.Announce != "" {
		s.announcer = newAnnouncer(c.Announce, c.Name, s.Announcement, s.recordAnnouncement)
	}
	return s, nil
}

// Start starts the listeners and the announcements.
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
		_ = s.controlServer.Serve(l) // Returns an error when the server is closed.
	})
	return nil
}

// Addr returns the address for requests.
func (s *Server) Addr() string { return s.acceptor.addr() }

// ControlAddr returns the address of the control listener, or "" without one.
func (s *Server) ControlAddr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.controlAddress
}

// Incarnation returns the identifier of this start of the server.
func (s *Server) Incarnation() string { return s.incarnation }

// Done returns a channel that is closed when the server is killed or has shut down.
func (s *Server) Done() <-chan struct{} { return s.ctx.Done() }

// Shutdown announces that the server is draining, waits for DrainTime so that owners
// stop sending requests, waits for requests in flight and stops. If ctx ends first, it
// aborts the remaining requests and returns an error.
func (s *Server) Shutdown(ctx context.Context) error {
	s.SetDraining(true)
	if s.announcer != nil {
		// The next periodic announcement may come after DrainTime.
		s.recordAnnouncement(s.announcer.announce(ctx))
	}
	sleep(ctx, s.config.DrainTime)
	err := s.httpServer.Shutdown(ctx)
	s.Kill()
	s.tasks.Wait()
	s.acceptor.serving.Wait()
	return errors.Wrap(err, "requests in flight were aborted")
}

// Kill stops the server immediately, like a crash: it closes connections without
// responses and stops the announcements.
func (s *Server) Kill() {
	s.cancel()
	s.acceptor.stop()
	// Errors of closing listeners and connections need no handling.
	_ = s.httpServer.Close()
	_ = s.controlServer.Close()
	s.executions.close()
}

func (s *Server) handleCrash() {
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
	s.addSample(time.Now())
	s.mu.Unlock()
	if !changed {
		return
	}
	s.config.Logger.Log("msg", "state changed", "state", stateName(draining))
	if s.announcer != nil {
		s.announcer.triggerAnnouncement()
	}
}

// SetFaults replaces the faults for all later requests. It returns an error without a
// change if a value is out of range, and an error if the listener cannot be reopened.
func (s *Server) SetFaults(f Faults) error {
	if err := f.validate(); err != nil {
		return err
	}
	s.mu.Lock()
	previous := s.faults
	s.faults = f
	if f.ColdRestart {
		s.coldStart.restart(time.Now())
	}
	s.mu.Unlock()
	switch {
	case f.RefuseConnections && !previous.RefuseConnections:
		s.acceptor.stop()
	case !f.RefuseConnections && previous.RefuseConnections && s.ctx.Err() == nil:
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
func (s *Server) Executions() Executions { return s.executions.snapshot() }

// Stats returns the counts of the server since its start.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stats
	st.Incarnation = s.incarnation
	st.State = stateName(s.draining)
	st.Cold = s.coldStart.active(time.Now())
	st.InFlight = s.inFlight
	st.Collapses = s.coldStart.collapses
	st.RejectedConnections = s.acceptor.rejectedConnections.Load()
	return st
}

// Announcement returns the current announcement of the server.
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

// recordAnnouncement counts an announcement. It logs the first of consecutive failures
// and the recovery.
func (s *Server) recordAnnouncement(err error) {
	s.mu.Lock()
	previous := s.lastAnnounceErr
	s.lastAnnounceErr = err
	if err == nil {
		s.stats.Announced++
	} else {
		s.stats.AnnounceFailures++
	}
	s.mu.Unlock()
	switch {
	case err != nil && previous == nil:
		s.config.Logger.Log("msg", "announcement failed", "err", err)
	case err == nil && previous != nil:
		s.config.Logger.Log("msg", "announcement accepted again")
	}
}

// admit takes a slot and plans the execution, or returns the reason of a refusal.
func (s *Server) admit(now time.Time) (admittedRequest, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		s.stats.RefusedDraining++
		return admittedRequest{}, refusedDraining
	}
	if s.inFlight >= s.config.Slots {
		s.stats.Shed++
		return admittedRequest{}, refusedShed
	}
	s.inFlight++
	s.sequence++
	s.stats.Started++
	s.stats.LastStarted = now
	s.addSample(now)
	p := planExecution(&s.config, &s.faults, s.sequence)
	p.serviceTime = time.Duration(float64(p.serviceTime) * s.coldStart.begin(now))
	return admittedRequest{plan: p, faults: s.faults}, ""
}

// release releases the slot of an execution and counts how it ended.
func (s *Server) release(now time.Time, c completion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	s.coldStart.end(c == completed || c == truncated)
	s.addSample(now)
	switch c {
	case completed, truncated:
		s.stats.Completed++
	case timedOut:
		s.stats.TimedOut++
	case interrupted:
		s.stats.Cancelled++
	}
}

// addSample records the current state for reports with a lag. s.mu must be held.
func (s *Server) addSample(now time.Time) {
	s.history.add(sample{at: now, inFlight: s.inFlight, draining: s.draining})
}

// laggedState returns the state that the health and load endpoints report, and the
// current faults.
func (s *Server) laggedState(now time.Time) (sample, Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.history.validAt(now.Add(-s.faults.reportLag())), s.faults
}

// swapLastAnswer stores a, without padding, as the latest answer and returns the
// previous one.
func (s *Server) swapLastAnswer(a answer.Answer) answer.Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.lastAnswer
	a.Padding = ""
	s.lastAnswer = a
	return previous
}
