package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// The histogram covers 1 µs to 10 min with 3 significant digits.
	minLatencyMicros = 1
	maxLatencyMicros = int64(10 * time.Minute / time.Microsecond)
	latencyDigits    = 3

	// maxFindings bounds the list of findings in a report.
	maxFindings = 20
)

// Counts are the numbers of requests by their last outcome.
type Counts struct {
	// Requests counts distinct requests; resends are not included.
	Requests uint64 `json:"requests"`
	// Sent counts attempts, resends included.
	Sent uint64 `json:"sent"`
	// Resent counts attempts after the first.
	Resent uint64 `json:"resent"`
	// Replayed counts reads that net/http sent again by itself after a connection
	// was closed without an answer.
	Replayed uint64 `json:"replayed"`
	// Failovers counts connections that could not be opened and were replaced by
	// one to another entry.
	Failovers uint64 `json:"failovers"`
	// Skipped counts arrivals beyond MaxInFlight; they were never sent.
	Skipped uint64 `json:"skipped"`
	// Answered to NotSent count requests by the outcome of the last attempt.
	Answered   uint64 `json:"answered"`
	NotRun     uint64 `json:"not_run"`
	MayHaveRun uint64 `json:"may_have_run"`
	Failed     uint64 `json:"failed"`
	Wrong      uint64 `json:"wrong"`
	Cut        uint64 `json:"cut"`
	NoAnswer   uint64 `json:"no_answer"`
	NotSent    uint64 `json:"not_sent"`
	// WrongAttempts and CutAttempts also include attempts that were repeated.
	WrongAttempts uint64 `json:"wrong_attempts"`
	CutAttempts   uint64 `json:"cut_attempts"`
}

// byOutcome returns the field that counts o.
func (c *Counts) byOutcome(o Outcome) *uint64 {
	switch o {
	case Answered:
		return &c.Answered
	case NotRun:
		return &c.NotRun
	case MayHaveRun:
		return &c.MayHaveRun
	case Wrong:
		return &c.Wrong
	case Cut:
		return &c.Cut
	case NoAnswer:
		return &c.NoAnswer
	case NotSent:
		return &c.NotSent
	default:
		return &c.Failed
	}
}

