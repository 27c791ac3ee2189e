// Package owner runs requests on the backend server of its machine.
//
// The owner is the only process that sends work to that backend server. Slots,
// the rate of a cold server, draining and evacuation are therefore exact local
// decisions, and a refusal before dispatch is a true "not run".
package owner

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/go-kit/log"

	"trefoildock.example/admission"
	"trefoildock.example/mesh/h1"
	"trefoildock.example/platform"
)

const (
	// reservationTimeout bounds the time between admission and commit. A commit
	// takes one round trip between zones, 3 ms.
	reservationTimeout = 400 * time.Millisecond
	// downTime is the time for which a backend server that refuses connections
	// gets no request.
	downTime = 300 * time.Millisecond
	// restartWindow is the time after a lost connection in which a new start of
	// the backend server counts as a crash.
	restartWindow = 10 * time.Second
	// adoptionTime is how long a new process sends requests to the backend server
	// that the earlier process handed over, until its first heartbeat. A heartbeat
	// comes every 1.5 s.
	adoptionTime = 2500 * time.Millisecond
	// heartbeatsMissed is the number of intervals without a heartbeat after which a
	// backend server may have turned cold unnoticed.
	heartbeatsMissed = 3
	// rateMargin keeps the rate of a cold backend server below its bound, in
	// requests per second.
	rateMargin = 2
	// maxReplyBytes bounds an answer, which is held whole before it is passed on.
	maxReplyBytes = 64 << 20
)

// Config describes the owner's machine.
type Config struct {
	// Bounds are the figures that the deployment must keep.
	Bounds platform.Bounds
	// Heartbeat is the interval of the backend server's announcements.
	Heartbeat time.Duration
	// Cold returns for how long a started backend server of the service is cold,
	// and the rate in requests per second that it then tolerates; 0 if unknown.
	Cold func(service string) (time.Duration, float64)
	// Route names the route of a request, so that latencies of different kinds of
	// requests are not compared; "" if it is not known.
	Route func(host, target string) string
	// Dial opens a connection to the backend server; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// OnChange is told when the published state of the backend server changed.
	OnChange func()
	// OnCrash is told the fingerprints of the requests that ran when the backend
	// server crashed.
	OnCrash func(incarnation string, fingerprints [][]byte)
	Logger  log.Logger
	Metrics *Metrics
}

// Owner runs requests on one backend server.
type Owner struct {
	cfg     Config
	dialect platform.Dialect

	mu      sync.Mutex
	backend *backend
	// leaving means that this process stops; evacuated that the zone is out.
	leaving, evacuated bool
	running            int
	// leftID is a backend server that said before this process started that it leaves.
	leftID string
	calls  calls
}

// backend is one start of the backend server. The fields are guarded by Owner.mu.
type backend struct {
	announcement platform.Announcement
	gone         bool
	gate         *admission.Gate
	client       *h1.Client
	health       health
	arrivals     arrivals
	coldUntil    time.Time
	// heard is when the last heartbeat arrived, refused when a connection failed last.
	heard, refused time.Time
	downUntil      time.Time
	// adoptedUntil ends the use of a backend server that was handed over by an
	// earlier process; zero once it has announced itself to this one.
	adoptedUntil time.Time
	// lost holds the fingerprints of requests whose connection broke.
	lost    []lostRequest
	started map[*run]struct{}
}

type lostRequest struct {
	at          time.Time
	fingerprint []byte
}

// New returns an owner without a backend server.
func New(cfg Config) *Owner { return &Owner{cfg: cfg} }

// Status is what other nodes need to know of the backend server.
type Status struct {
	ID, Service string
	Slots       int
	// Serving means that requests are accepted in principle. A process that stops
	// refuses them for a moment, which callers learn from its answers.
	Serving bool
	// Leaving means that the backend server has said that it leaves.
	Leaving bool
	// Alive means that heartbeats arrive.
	Alive bool
	Born  time.Time
}

