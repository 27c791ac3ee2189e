package fleet

import (
	"cmp"
	"context"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"trefoildock.example/mesh/clock"
)

const (
	// randomSources is the number of random nodes of the zone that a node without a source
	// probes beside those that may read the store. They name the node that they follow.
	randomSources = 2
	// searchInterval is the time between two searches for a node to follow, and
	// maxSearchInterval that after maxTakeoverDelay.
	searchInterval    = 100 * time.Millisecond
	maxSearchInterval = 800 * time.Millisecond
	// takeoverStep delays, by rank, the time at which a node that finds no source reads
	// the store itself, up to maxTakeoverDelay. The nodes that rank next then serve the
	// others, even if the store turns some of them away.
	takeoverStep     = 150 * time.Millisecond
	maxTakeoverDelay = 1200 * time.Millisecond
	// readerCheckInterval is the time between two searches for a reader of the zone while
	// this node follows another node or replaces a reader.
	readerCheckInterval = 2 * time.Second
)

// sourceFinder selects the node that this node follows. Only followLoop uses it.
type sourceFinder struct {
	state   *State
	current *Member
	// searching is when this node last lost its source; zero while it has one.
	searching time.Time
	checkedAt time.Time
}

// followLoop follows a node of the zone that reads the store, while this node is not a
// reader. The store gate is closed while a node is followed or searched for.
func (s *State) followLoop(ctx context.Context) {
	f := &sourceFinder{state: s}
	for ctx.Err() == nil {
		switch {
		case !s.membersLoaded.Load():
			clock.Sleep(ctx, searchInterval/10)
		case s.isReader():
			f.current, f.searching = nil, time.Time{}
			s.readStore()
			clock.Sleep(ctx, followWait)
		default:
			f.step(ctx)
		}
	}
}

// step follows the source, or searches for one.
func (f *sourceFinder) step(ctx context.Context) {
	s := f.state
	wait := followWait
	if m := s.hint.Swap(nil); m != nil {
		f.current = m
		s.followed.Store(&Peer{Node: m.Node, Address: m.Address})
		wait = 0 // Confirms the configuration at once.
	}
	if f.current == nil {
		f.search(ctx)
		return
	}
	if err := s.followOnce(ctx, f.current, wait); err != nil {
		s.cfg.Logger.Log("event", "reader lost", "reader", f.current.Node, "err", err)
		f.current = nil
		s.followed.Store(nil)
		return
	}
	f.searching = time.Time{}
	s.storeGate.close()
	if !s.isReaderOfZone(f.current.Node) && time.Since(f.checkedAt) > readerCheckInterval {
		f.checkedAt = time.Now()
		s.probeSources(ctx, 0)
	}
}

// search looks for a node to follow. If there is none, this node reads the store after a
// delay that depends on its rank.
func (f *sourceFinder) search(ctx context.Context) {
	s := f.state
	if f.searching.IsZero() {
		f.searching = time.Now()
	}
	elapsed := time.Since(f.searching)
	if elapsed >= s.takeoverDelay() {
		s.readStore()
	}
	interval := searchInterval
	switch {
	case s.hasStore():
		interval = readerCheckInterval
	case elapsed > maxTakeoverDelay:
		interval = maxSearchInterval
	}
	s.probeSources(ctx, elapsed)
	for end := time.Now().Add(interval); ctx.Err() == nil && s.hint.Load() == nil && time.Now().Before(end); {
		clock.Sleep(ctx, searchInterval/10)
	}
}

// readStore opens the store gate.
func (s *State) readStore() {
	s.followed.Store(nil)
	s.storeGate.open()
}

// hasStore reports whether this node reads the store and received a confirmation from it
// recently. A node that has only begun to read it can serve no follower yet.
func (s *State) hasStore() bool {
	at := s.confirmedByStore.Load()
	return s.ReadsStore() && !s.storeUnavailable.Load() && at != 0 && s.cfg.Clock().Sub(clock.Instant(at)) < followMaxAge
}

func (s *State) takeoverDelay() time.Duration {
	rank := s.ownRank(s.rankInZone())
	return min(time.Duration(rank-readersPerZone)*takeoverStep, maxTakeoverDelay)
}

