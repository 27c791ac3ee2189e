package main

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"trefoildock.example/standin/load"
)

// Limits of the guarantees.
const (
	revocationDeadline = 3 * time.Second
	zoneOutDeadline    = 2 * time.Second
	configDeadline     = 5 * time.Second
	// minOutageSuccessShare is the share of requests that must succeed during an
	// outage of the platform.
	minOutageSuccessShare = 0.99
)

// Codes of refusals that a team causes itself.
const (
	codeRateLimit    = "rate-limit"
	codeUnauthorized = "unauthorized"
)

// guarantee is the result of the check of one guarantee.
type guarantee struct {
	name   string
	held   bool
	detail string
}

func newGuarantee(held bool, name, format string, args ...any) guarantee {
	return guarantee{name: name, held: held, detail: fmt.Sprintf(format, args...)}
}

// isLost reports whether an attempt ended without a response and without a refusal
// that excludes its execution.
func isLost(a *load.Attempt) bool {
	return a.Outcome != load.Answered && a.Outcome != load.NotRun && a.Outcome != load.NotSent
}

// isExpectedRefusal reports whether an attempt was refused because its team exceeds
// its rate or uses a revoked key.
func isExpectedRefusal(a *load.Attempt, profile *trafficProfile) bool {
	return a.Outcome == load.NotRun &&
		(a.Code == codeRateLimit && a.Team == profile.overRateTeam || a.Code == codeUnauthorized && a.Team == profile.revokedTeam)
}

// failedAttempts returns the number of attempts that began in window, and those of them
// that were neither answered nor refused as expected.
func failedAttempts(attempts []load.Attempt, window timeRange, profile *trafficProfile) (sent int, failed []load.Attempt) {
	for i := range attempts {
		a := &attempts[i]
		if !window.contains(a.StartedAt) {
			continue
		}
		sent++
		if a.Outcome != load.Answered && !isExpectedRefusal(a, profile) {
			failed = append(failed, *a)
		}
	}
	return sent, failed
}

// lostAttempts returns the lost attempts that overlap window.
func lostAttempts(attempts []load.Attempt, window timeRange) []load.Attempt {
	var lost []load.Attempt
	for i := range attempts {
		a := &attempts[i]
		if !a.EndedAt.Before(window.from) && !a.StartedAt.After(window.to) && isLost(a) {
			lost = append(lost, *a)
		}
	}
	return lost
}

// rateExcess returns the number of admitted requests of a team, and the largest excess
// of admitted requests over rate x time + burst in any window. A request counts in a
// window if it began and ended there, so that its token was taken there.
func rateExcess(attempts []load.Attempt, team string, rate, burst float64) (admitted int, worst float64) {
	var admittedAttempts []load.Attempt
	for i := range attempts {
		if attempts[i].ResponseTeam == team {
			admittedAttempts = append(admittedAttempts, attempts[i])
		}
	}
	slices.SortFunc(admittedAttempts, func(a, b load.Attempt) int { return cmp.Compare(a.EndedAt.UnixNano(), b.EndedAt.UnixNano()) })
	worst = -burst
	for i := range admittedAttempts {
		from := admittedAttempts[i].StartedAt
		count := 0
		for j := range admittedAttempts {
			if admittedAttempts[j].StartedAt.Before(from) {
				continue
			}
			count++
			allowed := rate*admittedAttempts[j].EndedAt.Sub(from).Seconds() + burst
			worst = max(worst, float64(count)-allowed)
		}
	}
	return len(admittedAttempts), worst
}

// wrongfulRefusals counts rate limit refusals by team, for all teams except overRate,
// which are within their rates.
func wrongfulRefusals(attempts []load.Attempt, overRate string) map[string]int {
	counts := make(map[string]int)
	for i := range attempts {
		if attempts[i].Code == codeRateLimit && attempts[i].Team != overRate {
			counts[attempts[i].Team]++
		}
	}
	return counts
}

// usageAfterRevocation returns the time from the revocation of a key to the start of
// the last request that was executed with it, and the number of refusals after the
// revocation deadline.
func usageAfterRevocation(attempts []load.Attempt, team string, revokedAt time.Time) (lastUse time.Duration, refused int) {
	for i := range attempts {
		a := &attempts[i]
		if a.Team != team {
			continue
		}
		since := a.StartedAt.Sub(revokedAt)
		if a.ResponseTeam == team {
			lastUse = max(lastUse, since)
		}
		if since > revocationDeadline && a.Code == codeUnauthorized {
			refused++
		}
	}
	return lastUse, refused
}

// checkAuditTrail reports whether the audit trail has exactly one matching record for
// each change.
func checkAuditTrail(records []auditRecord, changes []change) (complete bool, detail string) {
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
