package node

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"trefoildock.example/admission"
	"trefoildock.example/crashguard"
	"trefoildock.example/detection"
	"trefoildock.example/ejection"
	"trefoildock.example/verdict"
	"trefoildock.example/wire"
)

const (
	// watchLifetime is how long the observations of a backend server outlive its
	// announcement, so that a restart can be attributed to a request.
	watchLifetime = time.Minute
	// maxUnreported bounds the crashes and cleared requests that wait for a
	// report to reach the home.
	maxUnreported = 256
)

// watch observes one backend server at its owner and holds the orders of the
// service home. It outlives a restart of the backend server. It is safe for
// concurrent use.
type watch struct {
	name string

	mu          sync.Mutex
	window      *detection.Window
	guard       *crashguard.Owner
	guardHome   string
	holder      ejection.Holder
	suspected   bool
	incarnation string
	lastTask    uint64
	crashes     []crashguard.Crash
	cleared     []crashguard.Fingerprint
	probing     bool
}

func newWatch(now time.Time, name, zone string) *watch {
	return &watch{name: name, window: detection.NewWindow(now, name, zone), guard: crashguard.NewOwner()}
}

// announced notes the incarnation. A new one ends everything in flight.
// It returns true if the earlier incarnation ended with requests in flight.
func (w *watch) announced(now time.Time, incarnation string) (crashed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.incarnation == incarnation {
		return false
	}
	crash := w.guard.Lost(now, w.name, w.incarnation)
	crashed = len(crash.Fingerprints) > 0
	if crashed && len(w.crashes) < maxUnreported {
		w.crashes = append(w.crashes, crash)
	}
	w.incarnation = incarnation
	w.window.SetIncarnation(incarnation)
	return crashed
}

// setState notes the state in which the gate is.
func (w *watch) setState(s admission.State) {
	w.mu.Lock()
	defer w.mu.Unlock()
	ejected := s == admission.Ejected || s == admission.Trial
	w.window.SetState(ejected || s == admission.Serving, ejected, s == admission.Trial)
}

// order returns the order of the service home in force.
func (w *watch) order(now time.Time) ejection.Order {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.holder.Order(now)
}

// suspectedWeight is the load weight of a backend server that looks bad, compared
// with 100 of a healthy one.
const suspectedWeight = 25

// weight returns the load weight while serving.
func (w *watch) weight() uint32 {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.suspected {
		return suspectedWeight
	}
	return admission.FullWeight
}

// standing returns how the crash guard treats a request.
func (w *watch) standing(now time.Time, f crashguard.Fingerprint) crashguard.State {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.guard.State(now, f)
}

// ending tells whether the backend server can have crashed during a request.
type ending uint8

const (
	// unanswered requests ended without an answer, for example at their deadline.
	unanswered ending = iota
	// answered requests prove that the process lived to their end.
	answered
	// connectionLost requests may have crashed the backend server.
	connectionLost
)

// task is one request under observation.
type task struct {
	watch *watch
	id    uint64
	start time.Time
	// timeout is the time that the entry gave the owner, queue included.
	timeout  time.Duration
	deadline time.Time
	// measured is false for a request whose time depends on the caller.
	measured bool
	request  detection.RequestID
	// noted is true once the outcome was noted at the head of the answer.
	noted bool
}

// begin notes a request that is about to be dispatched. Its error means that
// the request must not be dispatched.
func (w *watch) begin(now, deadline time.Time, offer *wire.Offer) (*task, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastTask++
	t := &task{
		watch: w, id: w.lastTask, start: now, deadline: deadline,
		timeout: time.Duration(offer.GetTimeoutUs()) * time.Microsecond,
	}
	switch w.guard.Start(now, t.id, fingerprintFrom(offer.GetFingerprint())) {
	case crashguard.Refuse:
		return nil, crashingRequest()
	case crashguard.Delay:
		return nil, verdict.Refuse("runs-alone", "a request that may crash backend servers runs alone", time.Second)
	case crashguard.Run:
	}
	// The time of a long upload is that of the caller.
	if length := offer.GetContentLength(); length >= 0 && length <= bufferBytes {
		t.measured, t.request = true, w.window.Begin(now)
	}
	return t, nil
}

