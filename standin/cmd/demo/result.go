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

// maxExamples bounds the attempts that are shown for a broken promise.
const maxExamples = 5

// result is what a run of one deployment showed.
type result struct {
	name    string
	reports [2]*load.Report
	codes   map[string]uint64
	// wrongful counts refusals of teams that keep their rate, by team.
	wrongful map[string]int
	promises []promise
	examples []string
}

// evidence is what the checks look at.
type evidence struct {
	*scenario

	attempts   []load.Attempt
	orders     []load.Order
	executions backend.Executions
	collapses  uint64
	shed       uint64
	records    []auditRecord
	rate       float64 // of the greedy team
	burst      float64
}

// collect reads the counts, the journals and the audit trail and judges them.
func collect(ctx context.Context, s *scenario, t *traffic) (*result, error) {
	e := &evidence{scenario: s, attempts: t.attempts(), orders: t.orders()}
	var err error
	if e.records, err = s.audit(ctx, s.pick(2, 2)); err != nil {
		return nil, err
	}
	if e.rate, e.burst, err = rateOf(s.name, s.rulesText, s.load.greedy); err != nil {
		return nil, err
	}
	for i := range s.machines {
		st, err := s.stats(ctx, &s.machines[i])
		if err != nil {
			return nil, err
		}
		e.collapses += st.Collapses
		e.shed += st.Shed
	}
	if e.executions, err = s.executions(); err != nil {
		return nil, err
	}
	r := &result{name: s.name, reports: t.reports, codes: make(map[string]uint64)}
	for _, report := range t.reports {
		for code, n := range report.Codes {
			r.codes[code] += n
		}
	}
	r.wrongful = wrongfulRefusals(e.attempts, e.load.greedy)
	r.judge(e)
	return r, nil
}

// judge checks every promise that can be seen from outside.
func (r *result) judge(e *evidence) {
	add := func(p promise) { r.promises = append(r.promises, p) }
	r.judgeKeysAndRates(e, add)
	r.judgeMoves(e, add)
	r.judgeOrders(e, add)
	r.judgeOperation(e, add)
}

func (r *result) judgeKeysAndRates(e *evidence, add func(promise)) {
	last, refused := afterWithdrawal(e.attempts, e.load.withdrawn, e.withdrawnAt)
	add(newPromise(last <= withdrawalLimit && refused > 0, "2 a withdrawn key stops within 3 s",
		"last use %.2f s after the command, then %d refusals", last.Seconds(), refused))
	add(newPromise(len(e.executions.Secrets) == 0, "2 no backend server sees a key", "%d seen %v", len(e.executions.Secrets), e.executions.Secrets))
	admitted, worst := overspend(e.attempts, e.load.greedy, e.rate, e.burst)
	add(newPromise(worst <= 0 && admitted > 0, "3 no team gets more than its rate and burst",
		"%s: %d answered at %g/s burst %g, worst window %.1f below the bound", e.load.greedy, admitted, e.rate, e.burst, -worst))
	add(newPromise(e.collapses == 0, "4 a cold backend server gets no more than it can handle",
		"%d collapses, %d requests shed", e.collapses, e.shed))
}

func (r *result) judgeMoves(e *evidence, add func(promise)) {
	lastInZone := e.lastInZone.Sub(e.zoneOutAt)
	add(newPromise(lastInZone <= zoneLimit, "5 a zone taken out gets no new work after 2 s",
		"last request %.2f s after the command", lastInZone.Seconds()))
	sent, failed := failedIn(e.attempts, e.zoneOut, &e.load)
	add(newPromise(sent > 0 && len(failed) == 0, "5 a zone moves without a failed request", "%d of %d requests failed", len(failed), sent))
	r.show("zone move", failed)
	sent, failed = failedIn(e.attempts, e.drained, &e.load)
	add(newPromise(sent > 0 && len(failed) == 0, "9 a backend server leaves without a failed request", "%d of %d requests failed", len(failed), sent))
	r.show("drain", failed)
	var cut, wrong []load.Attempt
	for i := range e.attempts {
		a := &e.attempts[i]
		switch {
		case a.Outcome == load.Wrong:
			wrong = append(wrong, *a)
		case a.Outcome == load.Cut && !strings.Contains(a.Entry, e.killedNode.address+":"):
			cut = append(cut, *a)
		}
	}
	add(newPromise(len(wrong)+len(cut) == 0, "6 a caller gets the complete answer to its request",
		"%d wrong, %d cut by a node that was not killed", len(wrong), len(cut)))
	r.show("wrong answer", wrong)
	r.show("cut answer", cut)
	lost := lostIn(e.attempts, e.graceful)
	exit := "exit code 0"
	if e.stopErr != nil {
		exit = e.stopErr.Error()
	}
	sent, failed = failedIn(e.attempts, e.graceful, &e.load)
	add(newPromise(len(lost) == 0 && e.stopErr == nil, "10 a planned stop cuts no request",
		"%d lost, %d of %d refused, %s", len(lost), len(failed), sent, exit))
	r.show("planned stop", lost)
}

