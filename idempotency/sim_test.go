package idempotency

import (
	"container/heap"
	"encoding/binary"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/google/uuid"
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

var simulationStart = time.Unix(1_800_000_000, 0)

// event is a function that runs at a simulated time.
type event struct {
	at  time.Duration
	seq int
	run func()
}

// queue is a heap of events, ordered by time and order of scheduling.
type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	e := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return e
}

// simCoordinator is the coordinator of the only partition during one term.
type simCoordinator struct {
	store                   *Store
	clockRate               float64       // of its monotonic clock, relative to simulated time
	wallOffset              time.Duration // of its wall clock
	activeFrom, activeUntil time.Duration // term in which it is active and fresh
	exitedAt                time.Duration
	pausedUntil             time.Duration // end of the current pause
	coverage                Coverage
}

func (c *simCoordinator) clock(t time.Duration) time.Time {
	return simulationStart.Add(time.Duration(float64(t) * c.clockRate))
}

// simKey is an idempotency key sent by a caller.
type simKey struct {
	value     string
	hasTime   bool
	createdAt time.Duration
	runs      int
	grants    int // attempts that hold a grant and have not ended
}

// simulation runs a sequence of coordinators and callers in simulated time.
type simulation struct {
	rng                 *rand.Rand
	now                 time.Duration
	events              queue
	scheduled           int
	coordinators        []*simCoordinator
	falseRefusals       map[string]int // may-have-run results for keys that never ran
	coordinatorLossOnly bool           // the loss of a coordinator is the only fault
	runs                int
	err                 error
}

const forever = 1 << 60

func (s *simulation) schedule(d time.Duration, run func()) {
	s.scheduled++
	heap.Push(&s.events, event{at: s.now + d, seq: s.scheduled, run: run})
}

func (s *simulation) randomDuration(d time.Duration) time.Duration {
	return time.Duration(s.rng.Int64N(int64(d)))
}

// newCoordinator adds a coordinator. The given previous one may return with its
// old records.
func (s *simulation) newCoordinator(previous *simCoordinator) *simCoordinator {
	c := &simCoordinator{clockRate: 0.995 + s.rng.Float64()/100, wallOffset: s.randomDuration(2*time.Second) - time.Second, activeUntil: forever, exitedAt: forever}
	if previous != nil && previous.exitedAt == forever && s.rng.IntN(2) == 0 {
		c.clockRate, c.wallOffset, c.store = previous.clockRate, previous.wallOffset, previous.store // a returning coordinator has its old records
	} else {
		c.store = NewStore(c.clock(s.now), DefaultLimits())
	}
	s.coordinators = append(s.coordinators, c)
	return c
}

// replaceCoordinator replaces the coordinator: a quorum attests the member
// change at now.
func (s *simulation) replaceCoordinator(planned bool) {
	old := s.coordinators[len(s.coordinators)-1]
	var returning *simCoordinator
	if len(s.coordinators) > 1 {
		returning = s.coordinators[len(s.coordinators)-2]
	}
	c := s.newCoordinator(returning)
	c.activeFrom = s.now + time.Duration(float64(4*time.Second)/c.clockRate)
	c.coverage = Coverage{Since: c.clock(c.activeFrom)}
	switch {
	case planned: // graceful shutdown: the old coordinator stops acting, then exports its records
		old.activeUntil = s.now
		transit := s.randomDuration(2 * time.Second)
		records := old.store.Export(old.clock(s.now))
		age := old.clock(s.now).Sub(old.coverage.Since)
		s.schedule(transit, func() {
			if err := c.store.Import(c.clock(s.now), records, 0); err != nil {
				s.err = err
			}
			c.coverage = Coverage{Complete: old.coverage.Complete, Since: c.clock(s.now).Add(-age)}
		})
		old.exitedAt = s.now + 3*time.Second
	case s.rng.IntN(2) == 0: // crash
		old.activeUntil, old.exitedAt = s.now, s.now
	default: // network partition: the old coordinator is fresh until the staleness bound passes
		old.activeUntil = s.now + s.randomDuration(3030*time.Millisecond)
	}
}

