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
	// trackerRetention is the time for which the tracker of a backend server is
	// retained after the server has been removed, so that a crash can be attributed
	// to a request.
	trackerRetention = time.Minute
	// maxUnreported bounds the crashes and cleared requests that are queued for
	// the next report.
	maxUnreported = 256
)

// serverTracker tracks one backend server at its owner and stores the ejection
// order from the service coordinator. It persists across restarts of the
// backend server. It is safe for concurrent use.
type serverTracker struct {
	name string

	mu                    sync.Mutex
	window                *detection.Window
	crashGuard            *crashguard.Owner
	crashGuardCoordinator string
	holder                ejection.Holder
	suspected             bool
	incarnation           string
	lastRequestID         uint64
	unreportedCrashes     []crashguard.Crash
	unreportedCleared     []crashguard.Fingerprint
	probing               bool
}

func newServerTracker(now time.Time, name, zone string) *serverTracker {
	return &serverTracker{name: name, window: detection.NewWindow(now, name, zone), crashGuard: crashguard.NewOwner()}
}

// setIncarnation sets the incarnation. A new incarnation ends all requests in
// flight; it returns true if there were any in the previous one.
func (tr *serverTracker) setIncarnation(now time.Time, incarnation string) (crashed bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if tr.incarnation == incarnation {
		return false
	}
	crash := tr.crashGuard.Restarted(now, tr.name, tr.incarnation)
	crashed = len(crash.Fingerprints) > 0
	if crashed && len(tr.unreportedCrashes) < maxUnreported {
		tr.unreportedCrashes = append(tr.unreportedCrashes, crash)
	}
	tr.incarnation = incarnation
	tr.window.SetIncarnation(incarnation)
	return crashed
}

// setState records the state of the gate.
func (tr *serverTracker) setState(s admission.State) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	ejected := s == admission.Ejected || s == admission.Trial
	tr.window.SetState(ejected || s == admission.Serving, ejected, s == admission.Trial)
}

// order returns the current ejection order.
func (tr *serverTracker) order(now time.Time) ejection.Order {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.holder.Order(now)
}

// suspectedWeight is the load weight of a suspected backend server; that of a
// healthy one is 100.
const suspectedWeight = 25

// weight returns the load weight for normal service.
func (tr *serverTracker) weight() uint32 {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if tr.suspected {
		return suspectedWeight
	}
	return admission.FullWeight
}

// crashState returns the crash guard's state of a request.
func (tr *serverTracker) crashState(now time.Time, f crashguard.Fingerprint) crashguard.State {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.crashGuard.State(now, f)
}

// completion classifies the end of a request for crash attribution.
type completion uint8

const (
	// noResponse requests ended without a response, for example at their deadline.
	noResponse completion = iota
	// responseReceived requests got a response. Connections that were lost before
	// such a request started were not lost because of a crash.
	responseReceived
	// connectionLost requests may have crashed the backend server.
	connectionLost
)

// trackedRequest is a request whose outcome is recorded for outlier detection
// and crash attribution.
type trackedRequest struct {
	tracker *serverTracker
	id      uint64
	start   time.Time
	// timeout is the time that the entry granted to the owner, including queueing.
	timeout  time.Duration
	deadline time.Time
	// measured is set while the detection window counts the request as in flight.
	// It is not set for a long upload, whose duration depends on the caller.
	measured bool
	request  detection.RequestID
	// outcomeRecorded is set if the outcome was recorded when the head of the
	// response arrived.
	outcomeRecorded bool
}

// begin records a request immediately before its dispatch. If it returns an
// error, the request must not be dispatched.
func (tr *serverTracker) begin(now, deadline time.Time, offer *wire.Offer) (*trackedRequest, error) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.lastRequestID++
	t := &trackedRequest{
		tracker: tr, id: tr.lastRequestID, start: now, deadline: deadline,
		timeout: time.Duration(offer.GetTimeoutUs()) * time.Microsecond,
	}
	switch tr.crashGuard.Start(now, t.id, fingerprintFromWire(offer.GetFingerprint())) {
	case crashguard.Refuse:
		return nil, crashingRequestError()
	case crashguard.Delay:
		return nil, verdict.NewNotRun("runs-alone", "a request that may crash backend servers runs alone", time.Second)
	case crashguard.Run:
	}
	// The duration of a long upload depends on the caller.
	if length := offer.GetContentLength(); length >= 0 && length <= bufferBytes {
		t.measured, t.request = true, tr.window.Begin(now)
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
func (t *trackedRequest) end(now time.Time, o detection.Outcome, c completion) {
	tr := t.tracker
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if !t.outcomeRecorded || o != detection.OK {
		t.recordOutcome(now, o)
	}
	switch c {
	case connectionLost:
		tr.crashGuard.ConnectionLost(now, t.id)
	case noResponse:
		tr.crashGuard.EndedWithoutResponse(t.id)
	case responseReceived:
		tr.crashGuard.ResponseReceived(t.start)
		if f, cleared := tr.crashGuard.Done(t.id); cleared && len(tr.unreportedCleared) < maxUnreported {
			tr.unreportedCleared = append(tr.unreportedCleared, f)
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

// errorOutcome classifies the error of a request for outlier detection and
// crash attribution.
func errorOutcome(ctx context.Context, err error) (detection.Outcome, completion) {
	if errors.Is(err, errBodyTruncated) {
		return detection.Canceled, noResponse
	}
	o := detection.Error
	switch verdict.FromError(err).Code {
	case "crossed-answer", codeInvalidResponse, "unframed-answer":
		return detection.Wrong, responseReceived
	case "deadline-exceeded":
		return detection.Timeout, noResponse
	case "backend-unreachable":
		if ctx.Err() != nil {
			return detection.Canceled, noResponse
		}
		return detection.Error, noResponse
	case "answer-cut":
		o = detection.Truncated
	case "backend-lost":
	default:
		return detection.Canceled, noResponse
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return detection.Canceled, noResponse
	}
	return o, connectionLost
}

func fingerprintFromWire(b []byte) crashguard.Fingerprint {
	var f crashguard.Fingerprint
	copy(f[:], b)
	return f
}

// trackerTable holds the tracker of each backend server by name.
type trackerTable struct {
	mu        sync.Mutex
	byName    map[string]*serverTracker
	removedAt map[string]time.Time
}

func newTrackerTable() *trackerTable {
	return &trackerTable{byName: make(map[string]*serverTracker), removedAt: make(map[string]time.Time)}
}

// get returns the tracker of an announced backend server and creates it if
// necessary.
func (t *trackerTable) get(now time.Time, name, zone string) *serverTracker {
	t.mu.Lock()
	defer t.mu.Unlock()
	tr := t.byName[name]
	if tr == nil {
		tr = newServerTracker(now, name, zone)
		t.byName[name] = tr
	}
	delete(t.removedAt, name)
	return tr
}

// find returns the tracker of a backend server, or nil.
func (t *trackerTable) find(name string) *serverTracker {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byName[name]
}

// markRemoved records the time at which a backend server was removed.
func (t *trackerTable) markRemoved(now time.Time, name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removedAt[name] = now
}

// removeExpired removes the trackers of backend servers that were removed at
// least trackerRetention ago.
func (t *trackerTable) removeExpired(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, at := range t.removedAt {
		if now.Sub(at) >= trackerRetention {
			delete(t.byName, name)
			delete(t.removedAt, name)
		}
	}
}
