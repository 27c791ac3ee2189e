// Package quota keeps the rates of teams over all nodes.
//
// One node, the home, holds a lease in the platform's store and gives out
// single requests from one token bucket per team. The other nodes ask it for
// each request of a team with a limit. While there is no home, deputies of a
// team give out the overrun that the deployment tolerates.
package quota

import (
	"sync"
	"time"

	"trefoildock.example/routing"
)

// Ledger holds the token buckets of a home. It is safe for concurrent use.
type Ledger struct {
	mu      sync.Mutex
	buckets map[string]*bucket
	// started is when the ledger began to give out requests; full means that no
	// other home was there before.
	started time.Time
	full    bool
}

type bucket struct {
	tokens float64
	last   time.Time
}

// NewLedger returns an empty ledger. If full is set, buckets start with the
// whole burst; otherwise an earlier home may have given it out a moment ago.
func NewLedger(now time.Time, full bool) *Ledger {
	return &Ledger{buckets: make(map[string]*bucket), started: now, full: full}
}

// Take gives out up to n requests of the team. If it gives none, it returns the
// time until one is available.
func (l *Ledger) Take(now time.Time, team *routing.Team, n int) (granted int, wait time.Duration) {
	if team.Rate <= 0 {
		return n, 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucket(now, team)
	granted = min(n, int(b.tokens))
	if granted <= 0 {
		return 0, time.Duration((1 - b.tokens) / team.Rate * float64(time.Second))
	}
	b.tokens -= float64(granted)
	return granted, 0
}

// HasSpare reports whether more than half of what can be saved up is left.
func (l *Ledger) HasSpare(now time.Time, team *routing.Team) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bucket(now, team).tokens > max(team.Burst, 1)/2
}

// bucket returns the bucket of a team, filled up to now.
func (l *Ledger) bucket(now time.Time, team *routing.Team) *bucket {
	b := l.buckets[team.Name]
	depth := max(team.Burst, 1)
	if b == nil {
		b = &bucket{last: l.started}
		if l.full {
			b.tokens = depth
		}
		l.buckets[team.Name] = b
	}
	if d := now.Sub(b.last); d > 0 {
		b.tokens += team.Rate * d.Seconds()
		b.last = now
	}
	b.tokens = min(b.tokens, depth)
	return b
}

const (
	// SavedRetries is the number of retries of a service that a node may save up. It
	// exceeds 1, so that the credit of the request that completes a retry is not lost.
	SavedRetries = 1.3
	// slackShare is the part of the fleet's slack for retries that is given out or
	// saved up, and minHomeShare the least part that the home gives out.
	slackShare   = 0.95
	minHomeShare = 0.2
)

// RetryLimit returns the limit of the retries of a service that the home gives
// out, beyond those that the nodes earn by their own requests: what the nodes
// cannot have saved up of the slack. Within any window it allows burst and rate
// times window, which together are its part.
func RetryLimit(service string, slack float64, window time.Duration, nodes int) *routing.Team {
	part := max(slackShare*slack-SavedRetries*float64(nodes), minHomeShare*slack)
	return &routing.Team{Name: "retries of " + service, Burst: part / 3, Rate: part * 2 / 3 / max(window.Seconds(), 1)}
}

// Allowance is the overrun that the deployment tolerates. While there is no home,
// deputies of a team give it out.
type Allowance struct {
	// Window, Over and Slack are the bounds of the deployment: within a window a
	// team may exceed rate and burst by the share Over and the number Slack.
	Window      time.Duration
	Over, Slack float64
}

const (
	// Deputies is the number of nodes that give out the overrun of a team.
	Deputies = 3
	// deputyParts is the number of parts of the overrun, of which a deputy gives out
	// one per window. It exceeds Deputies, because nodes whose views differ for a
	// moment may ask another deputy.
	deputyParts = 4
)

// deputyLimit returns the limit of one deputy, or false if it is below one request.
func (a Allowance) deputyLimit(t *routing.Team) (*routing.Team, bool) {
	seconds := a.Window.Seconds()
	if seconds <= 0 {
		return nil, false
	}
	part := ((t.Rate*seconds+t.Burst)*a.Over + a.Slack) / deputyParts
	if part < 2 {
		return nil, false
	}
	return &routing.Team{Name: t.Name, Rate: part / 2 / seconds, Burst: part / 2}, true
}
