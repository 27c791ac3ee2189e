package freshness

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

// attesters returns the names a1 to an.
func attesters(n int) []string {
	var out []string
	for i := 1; i <= n; i++ {
		out = append(out, fmt.Sprintf("a%d", i))
	}
	return out
}

// heard returns attestations of v by a<from> to a<to> at the given age.
func heard(from, to int, v Versions, age time.Duration) []Attestation {
	var out []Attestation
	for i := from; i <= to; i++ {
		out = append(out, Attestation{Attester: fmt.Sprintf("a%d", i), Versions: v, Age: age})
	}
	return out
}

func holding(self string, n int, v Versions) *State {
	s := NewState(self)
	s.HoldConfig(v.Config)
	s.HoldMembers(v.Members, attesters(n), start)
	return s
}

// Guards against quorums of two sets that differ by one replaced attester
// having no attester in common.
func TestQuorumsIntersect(t *testing.T) {
	for n, want := range map[int]int{0: 0, 1: 1, 2: 2, 3: 3, 4: 4, 5: 4, 6: 5, 8: 6, 9: 6, 30: 17} {
		require.Equal(t, want, Quorum(n), n)
	}
	for n := 2; n <= 60; n++ {
		require.Greater(t, 2*Quorum(n), n+1, "replacement among %d", n)
		require.Greater(t, Quorum(n)+Quorum(n-1), n, "removal among %d", n)
		if q := restartQuorum(n); q > 0 {
			require.Greater(t, q+Quorum(n)-1, n, "restart among %d", n)
		}
	}
}

// Guards against freshness that outlasts the window, or that relays extend.
func TestFreshUntil(t *testing.T) {
	v := Versions{Config: 5, Members: 2}
	s := holding("x", 9, v)
	now := start.Add(time.Minute)
	require.False(t, s.Fresh(now))
	s.Merge(heard(1, 5, v, time.Second), 100*time.Millisecond, now)
	require.False(t, s.Fresh(now), "five of nine are no quorum")
	s.Merge(heard(6, 6, v, 500*time.Millisecond), 0, now)
	require.Equal(t, now.Add(1900*time.Millisecond), s.FreshUntil(now))
	require.False(t, s.Fresh(now.Add(1901*time.Millisecond)))

	relayed := s.Export(now.Add(time.Second))
	require.Equal(t, 2100*time.Millisecond, relayed[0].Age)
	s.Merge([]Attestation{{Attester: "a9", Versions: v, Age: time.Second, FromTable: true}}, 0, now)
	require.Equal(t, now.Add(2*time.Second), s.FreshUntil(now), "one table read is enough")
	s.Merge(heard(1, 1, Versions{Config: 6, Members: 2}, time.Second), 0, now)
	require.False(t, s.Fresh(now), "a higher version is known")
	s.HoldConfig(6)
	require.True(t, s.Fresh(now))
}

// Guards against a negative or absurd age that would make a node fresh.
func TestMergeRefusesBadAges(t *testing.T) {
	v := Versions{Config: 5, Members: 2}
	s := holding("x", 3, v)
	s.Merge(heard(1, 3, v, -time.Second), 0, start)
	s.Merge(heard(1, 3, v, Window+1), 0, start)
	s.Merge(heard(1, 3, v, 0), -time.Second, start)
	require.False(t, s.Fresh(start))
	require.Empty(t, s.vector)
}

// Guards against an attester whose attestations from before its restart are
// combined with what others attest now: it has to wait for the window.
func TestRestartedAttester(t *testing.T) {
	v := Versions{Config: 5, Members: 2}
	s := holding("a1", 9, v)
	require.False(t, s.Attesting())
	s.Merge(heard(2, 9, v, 0), 0, start.Add(time.Second))
	require.False(t, s.Attesting(), "the others may not know yet what it attested before")
	late := start.Add(restartWait + time.Second)
	s.Merge(heard(2, 6, v, 0), 0, late)
	require.False(t, s.Attesting(), "five of the eight others are no quorum")
	s.Merge(heard(7, 7, Versions{Config: 6, Members: 2}, 0), 0, late)
	require.False(t, s.Attesting(), "it lacks what the quorum attested")
	s.HoldConfig(6)
	s.Merge(nil, 0, late)
	require.True(t, s.Attesting())

	s.HoldMembers(3, attesters(9)[1:], late)
	s.HoldMembers(4, attesters(9), late)
	require.False(t, s.Attesting(), "it was replaced in between")
}

// Guards against a read of the table that counts before its versions are held
// (nobody could pull them in an outage) or that began before the duty.
func TestTableReadCountsWhenHeld(t *testing.T) {
	s := holding("a1", 9, Versions{Config: 5, Members: 2})
	s.ReadTable(Versions{Config: 5, Members: 2}, start.Add(-time.Millisecond))
	require.False(t, s.Attesting(), "the read is older than the duty")
	s.ReadTable(Versions{Config: 6, Members: 2}, start.Add(time.Second))
	require.False(t, s.Attesting())
	require.False(t, s.Fresh(start.Add(time.Second)))
	for _, a := range s.Export(start.Add(time.Second)) {
		require.LessOrEqual(t, a.Versions.Config, uint64(5))
	}
	s.HoldConfig(6)
	require.True(t, s.Attesting())
	require.True(t, s.Fresh(start.Add(time.Second)))
}

// Guards against acceptance or a new duty on the word of too few attesters or
// of an outdated attester set.
func TestQuorumVersions(t *testing.T) {
	s := holding("x", 9, Versions{Config: 9, Members: 7})
	s.Merge(heard(1, 4, Versions{Config: 9, Members: 6}, 0), 0, start)
	s.Merge(heard(5, 6, Versions{Config: 8, Members: 7}, 0), 0, start)
	require.Equal(t, Versions{Config: 8, Members: 6}, s.QuorumVersions(start))
	require.Equal(t, Versions{}, s.QuorumVersions(start.Add(Window+1)))
	s.Merge(heard(7, 7, Versions{Config: 8, Members: 8}, 0), 0, start)
	require.Equal(t, Versions{}, s.QuorumVersions(start))
}

// Guards against two successive replacements of attesters without a quorum in
// between, whose sets no longer have intersecting quorums.
func TestAttestersSettled(t *testing.T) {
	s := holding("x", 9, Versions{Config: 1, Members: 7})
	s.Merge(heard(1, 9, Versions{Config: 1, Members: 7}, 0), 0, start)
	require.True(t, s.AttestersSettled(start))
	s.HoldMembers(8, attesters(9), start)
	require.True(t, s.AttestersSettled(start), "the set did not change")
	s.HoldMembers(9, attesters(10)[1:], start)
	require.False(t, s.AttestersSettled(start))
	s.Merge(heard(2, 7, Versions{Config: 1, Members: 9}, 0), 0, start.Add(time.Second))
	require.True(t, s.AttestersSettled(start.Add(time.Second)))
	require.True(t, s.AttestersSettled(start.Add(time.Hour)), "the removal of a lost attester must stay possible")
}

func BenchmarkMergeAndFresh(b *testing.B) {
	v := Versions{Config: 5, Members: 2}
	s, atts := holding("x", 30, v), heard(1, 30, v, time.Second)
	b.ReportAllocs()
	for i := range b.N {
		now := start.Add(time.Duration(i) * time.Millisecond)
		s.Merge(atts, time.Millisecond, now)
		if !s.Fresh(now) {
			b.Fatal("not fresh")
		}
	}
}
