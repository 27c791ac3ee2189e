package node

import (
	"context"
	"sync"
	"time"

	"trefoildock.example/ratelimit"
	"trefoildock.example/rules"
	"trefoildock.example/verdict"
	"trefoildock.example/wire"
)

// rateLimiter holds this node's shares of the teams' rates and requests more
// from their coordinators. It is safe for concurrent use.
type rateLimiter struct {
	node *Node

	mu     sync.Mutex
	holder *ratelimit.Holder
}

func newRateLimiter(n *Node) *rateLimiter {
	return &rateLimiter{node: n, holder: ratelimit.NewHolder(n.settings.Node.Name, n.incarnation())}
}

// reset drops all shares after the node has been assigned a new incarnation.
func (r *rateLimiter) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.holder = ratelimit.NewHolder(r.node.settings.Node.Name, r.node.incarnation())
}

// admit spends one token of the team. It waits up to ratelimit.MaxWait and
// otherwise returns a NotRun error with status 429.
func (r *rateLimiter) admit(ctx context.Context, team *rules.Team) error {
	limit := rateLimitOf(team)
	start := time.Now()
	d, err := r.decide(start, team.Name, limit, (*ratelimit.Holder).Allow)
	for err == nil {
		switch d.Outcome {
		case ratelimit.Allowed:
			return nil
		case ratelimit.TakeFromCoordinator:
			if r.takeFromCoordinator(ctx, team.Name, start) {
				return nil
			}
		case ratelimit.Wait:
			if !sleep(ctx, min(max(d.Wait, time.Millisecond), ratelimit.MaxWait)) {
				return rateLimitError(d.Wait)
			}
		case ratelimit.Refused:
			return rateLimitError(d.Wait)
		}
		now := time.Now()
		if now.Sub(start) >= ratelimit.MaxWait {
			return rateLimitError(d.Wait)
		}
		d, err = r.decide(now, team.Name, limit, (*ratelimit.Holder).Retry)
	}
	return err
}

// decide calls f on the holder if the node is fresh. Freshness is checked under
// the lock, at a time not earlier than now, so that a pause before the check
// cannot spend a token of a share that has become invalid.
func (r *rateLimiter) decide(now time.Time, team string, limit ratelimit.Limit, f func(*ratelimit.Holder, time.Time, string, ratelimit.Limit) ratelimit.Decision) (ratelimit.Decision, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.node.fresh(time.Now()) {
		r.node.metrics.notFresh.Inc(1)
		return ratelimit.Decision{}, verdict.NewNotRun("not-fresh", "this node cannot tell whether its shares are still valid", time.Second)
	}
	return f(r.holder, now, team, limit), nil
}

// takeFromCoordinator requests one token from the coordinator and then from the
// standby coordinator. A call that fails may have spent the token, which only
// lowers the rate of the team.
func (r *rateLimiter) takeFromCoordinator(ctx context.Context, team string, start time.Time) bool {
	ctx, cancel := context.WithDeadline(ctx, start.Add(ratelimit.MaxWait))
	defer cancel()
	granted, coordinatorWait := r.take(ctx, r.node.coordinators.coordinatorOf(kindRate, team), team, false)
	if granted {
		return true
	}
	granted, standbyWait := r.take(ctx, r.node.coordinators.standbyOf(team), team, true)
	if granted {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.holder.TakeRefused(time.Now(), team, max(min(coordinatorWait, standbyWait), minTakeInterval))
	return false
}

const (
	// takeTimeout bounds one token request. It leaves time to query the standby
	// coordinator while the caller's request is waiting.
	takeTimeout = 100 * time.Millisecond
	// minTakeInterval prevents a tight loop of token requests after a refusal.
	minTakeInterval = 5 * time.Millisecond
)

// take requests a token from one node. If it is not granted, take returns the
// delay before the next attempt.
func (r *rateLimiter) take(ctx context.Context, node, team string, standby bool) (granted bool, retryAfter time.Duration) {
	if node == "" {
		return false, ratelimit.TickInterval
	}
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	a, err := r.node.coordinators.call(ctx, node, &wire.Call{Body: &wire.Call_Take{Take: &wire.Take{Team: team, Tokens: 1, Deputy: standby}}})
	if err != nil || a.GetTake() == nil || a.GetTake().GetNotHome() {
		return false, ratelimit.TickInterval
	}
	return a.GetTake().GetGranted() > 0, time.Duration(a.GetTake().GetRetryAfterUs()) * time.Microsecond
}

// takeStandby spends a token of this node's standby share on behalf of another
// entry.
func (r *rateLimiter) takeStandby(t *wire.Take, limit ratelimit.Limit, answer *wire.TakeAnswer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if !r.node.fresh(now) {
		answer.NotHome = true
		return
	}
	granted, retryAfter := r.holder.Take(now, t.GetTeam(), t.GetTokens(), limit)
	if granted {
		answer.Granted = t.GetTokens()
	}
	answer.RetryAfterUs = retryAfter.Microseconds()
}

// updateStandbys updates the teams for which this node serves its standby
// share.
func (r *rateLimiter) updateStandbys(now time.Time) {
	self := r.node.settings.Node.Name
	for name, team := range r.node.snapshot.Load().config.Teams {
		isStandby := r.node.coordinators.standbyOf(name) == self ||
			r.node.coordinators.coordinatorOf(kindRate, name) == self && !r.node.coordinators.ledgerRecovered(name)
		r.mu.Lock()
		r.holder.SetStandby(now, name, rateLimitOf(&team), isStandby)
		r.mu.Unlock()
	}
}

// run adjusts the shares to the demand.
func (r *rateLimiter) run(ctx context.Context) {
	ticker := time.NewTicker(ratelimit.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.node.coordinators.tickLedger(time.Now())
			r.updateStandbys(time.Now())
			r.report(ctx, time.Now())
		}
	}
}