// Status returns the published state, or false without a backend server.
func (o *Owner) Status() (Status, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	b := o.backend
	now := time.Now()
	if b == nil || b.adoptionEnded(now) {
		return Status{}, false
	}
	a := b.announcement
	return Status{
		Alive: !now.Before(b.downUntil) && now.Sub(b.heard) < 2*o.cfg.Heartbeat,
		ID:    a.ID, Service: a.Service, Slots: a.Slots, Born: a.Born,
		Serving: !b.gone && !a.Draining, Leaving: b.gone || a.Draining,
	}, true
}

// Running returns the number of requests that run or wait here.
func (o *Owner) Running() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.running
}

// Stop refuses all further requests. Those that run finish.
func (o *Owner) Stop() {
	o.mu.Lock()
	o.leaving = true
	o.applyState()
	o.mu.Unlock()
}

// SetEvacuated takes the backend server out of service or back, on behalf of
// its zone.
func (o *Owner) SetEvacuated(out bool) {
	o.mu.Lock()
	if o.evacuated == out {
		o.mu.Unlock()
		return
	}
	o.evacuated = out
	o.applyState()
	o.mu.Unlock()
	o.cfg.Logger.Log("event", "zone of the backend server evacuated", "out", out)
	o.cfg.OnChange()
}

// Announce records a heartbeat of the backend server. A late heartbeat of an
// earlier start is acknowledged and changes nothing.
func (o *Owner) Announce(a platform.Announcement) error {
	o.mu.Lock()
	changed := o.announce(time.Now(), a)
	o.mu.Unlock()
	if changed {
		o.cfg.Logger.Log("event", "backend server announced", "backend", a.ID, "service", a.Service,
			"draining", a.Draining, "cold", a.ColdFor, "born", a.Born.UnixMilli(), "sequence", a.Sequence)
		o.cfg.OnChange()
	}
	return nil
}

func (o *Owner) announce(now time.Time, a platform.Announcement) (changed bool) {
	b := o.backend
	if b != nil && !sameStart(b.announcement, a) {
		if older(a, b.announcement) {
			o.cfg.Logger.Log("event", "late heartbeat ignored", "backend", a.ID, "current", b.announcement.ID, "born", a.Born.UnixMilli())
			return false
		}
		o.crashed(now, b)
		o.retire(b)
		b = nil
	}
	if b == nil {
		o.backend = o.newBackend(now, a)
		o.applyState()
		return true
	}
	if a.Sequence <= b.announcement.Sequence {
		return false
	}
	b.heard, b.adoptedUntil = now, time.Time{}
	before := b.announcement
	a.Draining = a.Draining || before.Draining
	b.announcement = a
	if a.ColdFor > 0 {
		b.coldUntil = now.Add(a.ColdFor)
	}
	b.gate.Announce(admission.Announcement{Slots: a.Slots, Incarnation: incarnationOf(a)})
	o.applyState()
	return before.Draining != a.Draining || before.Slots != a.Slots
}

// sameStart reports whether two heartbeats stem from one start of a backend server.
func sameStart(a, b platform.Announcement) bool {
	return a.ID == b.ID && a.Address == b.Address && a.Service == b.Service && a.Born.Equal(b.Born)
}

// older reports whether a is from an earlier start than b.
func older(a, b platform.Announcement) bool {
	return !a.Born.IsZero() && !b.Born.IsZero() && a.Born.Before(b.Born)
}

func incarnationOf(a platform.Announcement) string {
	return a.ID + "@" + a.Born.UTC().Format(time.RFC3339Nano)
}

func (o *Owner) newBackend(now time.Time, a platform.Announcement) *backend {
	b := &backend{announcement: a, heard: now, started: make(map[*run]struct{}), gone: a.ID == o.leftID}
	b.gate = admission.NewGate(admission.Config{
		ReservationTimeout: reservationTimeout, WarmStart: true,
		Violated: func(detail string) { o.cfg.Logger.Log("event", "admission limit broken", "detail", detail) },
	})
	b.gate.Announce(admission.Announcement{Slots: a.Slots, Incarnation: incarnationOf(a)})
	b.client = &h1.Client{
		Address: a.Address, IDOf: o.dialect.RequestID, MaxBody: maxReplyBytes, Dial: o.cfg.Dial,
		OnDial: func() { o.cfg.Metrics.Dials.Inc(1) },
	}
	if a.ColdFor > 0 {
		b.coldUntil = now.Add(a.ColdFor)
	}
	return b
}

