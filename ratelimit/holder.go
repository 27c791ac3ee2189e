package ratelimit

import "time"

// Outcome is the action for a request.
type Outcome uint8

const (
	// Refused means that no token becomes available within MaxWait.
	Refused Outcome = iota
	// Allowed means that a token was consumed.
	Allowed
	// Wait means that the caller calls Retry after Decision.Wait.
	Wait
	// TakeFromCoordinator means that the caller requests a token from the team's
	// coordinator, and from the standby coordinator if the coordinator has none or
	// is unreachable. If neither grants a token, the caller calls TakeRefused and
	// then Retry.
	TakeFromCoordinator
)

// Decision is the decision on one request.
type Decision struct {
	// Outcome is the action for the request.
	Outcome Outcome
	// Wait is the expected time until a token is available, at most one hour. It is
	// set if Outcome is Wait or Refused.
	Wait time.Duration
}

// Holder manages the shares of one node. It is not safe for concurrent use.
type Holder struct {
	name        string
	incarnation string
	clock       clock
	sequence    uint64
	teams       map[string]*teamState
	lastTick    time.Duration
	lastReport  time.Duration
	// urgent is set while a share deviates significantly from the demand.
	urgent bool
}

// teamState is the state of one team on a holder.
type teamState struct {
	bucket bucket
	// limit is the limit in effect at the last request.
	limit Limit
	share uint32
	// standby is the part of share that a standby coordinator keeps for other nodes.
	standby   uint32
	isStandby bool
	wanted    uint32
	// reportedWanted is the requested share in the last report.
	reportedWanted uint32
	// sequence is the number of the last report that lists the team, or 0 after its
	// response was applied.
	sequence uint64
	// nextTakeAt is the credited time before which no token is requested from the
	// coordinator.
	nextTakeAt time.Duration
	// requests counts the requests since the last tick.
	requests uint32
	// demand and fastDemand are moving averages in requests per second.
	demand     float64
	fastDemand float64
	lastUsed   time.Duration
}

// NewHolder returns a holder without shares. A process that starts or rejoins
// with a new incarnation needs a new Holder, because the coordinators reassign
// the shares of the previous incarnation.
func NewHolder(name, incarnation string) *Holder {
	return &Holder{name: name, incarnation: incarnation, teams: make(map[string]*teamState)}
}

// Allow decides on a new request of a team. The caller's membership must be
// within its staleness bound.
func (h *Holder) Allow(now time.Time, team string, l Limit) Decision {
	at := h.clock.advance(now)
	t := h.team(team, at)
	t.requests++
	t.lastUsed = at
	return t.decide(at, l)
}

func (h *Holder) team(team string, at time.Duration) *teamState {
	t := h.teams[team]
	if t == nil {
		t = &teamState{bucket: bucket{refilledAt: at}}
		h.teams[team] = t
	}
	return t
}

// Retry decides on a request again after a wait or after TakeRefused. It does
// not count the request as demand again. The caller rejects a request whose
// total wait time reaches MaxWait.
func (h *Holder) Retry(now time.Time, team string, l Limit) Decision {
	t := h.teams[team]
	if t == nil {
		return h.Allow(now, team, l)
	}
	return t.decide(h.clock.advance(now), l)
}

// SetStandby sets whether this node is the standby coordinator of the team,
// which is the second-ranked node of the team's partition. A standby
// coordinator requests a standby share. If it becomes the coordinator, it keeps
// that share until its ledger has recovered.
func (h *Holder) SetStandby(now time.Time, team string, l Limit, isStandby bool) {
	at := h.clock.advance(now)
	if t := h.teams[team]; !isStandby && t == nil {
		return
	}
	t := h.team(team, at)
	t.bucket.refill(at, t.limit, t.share)
	t.limit, t.isStandby = l, isStandby
	t.bucket.clamp(l, t.share)
}

// Take consumes n tokens of a standby coordinator's share on behalf of another
// entry node, or returns the expected time until they are available, at most
// MaxWait. The caller's membership must be within its staleness bound.
func (h *Holder) Take(now time.Time, team string, n uint32, l Limit) (granted bool, retryAfter time.Duration) {
	at := h.clock.advance(now)
	t := h.teams[team]
	if t == nil || t.share == 0 {
		return false, MaxWait
	}
	t.bucket.refill(at, t.limit, t.share)
	t.limit = l
	t.bucket.clamp(l, t.share)
	if t.bucket.take(n) {
		// Counts as local demand, so that the share of this node increases with it.
		t.requests += n
		return true, 0
	}
	return false, min(t.bucket.waitTime(l, t.share, n), MaxWait)
}

// TakeRefused records that neither the coordinator nor its standby granted a
// token. No token is requested for the team until retryAfter has passed, so
// that a team far above its rate does not send every request to the
// coordinator.
func (h *Holder) TakeRefused(now time.Time, team string, retryAfter time.Duration) {
	at := h.clock.advance(now)
	if t := h.teams[team]; t != nil {
		t.nextTakeAt = max(t.nextTakeAt, at+min(max(retryAfter, 0), MaxWait))
	}
}

// Share returns the share of a team in ppm.
func (h *Holder) Share(team string) uint32 {
	if t := h.teams[team]; t != nil {
		return t.share
	}
	return 0
}

// Demand returns the estimated request rate of a team in requests per second.
func (h *Holder) Demand(team string) float64 {
	if t := h.teams[team]; t != nil {
		return t.demand
	}
	return 0
}

// TeamNames returns the names of the teams with a record, in unspecified order.
func (h *Holder) TeamNames() []string {
	names := make([]string, 0, len(h.teams))
	for name := range h.teams {
		names = append(names, name)
	}
	return names
}

// Teams returns the number of teams with a record.
func (h *Holder) Teams() int { return len(h.teams) }

func (t *teamState) decide(at time.Duration, l Limit) Decision {
	// The time until now is refilled at the limit in effect during that time.
	t.bucket.refill(at, t.limit, t.share)
	t.limit = l
	t.bucket.clamp(l, t.share)
	if t.share > 0 && t.bucket.take(1) {
		return Decision{Outcome: Allowed}
	}
	if l.Burst == 0 {
		return Decision{Outcome: Refused, Wait: time.Hour}
	}
	if at >= t.nextTakeAt {
		return Decision{Outcome: TakeFromCoordinator}
	}
	wait := min(t.bucket.waitTime(l, t.share, 1), t.nextTakeAt-at)
	if wait > MaxWait {
		return Decision{Outcome: Refused, Wait: wait}
	}
	return Decision{Outcome: Wait, Wait: wait}
}
