package node

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"trefoildock.example/admission"
	"trefoildock.example/detection"
	"trefoildock.example/verdict"
	"trefoildock.example/wire"
)

const (
	// probeTimeout bounds a probe, which takes about 25 ms.
	probeTimeout = time.Second
	// probeInterval is the delay between the probes that confirm a failed one.
	probeInterval = 50 * time.Millisecond
	// maxProbeBytes bounds how much of a probe response is read.
	maxProbeBytes = 64 << 10
)

// errProbe is returned for a probe with a failure response.
var errProbe = errors.New("the probe received a failure response")

// probe starts the probes that are due.
func (r *serviceReporter) probe(ctx context.Context, services map[string][]*backend) {
	config := r.node.snapshot.Load().config
	for service, owned := range services {
		path := config.Services[service].ProbePath
		if path == "" {
			continue
		}
		for _, b := range owned {
			if b.tracker.startProbe(time.Now()) {
				r.node.wg.Go(func() { r.probeWhileDue(ctx, b, service, path) })
			}
		}
	}
}

// startProbe reports whether a probe is due and none is in progress, and marks
// it as in progress.
func (tr *serverTracker) startProbe(now time.Time) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if tr.probing || !tr.window.ProbeDue(now) {
		return false
	}
	tr.probing = true
	return true
}

// probeWhileDue probes a backend server until no further probe is due after
// probeInterval.
func (r *serviceReporter) probeWhileDue(ctx context.Context, b *backend, service, path string) {
	for {
		r.probeOnce(ctx, b, service, path)
		b.tracker.finishProbe()
		if !sleep(ctx, probeInterval) || !b.tracker.startProbe(time.Now()) {
			return
		}
	}
}

func (tr *serverTracker) finishProbe() {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.probing = false
}

// probeOnce sends a probe through the gate, so that it counts against the
// slots. A probe that is not admitted yields no sample.
func (r *serviceReporter) probeOnce(ctx context.Context, b *backend, service, path string) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	release, err := b.gate.Acquire(ctx, admission.Request{Idempotent: true})
	if err != nil {
		return
	}
	r.node.metrics.probes.Inc(1)
	id := b.tracker.beginProbe(time.Now())
	offer := &wire.Offer{RequestId: uuid.NewString(), Service: service, Method: http.MethodGet, Target: path, Host: b.dispatch.address, Idempotent: true}
	err = b.dispatch.probe(ctx, offer)
	// A probe does not warm up a cold backend server, so unlike a successful
	// request it must not raise the slot limit.
	outcome, result := detection.OK, admission.Canceled
	if err != nil {
		outcome, result = detection.Error, admission.Failure
		if errors.Is(ctx.Err(), context.Canceled) {
			outcome, result = detection.Canceled, admission.Canceled
		}
	}
	b.tracker.endProbe(time.Now(), id, outcome)
	release(result)
}

func (tr *serverTracker) beginProbe(now time.Time) detection.RequestID {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.window.BeginProbe(now)
}

func (tr *serverTracker) endProbe(now time.Time, id detection.RequestID, o detection.Outcome) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.window.End(now, id, o)
}

// probe sends a probe over the connections used for requests. A health endpoint
// may omit the request ID, but must not return another one.
func (d *dispatcher) probe(ctx context.Context, o *wire.Offer) error {
	req, err := d.newRequest(ctx, o, nil)
	if err != nil {
		return err
	}
	resp, err := d.idempotent.RoundTrip(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxProbeBytes)); err != nil {
		return err
	}
	id := resp.Header.Get(verdict.RequestIDHeader)
	if resp.StatusCode >= http.StatusInternalServerError || id != "" && id != o.GetRequestId() {
		return errProbe
	}
	return nil
}
