package freshness

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestMain fixes the seed of rapid, so that the verdict is the same each time.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("20261204")
	}
	os.Exit(m.Run())
}

const (
	tick = 50 * time.Millisecond
	// staleness is Window plus the clock rate error of 1% and one tick, because
	// acceptance is observed at ticks only.
	staleness = Window + Window/100 + tick
)

type peer struct {
	name  string
	zone  string
	side  int
	rate  float64 // speed of its clock
	st    *State
	epoch int // number of restarts
}

// acceptance is the time at which a version was first attested by a quorum.
type acceptance struct {
	version uint64
	at      time.Duration
}

// sim is a fleet with a table, in virtual time.
type sim struct {
	r        *rand.Rand
	now      time.Duration
	events   map[time.Duration][]func()
	peers    []*peer
	spare    int
	topology *Topology
	sets     [][]string // attesters by members version
	heads    Versions
	cut      [2]bool         // links from side i to the other side are cut
	reach    [2]bool         // side i reaches the table
	accepted [2][]acceptance // config and members, versions ascending
	required [2]uint64       // highest versions accepted more than staleness ago
	fresh    int             // ticks of fresh peers
	byQuorum int             // ticks of fresh peers while nobody reaches the table
	outage   time.Duration
}

func newSim(seed uint64) *sim {
	s := &sim{
		r: rand.New(rand.NewPCG(seed, 1)), events: map[time.Duration][]func(){}, topology: NewTopology(),
		sets: [][]string{nil}, reach: [2]bool{true, true},
	}
	for i := range 15 {
		s.join(fmt.Sprintf("z%d", i%3), 0)
	}
	s.sets = append(s.sets, s.topology.Attesters())
	s.heads = Versions{Config: 1, Members: 1}
	for _, p := range s.peers {
		s.hold(p, s.heads)
	}
	return s
}

func (s *sim) join(zone string, side int) {
	s.spare++
	p := &peer{name: fmt.Sprintf("n%d", s.spare), zone: zone, side: side, rate: 0.995 + s.r.Float64()/100}
	p.st = NewState(p.name)
	s.peers = append(s.peers, p)
	s.topology.Add(p.name, zone)
}

func (s *sim) at(delay time.Duration, f func()) {
	t := (s.now + delay + tick).Truncate(tick)
	s.events[t] = append(s.events[t], f)
}

func (s *sim) local(p *peer) time.Time {
	return time.Unix(1_000_000, 0).Add(time.Duration(float64(s.now) * p.rate))
}

// delay draws the duration of a message, now and then a long one.
func (s *sim) delay() time.Duration {
	if s.r.IntN(20) == 0 {
		return time.Duration(s.r.IntN(2000)) * time.Millisecond
	}
	return time.Duration(s.r.IntN(120)) * time.Millisecond
}

func (s *sim) linked(from, to *peer) bool { return from.side == to.side || !s.cut[from.side] }

func (s *sim) hold(p *peer, v Versions) {
	p.st.HoldConfig(v.Config)
	from := p.st.Held().Members + 1
	if from == 1 {
		from = v.Members // a snapshot
	}
	for m := from; m <= v.Members; m++ {
		p.st.HoldMembers(m, s.sets[m], s.local(p))
	}
}

// exchange sends a pull, or a push of versions if push is set, and merges the
// answer.
func (s *sim) exchange(from, to *peer, push Versions) {
	sent, epochFrom, epochTo := s.local(from), from.epoch, to.epoch
	s.at(s.delay(), func() {
		if !s.linked(from, to) || to.epoch != epochTo {
			return
		}
		s.hold(to, push)
		atts, held := to.st.Export(s.local(to)), to.st.Held()
		s.at(s.delay(), func() {
			if !s.linked(to, from) || from.epoch != epochFrom {
				return
			}
			from.st.Merge(atts, s.local(from).Sub(sent), s.local(from))
			s.at(s.delay(), func() {
				if from.epoch == epochFrom {
					s.hold(from, held)
				}
			})
		})
	})
}

func (s *sim) readTable(p *peer) {
	start, epoch := s.local(p), p.epoch
	s.at(s.delay(), func() {
		heads, ok := s.heads, s.reach[p.side]
		s.at(s.delay(), func() {
			if !ok || p.epoch != epoch {
				return
			}
			p.st.ReadTable(heads, start)
			s.at(s.delay(), func() {
				if p.epoch == epoch {
					s.hold(p, heads)
				}
			})
		})
	})
}

// commit lets p commit a change if it holds the heads when the table gets it.
func (s *sim) commit(p *peer) {
	read, epoch, settled := p.st.Held(), p.epoch, p.st.AttestersSettled(s.local(p))
	members := s.r.IntN(2) == 0
	s.at(s.delay(), func() {
		if !s.reach[p.side] || p.epoch != epoch {
			return
		}
		switch {
		case !members && read.Config == s.heads.Config:
			s.heads.Config++
		case members && read.Members == s.heads.Members && settled:
			s.replace(p)
		default:
			return
		}
		heads := s.heads
		s.hold(p, heads)
		for range 2 {
			for _, q := range s.peers {
				s.exchange(p, q, heads)
			}
		}
	})
}