// attempt sends the key once through an entry node: claim, dispatch, result.
func (s *simulation) attempt(k *simKey, id string) {
	deadline := s.now + 5*time.Second
	dispatched := false
	for i := range 1 + s.rng.IntN(2) { // the entry node may repeat a claim whose response is late
		if s.coordinatorLossOnly && i > 0 {
			break
		}
		c := s.coordinators[max(0, len(s.coordinators)-1-s.rng.IntN(3)*s.rng.IntN(2))]
		s.schedule(s.randomDuration(100*time.Millisecond), func() { s.deliverClaim(c, k, id, deadline, &dispatched) })
	}
}

// deliverClaim processes a claim at its coordinator.
func (s *simulation) deliverClaim(c *simCoordinator, k *simKey, id string, deadline time.Duration, dispatched *bool) {
	if s.now < c.pausedUntil {
		s.schedule(c.pausedUntil-s.now, func() { s.deliverClaim(c, k, id, deadline, dispatched) })
		return
	}
	if s.now < c.activeFrom || s.now >= min(c.activeUntil, c.exitedAt) {
		if s.coordinatorLossOnly && s.now+500*time.Millisecond < deadline { // the entry node retries with the current coordinator
			s.schedule(500*time.Millisecond, func() { s.deliverClaim(s.coordinators[len(s.coordinators)-1], k, id, deadline, dispatched) })
		}
		return // not fresh or not the coordinator
	}
	result := c.store.Claim(c.clock(s.now), simulationStart.Add(s.now+c.wallOffset), ClaimRequest{
		Team: "t", Key: k.value, RequestID: id, Deadline: c.clock(deadline), Coverage: c.coverage,
	})
	if result.Outcome == MayHaveRun && k.runs == 0 && k.grants == 0 && s.now-k.createdAt < DeduplicationWindow-MaxClockSkew {
		s.falseRefusals[fmt.Sprintf("time=%v", k.hasTime)]++
	}
	if result.Outcome != Granted {
		return
	}
	k.grants++
	delay := s.randomDuration(50 * time.Millisecond)
	if !s.coordinatorLossOnly && s.rng.IntN(30) == 0 { // the coordinator is paused between its check and its response
		delay = s.randomDuration(time.Duration(1+s.rng.IntN(700)) * time.Second)
		c.pausedUntil = s.now + delay
	}
	lost := s.rng.IntN(10) == 0
	s.schedule(delay, func() {
		if lost || *dispatched || s.now >= deadline {
			k.grants-- // never dispatched, but the coordinator may return may-have-run
			return
		}
		*dispatched = true
		s.execute(c, k, id)
	})
}

// execute runs the request of a granted claim.
func (s *simulation) execute(c *simCoordinator, k *simKey, id string) {
	lost := s.rng.IntN(5) == 0
	if s.rng.IntN(8) == 0 { // refused before execution
		k.grants--
		if !lost {
			s.schedule(s.randomDuration(time.Second), func() { c.store.Release("t", k.value, id) })
		}
		return
	}
	k.runs++
	s.runs++
	if k.runs > 1 {
		s.err = fmt.Errorf("at %v key %s ran %d times", s.now, k.value, k.runs)
	}
	s.schedule(s.randomDuration(4*time.Second), func() {
		k.grants--
		if !lost {
			c.store.Finish("t", k.value, id, s.rng.IntN(4) > 0, []byte("ok"))
		}
	})
}

// sendKey creates a key and sends it several times within DeduplicationWindow,
// a UUIDv7 key also after it.
func (s *simulation) sendKey(n int) {
	k := &simKey{value: fmt.Sprintf("key-%d", n), hasTime: s.rng.IntN(2) == 0, createdAt: s.now}
	horizon := 590 * time.Second
	if k.hasTime {
		var id uuid.UUID
		created := simulationStart.Add(s.now + s.randomDuration(2*time.Second) - time.Second).UnixMilli()
		binary.BigEndian.PutUint64(id[:8], uint64(created)<<16|0x7000)
		binary.BigEndian.PutUint64(id[8:], 1<<63|uint64(n))
		k.value, horizon = id.String(), 20*time.Minute
	}
	at := time.Duration(0)
	for try := range 1 + s.rng.IntN(7) {
		if s.coordinatorLossOnly && try > 0 {
			break
		}
		s.schedule(at, func() { s.attempt(k, fmt.Sprintf("%d-%d", n, try)) })
		at += s.randomDuration(time.Duration(1+s.rng.IntN(2)*s.rng.IntN(400)) * 2 * time.Second)
		if at > horizon {
			break
		}
	}
}

