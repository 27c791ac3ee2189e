package main

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"trefoildock.example/standin/load"
)

// Limits of the promises.
const (
	withdrawalLimit = 3 * time.Second
	zoneLimit       = 2 * time.Second
	inForceLimit    = 5 * time.Second
	// outageShare is the share of requests that must be answered while the
	// platform is away.
	outageShare = 0.99
)

// Codes of refusals that a team earns itself.
const (
	codeRate         = "rate-limit"
	codeUnauthorized = "unauthorized"
)

// promise is one line of the verdict on a run.
type promise struct {
	name   string
	held   bool
	detail string
}

func newPromise(held bool, name, format string, args ...any) promise {
	return promise{name: name, held: held, detail: fmt.Sprintf(format, args...)}
}

// lost reports whether an attempt ended without an answer or a true refusal.
func lost(a *load.Attempt) bool {
	return a.Outcome != load.Answered && a.Outcome != load.NotRun && a.Outcome != load.NotSent
}

// deserved reports whether a refusal is what the team's rate or key calls for.
func deserved(a *load.Attempt, l *callers) bool {
	return a.Outcome == load.NotRun &&
		(a.Code == codeRate && a.Team == l.greedy || a.Code == codeUnauthorized && a.Team == l.withdrawn)
}

// failedIn returns the attempts that began in a period and were neither answered
// nor refused for a reason of the team's own.
func failedIn(attempts []load.Attempt, p period, l *callers) (sent int, failed []load.Attempt) {
	for i := range attempts {
		a := &attempts[i]
		if !p.contains(a.Begun) {
			continue
		}
		sent++
		if a.Outcome != load.Answered && !deserved(a, l) {
			failed = append(failed, *a)
		}
	}
	return sent, failed
}

// lostIn returns the attempts that overlap a period and were lost.
func lostIn(attempts []load.Attempt, p period) []load.Attempt {
	var list []load.Attempt
	for i := range attempts {
		a := &attempts[i]
		if !a.Ended.Before(p.from) && !a.Begun.After(p.to) && lost(a) {
			list = append(list, *a)
		}
	}
	return list
}

// overspend returns by how many requests a team got more than rate x time +
// burst, in the worst window. A request is counted in a window if it began and
// ended there, so its token was spent there.
func overspend(attempts []load.Attempt, team string, rate, burst float64) (admitted int, worst float64) {
	var own []load.Attempt
	for i := range attempts {
		if attempts[i].RanAs == team {
			own = append(own, attempts[i])
		}
	}
	slices.SortFunc(own, func(a, b load.Attempt) int { return cmp.Compare(a.Ended.UnixNano(), b.Ended.UnixNano()) })
	worst = -burst
	for i := range own {
		from := own[i].Begun
		n := 0
		for j := range own {
			if own[j].Begun.Before(from) {
				continue
			}
			n++
			allowed := rate*own[j].Ended.Sub(from).Seconds() + burst
			worst = max(worst, float64(n)-allowed)
		}
	}
	return len(own), worst
}

// wrongfulRefusals counts refusals for the rate by team, for teams that keep
// their rate, which are all but the greedy one.
func wrongfulRefusals(attempts []load.Attempt, greedy string) map[string]int {
	n := make(map[string]int)
	for i := range attempts {
		if attempts[i].Code == codeRate && attempts[i].Team != greedy {
			n[attempts[i].Team]++
		}
	}
	return n
}

// afterWithdrawal returns the time from the withdrawal to the start of the last
// request that ran under the key, and the number of refusals after the limit.
func afterWithdrawal(attempts []load.Attempt, team string, at time.Time) (last time.Duration, refused int) {
	for i := range attempts {
		a := &attempts[i]
		if a.Team != team {
			continue
		}
		since := a.Begun.Sub(at)
		if a.RanAs == team {
			last = max(last, since)
		}
		if since > withdrawalLimit && a.Code == codeUnauthorized {
			refused++
		}
	}
	return last, refused
}

// auditComplete compares the audit trail with the changes that were made.
func auditComplete(records []auditRecord, changes []change) (complete bool, detail string) {
	if len(records) != len(changes) {
		return false, fmt.Sprintf("%d records for %d changes", len(records), len(changes))
	}
	for i, r := range records {
		c := changes[i]
		if r.Version != c.version || r.ReadVersion != c.version-1 || r.Reason != c.reason || r.Requester != requester || r.Operator != operatorName {
			return false, fmt.Sprintf("record %+v does not fit change %d %q", r, c.version, c.reason)
		}
	}
	return true, fmt.Sprintf("%d records, each with operator, requester and versions", len(records))
}
