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

// TestMain fixes the seed of rapid, so that test results are reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("20261204")
	}
	os.Exit(m.Run())
}

const (
	tick = 50 * time.Millisecond
	// maxStaleness is MaxAttestationAge plus 1% clock drift and one tick,
	// because acceptance is observed only at ticks.
	maxStaleness = MaxAttestationAge + MaxAttestationAge/100 + tick
)

// peer is a simulated node.
type peer struct {
	name      string
	zone      string
	side      int     // side of the network partition, 0 or 1
	clockRate float64 // relative to simulated time
	state     *State
	restarts  int
}

// acceptance is the time at which a quorum first attested a version.
type acceptance struct {
	version uint64
	at      time.Duration
}

// simulation runs a fleet of nodes and a table in simulated time.
type simulation struct {
	rng              *rand.Rand
	now              time.Duration
	events           map[time.Duration][]func()
	peers            []*peer
	created          int // number of peers created so far
	topology         *Topology
	attesterSets     [][]string      // indexed by members version
	heads            Versions        // head versions in the table
	linkCut          [2]bool         // messages from side i to the other side are lost
	tableReachable   [2]bool         // side i can reach the table
	accepted         [2][]acceptance // config and members, versions ascending
	required         [2]uint64       // highest versions accepted more than maxStaleness ago
	freshTicks       int             // number of ticks at which peers were fresh
	quorumFreshTicks int             // those after the table was unreachable for more than maxStaleness
	outage           time.Duration   // time since the table became unreachable for all peers
}

func newSimulation(seed uint64) *simulation {
	s := &simulation{
		rng: rand.New(rand.NewPCG(seed, 1)), events: map[time.Duration][]func(){}, topology: NewTopology(),
		attesterSets: [][]string{nil}, tableReachable: [2]bool{true, true},
	}
	for i := range 15 {
		s.join(fmt.Sprintf("z%d", i%3), 0)
	}
	s.attesterSets = append(s.attesterSets, s.topology.Attesters())
	s.heads = Versions{Config: 1, Members: 1}
	for _, p := range s.peers {
		s.apply(p, s.heads)
	}
	return s
}

func (s *simulation) join(zone string, side int) {
	s.created++
	p := &peer{name: fmt.Sprintf("n%d", s.created), zone: zone, side: side, clockRate: 0.995 + s.rng.Float64()/100}
	p.state = NewState(p.name)
	s.peers = append(s.peers, p)
	s.topology.Add(p.name, zone)
}

func (s *simulation) schedule(delay time.Duration, f func()) {
	t := (s.now + delay + tick).Truncate(tick)
	s.events[t] = append(s.events[t], f)
}

func (s *simulation) localTime(p *peer) time.Time {
	return time.Unix(1_000_000, 0).Add(time.Duration(float64(s.now) * p.clockRate))
}

// messageDelay returns a random message delay; 5% of the delays are drawn from
// a longer range.
func (s *simulation) messageDelay() time.Duration {
	if s.rng.IntN(20) == 0 {
		return time.Duration(s.rng.IntN(2000)) * time.Millisecond
	}
	return time.Duration(s.rng.IntN(120)) * time.Millisecond
}

func (s *simulation) connected(from, to *peer) bool {
	return from.side == to.side || !s.linkCut[from.side]
}

// apply records that p has applied the versions v.
func (s *simulation) apply(p *peer, v Versions) {
	p.state.RecordConfig(v.Config)
	from := p.state.AppliedVersions().Members + 1
	if from == 1 {
		from = v.Members // the first version comes from a snapshot
	}
	for m := from; m <= v.Members; m++ {
		p.state.RecordMembers(m, s.attesterSets[m], s.localTime(p))
	}
}

// exchange sends a pull, or a push of versions if push is set, and merges the
// response.
func (s *simulation) exchange(from, to *peer, push Versions) {
	sent, senderRestarts, receiverRestarts := s.localTime(from), from.restarts, to.restarts
	s.schedule(s.messageDelay(), func() {
		if !s.connected(from, to) || to.restarts != receiverRestarts {
			return
		}
		s.apply(to, push)
		attestations, versions := to.state.Export(s.localTime(to)), to.state.AppliedVersions()
		s.schedule(s.messageDelay(), func() {
			if !s.connected(to, from) || from.restarts != senderRestarts {
				return
			}
			from.state.Merge(attestations, s.localTime(from).Sub(sent), s.localTime(from))
			s.schedule(s.messageDelay(), func() {
				if from.restarts == senderRestarts {
					s.apply(from, versions)
				}
			})
		})
	})
}

func (s *simulation) readTable(p *peer) {
	start, restarts := s.localTime(p), p.restarts
	s.schedule(s.messageDelay(), func() {
		heads, ok := s.heads, s.tableReachable[p.side]
		s.schedule(s.messageDelay(), func() {
			if !ok || p.restarts != restarts {
				return
			}
			p.state.RecordTableRead(heads, start)
			s.schedule(s.messageDelay(), func() {
				if p.restarts == restarts {
					s.apply(p, heads)
				}
			})
		})
	})
}