func runSimulation(seed uint64, planned func(*rand.Rand) bool) *simulation {
	s := &simulation{rng: rand.New(rand.NewPCG(seed, 2)), falseRefusals: map[string]int{}}
	first := s.newCoordinator(nil)
	first.coverage = Coverage{Complete: true}
	for i := range 10 {
		s.schedule(time.Duration(i+1)*3*time.Minute+s.randomDuration(2*time.Minute), func() { s.replaceCoordinator(planned(s.rng)) })
	}
	for n := range 400 {
		s.schedule(s.randomDuration(35*time.Minute), func() { s.sendKey(n) })
	}
	s.runEvents()
	return s
}

func (s *simulation) runEvents() {
	for s.events.Len() > 0 && s.err == nil {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
}

// Guards against a key that runs twice while coordinators crash, are
// partitioned, paused and replaced, clocks differ, and callers resend through
// any entry node. The test logs the number of false refusals.
func TestKeyRunsAtMostOnce(t *testing.T) {
	modes := []struct {
		name    string
		planned func(*rand.Rand) bool
	}{
		{"losses", func(*rand.Rand) bool { return false }},
		{"graceful shutdowns", func(*rand.Rand) bool { return true }},
		{"mixed", func(r *rand.Rand) bool { return r.IntN(2) == 0 }},
	}
	for _, mode := range modes {
		refused, runs, changes := map[string]int{}, 0, 0
		rapid.Check(t, func(rt *rapid.T) {
			seed := rapid.Uint64().Draw(rt, "seed")
			s := runSimulation(seed, mode.planned)
			if s.err != nil {
				rt.Fatalf("%s, seed %d: %v", mode.name, seed, s.err)
			}
			runs, changes = runs+s.runs, changes+len(s.coordinators)-1
			for kind, n := range s.falseRefusals {
				refused[kind] += n
			}
		})
		t.Logf("%s, rapid seed %s: %d runs, %d changes, false refusals %v", mode.name,
			flag.Lookup("rapid.seed").Value, runs, changes, refused)
		require.Positive(t, runs)
	}
}

// Guards against a change after which the loss of a coordinator refuses many
// keys: each of 20 coordinators is lost once while 10 keys a second arrive,
// half of them UUIDv7, with no other fault. UUIDv7 keys are refused for the
// activation delay of 4 s (those that are still within their deadline) and the
// clock skew of 2 s, others until DeduplicationWindow has passed.
func TestFalseRefusalsPerCoordinatorLoss(t *testing.T) {
	const losses = 20
	total := map[string]int{}
	for seed := range uint64(losses) {
		s := &simulation{rng: rand.New(rand.NewPCG(seed, 3)), falseRefusals: map[string]int{}, coordinatorLossOnly: true}
		s.newCoordinator(nil).coverage = Coverage{Complete: true}
		s.schedule(time.Minute, func() { s.replaceCoordinator(false) })
		for n := range 10 * 60 * 15 {
			s.schedule(time.Duration(n)*100*time.Millisecond, func() { s.sendKey(n) })
		}
		s.runEvents()
		require.NoError(t, s.err)
		for kind, n := range s.falseRefusals {
			total[kind] += n
		}
	}
	t.Logf("false refusals per loss at 5 keys/s of each kind: UUIDv7 %.1f, without a timestamp %.1f",
		float64(total["time=true"])/losses, float64(total["time=false"])/losses)
	require.Less(t, total["time=true"], losses*5*8)
	require.Less(t, total["time=false"], losses*5*650)
}
