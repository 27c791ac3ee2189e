package node

import (
	"time"

	"trefoildock.example/link"
	"trefoildock.example/ratelimit"
	"trefoildock.example/rules"
	"trefoildock.example/wire"
)

// answerTake spends tokens of the free fraction of a team's rate.
func (h *homes) answerTake(t *wire.Take) *wire.Answer {
	answer := &wire.TakeAnswer{}
	if team, ok := h.node.snapshot.Load().config.Teams[t.GetTeam()]; ok {
		h.take(t, limitOf(&team), answer)
	}
	return &wire.Answer{Body: &wire.Answer_Take{Take: answer}}
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
	h.ledgerMu.Lock()
	defer h.ledgerMu.Unlock()
	now := time.Now()
	if !h.node.fresh(now) {
		return &wire.Answer{Error: "home is not fresh"}
	}
	a, err := h.ledger.Report(now, reportFromWire(r), limits)
	if err != nil {
		return &wire.Answer{Error: err.Error()}
	}
	return &wire.Answer{Body: &wire.Answer_Share{Share: answerToWire(a)}}
}

// tickLedger lets time pass at the ledger.
func (h *homes) tickLedger(now time.Time) {
	h.ledgerMu.Lock()
	defer h.ledgerMu.Unlock()
	h.ledger.Tick(now)
}

// rateHomes returns the member version and the homes to which share reports go.
func (h *homes) rateHomes() (term uint64, names []string) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	if h.table == nil {
		return 0, nil
	}
	return h.table.Version(), h.table.Nodes()
}

// awaitsReport reports whether the home has to hear from this node under the
// member version even if there is nothing to tell.
func (h *homes) awaitsReport(home string, term uint64) bool {
	h.mu.RLock()
	defer h.mu.RUnlock()
	since, ok := h.reportTo[home]
	return ok && term >= since
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
	return ratelimit.Limit{Rate: uint32(t.Rate.PerSecond()), Burst: uint32(t.Burst)}
}
