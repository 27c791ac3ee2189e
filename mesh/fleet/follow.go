package fleet

import (
	"cmp"
	"context"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"trefoildock.example/mesh/clock"
	"trefoildock.example/platform"
)

const (
	// readersPerZone is the number of nodes of an availability zone that watch the
	// store. The others follow one of them, which costs no call of the store and no
	// bytes between zones. Two bear the loss of one.
	readersPerZone = 2
	// followRanks is the number of nodes that a follower tries before it reads the
	// store itself.
	followRanks = 4
	// followWait is how long a followed node holds a question open.
	followWait = time.Second
	// followTimeout bounds one question beyond its wait.
	followTimeout = 350 * time.Millisecond
	// followMaxAge is the age of a confirmation from which another node is followed.
	// It is a little above the usual age, confirmWait, so that a follower has a new
	// configuration within 2 s also if its reader is cut off from the store.
	followMaxAge = 1300 * time.Millisecond
	// minFollowPause and maxFollowPause bound the growing time for which a node that
	// did not help is not followed. Readers that lose the store fall out together, and
	// the next in rank can be followed as soon as it reads the store itself.
	minFollowPause = 500 * time.Millisecond
	maxFollowPause = 4 * time.Second
	// askAfter is the age of the own confirmation from which any node is asked.
	askAfter = 2 * time.Second
	// askInterval is the time between two rounds of such questions, askPeers the
	// number of nodes asked in one round, and askTimeout the bound of one question.
	askInterval = 400 * time.Millisecond
	askPeers    = 3
	askTimeout  = 350 * time.Millisecond
)

// Knowledge is what a node knows of the store beyond what another one knows.
type Knowledge struct {
	// Age is the time since the store confirmed the configuration.
	Age time.Duration
	// Waited is the time from the receipt of the question to the answer.
	Waited        time.Duration
	ConfigVersion uint64
	// Document is the configuration, if it is newer than that of the asking node.
	Document []byte
	// OperatorRevision is the revision of ZonesOut.
	OperatorRevision uint64
	ZonesOut         []string
	// Members are the changed rows, or all rows if Whole is set.
	Members platform.Changes
	Whole   bool
	// Home gives out the rates; zero if it is not known.
	Home Home
}

// Known are the revisions that an asking node holds.
type Known struct {
	ConfigVersion, OperatorRevision, MembersRevision uint64
	// Home is the address of the home of the rates, LostHome that of one that the
	// asking node could not reach.
	Home, LostHome string
	// Wait is how long the other node may wait for a change.
	Wait time.Duration
}

// Answer returns what another node does not know, after waiting for a change.
// It returns false if this node was never confirmed.
func (s *State) Answer(ctx context.Context, k Known) (Knowledge, bool) {
	received := clock.Now()
	if k.LostHome != "" && k.LostHome == s.View().Home.Address {
		s.cfg.OnLostHome(k.LostHome)
	}
	age, ok := s.Age()
	if wait := min(k.Wait, followWait, followMaxAge-age); ok && wait > 0 && !s.storeLost.Load() {
		ctx, cancel := context.WithTimeout(ctx, wait)
		s.awaitChange(ctx, k)
		cancel()
		age, ok = s.Age()
	}
	if !ok {
		return Knowledge{}, false
	}
	out := Knowledge{Age: age, Waited: clock.Now().Sub(received)}
	s.ask(ctx, func() {
		if s.config != nil {
			out.ConfigVersion = s.config.Version
		}
		if out.ConfigVersion > k.ConfigVersion {
			out.Document = s.document
		}
		out.OperatorRevision, out.ZonesOut = s.operatorAt, slices.Sorted(maps.Keys(s.zonesOut))
		out.Members.Rows, out.Whole = s.table.since(k.MembersRevision)
		out.Members.Revision, out.Home = s.table.revision, s.home
	})
	return out, true
}

