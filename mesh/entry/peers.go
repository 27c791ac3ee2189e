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
	// loadAge is the age from which a reported load says little.
	loadAge = 1500 * time.Millisecond
	// unreachableMin and unreachableMax bound the growing time for which a node
	// that cannot be reached is avoided.
	unreachableMin = 200 * time.Millisecond
	unreachableMax = 3 * time.Second
	// suspectedTime is how long a refusal for a suspected backend server is remembered.
	suspectedTime = 300 * time.Millisecond
	// suspectedOnceTime is the same for requests that are not idempotent, which a
	// suspected backend server gets much later.
	suspectedOnceTime = 1500 * time.Millisecond
	// zonePenalty is the load by which an owner in another zone must be better.
	// Bytes between zones cost more than a busier server nearby.
	zonePenalty = 1.0
	// avoidedPenalty puts owners last that are unlikely to accept.
	avoidedPenalty = 10.0
	// spread breaks ties at random, so that entries do not all choose one owner.
	spread = 0.4
)

// peers remembers what the entry learned of the owners.
type peers struct {
	mu   sync.Mutex
	byID map[string]*peer
}

type peer struct {
	load    wire.Load
	at      time.Time
	own     int // requests of this entry under way
	avoid   time.Time
	backoff time.Duration
	// avoidOnce is like avoid, for requests that are not idempotent.
	avoidOnce time.Time
}

func newPeers() *peers { return &peers{byID: make(map[string]*peer)} }

func (p *peers) get(node string) *peer {
	e := p.byID[node]
	if e == nil {
		e = &peer{}
		p.byID[node] = e
	}
	return e
}

// begin and end count a request of this entry at an owner.
func (p *peers) begin(node string) {
	p.mu.Lock()
	p.get(node).own++
	p.mu.Unlock()
}

func (p *peers) end(node string) {
	p.mu.Lock()
	p.get(node).own--
	p.mu.Unlock()
}

// update takes a load that the owner reported.
func (p *peers) update(node string, l *wire.Load, now time.Time) {
	if l == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.get(node)
	e.load.InFlight, e.load.Queued, e.load.Limit = l.GetInFlight(), l.GetQueued(), l.GetLimit()
	e.load.Weight, e.load.LatencyUs = l.GetWeight(), l.GetLatencyUs()
	e.at, e.backoff = now, 0
}

// unreachable notes that an owner did not answer.
func (p *peers) unreachable(node string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.get(node)
	e.backoff = min(max(2*e.backoff, unreachableMin), unreachableMax)
	e.avoid = now.Add(e.backoff)
}

// refused notes that an owner takes no request for a while.
func (p *peers) refused(node string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.get(node); e.avoid.Before(now.Add(suspectedTime)) {
		e.avoid = now.Add(suspectedTime)
	}
}

// suspected notes that the backend server of an owner failed lately.
func (p *peers) suspected(node string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.get(node).avoidOnce = now.Add(suspectedOnceTime)
}

// isSuspected reports whether the backend server of an owner failed lately.
func (p *peers) isSuspected(node string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Before(p.get(node).avoidOnce)
}

// occupancy returns the requests that run or wait at an owner per slot, by its
// last report.
func (p *peers) occupancy(m *fleet.Member) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := &p.get(m.Node).load
	return float64(l.GetInFlight()+l.GetQueued()) / float64(max(l.GetLimit(), 1))
}

// rank sorts the owners by how well they suit the next request.
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

// score is the expected occupancy of an owner's slots with penalties; lower is better.
func (p *peers) score(m *fleet.Member, zone string, idempotent bool, now time.Time) float64 {
	e := p.get(m.Node)
	slots := float64(max(m.Backend.Slots, 1))
	busy := float64(e.own)
	if now.Sub(e.at) < loadAge && e.load.GetLimit() > 0 {
		slots = float64(e.load.GetLimit())
		busy = max(busy, float64(e.load.GetInFlight()+e.load.GetQueued()))
	}
	score := busy/slots + rand.Float64()*spread
	if m.Zone != zone {
		score += zonePenalty
	}
	if now.Before(e.avoid) || now.Sub(e.at) < loadAge && e.load.GetWeight() == 0 {
		score += avoidedPenalty
	}
	if !idempotent && now.Before(e.avoidOnce) {
		score += avoidedPenalty
	}
	return score
}
