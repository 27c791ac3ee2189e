package ejection

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1_000_000, 0)

// bench simulates servers whose owner nodes apply every order immediately.
type bench struct {
	permits     *Permits
	now         time.Time
	floor       int
	status      map[string]*Status
	assessments map[string]Assessment
}

func newBench(floor int, names ...string) *bench {
	b := &bench{now: start, floor: floor, permits: NewPermits(start, Config{}), status: map[string]*Status{}, assessments: map[string]Assessment{}}
	for _, n := range names {
		b.status[n] = &Status{Server: n, InService: true}
	}
	return b
}

// run simulates the given time with reports of all owners every 500 ms.
func (b *bench) run(d time.Duration) {
	for end := b.now.Add(d); b.now.Before(end); b.now = b.now.Add(500 * time.Millisecond) {
		for _, st := range b.status {
			b.permits.Observe(b.now, *st)
		}
		b.permits.Decide(b.now, b.floor, b.assessments)
		for n, st := range b.status {
			if o := b.permits.Order(b.now, n); o != st.AppliedOrder {
				st.AppliedOrder, st.TrialSuccesses, st.TrialFailures = o, 0, 0
			}
		}
	}
}

func (b *bench) ejected() []string { return b.permits.Ejected(b.now) }

// Guards against a new coordinator that grants permits while permits of the
// previous one may be in effect.
func TestNewCoordinatorDelaysEjections(t *testing.T) {
	b := newBench(1, "a", "b", "c")
	b.assessments["a"] = Assessment{Faulty: true, Score: 20}
	b.run(4 * time.Second)
	require.Empty(t, b.ejected())
	b.run(time.Second)
	require.Equal(t, []string{"a"}, b.ejected())
}

// Guards against ejections below the floor, and against ejecting the server
// with the lower of two scores.
func TestFloorLimitsEjection(t *testing.T) {
	b := newBench(3, "a", "b", "c", "d")
	b.assessments["a"], b.assessments["b"] = Assessment{Faulty: true, Score: 20}, Assessment{Faulty: true, Score: 25}
	b.run(6 * time.Second)
	require.Equal(t, []string{"b"}, b.ejected())
	require.Equal(t, 1, b.permits.Counters().Refused)
}

// Guards against ejected servers that do not return, or return in the wrong
// order, when an availability zone is evacuated, the floor increases or an
// owner stops reporting.
func TestLowestScoreReturnsFirst(t *testing.T) {
	for name, shrink := range map[string]func(*bench){
		"zone out of service":   func(b *bench) { b.status["d"].InService = false },
		"floor increased":       func(b *bench) { b.floor++ },
		"owner stops reporting": func(b *bench) { delete(b.status, "d") },
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(2, "a", "b", "c", "d")
			b.assessments["a"], b.assessments["b"] = Assessment{Faulty: true, Score: 25}, Assessment{Faulty: true, Score: 20}
			b.run(6 * time.Second)
			require.Equal(t, []string{"a", "b"}, b.ejected())
			shrink(b)
			b.run(3 * time.Second)
			require.Equal(t, []string{"a"}, b.ejected())
		})
	}
}

// Guards against a lost or delayed response after which a permit is not counted
// although the owner applies it, and against permits that count indefinitely.
func TestUnreportedPermitCounts(t *testing.T) {
	b := newBench(1, "a", "b", "c")
	b.assessments["a"] = Assessment{Faulty: true, Score: 20}
	b.run(5 * time.Second)
	b.status["a"].AppliedOrder = Serve // The response with the permit was lost.
	delete(b.assessments, "a")
	b.permits.servers["a"].setOrder(b.now, Serve)
	require.Equal(t, []string{"a"}, b.ejected())
	require.Equal(t, 2, b.permits.capacity(b.now))
	b.run(500 * time.Millisecond)
	require.Empty(t, b.ejected())

	var h Holder
	h.Apply(start, Eject)
	require.Equal(t, Eject, h.Order(start.Add(Expiry-1)))
	require.Equal(t, Serve, h.Order(start.Add(Expiry)))
	require.Greater(t, permitLifetime, Expiry+Expiry/100, "the permit lasts longer if the clock of the owner is slow")
}

