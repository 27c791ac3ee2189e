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
	// trackerRetention is the time for which the state of a backend server is
	// retained after its announcement has expired, so that a crash can be
	// attributed to a request.
	trackerRetention = time.Minute
	// maxUnreported bounds the crashes and cleared requests that are queued for
	// the next report.
	maxUnreported = 256
)

// serverTracker tracks one backend server at its owner and stores the ejection
// order from the service coordinator. It persists across restarts of the backend
// server. It is safe for concurrent use.
type serverTracker struct {
	name string

	mu                sync.Mutex
	window            *detection.Window
	guard             *crashguard.Owner
	guardCoordinator  string
	holder            ejection.Holder
	suspected         bool
	incarnation       string
	lastRequestID     uint64
	unreportedCrashes []crashguard.Crash
	unreportedCleared []crashguard.Fingerprint
	probing           bool
}

func newServerTracker(now time.Time, name, zone string) *serverTracker {
	return &serverTracker{name: name, window: detection.NewWindow(now, name, zone), guard: crashguard.NewOwner()}
}

// setIncarnation sets the incarnation. A new incarnation ends all requests in
// flight; it returns true if there were any in the previous one.
func (w *serverTracker) setIncarnation(now time.Time, incarnation string) (crashed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.incarnation == incarnation {
		return false
	}
	crash := w.guard.Restarted(now, w.name, w.incarnation)
	crashed = len(crash.Fingerprints) > 0
	if crashed && len(w.unreportedCrashes) < maxUnreported {
		w.unreportedCrashes = append(w.unreportedCrashes, crash)
	}
	w.incarnation = incarnation
	w.window.SetIncarnation(incarnation)
	return crashed
}

// setState records the state of the gate.
func (w *serverTracker) setState(s admission.State) {
	w.mu.Lock()
	defer w.mu.Unlock()
	ejected := s == admission.Ejected || s == admission.Trial
	w.window.SetState(ejected || s == admission.Serving, ejected, s == admission.Trial)
}

// order returns the current ejection order.
func (w *serverTracker) order(now time.Time) ejection.Order {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.holder.Order(now)
}

// suspectedWeight is the load weight of a suspected backend server; that of a
// healthy one is 100.
const suspectedWeight = 25

// weight returns the load weight for normal service.
func (w *serverTracker) weight() uint32 {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.suspected {
		return suspectedWeight
	}
	return admission.FullWeight
}

// crashState returns the crash guard's state of a request.
func (w *serverTracker) crashState(now time.Time, f crashguard.Fingerprint) crashguard.State {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.guard.State(now, f)
}

// completion classifies the end of a request for crash attribution.
type completion uint8

const (
	// unanswered requests ended without a response, for example at their deadline.
	unanswered completion = iota
	// answered requests prove that the process was alive until their end.
	answered
	// connectionLost requests may have crashed the backend server.
	connectionLost
)

// trackedRequest is a tracked request.
type trackedRequest struct {
	tracker *serverTracker
	id      uint64
	start   time.Time
	// timeout is the time that the entry granted to the owner, including queueing.
	timeout  time.Duration
	deadline time.Time
	// measured is false for a request whose duration depends on the caller.
	measured bool
	request  detection.RequestID
	// outcomeRecorded is set if the outcome was recorded when the head of the
	// response arrived.
	outcomeRecorded bool
}

// begin records a request immediately before its dispatch. If it returns an
// error, the request must not be dispatched.
func (w *serverTracker) begin(now, deadline time.Time, offer *wire.Offer) (*trackedRequest, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastRequestID++
	t := &trackedRequest{
		tracker: w, id: w.lastRequestID, start: now, deadline: deadline,
		timeout: time.Duration(offer.GetTimeoutUs()) * time.Microsecond,
	}
	switch w.guard.Start(now, t.id, fingerprintFrom(offer.GetFingerprint())) {
	case crashguard.Refuse:
		return nil, crashingRequestError()
	case crashguard.Delay:
		return nil, verdict.NewNotRun("runs-alone", "a request that may crash backend servers runs alone", time.Second)
	case crashguard.Run:
	}
	// The duration of a long upload depends on the caller.
	if length := offer.GetContentLength(); length >= 0 && length <= bufferBytes {
		t.measured, t.request = true, w.window.Begin(now)
	}
	return t, nil
}