// report sends the shares to their coordinators when a report is due.
// Coordinators that require a report from this node get an empty one if it
// holds no shares.
func (r *rateLimiter) report(ctx context.Context, now time.Time) {
	r.mu.Lock()
	due := r.node.fresh(now) && r.holder.ReportDue(now)
	r.mu.Unlock()
	if !due {
		return
	}
	term, pending := r.node.coordinators.pendingReports()
	byCoordinator := r.teamsByCoordinator()
	for coordinator := range pending {
		if byCoordinator[coordinator] == nil {
			byCoordinator[coordinator] = map[string]bool{}
		}
	}
	for coordinator, teams := range byCoordinator {
		r.mu.Lock()
		report := r.holder.Report(now, term, func(team string) bool { return teams[team] })
		r.mu.Unlock()
		if len(report.Shares) > 0 || pending[coordinator] {
			go r.send(ctx, coordinator, report)
		}
	}
}

// teamsByCoordinator groups the teams of the holder by their coordinators.
func (r *rateLimiter) teamsByCoordinator() map[string]map[string]bool {
	r.mu.Lock()
	names := r.holder.TeamNames()
	r.mu.Unlock()
	out := make(map[string]map[string]bool)
	for _, team := range names {
		coordinator := r.node.coordinators.coordinatorOf(kindRate, team)
		if coordinator == "" {
			continue
		}
		if out[coordinator] == nil {
			out[coordinator] = make(map[string]bool)
		}
		out[coordinator][team] = true
	}
	return out
}

func (r *rateLimiter) send(ctx context.Context, coordinator string, report ratelimit.Report) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	a, err := r.node.coordinators.call(ctx, coordinator, &wire.Call{Body: &wire.Call_ShareReport{ShareReport: shareReportToWire(report)}})
	if err != nil || a.GetShare() == nil {
		return
	}
	if a.GetShare().GetTerm() == report.Term {
		r.node.coordinators.reportAcknowledged(coordinator, report.Term)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.holder.Apply(time.Now(), shareAnswerFromWire(a.GetShare()))
}

func rateLimitError(wait time.Duration) error {
	return &verdict.Error{
		Verdict: verdict.NotRun, Status: 429, Code: "rate-limit",
		Detail: "the team is over its rate", RetryAfter: max(wait, time.Second),
	}
}

// sleep sleeps for d. It returns false if ctx is done first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func shareReportToWire(r ratelimit.Report) *wire.ShareReport {
	out := &wire.ShareReport{Holder: r.Holder, Incarnation: r.Incarnation, Term: r.Term}
	for _, s := range r.Shares {
		out.Shares = append(out.Shares, &wire.ShareState{Team: s.Team, Sequence: s.Sequence, SharePpm: s.Share, WantedPpm: s.Wanted, StandbyPpm: s.Standby, Deputy: s.IsStandby})
	}
	return out
}

func shareReportFromWire(r *wire.ShareReport) ratelimit.Report {
	out := ratelimit.Report{Holder: r.GetHolder(), Incarnation: r.GetIncarnation(), Term: r.GetTerm()}
	for _, s := range r.GetShares() {
		out.Shares = append(out.Shares, ratelimit.ShareState{Team: s.GetTeam(), Sequence: s.GetSequence(), Share: s.GetSharePpm(), Wanted: s.GetWantedPpm(), Standby: s.GetStandbyPpm(), IsStandby: s.GetDeputy()})
	}
	return out
}

func shareAnswerToWire(resp ratelimit.ReportResponse) *wire.ShareAnswer {
	out := &wire.ShareAnswer{Incarnation: resp.Incarnation}
	for _, s := range resp.Shares {
		out.Shares = append(out.Shares, &wire.NewShare{Team: s.Team, Sequence: s.Sequence, SharePpm: s.Share, StandbyPpm: s.Standby})
	}
	return out
}

func shareAnswerFromWire(a *wire.ShareAnswer) ratelimit.ReportResponse {
	out := ratelimit.ReportResponse{Incarnation: a.GetIncarnation()}
	for _, s := range a.GetShares() {
		out.Shares = append(out.Shares, ratelimit.NewShare{Team: s.GetTeam(), Sequence: s.GetSequence(), Share: s.GetSharePpm(), Standby: s.GetStandbyPpm()})
	}
	return out
}
