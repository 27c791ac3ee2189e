package ratelimit

import "time"

// Outcome says what to do with a request.
type Outcome uint8

const (
	// Refused means that no token will be there within MaxWait.
	Refused Outcome = iota
	// Allowed means that a token was spent.
	Allowed
	// Wait means to call Retry after Decision.Wait.
	Wait
	// TakeAtHome means to ask the team's home for a token, and its deputy if the
	// home has none or cannot be reached. If neither grants one, call
	// TakeRefused and then Retry.
	TakeAtHome
)

// Decision is the answer to one request.
type Decision struct {
	// Outcome says what to do.
	Outcome Outcome
	// Wait is the time until a token is expected, for Wait and Refused. It is
	// at most an hour.
	Wait time.Duration
}

// Holder keeps the shares of one node. The caller holds its lock.
type Holder struct {
	name        string
	incarnation string
	clock       clock
	sequence    uint64
	teams       map[string]*holding
	lastTick    time.Duration
	lastReport  time.Duration
	// urgent is set while a share is far from the demand.
	urgent bool
}

// holding is the state of one team at a holder.
type holding struct {
	bucket bucket
	// limit of the last request.
	limit Limit
	share uint32
	// standby is the part of share that a deputy keeps for others.
	standby uint32
	deputy  bool
	wanted  uint32
	// asked is the wanted share of the last report.
	asked uint32
	// sequence of the last report that lists the team; 0 once it was answered.
	sequence uint64
	// askHomeAt is the credited time before which the home has no token.
	askHomeAt time.Duration
	// requests since the last tick.
	requests uint32
	// demand and fast are estimates in requests per second.
	demand float64
	fast   float64
	usedAt time.Duration
}

// NewHolder returns a holder without shares. A process that starts or rejoins
// under a new incarnation starts with a new Holder, because the homes give the
// shares of the earlier incarnation to others.
func NewHolder(name, incarnation string) *Holder {
	return &Holder{name: name, incarnation: incarnation, teams: make(map[string]*holding)}
}

// Allow decides a new request of a team. The caller must be fresh.
func (h *Holder) Allow(now time.Time, team string, l Limit) Decision {
	at := h.clock.advance(now)
	t := h.holding(team, at)
	t.requests++
	t.usedAt = at
	return t.decide(at, l)
}

func (h *Holder) holding(team string, at time.Duration) *holding {
	t := h.teams[team]
	if t == nil {
		t = &holding{bucket: bucket{at: at}}
		h.teams[team] = t
	}
	return t
}

// Retry decides a request again after a wait or after TakeRefused. The request
// is not counted as demand a second time. The caller refuses a request that has
// waited MaxWait in all.
func (h *Holder) Retry(now time.Time, team string, l Limit) Decision {
	t := h.teams[team]
	if t == nil {
		return h.Allow(now, team, l)
	}
	return t.decide(h.clock.advance(now), l)
}

// SetDeputy says whether this node is the deputy of the team's home, the second
// node in the rank of the team's partition. A deputy asks for a standby share
// and keeps it while it becomes the home itself, until its ledger has recovered.
func (h *Holder) SetDeputy(now time.Time, team string, l Limit, deputy bool) {
	at := h.clock.advance(now)
	if t := h.teams[team]; !deputy && t == nil {
		return
	}
	t := h.holding(team, at)
	t.bucket.refill(at, t.limit, t.share)
	t.limit, t.deputy = l, deputy
	t.bucket.clamp(l, t.share)
}

// Take spends n tokens of the deputy's share for another entry, or returns the
// time until they are expected, at most MaxWait. The caller must be fresh.
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
		// Counted as demand of the deputy, so that its share grows with it.
		t.requests += n
		return true, 0
	}
	return false, min(t.bucket.wait(l, t.share, n), MaxWait)
}

// TakeRefused notes that neither the home nor its deputy had a token. Until retryAfter has passed no
// request of the team is sent to the home, which keeps a team far above its
// rate from loading the home with every request.
func (h *Holder) TakeRefused(now time.Time, team string, retryAfter time.Duration) {
	at := h.clock.advance(now)
	if t := h.teams[team]; t != nil {
		t.askHomeAt = max(t.askHomeAt, at+min(max(retryAfter, 0), MaxWait))
	}
}

// Share returns the share of a team in ppm.
func (h *Holder) Share(team string) uint32 {
	if t := h.teams[team]; t != nil {
		return t.share
	}
	return 0
}

// Demand returns the estimated requests per second of a team.
func (h *Holder) Demand(team string) float64 {
	if t := h.teams[team]; t != nil {
		return t.demand
	}
	return 0
}

// TeamNames returns the teams with a record, in no order.
func (h *Holder) TeamNames() []string {
	names := make([]string, 0, len(h.teams))
	for name := range h.teams {
		names = append(names, name)
	}
	return names
}

// Teams returns the number of teams with a record.
func (h *Holder) Teams() int { return len(h.teams) }

func (t *holding) decide(at time.Duration, l Limit) Decision {
	// The time until now earns tokens at the limit of that time.
	t.bucket.refill(at, t.limit, t.share)
	t.limit = l
	t.bucket.clamp(l, t.share)
	if t.share > 0 && t.bucket.take(1) {
		return Decision{Outcome: Allowed}
	}
	if l.Burst == 0 {
		return Decision{Outcome: Refused, Wait: time.Hour}
	}
	if at >= t.askHomeAt {
		return Decision{Outcome: TakeAtHome}
	}
	wait := min(t.bucket.wait(l, t.share, 1), t.askHomeAt-at)
	if wait > MaxWait {
		return Decision{Outcome: Refused, Wait: wait}
	}
	return Decision{Outcome: Wait, Wait: wait}
}
