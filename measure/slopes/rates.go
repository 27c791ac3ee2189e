package slopes

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"trefoildock.example/placement"
	"trefoildock.example/ratelimit"
	"trefoildock.example/wire"
)

// teamLimit is the rate limit of each team in the experiments.
var teamLimit = ratelimit.Limit{Rate: 50, Burst: 100}

func rateExperiments() []experiment {
	return []experiment{
		{
			quantities: []Quantity{
				{"ratelimit:report_time", "ns", "entry of a report", "decode a share report, process it at the coordinator and encode the response"},
				{"wire:share_report_bytes", "B", "entry of a report", "a share report and its response"},
			},
			sizes: []int{1, 10, 100, 1_000}, run: measureReport,
		},
		{
			quantities: []Quantity{
				{"ratelimit:take_time", "ns", "team of the home", "one Take call at the coordinator, encoding included"},
				{"ratelimit:account_heap", "B", "team of the home", "live heap of the ledger without share holders"},
			},
			sizes: []int{351, 3_510, 14_040, 35_100}, run: measureTake,
		},
		{
			quantities: []Quantity{
				{"ratelimit:allow_time", "ns", "team of the entry", "one decision at the entry node, its share exhausted or missing"},
				{"ratelimit:tick_time", "ns", "team of the entry", "one update of the demand estimates, every 100 ms"},
				{"ratelimit:holding_heap", "B", "team of the entry", "live heap of the records at the entry node"},
			},
			sizes: []int{100, 1_000, 10_000, 40_000}, run: measureHolder,
		},
		{
			quantities: []Quantity{
				{"ratelimit:claim_heap", "B", "share", "live heap at the coordinator for each pair of entry node and team with a share"},
			},
			sizes: []int{1_000, 10_000, 40_000}, run: measureShares,
		},
		{
			quantities: []Quantity{
				{"ratelimit:acquire_time", "ns", "node", "start the recovery of the partitions gained by one member change"},
				{"ratelimit:recovery_heap", "B", "node", "live heap of one recovery that waits for a report of each member"},
				{"ratelimit:member_heap", "B", "node", "live heap of the ledger's list of members"},
			},
			sizes: []int{24, 370, 1_850, 3_700}, run: measureRecovery,
		},
		{
			quantities: []Quantity{
				{"wire:take_bytes", "B", "call", "a Take call and its response"},
				{"wire:empty_report_bytes", "B", "call", "a share report without entries and its response"},
				{"wire:ping_bytes", "B", "call", "a ping and its response"},
			},
			sizes: []int{1, 10, 100}, repetitions: 1, run: measureSmallCalls,
		},
	}
}

// newLedger returns the ledger of a coordinator that serves all partitions.
func newLedger(now time.Time, members int) *ratelimit.Ledger {
	l := ratelimit.NewLedger(func(team string) uint32 { return uint32(placement.Partition(placement.Team, team)) })
	partitions := make([]uint32, placement.Partitions)
	for p := range partitions {
		partitions[p] = uint32(p)
	}
	l.SetTerm(1)
	l.Acquire(1, partitions)
	l.Serve(now, 1)
	for i := range members {
		l.MemberJoined(now, nodeName(i), incarnation(i))
	}
	return l
}

func limitOf(string) (ratelimit.Limit, bool) { return teamLimit, true }

func shareReport(holder, teams int, sequence uint64) ratelimit.Report {
	r := ratelimit.Report{Holder: nodeName(holder), Incarnation: incarnation(holder), Term: 1}
	for i := range teams {
		r.Shares = append(r.Shares, ratelimit.ShareState{Team: teamName(i), Sequence: sequence, Share: 100_000, Wanted: 110_000})
	}
	return r
}

func reportMessage(r ratelimit.Report) *wire.Call {
	m := &wire.ShareReport{Holder: r.Holder, Incarnation: r.Incarnation, Term: r.Term}
	for _, s := range r.Shares {
		m.Shares = append(m.Shares, &wire.ShareState{Team: s.Team, Sequence: s.Sequence, SharePpm: s.Share, WantedPpm: s.Wanted})
	}
	return &wire.Call{Body: &wire.Call_ShareReport{ShareReport: m}}
}

func shareResponse(a ratelimit.ReportResponse) *wire.Answer {
	m := &wire.ShareAnswer{Incarnation: a.Incarnation, Term: 1}
	for _, s := range a.Shares {
		m.Shares = append(m.Shares, &wire.NewShare{Team: s.Team, Sequence: s.Sequence, SharePpm: s.Share})
	}
	return &wire.Answer{Body: &wire.Answer_Share{Share: m}}
}

func measureReport(_ context.Context, _ Environment, entries int) ([]float64, error) {
	now := time.Unix(5_000, 0)
	l := newLedger(now, 1)
	sequence, size := uint64(1_000_000), 0
	var err error
	processReport := func() {
		sequence++
		received, callBytes, roundTripErr := roundTrip(callEnvelope(reportMessage(shareReport(0, entries, sequence))))
		if err = roundTripErr; err != nil {
			return
		}
		m := received.GetCall().GetShareReport()
		r := ratelimit.Report{Holder: m.GetHolder(), Incarnation: m.GetIncarnation(), Term: m.GetTerm()}
		for _, s := range m.GetShares() {
			r.Shares = append(r.Shares, ratelimit.ShareState{Team: s.GetTeam(), Sequence: s.GetSequence(), Share: s.GetSharePpm(), Wanted: s.GetWantedPpm()})
		}
		var a ratelimit.ReportResponse
		if a, err = l.Report(now, r, limitOf); err != nil {
			return
		}
		_, responseBytes, roundTripErr := roundTrip(responseEnvelope(shareResponse(a)))
		err, size = roundTripErr, callBytes+responseBytes
	}
	spent := cpuTimePerCall(processReport)
	return []float64{spent, float64(size)}, err
}

