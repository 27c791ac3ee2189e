package node

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"trefoildock.example/admission"
	"trefoildock.example/crashguard"
	"trefoildock.example/detection"
	"trefoildock.example/link"
	"trefoildock.example/verdict"
	"trefoildock.example/wire"
)

// owner runs the requests for the backend servers on this VM. No other node
// dispatches to them, so its concurrency limits are exact.
type owner struct {
	metrics *trafficMetrics
	logger  log.Logger
	// onServicesChanged is called when the set of owned services has changed.
	onServicesChanged func()
	// checks verifies each dispatch.
	checks *dispatchChecks
	// dial opens connections to backend servers.
	dial func(ctx context.Context, network, address string) (net.Conn, error)

	mu       sync.RWMutex
	backends map[string]*backend
	trackers *trackerTable
	zone     string
	// backendState returns the state of a backend server according to the
	// operator's configuration, the node's shutdown and ejection orders.
	backendState func(name, service string) admission.State
}

func newOwner(m *trafficMetrics, logger log.Logger) *owner {
	return &owner{
		metrics: m, logger: logger, onServicesChanged: func() {},
		backends: make(map[string]*backend), trackers: newTrackerTable(),
		backendState: func(string, string) admission.State { return admission.Serving },
	}
}

// announce processes an announcement. It rejects a change of service or address
// under the same incarnation.
func (o *owner) announce(name string, a announcement, now time.Time) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	b := o.backends[name]
	if b != nil && b.announcement.Incarnation == a.Incarnation &&
		(b.announcement.Service != a.Service || b.announcement.Address != a.Address) {
		return errors.Newf("backend server %s changed its service or address without a new incarnation", name)
	}
	if b != nil && (b.announcement.Service != a.Service || b.announcement.Address != a.Address) {
		o.remove(b)
		b = nil
	}
	if b == nil {
		b = newBackend(name, a, o.trackers.get(now, name, o.zone), o.checks)
		b.dispatch.setDial(o.dial)
		b.dispatch.checks = o.checks
		o.backends[name] = b
		o.logger.Log("event", "backend server announced", "backend", name, "service", a.Service, "slots", a.Slots)
		go o.onServicesChanged()
	}
	b.announcement, b.lastSeen = a, now
	if b.tracker.setIncarnation(now, a.Incarnation) {
		o.metrics.crashes.Inc(1)
		o.logger.Log("event", "backend server restarted with requests in flight", "backend", name)
	}
	b.gate.Announce(admission.Announcement{Slots: a.Slots, Connections: a.Connections, Incarnation: a.Incarnation})
	o.applyState(b)
	return nil
}

// withdraw removes a backend server that has announced its shutdown.
func (o *owner) withdraw(name string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if b := o.backends[name]; b != nil {
		o.remove(b)
	}
}

// remove removes a backend server. Its running requests complete or fail at
// their own deadlines. o.mu is held.
func (o *owner) remove(b *backend) {
	b.gate.SetState(admission.Leaving)
	b.dispatch.close()
	delete(o.backends, b.name)
	o.trackers.markRemoved(time.Now(), b.name)
	o.logger.Log("event", "backend server gone", "backend", b.name, "service", b.announcement.Service)
	go o.onServicesChanged()
}

// expire removes backend servers whose announcement has expired, and expires
// queued requests.
func (o *owner) expire(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.trackers.removeExpired(now)
	for _, b := range o.backends {
		if now.Sub(b.lastSeen) > announcementLifetime {
			o.remove(b)
			continue
		}
		o.applyState(b)
		b.gate.Tick()
	}
}

// applyState combines the announced state with the state returned by
// backendState. o.mu is held.
func (o *owner) applyState(b *backend) {
	s := o.backendState(b.name, b.announcement.Service)
	if b.announcement.State == "draining" {
		s = admission.Leaving
	}
	b.tracker.setState(s)
	if b.gate.State() == s {
		return
	}
	b.gate.SetState(s)
	b.dispatch.recordState(s, time.Now())
	o.logger.Log("event", "backend server state", "backend", b.name, "state", s)
}

// applyOrder applies the state and weight of a backend server after its
// ejection order has changed.
func (o *owner) applyOrder(name string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	b := o.backends[name]
	if b == nil {
		return
	}
	o.applyState(b)
	b.gate.SetWeight(b.tracker.weight())
}

// services returns the sorted names of the owned services.
func (o *owner) services() []string {
	o.mu.RLock()
	defer o.mu.RUnlock()
	var names []string
	for _, b := range o.backends {
		if !slices.Contains(names, b.announcement.Service) {
			names = append(names, b.announcement.Service)
		}
	}
	slices.Sort(names)
	return names
}

// inFlight returns the number of requests that are running or queued at this
// owner.
func (o *owner) inFlight() int {
	o.mu.RLock()
	defer o.mu.RUnlock()
	total := 0
	for _, b := range o.backends {
		l := b.gate.Load()
		total += int(l.InFlight + l.Queued)
	}
	return total
}

// selectBackend returns the backend server of the service with the lowest
// occupancy.
func (o *owner) selectBackend(service string) *backend {
	o.mu.RLock()
	defer o.mu.RUnlock()
	var best *backend
	bestScore := 0.0
	for _, b := range o.backends {
		if b.announcement.Service != service {
			continue
		}
		l := b.gate.Load()
		score := float64(l.InFlight+l.Queued+1) / max(float64(l.Limit), 1)
		if l.Weight == 0 {
			score += 1e6
		}
		if best == nil || score < bestScore {
			best, bestScore = b, score
		}
	}
	return best
}

