package node

import (
	"time"

	"trefoildock.example/invariant"
	"trefoildock.example/link"
	"trefoildock.example/ratelimit"
	"trefoildock.example/rules"
	"trefoildock.example/wire"
)

// answerTake spends tokens of the free fraction of a team's rate.
func (h *homes) answerTake(t *wire.Take) *wire.Answer {
	answer := &wire.TakeAnswer{}
	team, ok := h.node.snapshot.Load().config.Teams[t.GetTeam()]
	switch {
	case !ok:
		answer.RetryAfterUs = ratelimit.MaxWait.Microseconds() // This node may lack a change.
	case t.GetDeputy() || !h.recovered(t.GetTeam()):
		h.node.rates.takeForOther(t, limitOf(&team), answer)
	default:
		h.take(t, limitOf(&team), answer)
	}
	return &wire.Answer{Body: &wire.Answer_Take{Take: answer}}
}

// recovered reports whether the ledger knows all shares of the team. Until then
// the node's own standby share serves in its place.
func (h *homes) recovered(team string) bool {
	h.ledgerMu.Lock()
	defer h.ledgerMu.Unlock()
	return h.ledger.Recovered(team)
}

// take reads the clock under the locks: a pause before it cannot spend a token
// of a home that has stopped being fresh.
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

// answerShareReport takes the report of a holder into account. The ledger
// accepts it during the waiting time of a partition, but only a fresh home may
// change a share.
func (h *homes) answerShareReport(p link.Peer, r *wire.ShareReport) *wire.Answer {
	if p.Node != r.GetHolder() {
		return &wire.Answer{Error: "a holder reports only its own shares"}
	}
	config := h.node.snapshot.Load().config
	limits := func(team string) (ratelimit.Limit, bool) {
		t, ok := config.Teams[team]
		return limitOf(&t), ok
	}
	h.mu.RLock()
	defer h.mu.RUnlock()
	h.ledgerMu.Lock()
	defer h.ledgerMu.Unlock()
	now := time.Now()
	if !h.node.fresh(now) || h.table == nil {
		return &wire.Answer{Error: "home is not fresh"}
	}
	a, err := h.ledger.Report(now, reportFromWire(r), limits)
	if err != nil {
		return &wire.Answer{Error: err.Error()}
	}
	share := answerToWire(a)
	share.Term = h.table.Version()
	return &wire.Answer{Body: &wire.Answer_Share{Share: share}}
}

// tickLedger lets time pass at the ledger.
func (h *homes) tickLedger(now time.Time) {
	h.ledgerMu.Lock()
	defer h.ledgerMu.Unlock()
	h.ledger.Tick(now)
	violations := h.ledger.Violations()
	h.node.invariants.Check(violations == h.violations, invariant.Rate, "the shares of a team sum to more than its promise, %d times", violations)
	h.violations = violations
}

// pendingReports returns the member version and the homes that have to hear from
// this node under it even if there is nothing to tell.
func (h *homes) pendingReports() (term uint64, names map[string]bool) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	if h.table == nil {
		return 0, nil
	}
	term = h.table.Version()
	names = make(map[string]bool)
	for name, since := range h.reportTo {
		if term >= since {
			names[name] = true
		}
	}
	return term, names
}

// reported notes that the home answered a report of the member version.
func (h *homes) reported(home string, term uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if since, ok := h.reportTo[home]; ok && h.table.Version() == term && term >= since {
		delete(h.reportTo, home)
	}
}

// limitOf converts a team's promise.
func limitOf(t *rules.Team) ratelimit.Limit {
	return ratelimit.Limit{Rate: uint64(t.Rate.PerSecond() * ratelimit.PerSecond), Burst: uint32(t.Burst)}
}
