package ratelimit

import (
	"fmt"
	"testing"
	"time"
)

// faults holds the faults that TestFaultsNeverOverspend injects about every
// 2 s. The clock steps are longer than MaxClockStep; TestSmallClockStep covers
// shorter ones.
var faults = []struct {
	name string
	run  func(f *fleet)
}{
	{"message lost", func(f *fleet) { f.lossProbability = 0.3 }},
	{"message duplicated", func(f *fleet) { f.duplicateProbability = 0.3 }},
	{"message delayed", func(f *fleet) { f.delayProbability = 0.2 }},
	{"holder restarted", func(f *fleet) { f.restartNode(f.randomEntry()) }},
	{"coordinator lost", func(f *fleet) { f.replaceCoordinator(false) }},
	{"coordinator moved", func(f *fleet) { f.replaceCoordinator(true) }},
	{"clock jumps", func(f *fleet) {
		f.nodes[f.rng.IntN(fleetNodes)].offset += MaxClockStep + time.Duration(f.rng.Int64N(int64(time.Hour)))
	}},
	{"clock stalls", func(f *fleet) {
		n := f.nodes[f.rng.IntN(fleetNodes)]
		n.stalledAt = f.now
		f.schedule(MaxClockStep+time.Duration(f.rng.Int64N(int64(5*time.Second))), func() { n.stalledAt = 0 })
	}},
	{"demand moves", func(f *fleet) { f.demandShift += f.rng.IntN(fleetNodes) }},
}

// randomEntry returns a random node that is running and is not the coordinator
// in the latest version.
func (f *fleet) randomEntry() *fleetNode {
	for {
		if n := f.nodes[f.rng.IntN(fleetNodes)]; n.running && n.id != f.log[len(f.log)-1].coordinator {
			return n
		}
	}
}

// restartNode starts a new incarnation of a node.
func (f *fleet) restartNode(n *fleetNode) {
	f.start(n)
	length := len(f.log)
	f.schedule(time.Duration(f.rng.Int64N(int64(time.Second))), func() { f.receiveVersion(n, length) })
}

// replaceCoordinator makes another node the coordinator. The previous
// coordinator keeps running if moved is true; otherwise it is removed and
// restarted later. Only three nodes become coordinators, so that delayed
// messages of an earlier term reach a coordinator.
func (f *fleet) replaceCoordinator(moved bool) {
	old := f.log[len(f.log)-1]
	if f.now-old.at < 5*time.Second && old.at > 0 {
		return // Successive removals are at least 4 s apart.
	}
	next := (old.coordinator + 1) % 3
	v := version{coordinator: next, members: map[int]string{}, removed: -1}
	for i, n := range f.nodes {
		if n.running {
			v.members[i] = n.incarnation()
		}
	}
	if _, member := v.members[next]; !member {
		return
	}
	if !moved {
		failed := f.nodes[old.coordinator]
		failed.running, failed.failedAt = false, f.now
		v.removed, v.removedIncarnation = failed.id, failed.incarnation()
		delete(v.members, failed.id)
		f.schedule(6*time.Second, func() {
			f.start(failed)
			last := f.log[len(f.log)-1]
			joined := version{coordinator: last.coordinator, members: map[int]string{failed.id: failed.incarnation()}, removed: -1}
			for i, inc := range last.members {
				joined.members[i] = inc
			}
			f.commit(joined)
		})
	}
	f.commit(v)
}

// Guards against admissions above rate and burst under every fault and every
// pair of faults, at twice the rate limit. It also checks that the teams are
// served again afterwards.
func TestFaultsNeverOverspend(t *testing.T) {
	for i, a := range faults {
		for j, b := range faults[i:] {
			seed := uint64(100*i + j)
			scenario := fmt.Sprintf("%s and %s, seed %d", a.name, b.name, seed)
			t.Run(scenario, func(t *testing.T) {
				t.Parallel()
				f := newFleet(seed, map[string]Limit{
					"large": {Rate: 100 * PerSecond, Burst: 50}, "small": {Rate: 40 * PerSecond, Burst: 3}, "tiny": {Rate: 5 * PerSecond, Burst: 1},
				})
				f.lateVersionProbability = 0.1
				f.startTraffic(2, func(team, node int, _ time.Duration) float64 { return skewed(team, node+f.demandShift, 0) })
				for range 15 {
					f.lossProbability, f.duplicateProbability, f.delayProbability = 0, 0, 0
					a.run(f)
					f.runUntil(f.now + time.Duration(f.rng.Int64N(int64(2*time.Second))))
					b.run(f)
					f.runUntil(f.now + 2*time.Second)
				}
				f.requireService(t, scenario)
				f.requireNoOverspend(t, scenario)
			})
		}
	}
}
