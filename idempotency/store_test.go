package idempotency

import (
	"encoding/binary"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
)

var (
	testTime         = time.Unix(100_000, 0) // reading of the monotonic clock
	testWallTime     = time.Unix(1_800_000_000, 0)
	completeCoverage = Coverage{Complete: true}
)

// uuidV7At returns a UUIDv7 key created at the given time.
func uuidV7At(at time.Time) string {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(at.UnixMilli())<<16|0x7000)
	id[8] = 0x80
	return id.String()
}

// newClaimRequest returns a claim of team a with a complete coverage.
func newClaimRequest(key, id string) ClaimRequest {
	return ClaimRequest{Team: "a", Key: key, Fingerprint: []byte("f"), RequestID: id, Deadline: testTime.Add(5 * time.Second), Coverage: completeCoverage}
}

// claim makes a claim d after testTime.
func claim(s *Store, d time.Duration, r ClaimRequest) Outcome {
	return s.Claim(testTime.Add(d), testWallTime.Add(d), r).Outcome
}

// Guards against a key that runs again although it has a record, and against a
// lost response that leaves the entry node without its grant.
func TestRecordedKeyRunsOnce(t *testing.T) {
	s := NewStore(testTime, DefaultLimits())
	require.Equal(t, Granted, claim(s, 0, newClaimRequest("k", "1")))
	require.Equal(t, Granted, claim(s, time.Second, newClaimRequest("k", "1")), "the first response was lost")
	require.Equal(t, InProgress, claim(s, time.Second, newClaimRequest("k", "2")))
	other := newClaimRequest("k", "2")
	other.Fingerprint = []byte("g")
	require.Equal(t, FingerprintMismatch, claim(s, time.Second, other))
	require.Equal(t, MayHaveRun, claim(s, 6*time.Second, newClaimRequest("k", "2")), "no result by the deadline")
	require.False(t, s.Finish("a", "k", "2", true, nil), "request 2 does not hold the claim")
	require.False(t, s.Release("a", "k", "2"))
	require.True(t, s.Finish("a", "k", "1", true, []byte("body")))
	require.False(t, s.Release("a", "k", "1"), "the request has run")
	result := s.Claim(testTime, testWallTime, newClaimRequest("k", "2"))
	require.Equal(t, ClaimResult{Outcome: Completed, Response: []byte("body")}, result)

	require.Equal(t, Granted, claim(s, 0, newClaimRequest("l", "1")))
	require.True(t, s.Finish("a", "l", "1", false, nil))
	require.Equal(t, MayHaveRun, claim(s, 0, newClaimRequest("l", "1")))
	require.Equal(t, Granted, claim(s, 0, newClaimRequest("m", "1")))
	require.True(t, s.Release("a", "m", "1"))
	require.Equal(t, Granted, claim(s, 0, newClaimRequest("m", "2")))
}

// Guards against teams that share keys, and against a collision of the joined
// team and key.
func TestTeamsDoNotShareKeys(t *testing.T) {
	s := NewStore(testTime, DefaultLimits())
	for i, pair := range [][2]string{{"a", "bc"}, {"ab", "c"}, {"b", "bc"}} {
		r := newClaimRequest(pair[1], fmt.Sprint(i))
		r.Team = pair[0]
		require.Equal(t, Granted, claim(s, 0, r))
	}
}

// Guards against a key without a record that runs although an earlier
// coordinator may have granted it, and against a refusal where none can have
// granted it.
func TestUnrecordedKeyNeedsCoverage(t *testing.T) {
	since := func(age time.Duration) Coverage { return Coverage{Since: testTime.Add(-age)} }
	cases := []struct {
		name     string
		key      string
		coverage Coverage
		want     Outcome
	}{
		{"empty", "", completeCoverage, InvalidKey},
		{"longest", strings.Repeat("x", MaxKeyLength), completeCoverage, Granted},
		{"too long", strings.Repeat("x", MaxKeyLength+1), completeCoverage, InvalidKey},
		{"no timestamp, complete coverage", "k", completeCoverage, Granted},
		{"no timestamp, coverage of the retention", "k", since(Retention), Granted},
		{"no timestamp, shorter coverage", "k", since(Retention - 1), MayHaveRun},
		{"future within skew", uuidV7At(testWallTime.Add(MaxClockSkew)), completeCoverage, Granted},
		{"future", uuidV7At(testWallTime.Add(MaxClockSkew + time.Millisecond)), completeCoverage, InvalidKey},
		{"old", uuidV7At(testWallTime.Add(-DeduplicationWindow)), completeCoverage, MayHaveRun},
		{"nearly old", uuidV7At(testWallTime.Add(time.Millisecond - DeduplicationWindow)), completeCoverage, Granted},
		{"before coverage", uuidV7At(testWallTime.Add(-time.Minute)), since(50 * time.Second), MayHaveRun},
		{"within skew of coverage", uuidV7At(testWallTime.Add(-48 * time.Second)), since(50 * time.Second), MayHaveRun},
		{"within drift of coverage", uuidV7At(testWallTime.Add(-47600 * time.Millisecond)), since(50 * time.Second), MayHaveRun},
		{"after coverage", uuidV7At(testWallTime.Add(-47400 * time.Millisecond)), since(50 * time.Second), Granted},
		{"UUIDv7 in braces", "{" + uuidV7At(testWallTime) + "}", since(time.Minute), MayHaveRun},
		{"version 4", uuid.NameSpaceDNS.String(), since(time.Minute), MayHaveRun},
	}
	for _, c := range cases {
		r := newClaimRequest(c.key, "1")
		r.Coverage = c.coverage
		require.Equal(t, c.want, claim(NewStore(testTime, DefaultLimits()), 0, r), c.name)
	}
}

