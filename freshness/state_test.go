package freshness

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var testTime = time.Unix(1000, 0)

// attesters returns the names a1 to an.
func attesters(n int) []string {
	var out []string
	for i := 1; i <= n; i++ {
		out = append(out, fmt.Sprintf("a%d", i))
	}
	return out
}

// attestationsFrom returns attestations of v at the given age by the attesters
// a<from> to a<to>.
func attestationsFrom(from, to int, v Versions, age time.Duration) []Attestation {
	var out []Attestation
	for i := from; i <= to; i++ {
		out = append(out, Attestation{Attester: fmt.Sprintf("a%d", i), Versions: v, Age: age})
	}
	return out
}

// newStateAt returns the state of a node that has applied v, in a fleet of n
// attesters.
func newStateAt(self string, n int, v Versions) *State {
	s := NewState(self)
	s.RecordConfig(v.Config)
	s.RecordMembers(v.Members, attesters(n), testTime)
	return s
}

// Guards against two attester sets that differ by one replacement and have
// quorums without a common attester.
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

// Guards against freshness that lasts longer than MaxAttestationAge or that
// relays extend.
func TestFreshnessExpires(t *testing.T) {
	v := Versions{Config: 5, Members: 2}
	s := newStateAt("x", 9, v)
	now := testTime.Add(time.Minute)
	require.False(t, s.Fresh(now))
	s.Merge(attestationsFrom(1, 5, v, time.Second), 100*time.Millisecond, now)
	require.False(t, s.Fresh(now), "five of nine are not a quorum")
	s.Merge(attestationsFrom(6, 6, v, 500*time.Millisecond), 0, now)
	require.Equal(t, now.Add(1900*time.Millisecond), s.FreshUntil(now))
	require.False(t, s.Fresh(now.Add(1901*time.Millisecond)))

	relayed := s.Export(now.Add(time.Second))
	require.Equal(t, 2100*time.Millisecond, relayed[0].Age)
	s.Merge([]Attestation{{Attester: "a9", Versions: v, Age: time.Second, FromTable: true}}, 0, now)
	require.Equal(t, now.Add(2*time.Second), s.FreshUntil(now), "one table read is sufficient")
	s.Merge(attestationsFrom(1, 1, Versions{Config: 6, Members: 2}, time.Second), 0, now)
	require.False(t, s.Fresh(now), "a higher version was observed")
	s.RecordConfig(6)
	require.True(t, s.Fresh(now))
}

// Guards against attestations with a negative age or one above the limit that
// make a node fresh.
func TestMergeRejectsInvalidAges(t *testing.T) {
	v := Versions{Config: 5, Members: 2}
	s := newStateAt("x", 3, v)
	s.Merge(attestationsFrom(1, 3, v, -time.Second), 0, testTime)
	s.Merge(attestationsFrom(1, 3, v, MaxAttestationAge+1), 0, testTime)
	s.Merge(attestationsFrom(1, 3, v, 0), -time.Second, testTime)
	require.False(t, s.Fresh(testTime))
	require.Empty(t, s.byAttester)
}

// Guards against attestations made before a restart that are combined with
// current ones of other attesters: a restarted attester has to wait for
// restartDelay.
func TestRestartedAttesterWaits(t *testing.T) {
	v := Versions{Config: 5, Members: 2}
	s := newStateAt("a1", 9, v)
	require.False(t, s.MayAttest())
	s.Merge(attestationsFrom(2, 9, v, 0), 0, testTime.Add(time.Second))
	require.False(t, s.MayAttest(), "the others may not have received its earlier attestations yet")
	late := testTime.Add(restartDelay + time.Second)
	s.Merge(attestationsFrom(2, 6, v, 0), 0, late)
	require.False(t, s.MayAttest(), "five of the eight others are not a quorum")
	s.Merge(attestationsFrom(7, 7, Versions{Config: 6, Members: 2}, 0), 0, late)
	require.False(t, s.MayAttest(), "it has not applied the versions that the quorum attested")
	s.RecordConfig(6)
	s.Merge(nil, 0, late)
	require.True(t, s.MayAttest())

	s.RecordMembers(3, attesters(9)[1:], late)
	s.RecordMembers(4, attesters(9), late)
	require.False(t, s.MayAttest(), "it was replaced in between")
}