// Latency are quantiles of the time of answered attempts, in milliseconds.
type Latency struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean_ms"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p999_ms"`
	Max   float64 `json:"max_ms"`
}

// TeamReport is the part of a report on one team.
type TeamReport struct {
	Team    string  `json:"team"`
	Counts  Counts  `json:"counts"`
	Latency Latency `json:"latency"`
}

// Order is an order that was sent, for a comparison with the executions.
type Order struct {
	ID       string  `json:"id"`
	Key      string  `json:"key"`
	Attempts int     `json:"attempts"`
	Outcome  Outcome `json:"outcome"`
	// Uncertain means that at least one attempt may have been executed.
	Uncertain bool `json:"uncertain"`
}

// Attempt is one exchange with an entry.
type Attempt struct {
	Team    string  `json:"team"`
	Method  string  `json:"method"`
	Path    string  `json:"path"`
	Entry   string  `json:"entry"`
	Outcome Outcome `json:"outcome"`
	// RanAs is the team that the answer names; empty on an open route without a team.
	RanAs string `json:"ran_as,omitempty"`
	// Code is the code of a refusal or failure.
	Code string `json:"code,omitempty"`
	// Detail explains an attempt that was not answered.
	Detail string `json:"detail,omitempty"`
	// Begun and Ended bound the attempt.
	Begun time.Time `json:"begun"`
	Ended time.Time `json:"ended"`
}

// Report is the result of a run.
type Report struct {
	// Seconds is the length of the run.
	Seconds float64 `json:"seconds"`
	// Total sums up all teams.
	Total TeamReport `json:"total"`
	// Teams has one report per team in the order of the configuration.
	Teams []TeamReport `json:"teams"`
	// Findings explains the first wrong, cut and failed answers.
	Findings []string `json:"findings,omitempty"`
	// Orders lists the orders if Config.KeepOrders is set.
	Orders []Order `json:"orders,omitempty"`
	// Codes counts attempts by the code of their refusal or failure.
	Codes map[string]uint64 `json:"codes,omitempty"`
	// Attempts lists every attempt if Config.KeepAttempts is set.
	Attempts []Attempt `json:"attempts,omitempty"`
}

// tally collects results. It is safe for concurrent use.
type tally struct {
	mu           sync.Mutex
	names        []string
	counts       []Counts
	latency      []*hdrhistogram.Histogram
	findings     []string
	keepOrders   bool
	orders       []Order
	keepAttempts bool
	attempts     []Attempt
	codes        map[string]uint64
}

func newTally(c *Config) *tally {
	t := &tally{keepOrders: c.KeepOrders, keepAttempts: c.KeepAttempts, codes: make(map[string]uint64), counts: make([]Counts, len(c.Teams))}
	for _, team := range c.Teams {
		t.names = append(t.names, team.Name)
		t.latency = append(t.latency, newHistogram())
	}
	return t
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencyDigits)
}

func (t *tally) skip(team int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts[team].Skipped++
}

func (t *tally) failover(team int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts[team].Failovers++
}

// attempt counts one attempt.
func (t *tally) attempt(team int, o *order, entry string, r result, begun, ended time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := &t.counts[team]
	c.Sent++
	c.Replayed += r.replays
	switch r.outcome {
	case Answered:
		micros := min(max(ended.Sub(begun).Microseconds(), minLatencyMicros), maxLatencyMicros)
		_ = t.latency[team].RecordValue(micros) // The value is within the range.
	case Wrong:
		c.WrongAttempts++
	case Cut:
		c.CutAttempts++
	}
	if r.refusal != "" {
		t.codes[r.refusal]++
	}
	if t.keepAttempts {
		t.attempts = append(t.attempts, Attempt{
			Team: t.names[team], Method: o.kind.Method, Path: o.kind.Path, Entry: entry,
			Outcome: r.outcome, RanAs: r.team, Code: r.refusal, Detail: r.detail, Begun: begun, Ended: ended,
		})
	}
}

// finish counts a request by its last attempt.
func (t *tally) finish(team int, o *order, last result, attempts int, uncertain bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := &t.counts[team]
	c.Requests++
	c.Resent += uint64(attempts - 1)
	*c.byOutcome(last.outcome)++
	if last.outcome != Answered && last.outcome != NotRun && len(t.findings) < maxFindings {
		t.findings = append(t.findings, fmt.Sprintf("%s %s %s: %s: %s", o.kind.Method, o.kind.Path, o.id, last.outcome, last.detail))
	}
	if t.keepOrders && o.kind.once() {
		t.orders = append(t.orders, Order{ID: o.id, Key: o.key, Attempts: attempts, Outcome: last.outcome, Uncertain: uncertain})
	}
}

// report sums up the run.
func (t *tally) report(took time.Duration) *Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := &Report{Seconds: took.Seconds(), Findings: t.findings, Orders: slices.Clone(t.orders), Attempts: slices.Clone(t.attempts), Codes: maps.Clone(t.codes)}
	all := newHistogram()
	for i, name := range t.names {
		r.Teams = append(r.Teams, TeamReport{Team: name, Counts: t.counts[i], Latency: summarise(t.latency[i])})
		r.Total.Counts.Add(&t.counts[i])
		all.Merge(t.latency[i])
	}
	r.Total.Team = "total"
	r.Total.Latency = summarise(all)
	return r
}

// Add adds the counts of another run.
func (c *Counts) Add(o *Counts) {
	c.Requests += o.Requests
	c.Sent += o.Sent
	c.Resent += o.Resent
	c.Replayed += o.Replayed
	c.Failovers += o.Failovers
	c.Skipped += o.Skipped
	c.Answered += o.Answered
	c.NotRun += o.NotRun
	c.MayHaveRun += o.MayHaveRun
	c.Failed += o.Failed
	c.Wrong += o.Wrong
	c.Cut += o.Cut
	c.NoAnswer += o.NoAnswer
	c.NotSent += o.NotSent
	c.WrongAttempts += o.WrongAttempts
	c.CutAttempts += o.CutAttempts
}

func summarise(h *hdrhistogram.Histogram) Latency {
	quantile := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Latency{
		Count: h.TotalCount(), Mean: h.Mean() / 1000,
		P50: quantile(50), P90: quantile(90), P99: quantile(99), P999: quantile(99.9),
		Max: float64(h.Max()) / 1000,
	}
}

// WriteTable writes the report as a table.
func (r *Report) WriteTable(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	lines := []string{tableHeader}
	for _, t := range r.Teams {
		lines = append(lines, t.row())
	}
	lines = append(lines, r.Total.row())
	if _, err := fmt.Fprintln(w, strings.Join(lines, "\n")); err != nil {
		return err
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, finding := range r.Findings {
		if _, err := fmt.Fprintln(out, finding); err != nil {
			return err
		}
	}
	return nil
}

// tableHeader names the columns of TeamReport.row.
const tableHeader = "team\trequests\tresent\tskipped\tanswered\tnot-run\tmay-have-run\tfailed\twrong\tcut\t" +
	"no-answer\tnot-sent\tp50 ms\tp99 ms\tmax ms\t"

func (t *TeamReport) row() string {
	c := &t.Counts
	return fmt.Sprintf("%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t",
		t.Team, c.Requests, c.Resent, c.Skipped, c.Answered, c.NotRun, c.MayHaveRun, c.Failed, c.Wrong, c.Cut,
		c.NoAnswer, c.NotSent, t.Latency.P50, t.Latency.P99, t.Latency.Max)
}
