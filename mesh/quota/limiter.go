package quota

import (
	"context"
	"sync"
	"time"

	"trefoildock.example/mesh/clock"

	"trefoildock.example/routing"
	"trefoildock.example/verdict"
)

const (
	// takeTimeout bounds one call to the coordinator, which responds within 3 ms.
	takeTimeout = 150 * time.Millisecond
	// maxGrantWait is the longest time that a request waits for a token.
	maxGrantWait = 250 * time.Millisecond
	// coordinatorWait is how long a request waits until a coordinator is known.
	coordinatorWait = 300 * time.Millisecond
	// coordinatorPollInterval is the interval at which a waiting request checks for a coordinator.
	coordinatorPollInterval = 20 * time.Millisecond
	// relayPeriod is how long calls to the coordinator are relayed through another
	// node before it is called directly again.
	relayPeriod = 2 * time.Second
	// unresponsivePeriod is how long a fallback node that did not respond is skipped.
	unresponsivePeriod = time.Second
	// minRetryAfter is the smallest Retry-After time of a refusal.
	minRetryAfter = 50 * time.Millisecond
)

// TakeResult is the response of a coordinator or a fallback node.
type TakeResult struct {
	// Granted is the number of granted tokens.
	Granted int
	// Wait is the time until a token is available, if none was granted.
	Wait time.Duration
	// NotCoordinator means that the called node is not the coordinator.
	NotCoordinator bool
}

// TakeRequest requests one token from the coordinator, for a request of Team or for a
// retry to the service RetryOf.
type TakeRequest struct {
	Team, RetryOf string
	// Spare takes a token only if the bucket is more than half full.
	Spare bool
}

// RateLimiter applies the rate limits of teams and the fleet-wide retry budget to the
// requests of one node.
type RateLimiter struct {
	Lease *LeaseManager
	// TakeFromCoordinator calls a coordinator on another node.
	TakeFromCoordinator func(ctx context.Context, p Peer, req TakeRequest) (TakeResult, error)
	// TakeViaPeer calls the coordinator through another node, because a coordinator
	// that this node cannot reach may be reachable from others. Nil disables relaying.
	TakeViaPeer func(ctx context.Context, req TakeRequest) (TakeResult, error)
	// RetryLimit returns the limit of the retries of a service that the coordinator grants.
	RetryLimit func(service string) *routing.Team
	// Fallbacks returns the nodes that grant the overrun of a team while there is no
	// coordinator, and TakeFromFallback calls one of them.
	Fallbacks        func(team string) []Peer
	TakeFromFallback func(ctx context.Context, p Peer, team string) (TakeResult, error)
	OverrunBounds    OverrunBounds
	// StartedAt is the start time of this process.
	StartedAt time.Time

	mu sync.Mutex
	// overrunBuckets meters the overrun that this node grants as a fallback node.
	overrunBuckets *BucketSet
	// unresponsiveUntil holds the times until which unresponsive fallback nodes are skipped.
	unresponsiveUntil map[Peer]time.Time
	// relayUntil is the time until which calls to the coordinator are relayed.
	relayUntil time.Time
}

// Admit takes one token of the team's rate limit and waits for it up to maxGrantWait.
// An error means that the request has not run: the team exceeds its rate (429), or
// neither a coordinator nor a fallback node grants a token (503).
func (r *RateLimiter) Admit(ctx context.Context, team *routing.Team) error {
	if team == nil || team.Rate <= 0 {
		return nil
	}
	started := time.Now()
	for {
		result, ok := r.take(ctx, team, TakeRequest{Team: team.Name})
		now := time.Now()
		switch {
		case ok && result.Granted > 0:
			return nil
		case ok && now.Add(result.Wait).Sub(started) > maxGrantWait:
			return rateLimitError(result.Wait)
		case ok:
			clock.Sleep(ctx, max(result.Wait, time.Millisecond))
		case r.takeFromFallbacks(ctx, team):
			return nil
		case now.Sub(started) > coordinatorWait:
			return verdict.NewNotRun("rate-unknown", "no node keeps the rate of the team at the moment", minRetryAfter)
		default:
			clock.Sleep(ctx, coordinatorPollInterval)
		}
		if ctx.Err() != nil {
			return verdict.NewNotRun("canceled", "the request ended before its rate was known", minRetryAfter)
		}
	}
}

