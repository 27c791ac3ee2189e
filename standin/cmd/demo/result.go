package main

import (
	"context"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"trefoildock.example/standin/backend"
	"trefoildock.example/standin/load"
)

// maxExamples bounds the attempts that are printed for a violated guarantee.
const maxExamples = 5

// result is the result of a run of one deployment.
type result struct {
	name    string
	reports [2]*load.Report
	codes   map[string]uint64
	// wrongfulRefusals counts rate limit refusals of teams within their rate, by team.
	wrongfulRefusals map[string]int
	guarantees       []guarantee
	examples         []string
}

// observations is the input of the checks.
type observations struct {
	*scenario

	attempts     []load.Attempt
	orders       []load.Order
	executions   backend.Executions
	collapses    uint64
	shed         uint64
	auditRecords []auditRecord
	rate         float64 // rate and burst of the over-rate team
	burst        float64
}

// evaluate reads the counts, the journals and the audit trail and checks them.
func evaluate(ctx context.Context, s *scenario, t *traffic) (*result, error) {
	o := &observations{scenario: s, attempts: t.attempts(), orders: t.orders()}
	var err error
	if o.auditRecords, err = s.auditTrail(ctx, s.firstVM(2, 2)); err != nil {
		return nil, err
	}
	if o.rate, o.burst, err = parseTeamRate(s.name, s.rulesText, s.traffic.overRateTeam); err != nil {
		return nil, err
	}
	for i := range s.vms {
		st, err := s.stats(ctx, &s.vms[i])
		if err != nil {
			return nil, err
		}
		o.collapses += st.Collapses
		o.shed += st.Shed
	}
	if o.executions, err = s.executions(); err != nil {
		return nil, err
	}
	r := &result{name: s.name, reports: t.reports, codes: make(map[string]uint64)}
	for _, report := range t.reports {
		for code, n := range report.Codes {
			r.codes[code] += n
		}
	}
	r.wrongfulRefusals = wrongfulRefusals(o.attempts, o.traffic.overRateTeam)
	r.check(o)
	return r, nil
}

// check checks every guarantee that is observable from outside.
func (r *result) check(o *observations) {
	add := func(g guarantee) { r.guarantees = append(r.guarantees, g) }
	r.checkKeysAndRates(o, add)
	r.checkZonesAndShutdown(o, add)
	r.checkOrders(o, add)
	r.checkOperations(o, add)
}

func (r *result) checkKeysAndRates(o *observations, add func(guarantee)) {
	lastUse, refused := usageAfterRevocation(o.attempts, o.traffic.revokedTeam, o.keyRevokedAt)
	add(newGuarantee(lastUse <= revocationDeadline && refused > 0, "2 a withdrawn key stops within 3 s",
		"last use %.2f s after the command, then %d refusals", lastUse.Seconds(), refused))
	add(newGuarantee(len(o.executions.Secrets) == 0, "2 no backend server sees a key", "%d seen %v", len(o.executions.Secrets), o.executions.Secrets))
	admitted, worstExcess := rateExcess(o.attempts, o.traffic.overRateTeam, o.rate, o.burst)
	add(newGuarantee(worstExcess <= 0 && admitted > 0, "3 no team gets more than its rate and burst",
		"%s: %d answered at %g/s burst %g, worst window %.1f below the bound", o.traffic.overRateTeam, admitted, o.rate, o.burst, -worstExcess))
	add(newGuarantee(o.collapses == 0, "4 a cold backend server gets no more than it can handle",
		"%d collapses, %d requests shed", o.collapses, o.shed))
}

func (r *result) checkZonesAndShutdown(o *observations, add func(guarantee)) {
	lastInZone := o.lastStartedInZone.Sub(o.zoneOutAt)
	add(newGuarantee(lastInZone <= zoneOutDeadline, "5 a zone taken out gets no new work after 2 s",
		"last request %.2f s after the command", lastInZone.Seconds()))
	sent, failed := failedAttempts(o.attempts, o.zoneOutRange, &o.traffic)
	add(newGuarantee(sent > 0 && len(failed) == 0, "5 a zone moves without a failed request", "%d of %d requests failed", len(failed), sent))
	r.addExamples("zone move", failed)
	sent, failed = failedAttempts(o.attempts, o.drainRange, &o.traffic)
	add(newGuarantee(sent > 0 && len(failed) == 0, "9 a backend server leaves without a failed request", "%d of %d requests failed", len(failed), sent))
	r.addExamples("drain", failed)
	var truncated, wrong []load.Attempt
	for i := range o.attempts {
		a := &o.attempts[i]
		switch {
		case a.Outcome == load.Wrong:
			wrong = append(wrong, *a)
		case a.Outcome == load.Truncated && !strings.Contains(a.Entry, o.killedNode.address+":"):
			truncated = append(truncated, *a)
		}
	}
	add(newGuarantee(len(wrong)+len(truncated) == 0, "6 a caller gets the complete answer to its request",
		"%d wrong, %d cut by a node that was not killed", len(wrong), len(truncated)))
	r.addExamples("wrong answer", wrong)
	r.addExamples("cut answer", truncated)
	lostRequests := lostAttempts(o.attempts, o.shutdownRange)
	exit := "exit code 0"
	if o.shutdownErr != nil {
		exit = o.shutdownErr.Error()
	}
	sent, failed = failedAttempts(o.attempts, o.shutdownRange, &o.traffic)
	add(newGuarantee(len(lostRequests) == 0 && o.shutdownErr == nil, "10 a planned stop cuts no request",
		"%d lost, %d of %d refused, %s", len(lostRequests), len(failed), sent, exit))
	r.addExamples("planned stop", lostRequests)
}

