package ratelimit

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// Demand is the distribution of the requests of a team over the entry nodes.
type Demand uint8

const (
	// Even demand is the same on every entry node.
	Even Demand = iota
	// Skewed demand decreases by 30% from each entry node to the next.
	Skewed
	// Moving demand is skewed and shifts by one entry node every 5 s.
	Moving
)

// Disturbance is a failure that is injected after the warm-up of an experiment.
type Disturbance uint8

const (
	// Undisturbed injects no failure.
	Undisturbed Disturbance = iota
	// CoordinatorLost terminates the coordinator. It is removed from the
	// membership and another node takes over.
	CoordinatorLost
	// CoordinatorLostTableDown terminates the coordinator while the membership
	// table is unavailable, so that the coordinator cannot be removed.
	CoordinatorLostTableDown
	// Partitions drops all messages in one direction between two availability zones.
	// The direction changes every 3 s.
	Partitions
)

const (
	// defaultOneWay is the one-way latency between availability zones.
	defaultOneWay     = 700 * time.Microsecond
	defaultWarmUp     = 20 * time.Second
	partitionDuration = 3 * time.Second
)

// Experiment simulates the rate limits of 8 teams, three of them with a high
// rate, on 24 nodes in three availability zones in virtual time.
type Experiment struct {
	Demand      Demand
	Disturbance Disturbance
	// Load is the demand of each team as a multiple of its rate.
	Load float64
	// OneWay is the one-way latency of a message (default 700 us).
	OneWay time.Duration
	// WarmUp is the time before the disturbance, during which the shares adapt to
	// the demand (default 20 s).
	WarmUp time.Duration
	// Duration is the time that is measured after the warm-up.
	Duration time.Duration
	// Seed initializes the random number generator.
	Seed uint64
}

// ExperimentResult counts the requests of an experiment that were rejected with
// status 429, and those that were admitted above the limit.
type ExperimentResult struct {
	// Offered counts all requests, Refused those that the shares rejected.
	Offered, Refused int
	// Split and Shared count the rejections of the baselines: the rate divided
	// evenly among the nodes, and a single bucket without delay, whose rejections
	// are those that the limit itself causes.
	Split, Shared int
	// Overspend is the maximum over teams and intervals of the number of admitted
	// requests above rate times interval plus burst, including the warm-up.
	// SplitOverspend is the same for Split.
	Overspend, SplitOverspend float64
	// Violations is above 0 if the shares of a team ever summed to more than
	// FullShare.
	Violations uint64
}

// Run runs the simulation and returns the result.
func (x Experiment) Run() ExperimentResult {
	f := newFleet(x.Seed, teamLimits())
	f.oneWay = cmp.Or(x.OneWay, f.oneWay)
	f.startTraffic(x.Load, map[Demand]func(int, int, time.Duration) float64{Even: even, Skewed: skewed, Moving: moving}[x.Demand])
	warmUp := cmp.Or(x.WarmUp, defaultWarmUp)
	f.runUntil(warmUp)
	before := f.counts
	x.injectDisturbance(f)
	f.runUntil(warmUp + x.Duration)
	c := f.counts.minus(before)
	return ExperimentResult{
		Offered: c.offered, Refused: c.refused, Split: c.split, Shared: c.shared, Violations: f.violations,
		Overspend: f.overspend(f.admitted), SplitOverspend: f.overspend(f.splitAdmitted),
	}
}

func (x Experiment) injectDisturbance(f *fleet) {
	switch x.Disturbance {
	case CoordinatorLost, CoordinatorLostTableDown:
		f.failCoordinator(x.Disturbance == CoordinatorLost)
	case Partitions:
		f.startPartition()
	default:
	}
}

// startPartition blocks a random direction between two zones for
// partitionDuration and then the next one.
func (f *fleet) startPartition() {
	from := f.rng.IntN(fleetZones)
	to := (from + 1 + f.rng.IntN(fleetZones-1)) % fleetZones
	direction := [2]int{from, to}
	f.blocked[direction] = true
	f.schedule(partitionDuration, func() {
		delete(f.blocked, direction)
		f.startPartition()
	})
}

// overspend returns the maximum over all teams and all intervals between
// admissions of the number of admissions above rate times interval plus burst.
func (f *fleet) overspend(admitted map[string][]time.Duration) float64 {
	most := 0.0
	for team, times := range admitted {
		slices.Sort(times)
		limit, lowest := f.limits[team], math.Inf(1)
		for i, at := range times {
			allowance := limit.perSecond() * at.Seconds()
			lowest = min(lowest, float64(i)-allowance)
			most = max(most, float64(i+1)-allowance-lowest-float64(limit.Burst))
		}
	}
	// Ignores floating-point rounding errors.
	if most < overspendPrecision {
		return 0
	}
	return most
}

// overspendPrecision is the rounding error of overspend, in requests.
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

// skewed returns a geometric distribution whose most loaded node depends on the
// team.
func skewed(team, node int, _ time.Duration) float64 {
	rank := (node + 5*team) % fleetNodes
	return 0.3 * math.Pow(0.7, float64(rank)) / (1 - math.Pow(0.7, fleetNodes))
}

// moving shifts the skewed distribution by one node every 5 s.
func moving(team, node int, at time.Duration) float64 {
	return skewed(team, node+int(at/(5*time.Second)), at)
}

// failCoordinator terminates the coordinator. If the membership table is
// available, the coordinator is removed after 2.5 s and another node takes
// over.
func (f *fleet) failCoordinator(tableAvailable bool) {
	coordinator := f.log[len(f.log)-1].coordinator
	f.nodes[coordinator].running, f.nodes[coordinator].failedAt = false, f.now
	if tableAvailable {
		inc := f.nodes[coordinator].incarnationNumber
		f.schedule(2500*ms, func() { f.removeNode(coordinator, inc, coordinator+1) })
	}
}

// removeNode commits a membership version without a node.
func (f *fleet) removeNode(node, inc, coordinator int) {
	v := version{coordinator: coordinator, members: map[int]string{}, removed: node, removedIncarnation: fmt.Sprintf("%06d", inc)}
	for i, n := range f.nodes {
		if i != node && n.running {
			v.members[i] = n.incarnation()
		}
	}
	f.commit(v)
}
