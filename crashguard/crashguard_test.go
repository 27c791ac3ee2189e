package crashguard

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// run serves random requests of 6 owners and returns the crashes caused by one
// poisonous request, its other copies in flight at the first crash and at the
// conviction, and the number of innocent requests refused. Owners learn changes after each request at random.
func run(seed uint64, guarded bool) (crashes, copies, refused int) {
	r := rand.New(rand.NewPCG(seed, 1))
	home, now := NewHome(), time.Unix(1_800_000_000, 0)
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
			changes, version := home.Changes(now, o.Version)
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
				state := home.records[poison].state
				if crashes == 0 || state == Suspect && o.alone {
					copies += countCopies(owners, poison) - 1
				}
				crashes++
				incarnations[i]++
				home.Report(now, o.Lost(now, fmt.Sprint(i), fmt.Sprint(incarnations[i])))
				break
			}
			if f != poison && r.IntN(2) == 0 {
				if f, cleared := o.Done(running); cleared {
					home.Cleared(now, f)
				}
			}
		}
	}
	return crashes, copies, refused
}

func countCopies(owners []*Owner, f Fingerprint) (n int) {
	for _, o := range owners {
		for _, g := range o.inFlight {
			if g == f {
				n++
			}
		}
	}
	return n
}

// TestCrashesAreBounded guards against a request that crashes one server after
// the other, and against refusing requests that ran beside it.
func TestCrashesAreBounded(t *testing.T) {
	for seed := range uint64(200) {
		crashes, copies, refused := run(seed, true)
		require.LessOrEqual(t, crashes, 2+copies, "seed %d", seed)
		require.Zero(t, refused, "seed %d", seed)
	}
	without, _, _ := run(1, false)
	with, _, _ := run(1, true)
	t.Logf("crashes with guard %d, without %d", with, without)
	require.Greater(t, without, 10*with)
}

// TestRecordsAreBoundedAndExpire guards against memory that grows with reports.
func TestRecordsAreBoundedAndExpire(t *testing.T) {
	h, now := NewHome(), time.Unix(1_800_000_000, 0)
	for i := range MaxRecords + 10 {
		h.Report(now, Crash{BackendServer: "a", Incarnation: fmt.Sprint(i), Fingerprints: []Fingerprint{{byte(i), byte(i >> 8), 1}, {byte(i), byte(i >> 8), 2}}})
	}
	require.LessOrEqual(t, len(h.records), MaxRecords)
	changes, _ := h.Changes(now.Add(Expiry+time.Second), 0)
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

// TestCrashBesideOthersDoesNotConvict guards against refusing a frequent
// innocent request that is in flight at the crashes of another.
func TestCrashBesideOthersDoesNotConvict(t *testing.T) {
	h, now, f := NewHome(), time.Unix(1_800_000_000, 0), Fingerprint{1}
	for _, server := range []string{"a", "b", "c"} {
		h.Report(now, Crash{BackendServer: server, Incarnation: "1", Fingerprints: []Fingerprint{f, {2}}})
	}
	require.Equal(t, Suspect, h.records[f].state)
	h.Report(now, Crash{BackendServer: "d", Incarnation: "1", Alone: true, Fingerprints: []Fingerprint{f}})
	require.Equal(t, Convicted, h.records[f].state)
}

// Guards against a crash that is not attributed because its connections were
// lost before the restart was seen, and against blaming a request whose connection
// was cut by a server that lived on.
func TestConnectionLostBeforeRestart(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	a, b := NewFingerprint("a", "GET", nil, ""), NewFingerprint("b", "GET", nil, "")
	o, home := NewOwner(), NewHome()
	o.Start(now, 1, a)
	o.Start(now, 2, b)
	o.Broken(now, 1)
	o.Broken(now, 2)
	require.Equal(t, Run, o.Start(now.Add(time.Second), 3, a), "a lost connection blocks nothing")
	o.Done(3)
	home.Report(now, o.Lost(now, "s", "1"))
	changes, version := home.Changes(now, 0)
	require.Len(t, changes, 2)
	o.Apply(now, changes, version)

	require.Equal(t, Run, o.Start(now, 4, a))
	require.Equal(t, Delay, o.Start(now, 5, b))
	o.Broken(now, 4)
	crash := o.Lost(now, "s", "2")
	require.True(t, crash.Alone)
	require.Equal(t, []Fingerprint{a}, crash.Fingerprints)

	o.Start(now, 6, b)
	o.Unanswered(6)
	require.Equal(t, Suspect, o.State(now, b), "a request that its caller gave up is not cleared")
	require.Equal(t, Run, o.Start(now, 6, b))
	o.Broken(now, 6)
	o.Alive(now.Add(time.Millisecond))
	require.Empty(t, o.Lost(now, "s", "3").Fingerprints)
	o.Start(now, 7, b)
	o.Broken(now, 7)
	require.Empty(t, o.Lost(now.Add(brokenLifetime), "s", "4").Fingerprints)
}
