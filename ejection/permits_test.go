package ejection

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1_000_000, 0)

// bench drives permits for named servers whose owners obey at once.
type bench struct {
	permits *Permits
	now     time.Time
	floor   int
	status  map[string]*Status
	judged  map[string]Judgement
}

func newBench(floor int, names ...string) *bench {
	b := &bench{now: start, floor: floor, permits: NewPermits(start, Config{}), status: map[string]*Status{}, judged: map[string]Judgement{}}
	for _, n := range names {
		b.status[n] = &Status{Server: n, InService: true}
	}
	return b
}

// run lets owners report every 500 ms.
func (b *bench) run(d time.Duration) {
	for end := b.now.Add(d); b.now.Before(end); b.now = b.now.Add(500 * time.Millisecond) {
		for _, st := range b.status {
			b.permits.Observe(b.now, *st)
		}
		b.permits.Decide(b.now, b.floor, b.judged)
		for n, st := range b.status {
			if o := b.permits.Order(b.now, n); o != st.Obeyed {
				st.Obeyed, st.TrialSuccesses, st.TrialFailures = o, 0, 0
			}
		}
	}
}

func (b *bench) ejected() []string { return b.permits.Ejected(b.now) }

// Guards against a new home that grants permits while those of the earlier one
// may be in force.
func TestNewHomeIsSilent(t *testing.T) {
	b := newBench(1, "a", "b", "c")
	b.judged["a"] = Judgement{Bad: true, Score: 20}
	b.run(4 * time.Second)
	require.Empty(t, b.ejected())
	b.run(time.Second)
	require.Equal(t, []string{"a"}, b.ejected())
}

// Guards against ejections below the floor, and against ejecting the less bad
// of two servers.
func TestFloorLimitsEjection(t *testing.T) {
	b := newBench(3, "a", "b", "c", "d")
	b.judged["a"], b.judged["b"] = Judgement{Bad: true, Score: 20}, Judgement{Bad: true, Score: 25}
	b.run(6 * time.Second)
	require.Equal(t, []string{"b"}, b.ejected())
	require.Equal(t, 1, b.permits.Counters().Refused)
}

// Guards against ejected servers that stay out, or return in the wrong order,
// when a zone leaves, the floor rises or an owner falls silent.
func TestLeastBadReturnsFirst(t *testing.T) {
	for name, shrink := range map[string]func(*bench){
		"zone out":    func(b *bench) { b.status["d"].InService = false },
		"floor rises": func(b *bench) { b.floor++ },
		"silence":     func(b *bench) { delete(b.status, "d") },
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(2, "a", "b", "c", "d")
			b.judged["a"], b.judged["b"] = Judgement{Bad: true, Score: 25}, Judgement{Bad: true, Score: 20}
			b.run(6 * time.Second)
			require.Equal(t, []string{"a", "b"}, b.ejected())
			shrink(b)
			b.run(3 * time.Second)
			require.Equal(t, []string{"a"}, b.ejected())
		})
	}
}

// Guards against a lost or lagging answer that frees capacity in the books while
// the owner still obeys, and against permits that are never freed.
func TestUnreportedPermitCounts(t *testing.T) {
	b := newBench(1, "a", "b", "c")
	b.judged["a"] = Judgement{Bad: true, Score: 20}
	b.run(5 * time.Second)
	b.status["a"].Obeyed = Serve // The answer with the permit was lost.
	delete(b.judged, "a")
	b.permits.servers["a"].set(b.now, Serve)
	require.Equal(t, []string{"a"}, b.ejected())
	require.Equal(t, 2, b.permits.capacity(b.now))
	b.run(500 * time.Millisecond)
	require.Empty(t, b.ejected())

	var h Holder
	h.Apply(start, Eject)
	require.Equal(t, Eject, h.Order(start.Add(Expiry-1)))
	require.Equal(t, Serve, h.Order(start.Add(Expiry)))
	require.Greater(t, hold, Expiry+Expiry/100, "a slow clock at the owner prolongs the permit")
}

// Guards against re-admission without a trial, against a trial that a slow or
// failing server passes, and against a back-off that does not grow or decay.
func TestTrialAndBackOff(t *testing.T) {
	b := newBench(1, "a", "b", "c")
	b.judged["a"] = Judgement{Bad: true, Score: 20}
	b.run(5 * time.Second)
	for _, backOff := range []time.Duration{5, 10, 20, 40, 80, 160, 300, 300} {
		require.Equal(t, backOff*time.Second, b.permits.servers["a"].backOff)
		b.run(backOff*time.Second - time.Second)
		require.Equal(t, Eject, b.status["a"].Obeyed)
		b.run(2 * time.Second)
		require.Equal(t, Trial, b.status["a"].Obeyed)
		if backOff == 5 {
			b.status["a"].TrialSuccesses = 5
			b.judged["a"] = Judgement{Slow: true}
		} else {
			b.status["a"].TrialSuccesses, b.status["a"].TrialFailures = 9, 1
		}
		b.run(500 * time.Millisecond)
	}
	b.run(301 * time.Second)
	delete(b.judged, "a")
	b.status["a"].TrialSuccesses = 5
	b.run(time.Second)
	require.Equal(t, Serve, b.status["a"].Obeyed)
	b.run(10 * time.Minute)
	b.judged["a"] = Judgement{Bad: true, Score: 20}
	b.run(time.Second)
	require.Equal(t, 600*time.Second>>5, b.permits.servers["a"].backOff)
}