// commit sends a change of p to the table. It succeeds if the versions that p
// had applied when it sent the change are still the head versions on arrival.
func (s *simulation) commit(p *peer) {
	applied, restarts, confirmed := p.state.AppliedVersions(), p.restarts, p.state.AttesterSetConfirmed(s.localTime(p))
	members := s.rng.IntN(2) == 0
	s.schedule(s.messageDelay(), func() {
		if !s.tableReachable[p.side] || p.restarts != restarts {
			return
		}
		switch {
		case !members && applied.Config == s.heads.Config:
			s.heads.Config++
		case members && applied.Members == s.heads.Members && confirmed:
			s.changeMembers(p)
		default:
			return
		}
		heads := s.heads
		s.apply(p, heads)
		for range 2 {
			for _, q := range s.peers {
				s.exchange(p, q, heads)
			}
		}
	})
}

// changeMembers removes a peer, mostly one on the other side, or adds one on
// the side of the committer.
func (s *simulation) changeMembers(p *peer) {
	candidate := s.peers[s.rng.IntN(len(s.peers))]
	_, member := s.topology.zoneOf[candidate.name]
	switch size := len(s.topology.zoneOf); {
	case size < 18 && s.rng.IntN(2) == 0:
		s.join(fmt.Sprintf("z%d", s.rng.IntN(3)), p.side)
	case member && candidate != p && size > 12 && (candidate.side != p.side || s.rng.IntN(4) == 0):
		s.topology.Remove(candidate.name) // it keeps running for a while and may still be fresh
		s.schedule(10*time.Second, func() {
			s.peers = slices.DeleteFunc(s.peers, func(q *peer) bool { return q == candidate })
		})
	default:
		return
	}
	s.heads.Members++
	s.attesterSets = append(s.attesterSets, s.topology.Attesters())
}

// injectFaults selects the faults of the next seconds at random.
func (s *simulation) injectFaults() {
	if s.rng.IntN(3) == 0 { // attesters of one side restart while the table is unreachable
		s.tableReachable, s.linkCut = [2]bool{}, [2]bool{true, true}
		for range 1 + s.rng.IntN(4) {
			p := s.peers[s.rng.IntN(len(s.peers))]
			if p.side == 0 && s.topology.IsAttester(p.name) {
				p.side, p.state, p.restarts = 1, NewState(p.name), p.restarts+1
			}
		}
		return
	}
	s.linkCut = [2]bool{s.rng.IntN(3) > 0, s.rng.IntN(3) > 0}
	s.tableReachable = [2]bool{s.rng.IntN(3) > 0, s.rng.IntN(3) > 0}
	share := 1 + s.rng.IntN(9)
	for _, p := range s.peers {
		p.side = 0
		if s.rng.IntN(10) < share {
			p.side = 1
		}
	}
}

func (s *simulation) step() error {
	for _, f := range s.events[s.now] {
		f()
	}
	delete(s.events, s.now)
	if s.now%(100*time.Millisecond) == 0 {
		for _, p := range s.peers {
			switch s.rng.IntN(4) {
			case 0:
				s.readTable(p)
			case 1, 2:
				s.exchange(p, s.peers[s.rng.IntN(len(s.peers))], Versions{})
				s.exchange(p, s.peers[s.rng.IntN(len(s.peers))], Versions{})
			}
		}
		s.commit(s.peers[s.rng.IntN(len(s.peers))])
	}
	if s.now%(2500*time.Millisecond) == 0 && s.now > 0 && s.rng.IntN(2) == 0 {
		s.injectFaults()
	}
	if s.tableReachable == [2]bool{} {
		s.outage += tick
	} else {
		s.outage = 0
	}
	return s.check()
}

// check verifies the staleness bound for all peers.
func (s *simulation) check() error {
	for _, p := range s.peers {
		p.state.AttesterSetConfirmed(s.localTime(p))
		v := p.state.QuorumVersions(s.localTime(p))
		for i, version := range []uint64{v.Config, v.Members} {
			if n := len(s.accepted[i]); n == 0 || s.accepted[i][n-1].version < version {
				s.accepted[i] = append(s.accepted[i], acceptance{version, s.now})
			}
		}
	}
	for i := range s.accepted {
		for _, a := range s.accepted[i] {
			if s.now-a.at > maxStaleness {
				s.required[i] = max(s.required[i], a.version)
			}
		}
	}
	for _, p := range s.peers {
		if !p.state.Fresh(s.localTime(p)) {
			continue
		}
		s.freshTicks++
		if s.outage > maxStaleness {
			s.quorumFreshTicks++
		}
		if applied := p.state.AppliedVersions(); !applied.Covers(Versions{Config: s.required[0], Members: s.required[1]}) {
			return fmt.Errorf("at %v %s is fresh with %+v, but versions %v were accepted more than the staleness bound ago", s.now, p.name, applied, s.required)
		}
	}
	return nil
}

// Guards against a node that uses an outdated configuration or member list:
// with one-way network partitions, table outages, restarts and replaced
// attesters, no fresh node is behind a version that was accepted more than
// MaxAttestationAge ago.
func TestNoFreshNodeIsStale(t *testing.T) {
	var fresh, byQuorum, accepted int
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		s := newSimulation(seed)
		for ; s.now < 40*time.Second; s.now += tick {
			if err := s.step(); err != nil {
				rt.Fatalf("seed %d: %v", seed, err)
			}
		}
		fresh, byQuorum = fresh+s.freshTicks, byQuorum+s.quorumFreshTicks
		accepted += len(s.accepted[0]) + len(s.accepted[1])
	})
	t.Logf("rapid seed %s: %d fresh node ticks, %d of them by quorum in an outage, %d accepted versions",
		flag.Lookup("rapid.seed").Value, fresh, byQuorum, accepted)
	require.Positive(t, byQuorum, "no node was fresh by quorum; the test does not cover this case")
	require.Positive(t, accepted)
}
