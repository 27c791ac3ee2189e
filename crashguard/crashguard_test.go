package crashguard

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// simulate simulates random requests on 6 owners. It returns the number of
// crashes caused by a poison request, the number of its other copies in flight
// at the first crash and at the crash that blocks it, and the number of
// harmless requests that were rejected. If guarded is set, an owner applies the
// changes of the coordinator before each of its requests.
func simulate(seed uint64, guarded bool) (crashes, extraCopies, refused int) {
	r := rand.New(rand.NewPCG(seed, 1))
	coordinator, now := NewCoordinator(), time.Unix(1_800_000_000, 0)
	poison := NewFingerprint("/orders", "POST", []byte("poison"), "")
	owners, incarnations := make([]*Owner, 6), make([]int, 6)
	for i := range owners {
		owners[i] = NewOwner()
	}
	for id := uint64(1); id < 4000; id++ {
		now = now.Add(10 * time.Millisecond)
		i := r.IntN(len(owners))
		o := owners[i]
		if guarded {
			changes, version := coordinator.Changes(now, o.Version)
			o.Apply(now, changes, version)
		}
		f := poison
		if r.IntN(20) > 0 {
			f = NewFingerprint("/catalogue", "GET", nil, fmt.Sprint(r.IntN(50)))
		}
		if o.Start(now, id, f) == Refuse && f != poison {
			refused++
		}
		for running, f := range o.inFlight {
			if f == poison && r.IntN(2) == 0 {
				state := coordinator.records[poison].state
				if crashes == 0 || state == Suspect && o.suspectRunning {
					extraCopies += countInFlight(owners, poison) - 1
				}
				crashes++
				incarnations[i]++
				coordinator.Report(now, o.Restarted(now, fmt.Sprint(i), fmt.Sprint(incarnations[i])))
				break
			}
			if f != poison && r.IntN(2) == 0 {
				if f, suspectCompleted := o.Done(running); suspectCompleted {
					coordinator.SuspectCompleted(now, f)
				}
			}
		}
	}
	return crashes, extraCopies, refused
}

func countInFlight(owners []*Owner, f Fingerprint) (n int) {
	for _, o := range owners {
		for _, g := range o.inFlight {
			if g == f {
				n++
			}
		}
	}
	return n
}

// Guards against a poison request that crashes one server after the other, and
// against rejecting requests that ran concurrently with it.
func TestCrashesAreBounded(t *testing.T) {
	for seed := range uint64(200) {
		crashes, copies, refused := simulate(seed, true)
		require.LessOrEqual(t, crashes, 2+copies, "seed %d", seed)
		require.Zero(t, refused, "seed %d", seed)
	}
	without, _, _ := simulate(1, false)
	with, _, _ := simulate(1, true)
	t.Logf("crashes with crashguard: %d, without: %d", with, without)
	require.Greater(t, without, 10*with)
}

// Guards against unbounded memory use by crash reports.
func TestRecordsAreBoundedAndExpire(t *testing.T) {
	coordinator, now := NewCoordinator(), time.Unix(1_800_000_000, 0)
	for i := range MaxRecords + 10 {
		coordinator.Report(now, Crash{BackendServer: "a", Incarnation: fmt.Sprint(i), Fingerprints: []Fingerprint{{byte(i), byte(i >> 8), 1}, {byte(i), byte(i >> 8), 2}}})
	}
	require.LessOrEqual(t, len(coordinator.records), MaxRecords)
	changes, _ := coordinator.Changes(now.Add(Expiry+time.Second), 0)
	require.Empty(t, changes)
}

func BenchmarkStartDone(b *testing.B) {
	o, now := NewOwner(), time.Unix(1_800_000_000, 0)
	f := NewFingerprint("/orders", "POST", nil, "")
	for b.Loop() {
		o.Start(now, 1, f)
		o.Done(1)
	}
}

// Guards against blocking a frequent harmless request that is in flight at
// crashes caused by another request.
func TestConcurrentCrashDoesNotBlock(t *testing.T) {
	coordinator, now, f := NewCoordinator(), time.Unix(1_800_000_000, 0), Fingerprint{1}
	for _, server := range []string{"a", "b", "c"} {
		coordinator.Report(now, Crash{BackendServer: server, Incarnation: "1", Fingerprints: []Fingerprint{f, {2}}})
	}
	require.Equal(t, Suspect, coordinator.records[f].state)
	coordinator.Report(now, Crash{BackendServer: "d", Incarnation: "1", Alone: true, Fingerprints: []Fingerprint{f}})
	require.Equal(t, Blocked, coordinator.records[f].state)
}

// Guards against a crash without fingerprints because the connections were lost
// before the restart was detected, and against suspecting a request whose
// connection was closed by a server that did not crash.
func TestConnectionLostBeforeRestart(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	a, b := NewFingerprint("a", "GET", nil, ""), NewFingerprint("b", "GET", nil, "")
	o, coordinator := NewOwner(), NewCoordinator()
	o.Start(now, 1, a)
	o.Start(now, 2, b)
	o.ConnectionLost(now, 1)
	o.ConnectionLost(now, 2)
	require.Equal(t, Run, o.Start(now.Add(time.Second), 3, a), "a lost connection must not delay other requests")
	o.Done(3)
	coordinator.Report(now, o.Restarted(now, "s", "1"))
	changes, version := coordinator.Changes(now, 0)
	require.Len(t, changes, 2)
	o.Apply(now, changes, version)

	require.Equal(t, Run, o.Start(now, 4, a))
	require.Equal(t, Delay, o.Start(now, 5, b))
	o.ConnectionLost(now, 4)
	crash := o.Restarted(now, "s", "2")
	require.True(t, crash.Alone)
	require.Equal(t, []Fingerprint{a}, crash.Fingerprints)

	o.Start(now, 6, b)
	o.EndedWithoutResponse(6)
	require.Equal(t, Suspect, o.State(now, b), "a request that its caller canceled remains a suspect")
	require.Equal(t, Run, o.Start(now, 6, b))
	o.ConnectionLost(now, 6)
	o.ResponseReceived(now.Add(time.Millisecond))
	require.Empty(t, o.Restarted(now, "s", "3").Fingerprints)
	o.Start(now, 7, b)
	o.ConnectionLost(now, 7)
	require.Empty(t, o.Restarted(now.Add(lostRequestLifetime), "s", "4").Fingerprints)
}