func (r *result) checkOrders(o *observations, add func(guarantee)) {
	violations := load.CheckExecutions(o.orders, o.executions.Keys)
	count := func(part string) int {
		n := 0
		for _, line := range violations {
			if strings.Contains(line, part) {
				n++
			}
		}
		return n
	}
	answered, refused := 0, 0
	for i := range o.orders {
		switch {
		case o.orders[i].Outcome == load.Answered:
			answered++
		case !o.orders[i].MayHaveExecuted:
			refused++
		}
	}
	add(newGuarantee(count("as not run and ran") == 0, "7 a refusal that says not run is true", "%d orders refused, %d of them ran", refused, count("as not run and ran")))
	executedTwice := 0
	for _, n := range o.executions.Orders {
		if n > 1 {
			executedTwice++
		}
	}
	add(newGuarantee(count("times") == 0 && executedTwice == 0, "8 no order runs twice", "%d orders, %d ran twice", len(o.orders), executedTwice))
	add(newGuarantee(answered > 0 && count("did not run") == 0, "8 each answered order ran once", "%d answered, %d of them did not run", answered, count("did not run")))
	r.examples = append(r.examples, violations[:min(len(violations), maxExamples)]...)
}

func (r *result) checkOperations(o *observations, add func(guarantee)) {
	slowest, missing := o.changes[0], 0
	for _, c := range o.changes {
		if c.finishedAt.Sub(c.startedAt) > slowest.finishedAt.Sub(slowest.startedAt) {
			slowest = c
		}
		if !c.acknowledged || c.inForce < c.nodes {
			missing++
		}
	}
	longest := slowest.finishedAt.Sub(slowest.startedAt)
	add(newGuarantee(missing == 0 && longest <= configDeadline, "11 an accepted change is in force everywhere within 5 s",
		"%d changes, slowest %.2f s, %d not everywhere", len(o.changes), longest.Seconds(), missing))
	sent, failed := failedAttempts(o.attempts, o.outageRange, &o.traffic)
	share := 1 - float64(len(failed))/float64(max(sent, 1))
	add(newGuarantee(sent > 0 && share >= minOutageSuccessShare, "requests are answered while the platform is away", "%.2f%% of %d", 100*share, sent))
	r.addExamples("platform outage", failed)
	add(newGuarantee(o.outageExitCode == exitUnreachable, "a change without the platform is refused", "exit code %d", o.outageExitCode))
	complete, detail := checkAuditTrail(o.auditRecords, o.changes)
	add(newGuarantee(complete, "the audit trail is complete", "%s", detail))
}

// addExamples adds the first of the attempts that violate a guarantee to the output.
func (r *result) addExamples(what string, list []load.Attempt) {
	for i := range list[:min(len(list), maxExamples)] {
		a := &list[i]
		r.examples = append(r.examples, fmt.Sprintf("%s: %s %s at %s by %s: %s %s (%s, %.2f s)", what, a.Method, a.Path, a.Entry,
			a.Team, a.Outcome, a.Detail, a.StartedAt.Format("15:04:05.000"), a.EndedAt.Sub(a.StartedAt).Seconds()))
	}
}

// print prints the counts and the guarantees and reports whether one was violated.
func (r *result) print() (violated bool) {
	var total load.Counts
	for _, report := range r.reports {
		total.Add(&report.Total.Counts)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, r.name+"\trequests\tsent\tresent\tanswered\tnot run\tmay have run\tfailed\twrong\tcut\tno answer\tnot sent\tp50 ms\tp99 ms\t")
	for i, protocol := range []string{"HTTP/1.1", "HTTP/2"} {
		t := &r.reports[i].Total
		writeRow(w, protocol, &t.Counts, fmt.Sprintf("%.1f\t%.1f", t.Latency.P50, t.Latency.P99))
	}
	writeRow(w, "both", &total, "\t")
	_ = w.Flush() // A failed write to the standard output cannot be handled.
	fmt.Print("refusals and failures by code:")
	for _, code := range slices.Sorted(maps.Keys(r.codes)) {
		fmt.Printf(" %s %d", code, r.codes[code])
	}
	fmt.Print("\nrefused for their rate although within it:")
	for _, team := range slices.Sorted(maps.Keys(r.wrongfulRefusals)) {
		fmt.Printf(" %s %d", team, r.wrongfulRefusals[team])
	}
	fmt.Println()
	for _, g := range r.guarantees {
		state := "held  "
		if !g.held {
			state, violated = "BROKEN", true
		}
		fmt.Printf("%s  %-56s  %s\n", state, g.name, g.detail)
	}
	if violated {
		for _, line := range r.examples {
			fmt.Println("  " + line)
		}
	}
	return violated
}

func writeRow(w *tabwriter.Writer, name string, c *load.Counts, latency string) {
	_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t\n", name, c.Requests, c.Sent, c.Resent, c.Answered,
		c.NotRun, c.MayHaveRun, c.Failed, c.Wrong, c.Truncated, c.NoResponse, c.NotSent, latency)
}
