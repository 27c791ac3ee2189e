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
	// The latency histogram covers 1 µs to 10 min with 3 significant digits.
	minLatencyMicros = 1
	maxLatencyMicros = int64(10 * time.Minute / time.Microsecond)
	latencyDigits    = 3

	// maxFindings bounds the list of findings in a report.
	maxFindings = 20
)

// Counts counts requests by the outcome of their last attempt.
type Counts struct {
	// Requests counts distinct requests; resends are not included.
	Requests uint64 `json:"requests"`
	// Sent counts attempts, including resends.
	Sent uint64 `json:"sent"`
	// Resent counts attempts after the first.
	Resent uint64 `json:"resent"`
	// TransportRetries counts reads that net/http retried after a connection was
	// closed without a response.
	TransportRetries uint64 `json:"replayed"`
	// Failovers counts requests sent to another entry because a connection could not
	// be opened.
	Failovers uint64 `json:"failovers"`
	// Skipped counts arrivals beyond MaxInFlight; they were never sent.
	Skipped uint64 `json:"skipped"`
	// Answered to NotSent count requests by the outcome of the last attempt.
	Answered   uint64 `json:"answered"`
	NotRun     uint64 `json:"not_run"`
	MayHaveRun uint64 `json:"may_have_run"`
	Failed     uint64 `json:"failed"`
	Wrong      uint64 `json:"wrong"`
	Truncated  uint64 `json:"cut"`
	NoResponse uint64 `json:"no_answer"`
	NotSent    uint64 `json:"not_sent"`
	// WrongAttempts and TruncatedAttempts count attempts, including those that were resent.
	WrongAttempts     uint64 `json:"wrong_attempts"`
	TruncatedAttempts uint64 `json:"cut_attempts"`
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
	case Truncated:
		return &c.Truncated
	case NoResponse:
		return &c.NoResponse
	case NotSent:
		return &c.NotSent
	default:
		return &c.Failed
	}
}