// Guards against ejections that break the floor, and against flapping, with two
// homes in succession, lost messages, partitions, zones that leave and return and
// servers that look bad at random.
func TestRandomisedFloor(t *testing.T) {
	for seed := range uint64(200) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { randomisedRun(t, rand.New(rand.NewPCG(seed, 1))) })
	}
}

type modelOwner struct {
	holder    Holder
	zone      int
	cut       bool
	bad       bool
	lastIn    time.Time
	obeyed    Order
	successes uint32
	changes   int
}

func randomisedRun(t *testing.T, rng *rand.Rand) {
	const (
		duration = 20 * time.Minute
		step     = 100 * time.Millisecond
		// window is the longest time from the loss of a server to the return of
		// another: a report that has just counted, and the longest permit.
		window = 2*time.Second + hold + step
	)
	owners := make([]*modelOwner, 3+rng.IntN(9))
	for i := range owners {
		owners[i] = &modelOwner{zone: i % 3}
	}
	floor := 1 + rng.IntN(len(owners))
	loss := 0.3 * rng.Float64()
	zoneOut, judged := [3]bool{}, map[string]Judgement{}
	home := NewPermits(start, Config{})
	handover := start.Add(time.Duration(rng.Int64N(int64(duration))))
	for now := start; now.Before(start.Add(duration)); now = now.Add(step) {
		if rng.IntN(300) == 0 {
			zoneOut[rng.IntN(3)] = rng.IntN(2) == 0
		}
		if o := owners[rng.IntN(len(owners))]; rng.IntN(50) == 0 {
			o.cut, o.bad = rng.IntN(4) == 0, rng.IntN(3) == 0
		}
		if !handover.IsZero() && now.After(handover) {
			// The successor waits 4 s after the change was attested; the earlier home
			// may grant for 3 s of them.
			if now.Sub(handover) > 3*time.Second {
				home = nil
			}
			if now.Sub(handover) > 4*time.Second {
				home, handover = NewPermits(now, Config{}), time.Time{}
			}
		}
		recent, ejected := 0, 0
		for i, o := range owners {
			if !zoneOut[o.zone] {
				o.lastIn = now
			}
			if now.Sub(o.lastIn) < window && !o.lastIn.IsZero() {
				recent++
			}
			current := o.holder.Order(now)
			if current != o.obeyed {
				o.changes++
				o.obeyed, o.successes = current, 0
			}
			if home != nil && (int(now.Sub(start)/step)+i)%5 == 0 {
				exchange(rng, now, home, o, i, !zoneOut[o.zone], floor, loss, judged)
			}
			if o.holder.Order(now) != Serve {
				ejected++
			}
		}
		if ejected > 0 && recent-ejected < floor {
			t.Fatalf("%v: %d ejected of %d, floor %d", now.Sub(start), ejected, recent, floor)
		}
	}
	for _, o := range owners {
		require.LessOrEqual(t, o.changes, int(duration/(5*time.Second)), "state changes in 20 minutes")
	}
}

// exchange is one report and its answer; either may be lost.
func exchange(rng *rand.Rand, now time.Time, home *Permits, o *modelOwner, i int, inService bool, floor int, loss float64, judged map[string]Judgement) {
	if o.cut || rng.Float64() < loss {
		return
	}
	st := Status{Server: fmt.Sprint(i), InService: inService, Obeyed: o.holder.Order(now)}
	if st.Obeyed == Trial {
		if o.bad {
			st.TrialFailures = 1
		}
		o.successes++
		st.TrialSuccesses = o.successes
	}
	judged[st.Server] = Judgement{Bad: o.bad, Score: rng.Float64()}
	home.Observe(now, st)
	home.Decide(now, floor, judged)
	if order := home.Order(now, st.Server); rng.Float64() >= loss {
		o.holder.Apply(now, order)
	}
}

// Guards against a bad server that leaves and returns with every change of the
// attested count around the floor.
func TestReturnedServerStays(t *testing.T) {
	b := newBench(2, "a", "b", "c")
	b.judged["a"] = Judgement{Bad: true, Score: 20}
	for range 60 {
		b.status["c"].InService = !b.status["c"].InService
		b.run(time.Second)
	}
	require.LessOrEqual(t, b.permits.Counters().Ejections, 12)
	require.Positive(t, b.permits.Counters().Returned)
}
