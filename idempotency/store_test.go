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
	t0       = time.Unix(100_000, 0) // reading of the monotonic clock
	wall0    = time.Unix(1_800_000_000, 0)
	complete = Memory{Complete: true}
)

func v7(at time.Time) string {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(at.UnixMilli())<<16|0x7000)
	id[8] = 0x80
	return id.String()
}

func request(key, id string) Request {
	return Request{Team: "a", Key: key, Fingerprint: []byte("f"), RequestID: id, Deadline: t0.Add(5 * time.Second), Memory: complete}
}

// claim makes a claim d after t0.
func claim(s *Store, d time.Duration, r Request) Outcome {
	return s.Claim(t0.Add(d), wall0.Add(d), r).Outcome
}

// Guards against each way in which a seen key could run again, and against a
// lost answer that leaves the entry without its grant.
func TestSeenKey(t *testing.T) {
	s := NewStore(t0, DefaultLimits())
	require.Equal(t, Run, claim(s, 0, request("k", "1")))
	require.Equal(t, Run, claim(s, time.Second, request("k", "1")), "the answer was lost")
	require.Equal(t, Running, claim(s, time.Second, request("k", "2")))
	other := request("k", "2")
	other.Fingerprint = []byte("g")
	require.Equal(t, Mismatch, claim(s, time.Second, other))
	require.Equal(t, MayHaveRun, claim(s, 6*time.Second, request("k", "2")), "no result by the deadline")
	require.False(t, s.Done("a", "k", "2", true, nil), "it does not hold the claim")
	require.False(t, s.Release("a", "k", "2"))
	require.True(t, s.Done("a", "k", "1", true, []byte("body")))
	require.False(t, s.Release("a", "k", "1"), "it has run")
	a := s.Claim(t0, wall0, request("k", "2"))
	require.Equal(t, Answer{Outcome: Done, Response: []byte("body")}, a)

	require.Equal(t, Run, claim(s, 0, request("l", "1")))
	require.True(t, s.Done("a", "l", "1", false, nil))
	require.Equal(t, MayHaveRun, claim(s, 0, request("l", "1")))
	require.Equal(t, Run, claim(s, 0, request("m", "1")))
	require.True(t, s.Release("a", "m", "1"))
	require.Equal(t, Run, claim(s, 0, request("m", "2")))
}

// Guards against teams that see each other's keys, and joined strings that
// collide.
func TestTeamsDoNotShareKeys(t *testing.T) {
	s := NewStore(t0, DefaultLimits())
	for i, pair := range [][2]string{{"a", "bc"}, {"ab", "c"}, {"b", "bc"}} {
		r := request(pair[1], fmt.Sprint(i))
		r.Team = pair[0]
		require.Equal(t, Run, claim(s, 0, r))
	}
}

// Guards against an unseen key that runs although an earlier home may have
// granted it, and against refusals where none may have.
func TestUnseenKey(t *testing.T) {
	since := func(age time.Duration) Memory { return Memory{Since: t0.Add(-age)} }
	cases := []struct {
		name   string
		key    string
		memory Memory
		want   Outcome
	}{
		{"empty", "", complete, Rejected},
		{"longest", strings.Repeat("x", MaxKeyLength), complete, Run},
		{"too long", strings.Repeat("x", MaxKeyLength+1), complete, Rejected},
		{"no time, complete memory", "k", complete, Run},
		{"no time, memory of the retention", "k", since(Retention), Run},
		{"no time, shorter memory", "k", since(Retention - 1), MayHaveRun},
		{"future within skew", v7(wall0.Add(MaxSkew)), complete, Run},
		{"future", v7(wall0.Add(MaxSkew + time.Millisecond)), complete, Rejected},
		{"old", v7(wall0.Add(-Window)), complete, MayHaveRun},
		{"nearly old", v7(wall0.Add(time.Millisecond - Window)), complete, Run},
		{"before memory", v7(wall0.Add(-time.Minute)), since(50 * time.Second), MayHaveRun},
		{"within skew of memory", v7(wall0.Add(-48 * time.Second)), since(50 * time.Second), MayHaveRun},
		{"within rate error of memory", v7(wall0.Add(-47600 * time.Millisecond)), since(50 * time.Second), MayHaveRun},
		{"after memory", v7(wall0.Add(-47400 * time.Millisecond)), since(50 * time.Second), Run},
		{"braces are no UUIDv7", "{" + v7(wall0) + "}", since(time.Minute), MayHaveRun},
		{"version 4", uuid.NameSpaceDNS.String(), since(time.Minute), MayHaveRun},
	}
	for _, c := range cases {
		r := request(c.key, "1")
		r.Memory = c.memory
		require.Equal(t, c.want, claim(NewStore(t0, DefaultLimits()), 0, r), c.name)
	}
}

