package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"trefoildock.example/link"
	"trefoildock.example/verdict"
	"trefoildock.example/wire"
)

// forwarder forwards requests from this entry to owners.
type forwarder struct {
	self  string
	zone  string
	pool  *link.Pool
	loads *loadTable
	// serveLocal handles the owner's side of an in-process exchange.
	serveLocal func(x link.Exchange, offer *wire.Offer)
	metrics    *trafficMetrics
	// hedgeAfter is the delay after which an idempotent request without a response
	// is also sent to a second owner. If it is 0, hedging uses the observed
	// latency and has to be enabled in the settings.
	hedgeAfter time.Duration
}

// attempt sends the request to one owner and reads the response up to
// bufferBytes. Every error is a *verdict.Error.
func (f *forwarder) attempt(ctx context.Context, o *ownerRef, r *request) (*response, error) {
	x, err := f.open(ctx, o, r)
	if err != nil {
		f.loads.recordFailure(o.node, r.service)
		return nil, &verdict.Error{
			Verdict: verdict.NotRun, Status: 503, Code: "owner-unreachable",
			Detail: "no link to node " + o.node, RetryAfter: time.Second, Cause: err,
		}
	}
	// Closing the exchange unblocks a pending read when the deadline expires or
	// the caller disconnects.
	stop := context.AfterFunc(ctx, func() { x.Close() })
	body := &bodySender{requestBody: r.body}
	resp, err := f.exchange(ctx, x, o, r, body)
	if err != nil || resp.complete {
		stop()
		x.Close()
	} else {
		resp.remainder.x = &streamedExchange{Exchange: x, stop: stop}
	}
	if err != nil {
		body.revoke()
		return nil, f.attemptError(ctx, r, err)
	}
	return resp, nil
}

// streamedExchange is the exchange of a streamed response. Closing it also
// removes the deadline callback.
type streamedExchange struct {
	link.Exchange
	stop func() bool
}

// Close removes the deadline callback and closes the exchange.
func (x *streamedExchange) Close() error {
	x.stop()
	return x.Exchange.Close()
}

func (f *forwarder) open(ctx context.Context, o *ownerRef, r *request) (link.Exchange, error) {
	if o.node == f.self {
		entry, owner := link.NewLocalExchange()
		deadline, _ := ctx.Deadline()
		go f.serveLocal(owner, r.offer(deadline))
		return entry, nil
	}
	st, peer, err := f.pool.Open(ctx, o.address)
	if err != nil {
		return nil, err
	}
	if peer.Node != o.node {
		st.Close()
		return nil, errors.Newf("address %s belongs to node %s, not %s", o.address, peer.Node, o.node)
	}
	return st, nil
}

// exchange runs the request protocol on an open exchange.
func (f *forwarder) exchange(ctx context.Context, x link.Exchange, o *ownerRef, r *request, body *bodySender) (*response, error) {
	deadline, _ := ctx.Deadline()
	var first []*wire.Envelope
	if o.node != f.self {
		first = []*wire.Envelope{wire.OfferEnvelope(r.offer(deadline))}
	}
	if r.twoPhase() {
		if err := f.reserve(x, o, r, first); err != nil {
			return nil, err
		}
		first = []*wire.Envelope{wire.CommitEnvelope()}
	}
	if err := f.sendBody(x, body, first); err != nil {
		return nil, err
	}
	return f.receive(x, o, r)
}

// reserve sends the offer of a two-phase request and waits for the owner's
// reservation. The owner does not run the request without a commit, so every
// failure here is NotRun.
func (f *forwarder) reserve(x link.Exchange, o *ownerRef, r *request, offer []*wire.Envelope) error {
	lost := func(cause error) error {
		return &verdict.Error{
			Verdict: verdict.NotRun, Status: 503, Code: "offer-lost",
			Detail: "the owner did not answer the offer", RetryAfter: time.Second, Cause: cause,
		}
	}
	if err := sendAll(x, offer); err != nil {
		f.loads.recordFailure(o.node, r.service)
		return lost(err)
	}
	e, err := x.Recv()
	if err != nil {
		f.loads.recordFailure(o.node, r.service)
		return lost(err)
	}
	switch m := e.GetBody().(type) {
	case *wire.Envelope_Admitted:
		f.loads.update(o.node, r.service, m.Admitted.GetLoad())
		return nil
	case *wire.Envelope_Abort:
		f.loads.update(o.node, r.service, m.Abort.GetLoad())
		return wire.AbortError(m.Abort)
	default:
		return lost(errors.New("unexpected message"))
	}
}

// sendBody sends the body. An unbuffered body is streamed concurrently with the
// response, because a backend server may respond before it has read the whole
// body.
func (f *forwarder) sendBody(x link.Exchange, body *bodySender, first []*wire.Envelope) error {
	if body.remainder != nil {
		go func() {
			if err := body.send(x, first...); err != nil {
				x.Close()
			}
		}()
		return nil
	}
	if err := body.send(x, first...); err != nil {
		return verdict.NewMayHaveRun("link-lost", "the link to the owner failed while the request was sent", err)
	}
	return nil
}

