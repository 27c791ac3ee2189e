package node

import (
	"time"

	"trefoildock.example/invariant"
	"trefoildock.example/link"
	"trefoildock.example/ratelimit"
	"trefoildock.example/rules"
	"trefoildock.example/wire"
)

// handleTake spends tokens of the unallocated fraction of a team's rate.
func (c *coordinators) handleTake(t *wire.Take) *wire.Answer {
	answer := &wire.TakeAnswer{}
	team, ok := c.node.snapshot.Load().config.Teams[t.GetTeam()]
	switch {
	case !ok:
		answer.RetryAfterUs = ratelimit.MaxWait.Microseconds() // This node may not have applied the change that adds the team.
	case t.GetDeputy() || !c.ledgerRecovered(t.GetTeam()):
		c.node.rateLimiter.takeStandby(t, rateLimitOf(&team), answer)
	default:
		c.take(t, rateLimitOf(&team), answer)
	}
	return &wire.Answer{Body: &wire.Answer_Take{Take: answer}}
}

// ledgerRecovered reports whether the ledger has received all shares of the
// team. Until then, the node's own standby share is used instead.
func (c *coordinators) ledgerRecovered(team string) bool {
	c.ledgerMu.Lock()
	defer c.ledgerMu.Unlock()
	return c.ledger.Recovered(team)
}

// take spends tokens of the ledger. It reads the clock while holding the locks,
// so that a pause before that cannot spend a token at a coordinator that is no
// longer fresh.
func (c *coordinators) take(t *wire.Take, limit ratelimit.Limit, answer *wire.TakeAnswer) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	c.ledgerMu.Lock()
	defer c.ledgerMu.Unlock()
	now := time.Now()
	if !c.active(kindRate, t.GetTeam(), now) {
		answer.NotHome = true
		return
	}
	granted, retryAfter, isCoordinator := c.ledger.Take(now, t.GetTeam(), t.GetTokens(), limit)
	if granted {
		answer.Granted = t.GetTokens()
	}
	answer.RetryAfterUs, answer.NotHome = retryAfter.Microseconds(), !isCoordinator
}

// handleShareReport processes the share report of a holder. The ledger accepts
// reports during the activation delay of a partition, but only a fresh
// coordinator may change a share.
func (c *coordinators) handleShareReport(p link.Peer, r *wire.ShareReport) *wire.Answer {
	if p.Node != r.GetHolder() {
		return &wire.Answer{Error: "a holder reports only its own shares"}
	}
	config := c.node.snapshot.Load().config
	limits := func(team string) (ratelimit.Limit, bool) {
		t, ok := config.Teams[team]
		return rateLimitOf(&t), ok
	}
	c.mu.RLock()
	defer c.mu.RUnlock()
	c.ledgerMu.Lock()
	defer c.ledgerMu.Unlock()
	now := time.Now()
	if !c.node.fresh(now) || c.table == nil {
		return &wire.Answer{Error: "home is not fresh"}
	}
	resp, err := c.ledger.Report(now, shareReportFromWire(r), limits)
	if err != nil {
		return &wire.Answer{Error: err.Error()}
	}
	share := shareAnswerToWire(resp)
	share.Term = c.table.Version()
	return &wire.Answer{Body: &wire.Answer_Share{Share: share}}
}

// tickLedger advances the clock of the ledger and checks its invariant.
func (c *coordinators) tickLedger(now time.Time) {
	c.ledgerMu.Lock()
	defer c.ledgerMu.Unlock()
	c.ledger.Tick(now)
	violations := c.ledger.Violations()
	c.node.invariants.Check(violations == c.lastViolations, invariant.TeamRateLimit, "the shares of a team exceeded its rate limit %d times", violations)
	c.lastViolations = violations
}

// pendingReports returns the member version and the coordinators that require a
// report from this node even if it holds no shares.
func (c *coordinators) pendingReports() (term uint64, names map[string]bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if c.table == nil {
		return 0, nil
	}
	term = c.table.Version()
	names = make(map[string]bool)
	for name, since := range c.awaitingReport {
		if term >= since {
			names[name] = true
		}
	}
	return term, names
}

// reportAcknowledged records that the coordinator has acknowledged a report for
// the member version.
func (c *coordinators) reportAcknowledged(coordinator string, term uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if since, ok := c.awaitingReport[coordinator]; ok && c.table.Version() == term && term >= since {
		delete(c.awaitingReport, coordinator)
	}
}

// rateLimitOf returns the rate limit of a team.
func rateLimitOf(t *rules.Team) ratelimit.Limit {
	return ratelimit.Limit{Rate: uint64(t.Rate.PerSecond() * ratelimit.PerSecond), Burst: uint32(t.Burst)}
}
