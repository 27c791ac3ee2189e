package ratelimit

import (
	"fmt"
	"testing"
	"time"
)

// faults are injected about every 2 s while a run has them enabled. The clock
// faults are longer than MaxClockStep; TestSmallClockStep covers shorter ones.
var faults = []struct {
	name string
	run  func(f *fleet)
}{
	{"message lost", func(f *fleet) { f.lose = 0.3 }},
	{"message duplicated", func(f *fleet) { f.duplicate = 0.3 }},
	{"message delayed", func(f *fleet) { f.delay = 0.2 }},
	{"holder restarted", func(f *fleet) { f.restart(f.entry()) }},
	{"home lost", func(f *fleet) { f.replaceHome(false) }},
	{"home moved", func(f *fleet) { f.replaceHome(true) }},
	{"clock jumps", func(f *fleet) {
		f.nodes[f.r.IntN(fleetNodes)].offset += MaxClockStep + time.Duration(f.r.Int64N(int64(time.Hour)))
	}},
	{"clock stalls", func(f *fleet) {
		n := f.nodes[f.r.IntN(fleetNodes)]
		n.stalled = f.now
		f.after(MaxClockStep+time.Duration(f.r.Int64N(int64(5*time.Second))), func() { n.stalled = 0 })
	}},
	{"demand moves", func(f *fleet) { f.shift += f.r.IntN(fleetNodes) }},
}

// entry returns a node that is neither home nor about to become it.
func (f *fleet) entry() *fleetNode {
	for {
		if n := f.nodes[f.r.IntN(fleetNodes)]; n.alive && n.id != f.log[len(f.log)-1].home {
			return n
		}
	}
}

// restart replaces the process of a node by a new incarnation.
func (f *fleet) restart(n *fleetNode) {
	f.start(n)
	length := len(f.log)
	f.after(time.Duration(f.r.Int64N(int64(time.Second))), func() { f.learn(n, length) })
}

// replaceHome makes another node the home. The old home keeps running if it
// moved, and is removed and later restarted if it was lost. Homes return to the
// same few nodes, so that late messages of an earlier term arrive there.
func (f *fleet) replaceHome(moved bool) {
	old := f.log[len(f.log)-1]
	if f.now-old.at < 5*time.Second && old.at > 0 {
		return // Removals are 4 s apart at least: each waits for the one before.
	}
	next := (old.home + 1) % 3
	v := version{home: next, members: map[int]string{}, removed: -1}
	for i, n := range f.nodes {
		if n.alive {
			v.members[i] = n.incarnation()
		}
	}
	if _, member := v.members[next]; !member {
		return
	}
	if !moved {
		lost := f.nodes[old.home]
		lost.alive, lost.diedAt = false, f.now
		v.removed, v.removedName = lost.id, lost.incarnation()
		delete(v.members, lost.id)
		f.after(6*time.Second, func() {
			f.start(lost)
			last := f.log[len(f.log)-1]
			joined := version{home: last.home, members: map[int]string{lost.id: lost.incarnation()}, removed: -1}
			for i, inc := range last.members {
				joined.members[i] = inc
			}
			f.commit(joined)
		})
	}
	f.commit(v)
}

// TestFaultsNeverOverspend guards against more admissions than rate and burst
// allow, for every fault alone and every pair, with twice the promised load.
func TestFaultsNeverOverspend(t *testing.T) {
	for i, a := range faults {
		for j, b := range faults[i:] {
			seed := uint64(100*i + j)
			trace := fmt.Sprintf("%s and %s, seed %d", a.name, b.name, seed)
			t.Run(trace, func(t *testing.T) {
				t.Parallel()
				f := newFleet(seed, map[string]Limit{
					"large": {Rate: 100, Burst: 50}, "small": {Rate: 40, Burst: 3}, "tiny": {Rate: 5, Burst: 1},
				})
				f.late = 0.1
				f.traffic(2, func(team, node int, _ time.Duration) float64 { return skewed(team, node+f.shift, 0) })
				for range 15 {
					f.lose, f.duplicate, f.delay = 0, 0, 0
					a.run(f)
					f.runUntil(f.now + time.Duration(f.r.Int64N(int64(2*time.Second))))
					b.run(f)
					f.runUntil(f.now + 2*time.Second)
				}
				f.requireService(t, trace)
				f.requireNoOverspend(t, trace)
			})
		}
	}
}