// TakeRetry takes one token of the service's fleet-wide retry budget without waiting.
// Half of the budget is reserved for requests of the highest priority.
func (r *RateLimiter) TakeRetry(ctx context.Context, service string, topPriority bool) bool {
	result, ok := r.take(ctx, r.RetryLimit(service), TakeRequest{RetryOf: service, Spare: !topPriority})
	return ok && result.Granted > 0
}

// take takes one token from the coordinator. It returns false if none is reachable.
func (r *RateLimiter) take(ctx context.Context, limit *routing.Team, req TakeRequest) (TakeResult, bool) {
	if buckets := r.Lease.Buckets(); buckets != nil {
		if req.Spare && !buckets.HasSpare(time.Now(), limit) {
			return TakeResult{}, true
		}
		granted, wait := buckets.Take(time.Now(), limit, 1)
		return TakeResult{Granted: granted, Wait: wait}, true
	}
	coordinator, known := r.Lease.Coordinator()
	if !known || coordinator == r.Lease.Self {
		r.Lease.MarkUnreachable(coordinator)
		return TakeResult{}, false
	}
	if !r.usesRelay() {
		result, err := r.callWithTimeout(ctx, func(ctx context.Context) (TakeResult, error) { return r.TakeFromCoordinator(ctx, coordinator, req) })
		if err == nil && !result.NotCoordinator {
			return result, true
		}
		r.Lease.Logger.Log("event", "home of the rates not reached", "home", coordinator.Node, "not_home", result.NotCoordinator, "err", err)
	}
	if r.TakeViaPeer != nil {
		result, err := r.callWithTimeout(ctx, func(ctx context.Context) (TakeResult, error) { return r.TakeViaPeer(ctx, req) })
		if err == nil && !result.NotCoordinator {
			r.enableRelay()
			return result, true
		}
	}
	r.Lease.MarkUnreachable(coordinator)
	return TakeResult{}, false
}

func (r *RateLimiter) callWithTimeout(ctx context.Context, call func(context.Context) (TakeResult, error)) (TakeResult, error) {
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	return call(ctx)
}

func (r *RateLimiter) usesRelay() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Now().Before(r.relayUntil)
}

func (r *RateLimiter) enableRelay() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := time.Now(); !now.Before(r.relayUntil) {
		r.relayUntil = now.Add(relayPeriod)
	}
}

// takeFromFallbacks takes one token of the team's overrun from its fallback nodes.
func (r *RateLimiter) takeFromFallbacks(ctx context.Context, team *routing.Team) bool {
	for _, p := range r.Fallbacks(team.Name) {
		if p == r.Lease.Self {
			if r.TakeOverrun(time.Now(), team).Granted > 0 {
				return true
			}
			continue
		}
		if r.isUnresponsive(p) {
			continue
		}
		result, err := r.callWithTimeout(ctx, func(ctx context.Context) (TakeResult, error) { return r.TakeFromFallback(ctx, p, team.Name) })
		if err != nil {
			r.Lease.Logger.Log("event", "deputy of the rates not reached", "deputy", p.Node, "team", team.Name, "err", err)
			r.markUnresponsive(p)
			continue
		}
		if result.Granted > 0 {
			return true
		}
	}
	return false
}

// TakeOverrun takes one token of the overrun that this node grants to the team as a
// fallback node.
func (r *RateLimiter) TakeOverrun(now time.Time, team *routing.Team) TakeResult {
	limit, ok := r.OverrunBounds.fallbackLimit(team)
	if !ok {
		return TakeResult{}
	}
	r.mu.Lock()
	if r.overrunBuckets == nil {
		// An earlier process of this node may have just granted its share.
		r.overrunBuckets = NewBucketSet(r.StartedAt, false)
	}
	buckets := r.overrunBuckets
	r.mu.Unlock()
	granted, wait := buckets.Take(now, limit, 1)
	return TakeResult{Granted: granted, Wait: wait}
}

func (r *RateLimiter) isUnresponsive(p Peer) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Now().Before(r.unresponsiveUntil[p])
}

func (r *RateLimiter) markUnresponsive(p Peer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unresponsiveUntil == nil {
		r.unresponsiveUntil = make(map[Peer]time.Time)
	}
	r.unresponsiveUntil[p] = time.Now().Add(unresponsivePeriod)
}

func rateLimitError(wait time.Duration) error {
	e := verdict.NewNotRun("rate-limit", "the team is over its rate", max(wait, minRetryAfter))
	e.Status = 429
	return e
}