// Followed returns the node that this node follows; zero if it follows none.
func (s *State) Followed() Peer {
	if p := s.followed.Load(); p != nil && !s.ReadsStore() {
		return *p
	}
	return Peer{}
}

// knownReader returns this node if it has the store, or the node that it follows.
func (s *State) knownReader() Peer {
	if p := s.followed.Load(); p != nil {
		return *p
	}
	if s.hasStore() {
		return Peer{Node: s.cfg.Self.Node, Address: s.cfg.Self.Address}
	}
	return Peer{}
}

// offerHint records a node that another node named as its reader, if this node should
// follow it.
func (s *State) offerHint(p Peer, age time.Duration) {
	if p == (Peer{}) || age >= followMaxAge {
		return
	}
	ranked := s.rankInZone()
	own := s.ownRank(ranked)
	rank := slices.IndexFunc(ranked, func(m *Member) bool { return m.Node == p.Node && m.Address == p.Address })
	switch {
	case rank < 0 || rank == own:
		return
	case s.hasStore() && rank > own:
		return // Of several nodes that replace readers, the first one remains.
	case s.followed.Load() != nil && rank >= readersPerZone:
		return // The current source is as good.
	}
	s.hint.Store(ranked[rank])
}

// probeSources asks the nodes of the zone that may read the store, and random others, for
// a node that does. elapsed is the time since this node lost its source; within it, the
// nodes that rank next have begun to read the store.
func (s *State) probeSources(ctx context.Context, elapsed time.Duration) {
	ranked := s.rankInZone()
	n := readersPerZone + 1 + int(min(elapsed, maxTakeoverDelay)/takeoverStep)
	targets := slices.Clone(ranked[:min(n, len(ranked))])
	others := slices.Clone(ranked[len(targets):])
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for _, m := range append(targets, others[:min(randomSources, len(others))]...) {
		if m.Node != s.cfg.Self.Node {
			go s.probeSource(ctx, m)
		}
	}
}

func (s *State) probeSource(ctx context.Context, m *Member) {
	ctx, cancel := context.WithTimeout(ctx, peerPollTimeout)
	defer cancel()
	response, err := s.cfg.QueryPeer(ctx, m.Address, FollowRequest{Probe: true})
	if err != nil {
		return // The search continues with other nodes.
	}
	s.offerHint(response.Reader, response.Age)
}

// followOnce sends one follow request to a node and applies the response.
func (s *State) followOnce(ctx context.Context, m *Member, wait time.Duration) error {
	req := s.followRequest()
	req.Wait = wait
	ctx, cancel := context.WithTimeout(ctx, wait+followTimeout)
	defer cancel()
	sent := s.cfg.Clock()
	response, err := s.cfg.QueryPeer(ctx, m.Address, req)
	if err != nil {
		return err
	}
	if response.Age >= followMaxAge {
		return errors.Newf("last confirmation of the followed node is %s old", response.Age)
	}
	s.applyResponse(ctx, m.Address, response, sent)
	return nil
}

// rankInZone orders the nodes of this node's zone by a hash, so that all nodes of
// the zone select the same readers. The result contains this node even while its
// row is not in the view.
func (s *State) rankInZone() []*Member {
	out := []*Member{&s.cfg.Self}
	for name, m := range s.View().Nodes {
		if m.Zone == s.cfg.Self.Zone && name != s.cfg.Self.Node {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b *Member) int {
		if c := cmp.Compare(hashOf(a.Node), hashOf(b.Node)); c != 0 {
			return c
		}
		return strings.Compare(a.Node, b.Node)
	})
	return out
}

func hashOf(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // Never fails.
	return h.Sum64()
}

func (s *State) ownRank(ranked []*Member) int {
	return slices.IndexFunc(ranked, func(m *Member) bool { return m.Node == s.cfg.Self.Node })
}

// isReader reports whether this node watches the store for its zone.
func (s *State) isReader() bool {
	return s.membersLoaded.Load() && s.isReaderOfZone(s.cfg.Self.Node)
}

// isReaderOfZone reports whether a node of the zone is one of its readers.
func (s *State) isReaderOfZone(node string) bool {
	ranked := s.rankInZone()
	return slices.ContainsFunc(ranked[:min(readersPerZone, len(ranked))], func(m *Member) bool { return m.Node == node })
}