// load returns the total load of the service over its backend servers on this
// VM.
func (o *owner) load(service string) *wire.Load {
	o.mu.RLock()
	defer o.mu.RUnlock()
	sum := &wire.Load{}
	for _, b := range o.backends {
		if b.announcement.Service != service {
			continue
		}
		l := b.gate.Load()
		sum.InFlight += l.InFlight
		sum.Queued += l.Queued
		if l.Weight > 0 {
			sum.Limit += l.Limit
			sum.Weight += l.Weight
		}
	}
	return sum
}

// serve handles one request stream from an entry.
func (o *owner) serve(x link.Exchange, offer *wire.Offer) {
	defer x.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(offer.GetTimeoutUs())*time.Microsecond)
	defer cancel()
	if err := o.run(ctx, cancel, x, offer); err != nil {
		e, load := verdict.FromError(err), o.load(offer.GetService())
		if e.Code == admission.CodeTrial {
			load.Weight = 0 // For a non-idempotent request, a backend server on trial is out of service.
		}
		_ = x.Send(wire.AbortEnvelope(e, load)) // The entry may have disconnected.
	}
}

func (o *owner) run(ctx context.Context, cancel func(), x link.Exchange, offer *wire.Offer) error {
	b := o.selectBackend(offer.GetService())
	if b == nil {
		return verdict.NewNotRun("not-owner", "this node owns no backend server of the service", time.Second)
	}
	body := newRequestStream(ctx, x, cancel)
	go body.readLoop()
	release, err := o.admit(ctx, x, b, offer, body)
	if err != nil {
		return err
	}
	deadline, _ := ctx.Deadline()
	tracked, err := b.tracker.begin(time.Now(), deadline, offer)
	if err != nil {
		release(admission.Canceled)
		return o.countRefusal(err)
	}
	var once sync.Once
	defer o.metrics.backendLatency.UpdateSince(time.Now())
	finish := func(r admission.Result, outcome detection.Outcome, c completion) {
		once.Do(func() {
			tracked.end(time.Now(), outcome, c)
			release(r)
		})
	}
	defer finish(admission.Failure, detection.Canceled, noResponse) // Runs only if execute panics.
	result, err := o.execute(ctx, x, b, tracked, offer, body, func(r admission.Result) { finish(r, detectionOutcome(r), responseReceived) })
	if err == nil {
		finish(result, detectionOutcome(result), responseReceived)
		return nil
	}
	outcome, c := errorOutcome(ctx, err)
	finish(result, outcome, c)
	return err
}

// countRefusal counts a request that was refused by the crash guard.
func (o *owner) countRefusal(err error) error {
	if verdict.FromError(err).Code == codeCrashingRequest {
		o.metrics.crashingRequests.Inc(1)
	}
	return err
}

// admit waits for a slot and, for a two-phase request, for the entry's commit.
func (o *owner) admit(ctx context.Context, x link.Exchange, b *backend, offer *wire.Offer, in *requestStream) (func(admission.Result), error) {
	crashState := b.tracker.crashState(time.Now(), fingerprintFromWire(offer.GetFingerprint()))
	if crashState == crashguard.Blocked {
		return nil, o.countRefusal(crashingRequestError())
	}
	deadline, _ := ctx.Deadline()
	req := admission.Request{
		Team: offer.GetTeam(), Weight: offer.GetTeamWeight(), Deadline: deadline, Idempotent: offer.GetIdempotent(),
		Exclusive: crashState == crashguard.Suspect,
	}
	if !offer.GetTwoPhase() {
		release, err := b.gate.Acquire(ctx, req)
		return release, admissionError(err)
	}
	res, err := b.gate.Reserve(ctx, req)
	if err != nil {
		return nil, admissionError(err)
	}
	if err := x.Send(wire.AdmittedEnvelope(o.load(offer.GetService()))); err != nil {
		res.Release(admission.Canceled)
		return nil, admissionError(err)
	}
	select {
	case <-in.committed:
	case <-ctx.Done():
		res.Release(admission.Canceled)
		return nil, admissionError(ctx.Err())
	}
	if err := res.Commit(); err != nil {
		res.Release(admission.Canceled)
		return nil, admissionError(err)
	}
	return res.Release, nil
}

// admissionError converts an admission error. The request has not been
// dispatched.
func admissionError(err error) error {
	if err == nil {
		return nil
	}
	var r *admission.RefusedError
	if errors.As(err, &r) {
		return verdict.NewNotRun(r.Code, "the owner refused the request before dispatch", r.RetryAfter)
	}
	return &verdict.Error{
		Verdict: verdict.NotRun, Status: 503, Code: "queue-deadline",
		Detail: "the request was not dispatched before its deadline", RetryAfter: time.Second, Cause: err,
	}
}

// admissionResult returns the admission result for the error of a request.
func admissionResult(ctx context.Context, err error) admission.Result {
	e := verdict.FromError(err)
	switch {
	case e == nil:
		return admission.Success
	case e.Code == "backend-shed":
		return admission.Shed
	case errors.Is(ctx.Err(), context.Canceled):
		return admission.Canceled
	default:
		return admission.Failure
	}
}