// Leave records that the backend server leaves. Running requests finish.
func (o *Owner) Leave(id string) error {
	o.mu.Lock()
	b := o.backend
	known := b != nil && b.announcement.ID == id
	if known {
		b.gone = true
		o.applyState()
	}
	o.mu.Unlock()
	o.cfg.Logger.Log("event", "backend server leaves", "backend", id, "known", known)
	if known {
		o.cfg.OnChange()
	}
	return nil
}

// Adopt takes over a backend server from an earlier process of this node, which
// was the last to hear of it. It may be cold, so its rate is limited until it
// announces itself.
func (o *Owner) Adopt(a platform.Announcement) {
	o.mu.Lock()
	adopted := o.backend == nil
	if adopted {
		now := time.Now()
		o.backend = o.newBackend(now, a)
		o.backend.heard = time.Time{}
		o.backend.adoptedUntil = now.Add(adoptionTime)
		o.applyState()
	}
	o.mu.Unlock()
	o.cfg.Logger.Log("event", "backend server taken over from the earlier process", "backend", a.ID, "adopted", adopted)
	if adopted {
		o.cfg.OnChange()
	}
}

// adoptionEnded reports whether the backend server was taken over from an earlier
// process and has not announced itself in time.
func (b *backend) adoptionEnded(now time.Time) bool {
	return !b.adoptedUntil.IsZero() && !now.Before(b.adoptedUntil)
}

// RememberLeaving tells a new process that the backend server with the given id
// told an earlier one that it leaves.
func (o *Owner) RememberLeaving(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.leftID = id
	if b := o.backend; b != nil && b.announcement.ID == id {
		b.gone = true
		o.applyState()
	}
}

func (o *Owner) retire(b *backend) {
	b.gate.SetState(admission.Leaving)
	b.client.Close()
}

func (o *Owner) state(b *backend) admission.State {
	switch {
	case o.leaving || b.gone || b.announcement.Draining:
		return admission.Leaving
	case o.evacuated:
		return admission.OutOfService
	default:
		return admission.Serving
	}
}

// applyState passes the service state on to the gate. o.mu is held.
func (o *Owner) applyState() {
	if b := o.backend; b != nil {
		b.gate.SetState(o.state(b))
	}
}

// Tick refuses requests that waited too long; call it every 100 ms or so while
// requests wait.
func (o *Owner) Tick() {
	o.mu.Lock()
	b := o.backend
	o.mu.Unlock()
	if b != nil {
		b.gate.Tick()
	}
}

// crashed reports the requests that were lost shortly before a new start of the
// backend server. o.mu is held.
func (o *Owner) crashed(now time.Time, b *backend) {
	var fingerprints [][]byte
	for _, l := range b.lost {
		if now.Sub(l.at) < restartWindow {
			fingerprints = append(fingerprints, l.fingerprint)
		}
	}
	if len(fingerprints) == 0 {
		return
	}
	o.cfg.Metrics.Crashes.Inc(1)
	incarnation := incarnationOf(b.announcement)
	o.cfg.Logger.Log("event", "backend server restarted with requests in flight", "backend", incarnation, "requests", len(fingerprints))
	go o.cfg.OnCrash(incarnation, fingerprints)
}

// rateLimit returns the number of requests per second that the backend server
// may get; 0 means no limit. Only heartbeats tell whether a server is cold, so the
// bound also holds while they are late and after a connection was refused.
func (o *Owner) rateLimit(now time.Time, b *backend) int {
	_, rate := o.cfg.Cold(b.announcement.Service)
	if rate <= 0 {
		return 0
	}
	if now.Before(b.coldUntil) {
		return max(int(rate), 1)
	}
	if now.Sub(b.heard) < heartbeatsMissed*o.cfg.Heartbeat && b.heard.After(b.refused) {
		return 0
	}
	return max(int(rate*o.cfg.Bounds.ColdOver+o.cfg.Bounds.ColdSlack)-rateMargin, 1)
}