// Guards against re-admission without a trial, against a trial that a slow or
// failing server passes, and against a backoff that does not increase or decay.
func TestTrialAndBackoff(t *testing.T) {
	b := newBench(1, "a", "b", "c")
	b.assessments["a"] = Assessment{Faulty: true, Score: 20}
	b.run(5 * time.Second)
	for _, backoff := range []time.Duration{5, 10, 20, 40, 80, 160, 300, 300} {
		require.Equal(t, backoff*time.Second, b.permits.servers["a"].backoff)
		b.run(backoff*time.Second - time.Second)
		require.Equal(t, Eject, b.status["a"].AppliedOrder)
		b.run(2 * time.Second)
		require.Equal(t, Trial, b.status["a"].AppliedOrder)
		if backoff == 5 {
			b.status["a"].TrialSuccesses = 5
			b.assessments["a"] = Assessment{Slow: true}
		} else {
			b.status["a"].TrialSuccesses, b.status["a"].TrialFailures = 9, 1
		}
		b.run(500 * time.Millisecond)
	}
	b.run(301 * time.Second)
	delete(b.assessments, "a")
	b.status["a"].TrialSuccesses = 5
	b.run(time.Second)
	require.Equal(t, Serve, b.status["a"].AppliedOrder)
	b.run(10 * time.Minute)
	b.assessments["a"] = Assessment{Faulty: true, Score: 20}
	b.run(time.Second)
	require.Equal(t, 600*time.Second>>5, b.permits.servers["a"].backoff)
}

// Guards against ejections below the floor and against flapping, with a change
// of the coordinator, lost messages, partitions, availability zones that are
// evacuated and return, and random assessments.
func TestRandomizedFloor(t *testing.T) {
	for seed := range uint64(200) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runRandomized(t, rand.New(rand.NewPCG(seed, 1))) })
	}
}

type simulatedOwner struct {
	holder        Holder
	zone          int
	disconnected  bool
	faulty        bool
	lastInService time.Time
	order         Order
	successes     uint32
	changes       int
}

func runRandomized(t *testing.T, rng *rand.Rand) {
	const (
		duration = 20 * time.Minute
		step     = 100 * time.Millisecond
		// maxReturnDelay is the maximum time from the loss of a server to the return of
		// another: the report timeout plus the maximum lifetime of a permit.
		maxReturnDelay = 2*time.Second + permitLifetime + step
	)
	owners := make([]*simulatedOwner, 3+rng.IntN(9))
	for i := range owners {
		owners[i] = &simulatedOwner{zone: i % 3}
	}
	floor := 1 + rng.IntN(len(owners))
	loss := 0.3 * rng.Float64()
	evacuated, assessments := [3]bool{}, map[string]Assessment{}
	coordinator := NewPermits(start, Config{})
	handover := start.Add(time.Duration(rng.Int64N(int64(duration))))
	for now := start; now.Before(start.Add(duration)); now = now.Add(step) {
		if rng.IntN(300) == 0 {
			evacuated[rng.IntN(3)] = rng.IntN(2) == 0
		}
		if o := owners[rng.IntN(len(owners))]; rng.IntN(50) == 0 {
			o.disconnected, o.faulty = rng.IntN(4) == 0, rng.IntN(3) == 0
		}
		if !handover.IsZero() && now.After(handover) {
			// The new coordinator starts 4 s after the change was acknowledged. The
			// previous one may grant permits in the first 3 s.
			if now.Sub(handover) > 3*time.Second {
				coordinator = nil
			}
			if now.Sub(handover) > 4*time.Second {
				coordinator, handover = NewPermits(now, Config{}), time.Time{}
			}
		}
		recent, ejected := 0, 0
		for i, o := range owners {
			if !evacuated[o.zone] {
				o.lastInService = now
			}
			if now.Sub(o.lastInService) < maxReturnDelay && !o.lastInService.IsZero() {
				recent++
			}
			current := o.holder.Order(now)
			if current != o.order {
				o.changes++
				o.order, o.successes = current, 0
			}
			if coordinator != nil && (int(now.Sub(start)/step)+i)%5 == 0 {
				exchange(rng, now, coordinator, o, i, !evacuated[o.zone], floor, loss, assessments)
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

// exchange simulates one report and its response, either of which may be lost.
func exchange(rng *rand.Rand, now time.Time, coordinator *Permits, o *simulatedOwner, i int, inService bool, floor int, loss float64, assessments map[string]Assessment) {
	if o.disconnected || rng.Float64() < loss {
		return
	}
	st := Status{Server: fmt.Sprint(i), InService: inService, AppliedOrder: o.holder.Order(now)}
	if st.AppliedOrder == Trial {
		if o.faulty {
			st.TrialFailures = 1
		}
		o.successes++
		st.TrialSuccesses = o.successes
	}
	assessments[st.Server] = Assessment{Faulty: o.faulty, Score: rng.Float64()}
	coordinator.Observe(now, st)
	coordinator.Decide(now, floor, assessments)
	if order := coordinator.Order(now, st.Server); rng.Float64() >= loss {
		o.holder.Apply(now, order)
	}
}

// Guards against a faulty server that is ejected and returned with every change
// of the capacity around the floor.
func TestReturnedServerStays(t *testing.T) {
	b := newBench(2, "a", "b", "c")
	b.assessments["a"] = Assessment{Faulty: true, Score: 20}
	for range 60 {
		b.status["c"].InService = !b.status["c"].InService
		b.run(time.Second)
	}
	require.LessOrEqual(t, b.permits.Counters().Ejections, 12)
	require.Positive(t, b.permits.Counters().Returned)
}
