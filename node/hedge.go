package node

import (
	"context"
	"time"

	"trefoildock.example/verdict"
)

// attemptResult is the result of one of several concurrent attempts.
type attemptResult struct {
	answer *answer
	owner  *ownerRef
	err    error
	index  int
}

// hedged sends the request to first and, if there is no response after the
// hedge delay, also to a second owner. It returns the first response and
// cancels the other attempt, which closes its connection to the backend server.
// The returned owner is the one that responded or failed last.
func (n *Node) hedged(ctx context.Context, r *request, first *ownerRef, next func() *ownerRef) (*answer, *ownerRef, error) {
	after := n.forwarder.hedgeAfter
	if after == 0 && n.settings.Limits.Hedge {
		after = n.retries.hedgeDelay(r.service)
	}
	if after <= 0 || !r.idempotent || r.body.rest != nil {
		a, err := n.attempt(ctx, first, r)
		return a, first, err
	}
	h := &hedge{node: n, ctx: ctx, request: r, results: make(chan attemptResult, 2)}
	defer h.abandon()
	h.launch(first)
	timer := time.NewTimer(after)
	defer timer.Stop()
	var failure error
	for {
		select {
		case <-timer.C:
			h.second(next)
		case res := <-h.results:
			h.running--
			cancel := h.cancels[res.index]
			h.cancels[res.index] = nil
			if res.err == nil {
				res.answer.release = cancel
				return res.answer, res.owner, nil
			}
			cancel()
			if failure = weaker(failure, res.err); h.running == 0 {
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
		a, err := h.node.attempt(ctx, o, h.request)
		h.results <- attemptResult{answer: a, owner: o, err: err, index: index}
	}()
}

func (h *hedge) second(next func() *ownerRef) {
	if !h.node.retries.hedge(h.ctx, h.request) {
		return
	}
	if o := next(); o != nil {
		h.node.metrics.hedges.Inc(1)
		h.launch(o)
	}
}

// abandon cancels the attempts that are still running and closes any response
// that arrives nevertheless. The context of the returned response is kept.
func (h *hedge) abandon() {
	if h.running == 0 {
		return
	}
	left := h.running
	for _, cancel := range h.cancels {
		if cancel != nil {
			cancel()
		}
	}
	go func() {
		for range left {
			if res := <-h.results; res.err == nil {
				res.answer.close()
			}
		}
	}()
}

// weaker returns the error with the weaker guarantee: NotRun is returned only
// if neither attempt may have run.
func weaker(a, b error) error {
	if a != nil && (b == nil || verdict.From(a).Verdict == verdict.MayHaveRun) {
		return a
	}
	return b
}
