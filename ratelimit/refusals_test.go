package ratelimit

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func teamLimits() map[string]Limit {
	limits := map[string]Limit{}
	for i := range 8 {
		l := Limit{Rate: 50, Burst: 100}
		if i < 3 {
			l = Limit{Rate: 400, Burst: 800}
		}
		limits[fmt.Sprintf("team-%d", i)] = l
	}
	return limits
}

func even(_, _ int, _ time.Duration) float64 { return 1.0 / fleetNodes }

// skewed gives each team a geometric distribution with its own hottest node.
func skewed(team, node int, _ time.Duration) float64 {
	rank := (node + 5*team) % fleetNodes
	return 0.3 * math.Pow(0.7, float64(rank)) / (1 - math.Pow(0.7, fleetNodes))
}

// moving shifts the skewed distribution by one node every 5 s.
func moving(team, node int, at time.Duration) float64 {
	return skewed(team, node+int(at/(5*time.Second)), at)
}

// TestWrongfulRefusals guards against shares that do not follow the demand:
// every refusal at 80% of the rate would be wrong.
func TestWrongfulRefusals(t *testing.T) {
	for _, c := range []struct {
		name   string
		weight func(team, node int, at time.Duration) float64
		lost   bool // The home is lost 10 s before the end.
		table  bool
		target float64
	}{
		{name: "even", weight: even, target: 0},
		{name: "skewed", weight: skewed, target: 0.001},
		{name: "moving", weight: moving, target: 0.001},
		{name: "even, home lost, table up", weight: even, lost: true, table: true, target: 0.01},
		{name: "skewed, home lost, table up", weight: skewed, lost: true, table: true, target: 0.01},
		{name: "even, home lost, table down", weight: even, lost: true, target: 0.05},
		{name: "skewed, home lost, table down", weight: skewed, lost: true, target: 0.05},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(1, teamLimits())
			f.traffic(0.8, c.weight)
			f.runUntil(20 * time.Second)
			start := f.counts
			if c.lost {
				f.loseHome(c.table)
				f.runUntil(30 * time.Second)
				first := f.counts.minus(start)
				t.Log("first 10 s:", first)
				require.LessOrEqual(t, float64(first.refused)/float64(first.offered), c.target)
				start = f.counts
			}
			f.runUntil(60 * time.Second)
			f.requireNoOverspend(t, c.name)
			got := f.counts.minus(start)
			t.Logf("%s; %.2f reports per node and second", got, float64(f.reports)/fleetNodes/60)
			require.LessOrEqual(t, float64(got.refused)/float64(got.offered), c.target)
		})
	}
}

// loseHome ends the home. With the table up it is removed after 2.5 s and
// another node takes over.
func (f *fleet) loseHome(table bool) {
	home := f.log[len(f.log)-1].home
	f.nodes[home].alive, f.nodes[home].diedAt = false, f.now
	if table {
		inc := f.nodes[home].inc
		f.after(2500*ms, func() { f.remove(home, inc, home+1) })
	}
}

// remove commits a version without a node.
func (f *fleet) remove(node, inc, home int) {
	v := version{home: home, members: map[int]string{}, removed: node, removedName: fmt.Sprintf("%06d", inc)}
	for i, n := range f.nodes {
		if i != node && n.alive {
			v.members[i] = n.incarnation()
		}
	}
	f.commit(v)
}