// Guards against a table read that counts before its versions are applied, when
// no node could pull them during an outage, and against a read that started
// before the node became an attester.
func TestTableReadCountsOnceApplied(t *testing.T) {
	s := newStateAt("a1", 9, Versions{Config: 5, Members: 2})
	s.RecordTableRead(Versions{Config: 5, Members: 2}, testTime.Add(-time.Millisecond))
	require.False(t, s.MayAttest(), "the read started before the node became an attester")
	s.RecordTableRead(Versions{Config: 6, Members: 2}, testTime.Add(time.Second))
	require.False(t, s.MayAttest())
	require.False(t, s.Fresh(testTime.Add(time.Second)))
	for _, a := range s.Export(testTime.Add(time.Second)) {
		require.LessOrEqual(t, a.Versions.Config, uint64(5))
	}
	s.RecordConfig(6)
	require.True(t, s.MayAttest())
	require.True(t, s.Fresh(testTime.Add(time.Second)))
}

// Guards against versions that are accepted with too few attestations or with
// those of an outdated attester set.
func TestQuorumVersionsRequireCurrentAttesterSet(t *testing.T) {
	s := newStateAt("x", 9, Versions{Config: 9, Members: 7})
	s.Merge(attestationsFrom(1, 4, Versions{Config: 9, Members: 6}, 0), 0, testTime)
	s.Merge(attestationsFrom(5, 6, Versions{Config: 8, Members: 7}, 0), 0, testTime)
	require.Equal(t, Versions{Config: 8, Members: 6}, s.QuorumVersions(testTime))
	require.Equal(t, Versions{}, s.QuorumVersions(testTime.Add(MaxAttestationAge+1)))
	s.Merge(attestationsFrom(7, 7, Versions{Config: 8, Members: 8}, 0), 0, testTime)
	require.Equal(t, Versions{}, s.QuorumVersions(testTime))
}

// Guards against two successive replacements of attesters without a quorum in
// between: the resulting sets have quorums that do not intersect.
func TestAttesterSetConfirmedByQuorum(t *testing.T) {
	s := newStateAt("x", 9, Versions{Config: 1, Members: 7})
	s.Merge(attestationsFrom(1, 9, Versions{Config: 1, Members: 7}, 0), 0, testTime)
	require.True(t, s.AttesterSetConfirmed(testTime))
	s.RecordMembers(8, attesters(9), testTime)
	require.True(t, s.AttesterSetConfirmed(testTime), "the set did not change")
	s.RecordMembers(9, attesters(10)[1:], testTime)
	require.False(t, s.AttesterSetConfirmed(testTime))
	s.Merge(attestationsFrom(2, 7, Versions{Config: 1, Members: 9}, 0), 0, testTime.Add(time.Second))
	require.True(t, s.AttesterSetConfirmed(testTime.Add(time.Second)))
	require.True(t, s.AttesterSetConfirmed(testTime.Add(time.Hour)), "the removal of a lost attester must stay possible")
}

func BenchmarkMergeAndFresh(b *testing.B) {
	v := Versions{Config: 5, Members: 2}
	s, attestations := newStateAt("x", 30, v), attestationsFrom(1, 30, v, time.Second)
	b.ReportAllocs()
	for i := range b.N {
		now := testTime.Add(time.Duration(i) * time.Millisecond)
		s.Merge(attestations, time.Millisecond, now)
		if !s.Fresh(now) {
			b.Fatal("not fresh")
		}
	}
}