// Latency summarizes the latency of answered attempts, in milliseconds.
type Latency struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean_ms"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p999_ms"`
	Max   float64 `json:"max_ms"`
}

// TeamReport is the part of a report for one team.
type TeamReport struct {
	Team    string  `json:"team"`
	Counts  Counts  `json:"counts"`
	Latency Latency `json:"latency"`
}

// Order is an order that was sent, for comparison with the executions.
type Order struct {
	ID       string  `json:"id"`
	Key      string  `json:"key"`
	Attempts int     `json:"attempts"`
	Outcome  Outcome `json:"outcome"`
	// MayHaveExecuted means that at least one attempt may have been executed.
	MayHaveExecuted bool `json:"uncertain"`
}

// Attempt is one attempt of a request through an entry node.
type Attempt struct {
	Team    string  `json:"team"`
	Method  string  `json:"method"`
	Path    string  `json:"path"`
	Entry   string  `json:"entry"`
	Outcome Outcome `json:"outcome"`
	// ResponseTeam is the team in the response; empty on an open route without a team.
	ResponseTeam string `json:"ran_as,omitempty"`
	// Code is the code of a refusal or failure.
	Code string `json:"code,omitempty"`
	// Detail describes why an attempt was not answered.
	Detail string `json:"detail,omitempty"`
	// StartedAt and EndedAt are the start and end times of the attempt.
	StartedAt time.Time `json:"begun"`
	EndedAt   time.Time `json:"ended"`
}

// Report is the result of a run.
type Report struct {
	// Seconds is the duration of the run.
	Seconds float64 `json:"seconds"`
	// Total sums all teams.
	Total TeamReport `json:"total"`
	// Teams has one report per team in the order of the configuration.
	Teams []TeamReport `json:"teams"`
	// Findings describes the first requests that were neither answered nor refused as
	// not run.
	Findings []string `json:"findings,omitempty"`
	// Orders lists the orders if Config.KeepOrders is set.
	Orders []Order `json:"orders,omitempty"`
	// Codes counts attempts by the code of their refusal or failure.
	Codes map[string]uint64 `json:"codes,omitempty"`
	// Attempts lists every attempt if Config.KeepAttempts is set.
	Attempts []Attempt `json:"attempts,omitempty"`
}

// collector collects the results of a run. It is safe for concurrent use.
type collector struct {
	mu           sync.Mutex
	teamNames    []string
	counts       []Counts
	latency      []*hdrhistogram.Histogram
	findings     []string
	keepOrders   bool
	orders       []Order
	keepAttempts bool
	attempts     []Attempt
	codes        map[string]uint64
}

func newCollector(c *Config) *collector {
	col := &collector{keepOrders: c.KeepOrders, keepAttempts: c.KeepAttempts, codes: make(map[string]uint64), counts: make([]Counts, len(c.Teams))}
	for _, team := range c.Teams {
		col.teamNames = append(col.teamNames, team.Name)
		col.latency = append(col.latency, newHistogram())
	}
	return col
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencyDigits)
}

func (col *collector) recordSkip(team int) {
	col.mu.Lock()
	defer col.mu.Unlock()
	col.counts[team].Skipped++
}

func (col *collector) recordFailover(team int) {
	col.mu.Lock()
	defer col.mu.Unlock()
	col.counts[team].Failovers++
}

// recordAttempt counts one attempt.
func (col *collector) recordAttempt(team int, req *request, entry string, r result, startedAt, endedAt time.Time) {
	col.mu.Lock()
	defer col.mu.Unlock()
	c := &col.counts[team]
	c.Sent++
	c.TransportRetries += r.transportRetries
	switch r.outcome {
	case Answered:
		micros := min(max(endedAt.Sub(startedAt).Microseconds(), minLatencyMicros), maxLatencyMicros)
		_ = col.latency[team].RecordValue(micros) // The value is within the range.
	case Wrong:
		c.WrongAttempts++
	case Truncated:
		c.TruncatedAttempts++
	}
	if r.problemCode != "" {
		col.codes[r.problemCode]++
	}
	if col.keepAttempts {
		col.attempts = append(col.attempts, Attempt{
			Team: col.teamNames[team], Method: req.kind.Method, Path: req.kind.Path, Entry: entry,
			Outcome: r.outcome, ResponseTeam: r.team, Code: r.problemCode, Detail: r.detail, StartedAt: startedAt, EndedAt: endedAt,
		})
	}
}

// recordOutcome counts a request by the outcome of its last attempt.
func (col *collector) recordOutcome(team int, req *request, last result, attempts int, mayHaveExecuted bool) {
	col.mu.Lock()
	defer col.mu.Unlock()
	c := &col.counts[team]
	c.Requests++
	c.Resent += uint64(attempts - 1)
	*c.byOutcome(last.outcome)++
	if last.outcome != Answered && last.outcome != NotRun && len(col.findings) < maxFindings {
		col.findings = append(col.findings, fmt.Sprintf("%s %s %s: %s: %s", req.kind.Method, req.kind.Path, req.id, last.outcome, last.detail))
	}
	if col.keepOrders && req.kind.atMostOnce() {
		col.orders = append(col.orders, Order{ID: req.id, Key: req.key, Attempts: attempts, Outcome: last.outcome, MayHaveExecuted: mayHaveExecuted})
	}
}

// report returns the report of a run that took duration.
func (col *collector) report(duration time.Duration) *Report {
	col.mu.Lock()
	defer col.mu.Unlock()
	r := &Report{Seconds: duration.Seconds(), Findings: col.findings, Orders: slices.Clone(col.orders), Attempts: slices.Clone(col.attempts), Codes: maps.Clone(col.codes)}
	all := newHistogram()
	for i, name := range col.teamNames {
		r.Teams = append(r.Teams, TeamReport{Team: name, Counts: col.counts[i], Latency: summarizeLatency(col.latency[i])})
		r.Total.Counts.Add(&col.counts[i])
		all.Merge(col.latency[i])
	}
	r.Total.Team = "total"
	r.Total.Latency = summarizeLatency(all)
	return r
}

// Add adds the counts of o.
func (c *Counts) Add(o *Counts) {
	c.Requests += o.Requests
	c.Sent += o.Sent
	c.Resent += o.Resent
	c.TransportRetries += o.TransportRetries
	c.Failovers += o.Failovers
	c.Skipped += o.Skipped
	c.Answered += o.Answered
	c.NotRun += o.NotRun
	c.MayHaveRun += o.MayHaveRun
	c.Failed += o.Failed
	c.Wrong += o.Wrong
	c.Truncated += o.Truncated
	c.NoResponse += o.NoResponse
	c.NotSent += o.NotSent
	c.WrongAttempts += o.WrongAttempts
	c.TruncatedAttempts += o.TruncatedAttempts
}

func summarizeLatency(h *hdrhistogram.Histogram) Latency {
	quantile := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Latency{
		Count: h.TotalCount(), Mean: h.Mean() / 1000,
		P50: quantile(50), P90: quantile(90), P99: quantile(99), P999: quantile(99.9),
		Max: float64(h.Max()) / 1000,
	}
}

// WriteTable writes the report as a table, followed by the findings.
func (r *Report) WriteTable(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	lines := []string{tableHeader}
	for _, t := range r.Teams {
		lines = append(lines, t.tableRow())
	}
	lines = append(lines, r.Total.tableRow())
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

// tableHeader is the header of the columns of TeamReport.tableRow.
const tableHeader = "team\trequests\tresent\tskipped\tanswered\tnot-run\tmay-have-run\tfailed\twrong\tcut\t" +
	"no-answer\tnot-sent\tp50 ms\tp99 ms\tmax ms\t"

func (t *TeamReport) tableRow() string {
	c := &t.Counts
	return fmt.Sprintf("%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t",
		t.Team, c.Requests, c.Resent, c.Skipped, c.Answered, c.NotRun, c.MayHaveRun, c.Failed, c.Wrong, c.Truncated,
		c.NoResponse, c.NotSent, t.Latency.P50, t.Latency.P99, t.Latency.Max)
}