// replace removes a peer on the other side or adds one on the committer's.
func (s *sim) replace(p *peer) {
	victim := s.peers[s.r.IntN(len(s.peers))]
	_, member := s.topology.zone[victim.name]
	switch size := len(s.topology.zone); {
	case size < 18 && s.r.IntN(2) == 0:
		s.join(fmt.Sprintf("z%d", s.r.IntN(3)), p.side)
	case member && victim != p && size > 12 && (victim.side != p.side || s.r.IntN(4) == 0):
		s.topology.Remove(victim.name) // it lives on for a while and may still be fresh
		s.at(10*time.Second, func() {
			s.peers = slices.DeleteFunc(s.peers, func(q *peer) bool { return q == victim })
		})
	default:
		return
	}
	s.heads.Members++
	s.sets = append(s.sets, s.topology.Attesters())
}

// disturb draws the faults of the next seconds.
func (s *sim) disturb() {
	if s.r.IntN(3) == 0 { // restarts of attesters on one side while the table is away
		s.reach, s.cut = [2]bool{}, [2]bool{true, true}
		for range 1 + s.r.IntN(4) {
			p := s.peers[s.r.IntN(len(s.peers))]
			if p.side == 0 && s.topology.IsAttester(p.name) {
				p.side, p.st, p.epoch = 1, NewState(p.name), p.epoch+1
			}
		}
		return
	}
	s.cut = [2]bool{s.r.IntN(3) > 0, s.r.IntN(3) > 0}
	s.reach = [2]bool{s.r.IntN(3) > 0, s.r.IntN(3) > 0}
	share := 1 + s.r.IntN(9)
	for _, p := range s.peers {
		p.side = 0
		if s.r.IntN(10) < share {
			p.side = 1
		}
	}
}

func (s *sim) step() error {
	for _, f := range s.events[s.now] {
		f()
	}
	delete(s.events, s.now)
	if s.now%(100*time.Millisecond) == 0 {
		for _, p := range s.peers {
			switch s.r.IntN(4) {
			case 0:
				s.readTable(p)
			case 1, 2:
				s.exchange(p, s.peers[s.r.IntN(len(s.peers))], Versions{})
				s.exchange(p, s.peers[s.r.IntN(len(s.peers))], Versions{})
			}
		}
		s.commit(s.peers[s.r.IntN(len(s.peers))])
	}
	if s.now%(2500*time.Millisecond) == 0 && s.now > 0 && s.r.IntN(2) == 0 {
		s.disturb()
	}
	if s.reach == [2]bool{} {
		s.outage += tick
	} else {
		s.outage = 0
	}
	return s.check()
}

// check asserts the invariant of the package for all peers.
func (s *sim) check() error {
	for _, p := range s.peers {
		p.st.AttestersSettled(s.local(p))
		v := p.st.QuorumVersions(s.local(p))
		for i, version := range []uint64{v.Config, v.Members} {
			if n := len(s.accepted[i]); n == 0 || s.accepted[i][n-1].version < version {
				s.accepted[i] = append(s.accepted[i], acceptance{version, s.now})
			}
		}
	}
	for i := range s.accepted {
		for _, a := range s.accepted[i] {
			if s.now-a.at > staleness {
				s.required[i] = max(s.required[i], a.version)
			}
		}
	}
	for _, p := range s.peers {
		if !p.st.Fresh(s.local(p)) {
			continue
		}
		s.fresh++
		if s.outage > staleness {
			s.byQuorum++
		}
		if held := p.st.Held(); !held.Covers(Versions{Config: s.required[0], Members: s.required[1]}) {
			return fmt.Errorf("at %v %s is fresh with %+v, but accepted long ago are %v", s.now, p.name, held, s.required)
		}
	}
	return nil
}

// Guards against a node that serves an outdated configuration or member list:
// with one-way partitions, table outages, restarts and replaced attesters no
// fresh node is behind a version accepted more than Window ago.
func TestNoFreshNodeIsStale(t *testing.T) {
	var fresh, byQuorum, accepted int
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		s := newSim(seed)
		for ; s.now < 40*time.Second; s.now += tick {
			if err := s.step(); err != nil {
				rt.Fatalf("seed %d: %v", seed, err)
			}
		}
		fresh, byQuorum = fresh+s.fresh, byQuorum+s.byQuorum
		accepted += len(s.accepted[0]) + len(s.accepted[1])
	})
	t.Logf("rapid seed %s: %d fresh node ticks, %d of them by quorum in an outage, %d accepted versions",
		flag.Lookup("rapid.seed").Value, fresh, byQuorum, accepted)
	require.Positive(t, byQuorum, "no node was fresh by quorum, so the test shows nothing")
	require.Positive(t, accepted)
}
