package crashguard

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fleet is a set of registries that exchange every notice at once.
type fleet []*Registry

func newFleet(n int) fleet {
	out := make(fleet, n)
	for i := range out {
		out[i] = NewRegistry()
	}
	return out
}

func (f fleet) spread(now time.Time, from int, n Notice) {
	for i, r := range f {
		if i != from {
			r.Observe(now, n)
		}
	}
}

// crash begins a request at a node and crashes its backend server; it reports whether
// the request was accepted.
func (f fleet) crash(now time.Time, node int, event string, others ...Fingerprint) bool {
	a, trial, _ := f[node].Begin(now, poison, false, event, time.Second)
	if a != Run {
		return false
	}
	if trial != nil {
		f.spread(now, node, *trial)
	}
	requests := []Involved{{Fingerprint: poison, Trial: trial != nil}}
	for _, o := range others {
		requests = append(requests, Involved{Fingerprint: o})
	}
	f.spread(now, node, f[node].Crash(now, "shop", event, requests))
	return true
}

var poison, popular = Fingerprint{1}, Fingerprint{2}

// Guards against a request that crashes a backend server of each node that it is sent to.
func TestRegistryBlocksAfterTheFirstTrial(t *testing.T) {
	f, now := newFleet(9), time.Now()
	crashed := 0
	for i := range 100 {
		now = now.Add(200 * time.Millisecond)
		if f.crash(now, i%len(f), fmt.Sprint("i-", i), popular) {
			crashed++
		}
		if n, cleared := f[0].Complete(now, popular); cleared {
			f.spread(now, 0, n)
		}
	}
	require.Equal(t, 2, crashed)
	for _, r := range f {
		state, remaining := r.State(now, popular)
		require.Equal(t, Unknown, state)
		require.Zero(t, remaining)
		state, remaining = r.State(now, poison)
		require.Equal(t, Blocked, state)
		require.Positive(t, remaining)
	}
	state, _ := f[3].State(now.Add(Expiry), poison)
	require.Equal(t, Unknown, state)
}

// Guards against the block of a request that ran on several backend servers that crashed at
// the same time, before any node knew of the first crash.
func TestRegistryDoesNotBlockSimultaneousCrashes(t *testing.T) {
	f, now := newFleet(4), time.Now()
	for i, r := range f {
		a, trial, _ := r.Begin(now, popular, false, fmt.Sprint("t", i), time.Second)
		require.Equal(t, Run, a)
		require.Nil(t, trial)
	}
	for i, r := range f[1:] {
		f.spread(now, i+1, r.Crash(now, "shop", fmt.Sprint("i-", i), []Involved{{Fingerprint: popular}}))
	}
	state, _ := f[0].State(now, popular)
	require.Equal(t, Suspect, state)
	// The copy that has survived clears the request everywhere.
	n, cleared := f[0].Complete(now, popular)
	require.True(t, cleared)
	f.spread(now, 0, n)
	state, _ = f[2].State(now, popular)
	require.Equal(t, Unknown, state)
}

// Guards against the block of a request whose trial meets a crash with another cause.
func TestRegistryNeedsTwoTrialsBesideOtherCrashes(t *testing.T) {
	r, now := NewRegistry(), time.Now()
	r.Crash(now, "shop", "i-1", []Involved{{Fingerprint: popular}})
	r.Crash(now, "shop", "i-2", []Involved{{Fingerprint: poison}})
	for i, want := range []State{Suspect, Blocked} {
		event := fmt.Sprint("t", i)
		a, trial, _ := r.Begin(now, popular, false, event, time.Second)
		require.Equal(t, Run, a)
		require.NotNil(t, trial)
		r.Crash(now, "shop", event, []Involved{{Fingerprint: popular, Trial: true}})
		state, _ := r.State(now, popular)
		require.Equal(t, want, state)
	}
}

func TestRegistryRunsOneCopyOfASuspect(t *testing.T) {
	r, now := NewRegistry(), time.Now()
	r.Crash(now, "shop", "i-1", []Involved{{Fingerprint: poison}})
	a, _, _ := r.Begin(now, poison, false, "t1", 400*time.Millisecond)
	require.Equal(t, Run, a)
	a, _, wait := r.Begin(now, poison, false, "t2", time.Second)
	require.Equal(t, Delay, a)
	require.Equal(t, 400*time.Millisecond, wait)
	r.EndTrial(poison, "t1")
	a, _, _ = r.Begin(now, poison, false, "t3", 400*time.Millisecond)
	require.Equal(t, Run, a)
	a, _, _ = r.Begin(now.Add(time.Second), poison, false, "t4", time.Second)
	require.Equal(t, Run, a, "the node of the trial has ended without a notice")
	a, trial, _ := r.Begin(now, popular, true, "t5", time.Second)
	require.Equal(t, Run, a)
	require.NotNil(t, trial, "the sender knows of a crash")
}

// Guards against a notice from the store that arrives after the request was cleared, and
// against one whose crash has expired.
func TestRegistryIgnoresLateNotices(t *testing.T) {
	r, now := NewRegistry(), time.Now()
	n := r.Crash(now, "shop", "i-1", []Involved{{Fingerprint: popular}})
	r.Complete(now, popular)
	r.Observe(now, n)
	state, _ := r.State(now, popular)
	require.Equal(t, Unknown, state)
	r.Observe(now, Notice{Kind: Crashed, Event: "i-0", Age: Expiry, Requests: []Involved{{Fingerprint: poison, Blocked: true}}})
	state, _ = r.State(now, poison)
	require.Equal(t, Unknown, state)
}

func TestRegistryIsBounded(t *testing.T) {
	r, now := NewRegistry(), time.Now()
	for i := range 2 * MaxRecords {
		r.Crash(now, "shop", fmt.Sprint("i-", i), []Involved{{Fingerprint: Fingerprint{byte(i), byte(i >> 8)}}})
	}
	require.LessOrEqual(t, len(r.records), MaxRecords)
	require.LessOrEqual(t, len(r.recent), maxRecentCrashes)
}
