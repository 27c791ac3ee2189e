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
func (h *homes) handleTake(t *wire.Take) *wire.Answer {
	answer := &wire.TakeAnswer{}
	team, ok := h.node.snapshot.Load().config.Teams[t.GetTeam()]
	switch {
	case !ok:
		answer.RetryAfterUs = ratelimit.MaxWait.Microseconds() // This node may not have applied the change that adds the team.
	case t.GetDeputy() || !h.ledgerRecovered(t.GetTeam()):
		h.node.rateLimiter.takeStandby(t, rateLimitOf(&team), answer)
	default:
		h.take(t, rateLimitOf(&team), answer)
	}
	return &wire.Answer{Body: &wire.Answer_Take{Take: answer}}
}

// ledgerRecovered reports whether the ledger has received all shares of the
// team. Until then, the node's own standby share is used instead.
func (h *homes) ledgerRecovered(team string) bool {
	h.ledgerMu.Lock()
	defer h.ledgerMu.Unlock()
	return h.ledger.Recovered(team)
}

// take spends tokens of the ledger. It reads the clock while holding the locks,
// so that a pause before that cannot spend a token at a home that is no longer
// fresh.
func (h *homes) take(t *wire.Take, limit ratelimit.Limit, answer *wire.TakeAnswer) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	h.ledgerMu.Lock()
	defer h.ledgerMu.Unlock()
	now := time.Now()
	if !h.active(kindRate, t.GetTeam(), now) {
		answer.NotHome = true
		return
	}
	granted, retryAfter, home := h.ledger.Take(now, t.GetTeam(), t.GetTokens(), limit)
	if granted {
		answer.Granted = t.GetTokens()
	}
	answer.RetryAfterUs, answer.NotHome = retryAfter.Microseconds(), !home
}

// handleShareReport processes the share report of a holder. The ledger accepts
// reports during the activation wait of a partition, but only a fresh home may
// change a share.
func (h *homes) handleShareReport(p link.Peer, r *wire.ShareReport) *wire.Answer {
	if p.Node != r.GetHolder() {
		return &wire.Answer{Error: "a holder reports only its own shares"}
	}
	config := h.node.snapshot.Load().config
	limits := func(team string) (ratelimit.Limit, bool) {
		t, ok := config.Teams[team]
		return rateLimitOf(&t), ok
	}
	h.mu.RLock()
	defer h.mu.RUnlock()
	h.ledgerMu.Lock()
	defer h.ledgerMu.Unlock()
	now := time.Now()
	if !h.node.fresh(now) || h.table == nil {
		return &wire.Answer{Error: "home is not fresh"}
	}
	a, err := h.ledger.Report(now, shareReportFromWire(r), limits)
	if err != nil {
		return &wire.Answer{Error: err.Error()}
	}
	share := shareAnswerToWire(a)
	share.Term = h.table.Version()
	return &wire.Answer{Body: &wire.Answer_Share{Share: share}}
}

// tickLedger advances the clock of the ledger and checks its invariant.
func (h *homes) tickLedger(now time.Time) {
	h.ledgerMu.Lock()
	defer h.ledgerMu.Unlock()
	h.ledger.Tick(now)
	violations := h.ledger.Violations()
	h.node.invariants.Check(violations == h.lastViolations, invariant.TeamRateLimit, "the shares of a team exceeded its rate limit %d times", violations)
	h.lastViolations = violations
}

// pendingReports returns the member version and the homes that require a report
// from this node even if it holds no shares.
func (h *homes) pendingReports() (term uint64, names map[string]bool) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	if h.table == nil {
		return 0, nil
	}
	term = h.table.Version()
	names = make(map[string]bool)
	for name, since := range h.awaitingReport {
		if term >= since {
			names[name] = true
		}
	}
	return term, names
}

// reportAcknowledged records that the home has acknowledged a report for the
// member version.
func (h *homes) reportAcknowledged(home string, term uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if since, ok := h.awaitingReport[home]; ok && h.table.Version() == term && term >= since {
		delete(h.awaitingReport, home)
	}
}

// rateLimitOf returns the rate limit of a team.
func rateLimitOf(t *rules.Team) ratelimit.Limit {
	return ratelimit.Limit{Rate: uint64(t.Rate.PerSecond() * ratelimit.PerSecond), Burst: uint32(t.Burst)}
}
