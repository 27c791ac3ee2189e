package ratelimit

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// growShares simulates 30 ticks of demand and reports, in which the ledger
// grants the holder a share of each team.
func growShares(h *Holder, l *Ledger, now *time.Time, limit Limit, teams ...string) {
	for range 30 {
		*now = now.Add(TickInterval)
		for _, team := range teams {
			for range 3 {
				h.Allow(*now, team, limit)
			}
		}
		l.Tick(*now)
		if h.ReportDue(*now) {
			response, _ := l.Report(*now, h.Report(*now, 1, func(string) bool { return true }), func(string) (Limit, bool) { return limit, true })
			h.Apply(*now, response)
		}
	}
}

func newCoordinator(now time.Time) *Ledger {
	l := NewLedger(func(string) uint32 { return 0 })
	l.SetTerm(1)
	l.Acquire(1, []uint32{0})
	l.Serve(now, 1)
	l.MemberJoined(now, "node", "1")
	return l
}

// Guards against a clock step of MaxClockStep that adds more tokens than the
// burst of the share, and against a longer step that adds any token.
func TestSmallClockStep(t *testing.T) {
	now, limit := epoch, Limit{Rate: 1000 * PerSecond, Burst: 100}
	h, l := NewHolder("node", "1"), newCoordinator(epoch)
	growShares(h, l, &now, limit, "team")
	drain := func() (n int) {
		for h.Allow(now, "team", limit).Outcome == Allowed {
			n++
		}
		return n
	}
	require.Positive(t, h.Share("team"))
	drain()
	now = now.Add(MaxClockStep)
	require.LessOrEqual(t, drain(), int(uint64(limit.Burst)*uint64(h.Share("team"))/FullShare))
	now = now.Add(time.Hour)
	require.Zero(t, drain(), "a longer step must not add tokens")
}

func BenchmarkAllow(b *testing.B) {
	now, limit := epoch, Limit{Rate: 1e6 * PerSecond, Burst: 1e6}
	h := NewHolder("node", "1")
	growShares(h, newCoordinator(epoch), &now, limit, "team")
	for b.Loop() {
		now = now.Add(10 * time.Microsecond)
		h.Allow(now, "team", limit)
	}
}

func BenchmarkReportAtHome(b *testing.B) {
	const teams = 100
	now, limit := epoch, Limit{Rate: 1000 * PerSecond, Burst: 1000}
	h, l := NewHolder("node", "1"), newCoordinator(epoch)
	var names []string
	for i := range teams {
		names = append(names, fmt.Sprintf("team-%03d", i))
	}
	growShares(h, l, &now, limit, names...)
	limits := func(string) (Limit, bool) { return limit, true }
	report := h.Report(now, 1, func(string) bool { return true })
	for b.Loop() {
		for i := range report.Shares {
			report.Shares[i].Sequence++
		}
		if _, err := l.Report(now, report, limits); err != nil {
			b.Fatal(err)
		}
	}
	encoded, _ := json.Marshal(report)
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/teams, "ns/entry")
	b.ReportMetric(float64(len(encoded))/teams, "json-bytes/team")
}

func BenchmarkHolderMemory(b *testing.B) {
	const teams = 10_000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		h := NewHolder("node", "1")
		for i := range teams {
			h.Allow(epoch, fmt.Sprintf("team-%06d", i), Limit{Rate: 1 * PerSecond, Burst: 1})
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/teams, "bytes/team")
		runtime.KeepAlive(h)
	}
}
