package ratelimit

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// Demand is how the requests of a team spread over the entries.
type Demand uint8

const (
	// Even demand is the same at each entry.
	Even Demand = iota
	// Skewed demand falls by 30% from each entry to the next.
	Skewed
	// Moving demand is skewed, and shifts by one entry every 5 s.
	Moving
)

// Disturbance is what happens to the fleet of an experiment after its warm-up.
type Disturbance uint8

const (
	// Undisturbed fleets keep all nodes and links.
	Undisturbed Disturbance = iota
	// HomeLost ends the home; it is removed and another node takes over.
	HomeLost
	// HomeLostTableDown ends the home while nobody can be removed.
	HomeLostTableDown
	// Partitions cut one direction between two availability zones, another one
	// every 3 s.
	Partitions
)

const (
	// defaultOneWay is the time that a message takes between availability zones.
	defaultOneWay = 700 * time.Microsecond
	defaultWarmUp = 20 * time.Second
	partitionTime = 3 * time.Second
)

// Experiment simulates the entries and the homes of 8 teams, three of them
// large, on 24 nodes in three availability zones in virtual time.
type Experiment struct {
	Demand      Demand
	Disturbance Disturbance
	// Load is the demand of each team in units of its rate.
	Load float64
	// OneWay is the time that a message takes; default 700 us.
	OneWay time.Duration
	// WarmUp is the time before the disturbance, in which the shares reach the
	// demand; default 20 s.
	WarmUp time.Duration
	// Length is the time measured after the warm-up.
	Length time.Duration
	// Seed selects the random sequence.
	Seed uint64
}

// Refusals is the result of an experiment: requests refused with code 429 and
// requests admitted above rate times time plus burst.
type Refusals struct {
	// Offered counts the requests, Refused those refused by the shares.
	Offered, Refused int
	// Split counts refusals with the rate divided by node count, Shared those of
	// one bucket without delay, which are refusals that the limit itself causes.
	Split, Shared int
	// Overspend is the largest number of requests of a team above its rate times
	// any interval plus its burst, from the start; SplitOverspend the same of Split.
	Overspend, SplitOverspend float64
	// Violations counts the moments at which shares summed to more than Whole.
	Violations uint64
}

// Run simulates and returns the result.
func (x Experiment) Run() Refusals {
	f := newFleet(x.Seed, teamLimits())
	f.oneWay = cmp.Or(x.OneWay, f.oneWay)
	f.traffic(x.Load, map[Demand]func(int, int, time.Duration) float64{Even: even, Skewed: skewed, Moving: moving}[x.Demand])
	warmUp := cmp.Or(x.WarmUp, defaultWarmUp)
	f.runUntil(warmUp)
	before := f.counts
	x.disturb(f)
	f.runUntil(warmUp + x.Length)
	c := f.counts.minus(before)
	return Refusals{
		Offered: c.offered, Refused: c.refused, Split: c.split, Shared: c.shared, Violations: f.violations,
		Overspend: f.overspend(f.admitted), SplitOverspend: f.overspend(f.splitAdmitted),
	}
}

func (x Experiment) disturb(f *fleet) {
	switch x.Disturbance {
	case HomeLost, HomeLostTableDown:
		f.loseHome(x.Disturbance == HomeLost)
	case Partitions:
		f.partition()
	default:
	}
}

// partition cuts a random direction between two zones for a time, then another.
func (f *fleet) partition() {
	from := f.r.IntN(fleetZones)
	to := (from + 1 + f.r.IntN(fleetZones-1)) % fleetZones
	direction := [2]int{from, to}
	f.cut[direction] = true
	f.after(partitionTime, func() {
		delete(f.cut, direction)
		f.partition()
	})
}

// overspend returns the largest number of admissions of a team above its rate
// times an interval plus its burst, over all intervals between admissions.
func (f *fleet) overspend(admitted map[string][]time.Duration) float64 {
	most := 0.0
	for team, times := range admitted {
		slices.Sort(times)
		limit, lowest := f.limits[team], math.Inf(1)
		for i, at := range times {
			earned := limit.perSecond() * at.Seconds()
			lowest = min(lowest, float64(i)-earned)
			most = max(most, float64(i+1)-earned-lowest-float64(limit.Burst))
		}
	}
	// Sums of floating-point numbers are exact to a fraction of a request.
	if most < overspendPrecision {
		return 0
	}
	return most
}

const overspendPrecision = 1e-6

func teamLimits() map[string]Limit {
	limits := map[string]Limit{}
	for i := range 8 {
		l := Limit{Rate: 50 * PerSecond, Burst: 100}
		if i < 3 {
			l = Limit{Rate: 400 * PerSecond, Burst: 800}
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