func (r *result) judgeOrders(e *evidence, add func(promise)) {
	broken := load.CheckExecutions(e.orders, e.executions.Keys)
	count := func(part string) int {
		n := 0
		for _, line := range broken {
			if strings.Contains(line, part) {
				n++
			}
		}
		return n
	}
	answered, refused := 0, 0
	for i := range e.orders {
		switch {
		case e.orders[i].Outcome == load.Answered:
			answered++
		case !e.orders[i].Uncertain:
			refused++
		}
	}
	add(newPromise(count("as not run and ran") == 0, "7 a refusal that says not run is true", "%d orders refused, %d of them ran", refused, count("as not run and ran")))
	twice := 0
	for _, n := range e.executions.Orders {
		if n > 1 {
			twice++
		}
	}
	add(newPromise(count("times") == 0 && twice == 0, "8 no order runs twice", "%d orders, %d ran twice", len(e.orders), twice))
	add(newPromise(answered > 0 && count("did not run") == 0, "8 each answered order ran once", "%d answered, %d of them did not run", answered, count("did not run")))
	r.examples = append(r.examples, broken[:min(len(broken), maxExamples)]...)
}

func (r *result) judgeOperation(e *evidence, add func(promise)) {
	slowest, missing := e.changes[0], 0
	for _, c := range e.changes {
		if c.done.Sub(c.asked) > slowest.done.Sub(slowest.asked) {
			slowest = c
		}
		if !c.accepted || c.inForce < c.nodes {
			missing++
		}
	}
	took := slowest.done.Sub(slowest.asked)
	add(newPromise(missing == 0 && took <= inForceLimit, "11 an accepted change is in force everywhere within 5 s",
		"%d changes, slowest %.2f s, %d not everywhere", len(e.changes), took.Seconds(), missing))
	sent, failed := failedIn(e.attempts, e.outage, &e.load)
	share := 1 - float64(len(failed))/float64(max(sent, 1))
	add(newPromise(sent > 0 && share >= outageShare, "requests are answered while the platform is away", "%.2f%% of %d", 100*share, sent))
	r.show("platform outage", failed)
	add(newPromise(e.outageCode == exitUnreachable, "a change without the platform is refused", "exit code %d", e.outageCode))
	complete, detail := auditComplete(e.records, e.changes)
	add(newPromise(complete, "the audit trail is complete", "%s", detail))
}

// show keeps the first attempts of a broken promise for the output.
func (r *result) show(what string, list []load.Attempt) {
	for i := range list[:min(len(list), maxExamples)] {
		a := &list[i]
		r.examples = append(r.examples, fmt.Sprintf("%s: %s %s at %s by %s: %s %s (%s, %.2f s)", what, a.Method, a.Path, a.Entry,
			a.Team, a.Outcome, a.Detail, a.Begun.Format("15:04:05.000"), a.Ended.Sub(a.Begun).Seconds()))
	}
}

// print writes the table and the promises and reports whether one was broken.
func (r *result) print() (broken bool) {
	var n load.Counts
	for _, report := range r.reports {
		n.Add(&report.Total.Counts)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, r.name+"\trequests\tsent\tresent\tanswered\tnot run\tmay have run\tfailed\twrong\tcut\tno answer\tnot sent\tp50 ms\tp99 ms\t")
	for i, protocol := range []string{"HTTP/1.1", "HTTP/2"} {
		t := &r.reports[i].Total
		writeRow(w, protocol, &t.Counts, fmt.Sprintf("%.1f\t%.1f", t.Latency.P50, t.Latency.P99))
	}
	writeRow(w, "both", &n, "\t")
	_ = w.Flush() // Writing to the standard output cannot be repaired.
	fmt.Print("refusals and failures by code:")
	for _, code := range slices.Sorted(maps.Keys(r.codes)) {
		fmt.Printf(" %s %d", code, r.codes[code])
	}
	fmt.Print("\nrefused for their rate although within it:")
	for _, team := range slices.Sorted(maps.Keys(r.wrongful)) {
		fmt.Printf(" %s %d", team, r.wrongful[team])
	}
	fmt.Println()
	for _, p := range r.promises {
		state := "held  "
		if !p.held {
			state, broken = "BROKEN", true
		}
		fmt.Printf("%s  %-56s  %s\n", state, p.name, p.detail)
	}
	if broken {
		for _, line := range r.examples {
			fmt.Println("  " + line)
		}
	}
	return broken
}

func writeRow(w *tabwriter.Writer, name string, c *load.Counts, latency string) {
	_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t\n", name, c.Requests, c.Sent, c.Resent, c.Answered,
		c.NotRun, c.MayHaveRun, c.Failed, c.Wrong, c.Cut, c.NoAnswer, c.NotSent, latency)
}