// Guards against claims evicted inside the window and responses that exceed
// their memory, or take the verdict with them when they are dropped.
func TestLimits(t *testing.T) {
	s := NewStore(t0, Limits{Claims: 3, Response: 4, Responses: 8})
	for i := range 3 {
		key := fmt.Sprint(i)
		require.Equal(t, Run, claim(s, time.Duration(i), request(key, "1")))
		require.True(t, s.Done("a", key, "1", true, []byte("1234")))
	}
	require.Equal(t, Full, claim(s, Retention, request("x", "1")))
	require.Equal(t, 8, s.ResponseBytes())
	require.Equal(t, Answer{Outcome: Done}, s.Claim(t0, wall0, request("0", "2")), "the oldest response is dropped")
	require.Equal(t, []byte("1234"), s.Claim(t0, wall0, request("1", "2")).Response)
	require.True(t, s.Done("a", "1", "1", true, []byte("12345")))
	require.Equal(t, Answer{Outcome: Done}, s.Claim(t0, wall0, request("1", "2")), "too large to store")
	require.Equal(t, Run, claim(s, Retention+1, request("x", "1")), "the first claim has expired")
	require.Equal(t, 3, s.Len())
	require.Equal(t, Run, claim(s, 3*Retention, request("y", "1")))
	require.Equal(t, 1, s.Len())
	require.Zero(t, s.ResponseBytes())
}

// Guards against a handover that loses a claim, its age or its response, and
// against a sealed store that still grants keys.
func TestHandover(t *testing.T) {
	old := NewStore(t0, DefaultLimits())
	for i, key := range []string{"running", "done", "uncertain"} {
		require.Equal(t, Run, claim(old, time.Duration(i)*time.Second, request(key, "1")))
	}
	require.True(t, old.Done("a", "done", "1", true, []byte("body")))
	require.True(t, old.Done("a", "uncertain", "1", false, nil))
	claims := old.Export(t0.Add(3 * time.Second))
	require.Equal(t, NotHome, claim(old, 3*time.Second, request("new", "1")))

	next := NewStore(t0, DefaultLimits())
	require.Equal(t, Run, claim(next, 2900*time.Millisecond, request("own", "1")))
	require.NoError(t, next.Import(t0.Add(3*time.Second), claims, 0))
	require.NoError(t, next.Import(t0.Add(3*time.Second), claims, 0), "a repeated handover changes nothing")
	require.Equal(t, 4, next.Len())
	require.Equal(t, Running, claim(next, 4*time.Second, request("running", "2")))
	require.Equal(t, []byte("body"), next.Claim(t0.Add(4*time.Second), wall0, request("done", "2")).Response)
	require.Equal(t, MayHaveRun, claim(next, 4*time.Second, request("uncertain", "2")))
	require.True(t, next.Done("a", "running", "1", true, nil))
	require.Equal(t, Done, claim(next, 4*time.Second, request("running", "2")))
	next.expire(t0.Add(Retention + 1500*time.Millisecond))
	require.Equal(t, 2, next.Len(), "the imported claims keep their age")

	small := NewStore(t0, Limits{Claims: 2})
	require.ErrorIs(t, small.Import(t0, claims, 0), ErrIncomplete)
}

func BenchmarkClaim(b *testing.B) {
	keys := make([]string, 64<<10)
	for i := range keys {
		keys[i] = fmt.Sprintf("%s-%d", v7(wall0), i)
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	s := NewStore(t0, DefaultLimits())
	for i, key := range keys {
		claim(s, time.Duration(i), request(key, "1"))
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	bytesPerClaim := float64(after.HeapAlloc-before.HeapAlloc) / float64(s.Len())
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N { // each claim replaces one that has expired
		claim(s, time.Duration(i+1)*Retention/time.Duration(len(keys)), request(keys[i%len(keys)], "2"))
	}
	b.ReportMetric(bytesPerClaim, "bytes/claim")
	runtime.KeepAlive(keys)
}