func crashingRequest() error {
	return verdict.Refuse(codeCrashingRequest, "this request has crashed backend servers and is refused for 10 minutes", crashguard.Expiry)
}

// headArrived notes the head of an answer. The time of a long body is that of the
// caller who reads it, so it ends the measurement.
func (t *task) headArrived(now time.Time, status int, length int64) {
	if length >= 0 && length <= bufferBytes {
		return
	}
	t.watch.mu.Lock()
	defer t.watch.mu.Unlock()
	t.noted = true
	t.note(now, outcomeOf(answerResult(status)))
}

// note passes an outcome to the window. The lock is held.
func (t *task) note(now time.Time, o detection.Outcome) {
	if (o == detection.Error || o == detection.Timeout) && t.dispatchedLate(now) {
		o = detection.Canceled
	}
	switch {
	case t.measured:
		t.watch.window.End(now, t.request, o)
		t.measured = false
	case o != detection.OK && o != detection.Canceled:
		t.watch.window.End(now, t.watch.window.Begin(now), o)
	}
}

// deadlineMargin is the time before its deadline at which a backend server may
// stop a request because of it.
const deadlineMargin = 50 * time.Millisecond

// dispatchedLate reports whether a request reached its deadline after it spent
// most of its time in the queue. In an overloaded service that depends on the queue
// and says nothing about the backend server.
func (t *task) dispatchedLate(now time.Time) bool {
	return t.deadline.Sub(now) < deadlineMargin && now.Sub(t.start) < t.timeout/2
}

// end notes the end of a request. It is called before the slot is freed, so
// that a suspect is alone to its end.
func (t *task) end(now time.Time, o detection.Outcome, e ending) {
	w := t.watch
	w.mu.Lock()
	defer w.mu.Unlock()
	if !t.noted || o != detection.OK {
		t.note(now, o)
	}
	switch e {
	case connectionLost:
		w.guard.Broken(now, t.id)
	case unanswered:
		w.guard.Unanswered(t.id)
	case answered:
		w.guard.Alive(t.start)
		if f, cleared := w.guard.Done(t.id); cleared && len(w.cleared) < maxUnreported {
			w.cleared = append(w.cleared, f)
		}
	}
}

// outcomeOf converts the result of a complete answer.
func outcomeOf(r admission.Result) detection.Outcome {
	if r == admission.Success {
		return detection.OK
	}
	return detection.Error
}

// outcomeOfError tells what a failed request says about the backend server.
func outcomeOfError(ctx context.Context, err error) (detection.Outcome, ending) {
	if errors.Is(err, errBodyCut) {
		return detection.Canceled, unanswered
	}
	o := detection.Error
	switch verdict.From(err).Code {
	case "crossed-answer", codeWrongAnswer, "unframed-answer":
		return detection.Wrong, answered
	case "deadline-exceeded":
		return detection.Timeout, unanswered
	case "backend-unreachable":
		if ctx.Err() != nil {
			return detection.Canceled, unanswered
		}
		return detection.Error, unanswered
	case "answer-cut":
		o = detection.Truncated
	case "backend-lost":
	default:
		return detection.Canceled, unanswered
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return detection.Canceled, unanswered
	}
	return o, connectionLost
}

func fingerprintFrom(b []byte) crashguard.Fingerprint {
	var f crashguard.Fingerprint
	copy(f[:], b)
	return f
}

// watches holds the watch of each backend server by name.
type watches struct {
	mu     sync.Mutex
	byName map[string]*watch
	gone   map[string]time.Time
}

func newWatches() *watches {
	return &watches{byName: make(map[string]*watch), gone: make(map[string]time.Time)}
}

// get returns the watch of a backend server that is announced now.
func (s *watches) get(now time.Time, name, zone string) *watch {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.byName[name]
	if w == nil {
		w = newWatch(now, name, zone)
		s.byName[name] = w
	}
	delete(s.gone, name)
	return w
}

// find returns the watch of a backend server, or nil.
func (s *watches) find(name string) *watch {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byName[name]
}

// leave notes that a backend server is gone.
func (s *watches) leave(now time.Time, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gone[name] = now
}

// tick forgets backend servers that have been gone for long.
func (s *watches) tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, at := range s.gone {
		if now.Sub(at) >= watchLifetime {
			delete(s.byName, name)
			delete(s.gone, name)
		}
	}
}
