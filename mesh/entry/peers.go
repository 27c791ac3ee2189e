package entry

import (
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"trefoildock.example/mesh/fleet"
	"trefoildock.example/wire"
)

const (
	// maxLoadAge is the age above which a reported load is ignored.
	maxLoadAge = 1500 * time.Millisecond
	// minUnreachableBackoff and maxUnreachableBackoff bound the exponential backoff for
	// an unreachable owner.
	minUnreachableBackoff = 200 * time.Millisecond
	maxUnreachableBackoff = 3 * time.Second
	// refusalBackoff is the time for which an owner is avoided after a refusal for a
	// reason other than its load or the deadline of the request. After a refusal because of
	// a limit that its backend server has named, it is avoided until the time in the
	// refusal, up to maxLimitedBackoff.
	refusalBackoff    = 300 * time.Millisecond
	maxLimitedBackoff = 2 * time.Second
	// suspectedBackoff is the time for which an owner with a suspected backend server is
	// avoided for requests that are not idempotent. The owner accepts these much
	// later than idempotent ones.
	suspectedBackoff = 1500 * time.Millisecond
	// crossZonePenalty is the score penalty, in occupancy, of an owner in another zone.
	// Traffic between zones costs more than a busier backend server in the entry's zone.
	crossZonePenalty = 1.0
	// backoffPenalty is the score penalty of owners that are unlikely to accept; it
	// ranks them last.
	backoffPenalty = 10.0
	// scoreJitter is the range of the random part of a score. It prevents all entries
	// from selecting the same owner.
	scoreJitter = 0.4
)

// peers holds the load and the availability of the owners as observed by the entry.
type peers struct {
	mu     sync.Mutex
	byNode map[string]*peer
}

type peer struct {
	load       wire.Load
	loadAt     time.Time
	inFlight   int // requests of this entry in flight
	avoidUntil time.Time
	backoff    time.Duration
	// namedLimit is the limit, in requests per second, that the last response of the
	// backend server has named; 0 if it has named none.
	namedLimit float64
	// avoidNonIdempotentUntil is like avoidUntil for requests that are not idempotent.
	avoidNonIdempotentUntil time.Time
}

func newPeers() *peers { return &peers{byNode: make(map[string]*peer)} }

func (p *peers) get(node string) *peer {
	e := p.byNode[node]
	if e == nil {
		e = &peer{}
		p.byNode[node] = e
	}
	return e
}

// beginRequest and endRequest count the requests of this entry in flight at an owner.
func (p *peers) beginRequest(node string) {
	p.mu.Lock()
	p.get(node).inFlight++
	p.mu.Unlock()
}

func (p *peers) endRequest(node string) {
	p.mu.Lock()
	p.get(node).inFlight--
	p.mu.Unlock()
}

// updateLoad records a load that the owner reported.
func (p *peers) updateLoad(node string, l *wire.Load, now time.Time) {
	if l == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.get(node)
	e.load.InFlight, e.load.Queued, e.load.Limit = l.GetInFlight(), l.GetQueued(), l.GetLimit()
	e.load.Weight, e.load.LatencyUs = l.GetWeight(), l.GetLatencyUs()
	e.loadAt, e.backoff = now, 0
}

// recordUnreachable records that an owner did not reply.
func (p *peers) recordUnreachable(node string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.get(node)
	e.backoff = min(max(2*e.backoff, minUnreachableBackoff), maxUnreachableBackoff)
	e.avoidUntil = now.Add(e.backoff)
}

// recordRefusal records that an owner refuses requests for a while.
func (p *peers) recordRefusal(node string, now time.Time, backoff time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.get(node); e.avoidUntil.Before(now.Add(backoff)) {
		e.avoidUntil = now.Add(backoff)
	}
}

// setNamedLimit records the limit that a response of an owner's backend server has named;
// 0 if it has named none.
func (p *peers) setNamedLimit(node string, rate float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.get(node).namedLimit = rate
}

func (p *peers) namedLimit(node string) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.get(node).namedLimit
}

// recordSuspected records that the backend server of an owner failed recently.
func (p *peers) recordSuspected(node string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.get(node).avoidNonIdempotentUntil = now.Add(suspectedBackoff)
}

// isSuspected reports whether the backend server of an owner failed recently.
func (p *peers) isSuspected(node string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Before(p.get(node).avoidNonIdempotentUntil)
}

// occupancy returns the number of running and queued requests per slot of an owner,
// from its last load report.
func (p *peers) occupancy(m *fleet.Member) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := &p.get(m.Node).load
	return float64(l.GetInFlight()+l.GetQueued()) / float64(max(l.GetLimit(), 1))
}

// rank returns the owners in order of preference for the next request.
func (p *peers) rank(owners []*fleet.Member, zone string, idempotent bool, now time.Time) []*fleet.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	type ranked struct {
		m     *fleet.Member
		score float64
	}
	list := make([]ranked, 0, len(owners))
	for _, m := range owners {
		list = append(list, ranked{m, p.score(m, zone, idempotent, now)})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].score < list[j].score })
	out := make([]*fleet.Member, len(list))
	for i, r := range list {
		out[i] = r.m
	}
	return out
}

// score returns the expected occupancy of an owner plus penalties; lower is better.
func (p *peers) score(m *fleet.Member, zone string, idempotent bool, now time.Time) float64 {
	e := p.get(m.Node)
	slots := float64(max(m.Backend.Slots, 1))
	busy := float64(e.inFlight)
	if now.Sub(e.loadAt) < maxLoadAge && e.load.GetLimit() > 0 {
		slots = float64(e.load.GetLimit())
		busy = max(busy, float64(e.load.GetInFlight()+e.load.GetQueued()))
	}
	score := busy/slots + rand.Float64()*scoreJitter
	if m.Zone != zone {
		score += crossZonePenalty
	}
	if now.Before(e.avoidUntil) || now.Sub(e.loadAt) < maxLoadAge && e.load.GetWeight() == 0 {
		score += backoffPenalty
	}
	if !idempotent && now.Before(e.avoidNonIdempotentUntil) {
		score += backoffPenalty
	}
	return score
}