func measureTake(_ context.Context, _ Environment, teams int) ([]float64, error) {
	now := time.Unix(5_000, 0)
	names := make([]string, teams)
	for i := range names {
		names[i] = teamName(i)
	}
	var l *ratelimit.Ledger
	emptyHeap := retainedHeap(func() *ratelimit.Ledger { return newLedger(now, 0) })
	heap := retainedHeap(func() *ratelimit.Ledger {
		l = newLedger(now, 0)
		for _, name := range names {
			l.Take(now, name, 1, teamLimit)
		}
		return l
	})
	var err error
	i := 0
	spent := cpuTimePerCall(func() {
		i++
		received, _, roundTripErr := roundTrip(callEnvelope(takeCall(names[i%teams])))
		if err = roundTripErr; err != nil {
			return
		}
		t := received.GetCall().GetTake()
		granted, retry, _ := l.Take(now, t.GetTeam(), t.GetTokens(), teamLimit)
		_, _, err = roundTrip(responseEnvelope(takeResponse(granted, retry)))
	})
	return []float64{spent, heap - emptyHeap}, err
}

func takeCall(team string) *wire.Call {
	return &wire.Call{Body: &wire.Call_Take{Take: &wire.Take{Team: team, Tokens: 1}}}
}

func takeResponse(granted bool, retry time.Duration) *wire.Answer {
	a := &wire.TakeAnswer{RetryAfterUs: retry.Microseconds()}
	if granted {
		a.Granted = 1
	}
	return &wire.Answer{Body: &wire.Answer_Take{Take: a}}
}

func measureHolder(_ context.Context, _ Environment, teams int) ([]float64, error) {
	now := time.Unix(5_000, 0)
	names := make([]string, teams)
	for i := range names {
		names[i] = teamName(i)
	}
	var h *ratelimit.Holder
	heap := retainedHeap(func() *ratelimit.Holder {
		h = ratelimit.NewHolder(nodeName(0), incarnation(0))
		for _, name := range names {
			h.Allow(now, name, teamLimit)
		}
		return h
	})
	i := 0
	allow := cpuTimePerCall(func() {
		i++
		h.Allow(now, names[i%teams], teamLimit)
	})
	tick := cpuTimePerCall(func() {
		now = now.Add(ratelimit.TickInterval)
		h.ReportDue(now)
	})
	return []float64{allow, tick, heap}, nil
}

// measureShares spreads the shares over 10 entry nodes. Each of them holds a share
// of the same teams, whose number is a tenth of the number of shares.
func measureShares(_ context.Context, _ Environment, shares int) ([]float64, error) {
	const holders = 10
	now := time.Unix(5_000, 0)
	var err error
	newLedgerWithShares := func(entries int) *ratelimit.Ledger {
		l := newLedger(now, holders)
		for i := range shares / holders {
			l.Take(now, teamName(i), 1, teamLimit)
		}
		for holder := range holders {
			r := shareReport(holder, entries, 1)
			for i := range r.Shares {
				r.Shares[i].Share, r.Shares[i].Wanted = 50_000, 50_000
			}
			if _, reportErr := l.Report(now, r, limitOf); reportErr != nil {
				err = reportErr
			}
		}
		if l.Violations() > 0 {
			err = errors.New("the sum of the shares of a team exceeds 100%")
		}
		return l
	}
	without := retainedHeap(func() *ratelimit.Ledger { return newLedgerWithShares(0) })
	with := retainedHeap(func() *ratelimit.Ledger { return newLedgerWithShares(shares / holders) })
	return []float64{with - without}, err
}

func measureRecovery(_ context.Context, _ Environment, nodes int) ([]float64, error) {
	now := time.Unix(5_000, 0)
	var l *ratelimit.Ledger
	emptyHeap := retainedHeap(func() *ratelimit.Ledger { return newLedger(now, 0) })
	membersHeap := retainedHeap(func() *ratelimit.Ledger { l = newLedger(now, nodes); return l })
	gained := []uint32{1, 2, 3, 4}
	recoveryHeap := retainedHeap(func() *ratelimit.Ledger { l.Acquire(2, gained); return l })
	spent := cpuTimePerCall(func() { l.Acquire(2, gained); l.Release(gained); l.Serve(now, 0) })
	return []float64{spent, recoveryHeap, membersHeap - emptyHeap}, nil
}

func measureSmallCalls(_ context.Context, _ Environment, calls int) ([]float64, error) {
	take, err := exchangeBytes(takeCall(teamName(1)), takeResponse(true, 0))
	if err != nil {
		return nil, err
	}
	report, err := exchangeBytes(reportMessage(shareReport(0, 0, 1)), shareResponse(ratelimit.ReportResponse{Incarnation: incarnation(0)}))
	if err != nil {
		return nil, err
	}
	ping, err := exchangeBytes(&wire.Call{Body: &wire.Call_Ping{Ping: &wire.Ping{}}},
		&wire.Answer{Body: &wire.Answer_Ping{Ping: &wire.PingAnswer{Incarnation: incarnation(0), ConfigVersion: 5_000_000}}})
	n := float64(calls)
	return []float64{n * take, n * report, n * ping}, err
}