// receive reads the head of the response and up to bufferBytes of its body.
func (f *forwarder) receive(x link.Exchange, o *ownerRef, r *request) (*response, error) {
	e, err := x.Recv()
	if err != nil {
		f.loads.recordFailure(o.node, r.service)
		return nil, verdict.NewMayHaveRun("link-lost", "the link to the owner failed before it answered", err)
	}
	update := func(l *wire.Load) { f.loads.update(o.node, r.service, l) }
	if a := e.GetAbort(); a != nil {
		update(a.GetLoad())
		return nil, wire.AbortError(a)
	}
	head := e.GetHead()
	if head == nil {
		return nil, verdict.NewMayHaveRun("protocol", "unexpected message from the owner", nil)
	}
	if head.GetRequestId() != r.id {
		f.metrics.crossedResponses.Inc(1)
		return nil, verdict.NewMayHaveRun("crossed-answer", "the owner answered another request", nil)
	}
	declared := head.GetContentLength()
	if !hasBody(r.method, int(head.GetStatus())) {
		declared = 0
	}
	resp := &response{head: head, remainder: &responseReader{x: x, updateLoad: update, declared: declared}}
	return resp, resp.fill()
}

// fill reads the body until it is complete or more than bufferBytes are
// buffered.
func (r *response) fill() error {
	var buf []byte
	for len(buf) <= bufferBytes {
		if len(r.remainder.pending) == 0 {
			if r.remainder.complete {
				r.prefix, r.complete = buf, true
				return nil
			}
			if err := r.remainder.next(); err != nil {
				return err
			}
		}
		if buf == nil && r.remainder.pending != nil {
			buf = r.remainder.pending
		} else {
			buf = append(buf, r.remainder.pending...)
		}
		r.remainder.pending = nil
	}
	r.prefix = buf
	return nil
}

// attemptError replaces err by the body error or deadline error that caused it.
// A NotRun verdict is kept.
func (f *forwarder) attemptError(ctx context.Context, r *request, err error) error {
	if bodyErr := r.body.readError(); bodyErr != nil {
		return bodyErr
	}
	e := verdict.FromError(err)
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) || e.Verdict == verdict.NotRun {
		return e
	}
	return timeoutError(e)
}

// close closes the exchange of a streamed response and releases the attempt.
func (r *response) close() {
	if !r.complete {
		r.remainder.x.Close()
	}
	if r.release != nil {
		r.release()
	}
}

// selectOwner selects the owner for the next attempt as the less loaded of two
// random candidates and prefers the local availability zone on ties. Owners in
// an avoided zone are selected only if no other owner is usable. It returns nil
// if all owners have been tried.
func (f *forwarder) selectOwner(owners []*ownerRef, service string, tried, avoidedZones map[string]bool, now time.Time) *ownerRef {
	eligible := make([]*ownerRef, 0, len(owners))
	outsideAvoided := make([]*ownerRef, 0, len(owners))
	for _, o := range owners {
		if tried[o.node] || !f.loads.usable(o.node, service, now) {
			continue
		}
		eligible = append(eligible, o)
		if !avoidedZones[o.zone] {
			outsideAvoided = append(outsideAvoided, o)
		}
	}
	// While a zone is taken out of service or returned, this entry may apply the
	// change earlier or later than the owners in the zone. After one refusal the
	// whole zone is avoided, so that one zone cannot use up all attempts of a
	// request.
	if len(outsideAvoided) > 0 {
		eligible = outsideAvoided
	}
	if len(eligible) == 0 {
		return f.fallbackOwner(owners, tried)
	}
	if len(eligible) == 1 {
		return eligible[0]
	}
	if o := f.explore(eligible, service); o != nil {
		return o
	}
	i := rand.IntN(len(eligible))
	j := rand.IntN(len(eligible) - 1)
	if j >= i {
		j++
	}
	a, b := eligible[i], eligible[j]
	sa, sb := f.loads.score(a.node, service, now), f.loads.score(b.node, service, now)
	if sa < sb || sa == sb && a.zone == f.zone {
		return a
	}
	return b
}

// explorationFraction is the fraction of requests sent to an unproven owner
// while there is one. Selection by load alone would never send it any.
const explorationFraction = 1.0 / 8

// explore returns, for a fraction of the requests, an owner that is on trial or
// was out of service at its last, now outdated, report; otherwise nil. If that
// owner refuses, the request is redirected.
func (f *forwarder) explore(owners []*ownerRef, service string) *ownerRef {
	var unproven []*ownerRef
	for _, o := range owners {
		if f.loads.unproven(o.node, service) {
			unproven = append(unproven, o)
		}
	}
	if len(unproven) == 0 || rand.Float64() >= explorationFraction {
		return nil
	}
	return unproven[rand.IntN(len(unproven))]
}

// fallbackOwner returns a random owner that has not been tried. Its last
// reported state is unfavorable, but may be outdated.
func (f *forwarder) fallbackOwner(owners []*ownerRef, tried map[string]bool) *ownerRef {
	left := make([]*ownerRef, 0, len(owners))
	for _, o := range owners {
		if !tried[o.node] {
			left = append(left, o)
		}
	}
	if len(left) == 0 {
		return nil
	}
	return left[rand.IntN(len(left))]
}
