package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"trefoildock.example/admission"
	"trefoildock.example/crashguard"
	"trefoildock.example/detection"
	"trefoildock.example/ejection"
	"trefoildock.example/wire"
)

// reportTimeout bounds one report. It is shorter than the report interval, so
// that the response to an earlier report cannot overwrite that to a later one.
const reportTimeout = detection.ReportInterval - 50*time.Millisecond

// serviceReporter sends the observations of the owned backend servers to the
// service coordinators and applies the ejection orders in the responses. It is
// safe for concurrent use.
type serviceReporter struct {
	node *Node

	mu       sync.Mutex
	sequence uint64
	inFlight map[string]bool // services with a report in flight
}

func newServiceReporter(n *Node) *serviceReporter {
	return &serviceReporter{node: n, inFlight: make(map[string]bool)}
}

// run reports every service and probes backend servers with little traffic.
func (r *serviceReporter) run(ctx context.Context) {
	ticker := time.NewTicker(detection.ReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		services := r.node.owner.byService()
		for service, owned := range services {
			if sequence, ok := r.begin(service); ok {
				r.node.wg.Go(func() { r.report(ctx, service, owned, sequence) })
			}
		}
		r.probe(ctx, services)
	}
}

// begin returns the sequence number of the next report of a service, or false
// if a report is in flight.
func (r *serviceReporter) begin(service string) (uint64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.inFlight[service] {
		return 0, false
	}
	r.inFlight[service] = true
	r.sequence++
	return r.sequence, true
}

func (r *serviceReporter) finish(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.inFlight, service)
}

// byService groups the owned backend servers by service.
func (o *owner) byService() map[string][]*backend {
	o.mu.RLock()
	defer o.mu.RUnlock()
	out := make(map[string][]*backend)
	for _, b := range o.backends {
		out[b.announcement.Service] = append(out[b.announcement.Service], b)
	}
	return out
}

// report sends one report and applies the response. The validity of ejection
// orders starts when the report is sent.
func (r *serviceReporter) report(ctx context.Context, service string, owned []*backend, sequence uint64) {
	defer r.finish(service)
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	sent := time.Now()
	m := &wire.ServiceReport{Owner: r.node.settings.Node.Name, Service: service, Sequence: sequence}
	for i, b := range owned {
		b.tracker.appendStatus(m, sent, b.gate.State(), i == 0)
	}
	answer, err := r.node.coordinators.callCoordinator(ctx, kindService, service, &wire.Call{Body: &wire.Call_ServiceReport{ServiceReport: m}})
	if err == nil && (answer.GetService() == nil || answer.GetService().GetNotHome()) {
		err = errNoCoordinator
	}
	if err == nil {
		err = ctx.Err() // A response after the timeout may be older than that to the next report.
	}
	if err != nil {
		r.node.metrics.failedReports.Inc(1)
		return
	}
	for _, b := range owned {
		until := b.tracker.apply(time.Now(), sent, m, answer.GetService())
		r.node.owner.applyOrder(b.name)
		if left := time.Until(until); left > 0 {
			// The permit must expire in time even without any other event.
			time.AfterFunc(left, func() { r.node.owner.applyOrder(b.name) })
		}
	}
}

// appendStatus adds the status of a backend server to a report. The report has
// a single version of the fingerprint lists: the lowest one held for any of its
// backend servers.
func (tr *serverTracker) appendStatus(m *wire.ServiceReport, now time.Time, state admission.State, first bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	s := statusToWire(tr.window.Report(now))
	order := tr.effectiveOrder(now, state)
	s.Ejected, s.Trial = order != ejection.Serve, order == ejection.Trial
	s.InService = state != admission.Leaving && state != admission.OutOfService
	m.Backends = append(m.Backends, s)
	for _, c := range tr.unreportedCrashes {
		m.Crashes = append(m.Crashes, crashToWire(c))
	}
	for _, f := range tr.unreportedCleared {
		m.Cleared = append(m.Cleared, f[:])
	}
	switch {
	case first || m.GuardHome != tr.crashGuardCoordinator:
		m.GuardHome, m.GuardVersion = tr.crashGuardCoordinator, tr.crashGuard.Version
		if !first {
			m.GuardHome, m.GuardVersion = "", 0 // The coordinator then sends the complete lists.
		}
	default:
		m.GuardVersion = min(m.GuardVersion, tr.crashGuard.Version)
	}
}

// effectiveOrder returns the order that applies to the backend server: the
// current order, or that of the gate if the gate has not been updated after the
// permit expired. The lock is held.
func (tr *serverTracker) effectiveOrder(now time.Time, state admission.State) ejection.Order {
	if o := tr.holder.Order(now); o != ejection.Serve {
		return o
	}
	switch state {
	case admission.Ejected:
		return ejection.Eject
	case admission.Trial:
		return ejection.Trial
	default:
		return ejection.Serve
	}
}

// apply applies the response to a report and returns the time at which the
// ejection permit expires, or the zero time if there is none.
func (tr *serverTracker) apply(now, sent time.Time, m *wire.ServiceReport, a *wire.ServiceAnswer) time.Time {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.unreportedCrashes = dropReportedCrashes(tr.unreportedCrashes, m)
	tr.unreportedCleared = dropReportedCleared(tr.unreportedCleared, m)
	order := ejection.Serve
	switch {
	case slices.Contains(a.GetTrial(), tr.name):
		order = ejection.Trial
	case slices.Contains(a.GetEjected(), tr.name):
		order = ejection.Eject
	}
	tr.holder.Apply(sent, order)
	tr.suspected = slices.Contains(a.GetSuspected(), tr.name)
	changes := make([]crashguard.Change, len(a.GetFingerprints()))
	for i, c := range a.GetFingerprints() {
		changes[i] = crashguard.Change{
			Fingerprint: fingerprintFromWire(c.GetFingerprint()), State: crashguard.State(c.GetState()),
			Remaining: time.Duration(c.GetLeftUs()) * time.Microsecond,
		}
	}
	tr.crashGuard.Apply(now, changes, a.GetGuardVersion())
	tr.crashGuardCoordinator = a.GetGuardHome()
	if order == ejection.Serve {
		return time.Time{}
	}
	return tr.holder.Until()
}

// ejectionState returns the state of a backend server according to its ejection
// order.
func (c *coordinators) ejectionState(name, _ string) admission.State {
	tracker := c.node.owner.trackers.find(name)
	if tracker == nil {
		return admission.Serving
	}
	switch tracker.order(time.Now()) {
	case ejection.Eject:
		return admission.Ejected
	case ejection.Trial:
		return admission.Trial
	default:
		return admission.Serving
	}
}