// Guards against records evicted within the retention, against responses that
// exceed their memory limit, and against a dropped response that removes the
// outcome as well.
func TestStoreLimits(t *testing.T) {
	s := NewStore(testTime, Limits{MaxRecords: 3, MaxResponseBytes: 4, MaxTotalResponseBytes: 8})
	for i := range 3 {
		key := fmt.Sprint(i)
		require.Equal(t, Granted, claim(s, time.Duration(i), newClaimRequest(key, "1")))
		require.True(t, s.Finish("a", key, "1", true, []byte("1234")))
	}
	require.Equal(t, StoreFull, claim(s, Retention, newClaimRequest("x", "1")))
	require.Equal(t, 8, s.ResponseBytes())
	require.Equal(t, ClaimResult{Outcome: Completed}, s.Claim(testTime, testWallTime, newClaimRequest("0", "2")), "the oldest response is dropped")
	require.Equal(t, []byte("1234"), s.Claim(testTime, testWallTime, newClaimRequest("1", "2")).Response)
	require.True(t, s.Finish("a", "1", "1", true, []byte("12345")))
	require.Equal(t, ClaimResult{Outcome: Completed}, s.Claim(testTime, testWallTime, newClaimRequest("1", "2")), "too large to store")
	require.Equal(t, Granted, claim(s, Retention+1, newClaimRequest("x", "1")), "the first record has expired")
	require.Equal(t, 3, s.Len())
	require.Equal(t, Granted, claim(s, 3*Retention, newClaimRequest("y", "1")))
	require.Equal(t, 1, s.Len())
	require.Zero(t, s.ResponseBytes())
}

// Guards against a handover that loses a record, its age or its response, and
// against a sealed store that still grants claims.
func TestHandover(t *testing.T) {
	exporter := NewStore(testTime, DefaultLimits())
	for i, key := range []string{"running", "done", "uncertain"} {
		require.Equal(t, Granted, claim(exporter, time.Duration(i)*time.Second, newClaimRequest(key, "1")))
	}
	require.True(t, exporter.Finish("a", "done", "1", true, []byte("body")))
	require.True(t, exporter.Finish("a", "uncertain", "1", false, nil))
	records := exporter.Export(testTime.Add(3 * time.Second))
	require.Equal(t, NotCoordinator, claim(exporter, 3*time.Second, newClaimRequest("new", "1")))

	importer := NewStore(testTime, DefaultLimits())
	require.Equal(t, Granted, claim(importer, 2900*time.Millisecond, newClaimRequest("own", "1")))
	require.NoError(t, importer.Import(testTime.Add(3*time.Second), records, 0))
	require.NoError(t, importer.Import(testTime.Add(3*time.Second), records, 0), "a repeated handover changes nothing")
	require.Equal(t, 4, importer.Len())
	require.Equal(t, InProgress, claim(importer, 4*time.Second, newClaimRequest("running", "2")))
	require.Equal(t, []byte("body"), importer.Claim(testTime.Add(4*time.Second), testWallTime, newClaimRequest("done", "2")).Response)
	require.Equal(t, MayHaveRun, claim(importer, 4*time.Second, newClaimRequest("uncertain", "2")))
	require.True(t, importer.Finish("a", "running", "1", true, nil))
	require.Equal(t, Completed, claim(importer, 4*time.Second, newClaimRequest("running", "2")))
	importer.expire(testTime.Add(Retention + 1500*time.Millisecond))
	require.Equal(t, 2, importer.Len(), "imported records keep their age")

	small := NewStore(testTime, Limits{MaxRecords: 2})
	require.ErrorIs(t, small.Import(testTime, records, 0), ErrIncompleteHandover)
}

func BenchmarkClaim(b *testing.B) {
	keys := make([]string, 64<<10)
	for i := range keys {
		keys[i] = fmt.Sprintf("%s-%d", uuidV7At(testWallTime), i)
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	s := NewStore(testTime, DefaultLimits())
	for i, key := range keys {
		claim(s, time.Duration(i), newClaimRequest(key, "1"))
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	bytesPerClaim := float64(after.HeapAlloc-before.HeapAlloc) / float64(s.Len())
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N { // each claim replaces an expired record
		claim(s, time.Duration(i+1)*Retention/time.Duration(len(keys)), newClaimRequest(keys[i%len(keys)], "2"))
	}
	b.ReportMetric(bytesPerClaim, "bytes/claim")
	runtime.KeepAlive(keys)
}