// awaitChange returns when this node knows more than the other, or ctx ends.
func (s *State) awaitChange(ctx context.Context, k Known) {
	for ctx.Err() == nil {
		changed := *s.changed.Load()
		held := s.held()
		if held.ConfigVersion > k.ConfigVersion || held.OperatorRevision > k.OperatorRevision || held.MembersRevision > k.MembersRevision ||
			held.Home != "" && held.Home != k.Home && held.Home != k.LostHome {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// held returns the revisions of the published view.
func (s *State) held() Known {
	v := s.View()
	k := Known{OperatorRevision: v.operatorAt, MembersRevision: v.Revision, Home: v.Home.Address, LostHome: s.cfg.LostHome()}
	if v.Config != nil {
		k.ConfigVersion = v.Config.Version
	}
	return k
}

// learn takes over what another node knows. sent is when it was asked.
func (s *State) learn(ctx context.Context, k Knowledge, sent clock.Instant) {
	if k.Home != (Home{}) {
		s.cfg.OnHome(k.Home)
	}
	s.ask(ctx, func() {
		changed := k.Document != nil && s.applyConfig(k.Document)
		if k.OperatorRevision > s.operatorAt {
			s.operatorAt = k.OperatorRevision
			changed = s.replaceZones(k.ZonesOut) || changed
		}
		before := s.table.revision
		fresh := s.table.merge(k.Members, k.Whole)
		s.applyRows(fresh)
		if changed || len(fresh) > 0 || s.table.revision != before {
			s.publishView()
		}
		if s.config != nil && s.config.Version >= k.ConfigVersion {
			// The age was taken no earlier than the wait after the question was sent.
			s.confirm(sent.Add(k.Waited - k.Age))
		}
	})
}

func (s *State) replaceZones(names []string) bool {
	out := make(map[string]bool, len(names))
	for _, name := range names {
		out[name] = true
	}
	if maps.Equal(out, s.zonesOut) {
		return false
	}
	s.zonesOut = out
	s.cfg.Logger.Log("event", "availability zones evacuated", "zones", strings.Join(names, ","), "revision", s.operatorAt)
	return true
}

// rankInZone orders the nodes of the own zone by a hash, so that all of them
// agree on who reads the store. It contains this node also before its row is known.
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

// leaders returns the nodes to follow, the first ranks of the zone. It returns
// none if this node is a reader itself.
func (s *State) leaders() []*Member {
	ranked := s.rankInZone()
	own := s.ownRank(ranked)
	if own < readersPerZone {
		return nil
	}
	return ranked[:min(followRanks, own)]
}

func (s *State) ownRank(ranked []*Member) int {
	return slices.IndexFunc(ranked, func(m *Member) bool { return m.Node == s.cfg.Self.Node })
}

// followLoop follows readers of the zone while this node is none. It closes the
// gate of the store while it has someone to follow.
func (s *State) followLoop(ctx context.Context) {
	avoid := make(map[string]avoidance)
	for ctx.Err() == nil {
		m := s.chooseLeader(avoid)
		if m == nil {
			s.gate.open()
			clock.Sleep(ctx, followWait)
			continue
		}
		if err := s.followOnce(ctx, m); err != nil {
			pause := min(max(2*avoid[m.Node].pause, minFollowPause), maxFollowPause)
			avoid[m.Node] = avoidance{until: time.Now().Add(pause), pause: pause}
			s.cfg.Logger.Log("event", "reader lost", "reader", m.Node, "pause", pause, "err", err)
			continue
		}
		delete(avoid, m.Node)
		s.gate.close()
	}
}

// avoidance says until when a node is not followed.
type avoidance struct {
	until time.Time
	pause time.Duration
}

// chooseLeader returns the node to follow, or nil to read the store.
func (s *State) chooseLeader(avoid map[string]avoidance) *Member {
	now := time.Now()
	for _, m := range s.leaders() {
		if now.After(avoid[m.Node].until) {
			return m
		}
	}
	return nil
}

// followOnce asks a node once and waits for its answer.
func (s *State) followOnce(ctx context.Context, m *Member) error {
	known := s.held()
	known.Wait = followWait
	ctx, cancel := context.WithTimeout(ctx, followWait+followTimeout)
	defer cancel()
	sent := clock.Now()
	k, err := s.cfg.AskPeer(ctx, m.Address, known)
	if err != nil {
		return err
	}
	if k.Age >= followMaxAge {
		return errors.Newf("its confirmation is %s old", k.Age)
	}
	s.learn(ctx, k, sent)
	return nil
}

// askAround asks nodes of any zone while the own confirmation is old. The store
// may turn away some machines and serve the others.
func (s *State) askAround(ctx context.Context) {
	for ctx.Err() == nil {
		age, known := s.Age()
		if known && age < askAfter {
			clock.Sleep(ctx, askAfter-age)
			continue
		}
		s.askRound(ctx)
		clock.Sleep(ctx, askInterval)
	}
}

func (s *State) askRound(ctx context.Context) {
	var addresses []string
	for name, m := range s.View().Nodes {
		if name != s.cfg.Self.Node {
			addresses = append(addresses, m.Address)
		}
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	for _, address := range addresses[:min(len(addresses), askPeers)] {
		go s.askOne(ctx, address)
	}
}

func (s *State) askOne(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	sent := clock.Now()
	k, err := s.cfg.AskPeer(ctx, address, s.held())
	if err != nil {
		return // Another node is asked in the next round.
	}
	s.learn(ctx, k, sent)
}