func crashingRequestError() error {
	return verdict.NewNotRun(codeCrashingRequest, "this request has crashed backend servers and is refused for 10 minutes", crashguard.Expiry)
}

// headReceived records the head of a response. The duration of a long body
// depends on how fast the caller reads it, so the measurement ends here.
func (t *trackedRequest) headReceived(now time.Time, status int, length int64) {
	if length >= 0 && length <= bufferBytes {
		return
	}
	t.tracker.mu.Lock()
	defer t.tracker.mu.Unlock()
	t.outcomeRecorded = true
	t.recordOutcome(now, detectionOutcome(resultOfStatus(status)))
}

// recordOutcome passes an outcome to the detection window. The lock is held.
func (t *trackedRequest) recordOutcome(now time.Time, o detection.Outcome) {
	if (o == detection.Error || o == detection.Timeout) && t.dispatchedLate(now) {
		o = detection.Canceled
	}
	switch {
	case t.measured:
		t.tracker.window.End(now, t.request, o)
		t.measured = false
	case o != detection.OK && o != detection.Canceled:
		t.tracker.window.End(now, t.tracker.window.Begin(now), o)
	}
}

// deadlineMargin is the time before its deadline at which a backend server may
// abort a request because of the deadline.
const deadlineMargin = 50 * time.Millisecond

// dispatchedLate reports whether a request reached its deadline after it spent
// most of its time in the queue. In an overloaded service that depends on the
// queue and is no evidence against the backend server.
func (t *trackedRequest) dispatchedLate(now time.Time) bool {
	return t.deadline.Sub(now) < deadlineMargin && now.Sub(t.start) < t.timeout/2
}

// end records the end of a request. It is called before the slot is released,
// so that a suspected request runs alone until its end.
func (t *trackedRequest) end(now time.Time, o detection.Outcome, e completion) {
	w := t.tracker
	w.mu.Lock()
	defer w.mu.Unlock()
	if !t.outcomeRecorded || o != detection.OK {
		t.recordOutcome(now, o)
	}
	switch e {
	case connectionLost:
		w.guard.ConnectionLost(now, t.id)
	case unanswered:
		w.guard.EndedWithoutResponse(t.id)
	case answered:
		w.guard.ResponseReceived(t.start)
		if f, cleared := w.guard.Done(t.id); cleared && len(w.unreportedCleared) < maxUnreported {
			w.unreportedCleared = append(w.unreportedCleared, f)
		}
	}
}

// detectionOutcome converts the result of a complete response.
func detectionOutcome(r admission.Result) detection.Outcome {
	if r == admission.Success {
		return detection.OK
	}
	return detection.Error
}

// classifyError classifies the error of a request for outlier detection and
// crash attribution.
func classifyError(ctx context.Context, err error) (detection.Outcome, completion) {
	if errors.Is(err, errBodyTruncated) {
		return detection.Canceled, unanswered
	}
	o := detection.Error
	switch verdict.FromError(err).Code {
	case "crossed-answer", codeWrongResponse, "unframed-answer":
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

// trackerTable holds the tracker of each backend server by name.
type trackerTable struct {
	mu        sync.Mutex
	byName    map[string]*serverTracker
	goneSince map[string]time.Time
}

func newTrackerTable() *trackerTable {
	return &trackerTable{byName: make(map[string]*serverTracker), goneSince: make(map[string]time.Time)}
}

// get returns the tracker of an announced backend server and creates it if
// necessary.
func (s *trackerTable) get(now time.Time, name, zone string) *serverTracker {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.byName[name]
	if w == nil {
		w = newServerTracker(now, name, zone)
		s.byName[name] = w
	}
	delete(s.goneSince, name)
	return w
}

// find returns the tracker of a backend server, or nil.
func (s *trackerTable) find(name string) *serverTracker {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byName[name]
}

// markGone records that a backend server is gone.
func (s *trackerTable) markGone(now time.Time, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.goneSince[name] = now
}

// removeExpired removes backend servers that have been gone for
// trackerRetention.
func (s *trackerTable) removeExpired(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, at := range s.goneSince {
		if now.Sub(at) >= trackerRetention {
			delete(s.byName, name)
			delete(s.goneSince, name)
		}
	}
}
