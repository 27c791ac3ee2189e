package node

import (
	"context"
	"time"

	"trefoildock.example/verdict"
)

// attemptResult is the result of one of several concurrent attempts.
type attemptResult struct {
	response *response
	owner    *ownerRef
	err      error
	index    int
}

// attemptHedged sends the request to first and, if there is no response after
// the hedge delay, also to a second owner. It returns the first response and
// cancels the other attempt, which closes its connection to the backend server.
// The returned owner is the one that responded or failed last.
func (n *Node) attemptHedged(ctx context.Context, r *request, first *ownerRef, next func() *ownerRef) (*response, *ownerRef, error) {
	after := n.forwarder.hedgeAfter
	if after == 0 && n.settings.Limits.Hedge {
		after = n.retryPolicy.hedgeDelay(r.service)
	}
	if after <= 0 || !r.idempotent || r.body.remainder != nil {
		resp, err := n.attempt(ctx, first, r)
		return resp, first, err
	}
	h := &hedge{node: n, ctx: ctx, request: r, results: make(chan attemptResult, 2)}
	defer h.cancelRemaining()
	h.launch(first)
	timer := time.NewTimer(after)
	defer timer.Stop()
	var failure error
	for {
		select {
		case <-timer.C:
			h.launchSecond(next)
		case res := <-h.results:
			h.running--
			cancel := h.cancels[res.index]
			h.cancels[res.index] = nil
			if res.err == nil {
				res.response.release = cancel
				return res.response, res.owner, nil
			}
			cancel()
			if failure = weakerGuarantee(failure, res.err); h.running == 0 {
				return nil, res.owner, failure
			}
		}
	}
}

// hedge is the state of the concurrent attempts of a request.
type hedge struct {
	node    *Node
	ctx     context.Context
	request *request
	results chan attemptResult
	// cancels holds the cancel functions of the attempts by index; an entry is nil
	// once its attempt has ended.
	cancels []context.CancelFunc
	running int
}

func (h *hedge) launch(o *ownerRef) {
	ctx, cancel := context.WithCancel(h.ctx)
	index := len(h.cancels)
	h.cancels = append(h.cancels, cancel)
	h.running++
	go func() {
		resp, err := h.node.attempt(ctx, o, h.request)
		h.results <- attemptResult{response: resp, owner: o, err: err, index: index}
	}()
}

func (h *hedge) launchSecond(next func() *ownerRef) {
	if !h.node.retryPolicy.allowHedge(h.ctx, h.request) {
		return
	}
	if o := next(); o != nil {
		h.node.metrics.hedges.Inc(1)
		h.launch(o)
	}
}

// cancelRemaining cancels the attempts that are still running and closes any
// response that arrives nevertheless. The context of the returned response is
// kept.
func (h *hedge) cancelRemaining() {
	if h.running == 0 {
		return
	}
	remaining := h.running
	for _, cancel := range h.cancels {
		if cancel != nil {
			cancel()
		}
	}
	go func() {
		for range remaining {
			if res := <-h.results; res.err == nil {
				res.response.close()
			}
		}
	}()
}

// weakerGuarantee returns the error with the weaker guarantee: NotRun is
// returned only if neither attempt may have run.
func weakerGuarantee(a, b error) error {
	if a != nil && (b == nil || verdict.FromError(a).Verdict == verdict.MayHaveRun) {
		return a
	}
	return b
}
