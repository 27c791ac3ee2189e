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
	// watchLifetime is the time for which the state of a backend server is
	// retained after its announcement has expired, so that a crash can be
	// attributed to a request.
	watchLifetime = time.Minute
	// maxUnreported bounds the crashes and cleared requests that are queued for
	// the next report.
	maxUnreported = 256
)

// watch tracks one backend server at its owner and stores the ejection order
// from the service home. It persists across restarts of the backend server. It
// is safe for concurrent use.
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

// announced sets the incarnation. A new incarnation ends all requests in
// flight; announced returns true if there were any in the previous one.
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

// setState records the state of the gate.
func (w *watch) setState(s admission.State) {
	w.mu.Lock()
	defer w.mu.Unlock()
	ejected := s == admission.Ejected || s == admission.Trial
	w.window.SetState(ejected || s == admission.Serving, ejected, s == admission.Trial)
}

// order returns the current ejection order.
func (w *watch) order(now time.Time) ejection.Order {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.holder.Order(now)
}

// suspectedWeight is the load weight of a suspected backend server; that of a
// healthy one is 100.
const suspectedWeight = 25

// weight returns the load weight for normal service.
func (w *watch) weight() uint32 {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.suspected {
		return suspectedWeight
	}
	return admission.FullWeight
}

// standing returns the crash guard's state of a request.
func (w *watch) standing(now time.Time, f crashguard.Fingerprint) crashguard.State {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.guard.State(now, f)
}

// ending classifies the end of a request for crash attribution.
type ending uint8

const (
	// unanswered requests ended without a response, for example at their deadline.
	unanswered ending = iota
	// answered requests prove that the process was alive until their end.
	answered
	// connectionLost requests may have crashed the backend server.
	connectionLost
)

// task is a tracked request.
type task struct {
	watch *watch
	id    uint64
	start time.Time
	// timeout is the time that the entry granted to the owner, including queueing.
	timeout  time.Duration
	deadline time.Time
	// measured is false for a request whose duration depends on the caller.
	measured bool
	request  detection.RequestID
	// noted is set if the outcome was recorded when the head of the response
	// arrived.
	noted bool
}

// begin records a request immediately before its dispatch. If it returns an
// error, the request must not be dispatched.
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
		return nil, verdict.Refuse("runs-alone", "a request suspected of crashing backend servers must run alone", time.Second)
	case crashguard.Run:
	}
	// The duration of a long upload depends on the caller.
	if length := offer.GetContentLength(); length >= 0 && length <= bufferBytes {
		t.measured, t.request = true, w.window.Begin(now)
	}
	return t, nil
}

func crashingRequest() error {
	return verdict.Refuse(codeCrashingRequest, "this request has crashed backend servers and is refused for 10 minutes", crashguard.Expiry)
}

// headArrived records the head of a response. The duration of a long body
// depends on how fast the caller reads it, so the measurement ends here.
func (t *task) headArrived(now time.Time, status int, length int64) {
	if length >= 0 && length <= bufferBytes {
		return
	}
	t.watch.mu.Lock()
	defer t.watch.mu.Unlock()
	t.noted = true
	t.note(now, outcomeOf(answerResult(status)))
}

// note passes an outcome to the detection window. The lock is held.
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
// abort a request because of the deadline.
const deadlineMargin = 50 * time.Millisecond

// dispatchedLate reports whether a request reached its deadline after it spent
// most of its time in the queue. In an overloaded service that depends on the
// queue and is no evidence against the backend server.
func (t *task) dispatchedLate(now time.Time) bool {
	return t.deadline.Sub(now) < deadlineMargin && now.Sub(t.start) < t.timeout/2
}

// end records the end of a request. It is called before the slot is released,
// so that a suspected request runs alone until its end.
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

// outcomeOf converts the result of a complete response.
func outcomeOf(r admission.Result) detection.Outcome {
	if r == admission.Success {
		return detection.OK
	}
	return detection.Error
}

// outcomeOfError classifies the error of a request for outlier detection and
// crash attribution.
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

// get returns the watch of an announced backend server and creates it if
// necessary.
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

// leave records that a backend server is gone.
func (s *watches) leave(now time.Time, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gone[name] = now
}

// tick removes backend servers that have been gone for watchLifetime.
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
