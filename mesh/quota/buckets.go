// Package quota enforces fleet-wide rate limits per team.
//
// One node, the coordinator, holds a lease in the platform's store and grants
// tokens from one bucket per team. The other nodes call it once for each request
// of a team with a limit. While there is no coordinator, the
// fallback nodes of a team grant requests up to the overrun that the deployment
// tolerates.
package quota

import (
	"sync"
	"time"

	"trefoildock.example/routing"
)

// BucketSet holds one token bucket per team or service. It is safe for concurrent use.
type BucketSet struct {
	mu      sync.Mutex
	buckets map[string]*bucket
	// startedAt is the time from which the buckets fill; full means that they start
	// with the full burst, because there was no earlier coordinator.
	startedAt time.Time
	full      bool
}

type bucket struct {
	tokens     float64
	refilledAt time.Time
}

// NewBucketSet returns an empty set. If full is set, buckets start with the full
// burst; otherwise they start empty, because an earlier coordinator may have just
// granted the burst.
func NewBucketSet(now time.Time, full bool) *BucketSet {
	return &BucketSet{buckets: make(map[string]*bucket), startedAt: now, full: full}
}

// Take takes up to n tokens from the bucket of the team. If none is available, it
// returns the time until one is.
func (s *BucketSet) Take(now time.Time, team *routing.Team, n int) (granted int, wait time.Duration) {
	if team.Rate <= 0 {
		return n, 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.bucket(now, team)
	granted = min(n, int(b.tokens))
	if granted <= 0 {
		return 0, time.Duration((1 - b.tokens) / team.Rate * float64(time.Second))
	}
	b.tokens -= float64(granted)
	return granted, 0
}

// HasSpare reports whether the bucket of a team is more than half full.
func (s *BucketSet) HasSpare(now time.Time, team *routing.Team) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bucket(now, team).tokens > max(team.Burst, 1)/2
}

// bucket returns the bucket of a team, refilled up to now.
func (s *BucketSet) bucket(now time.Time, team *routing.Team) *bucket {
	b := s.buckets[team.Name]
	capacity := max(team.Burst, 1)
	if b == nil {
		b = &bucket{refilledAt: s.startedAt}
		if s.full {
			b.tokens = capacity
		}
		s.buckets[team.Name] = b
	}
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.tokens += team.Rate * elapsed.Seconds()
		b.refilledAt = now
	}
	b.tokens = min(b.tokens, capacity)
	return b
}

const (
	// LocalRetryBurst is the capacity of a node's local retry budget for a service, in
	// retries. It exceeds 1, so that the cap does not cut off the credit of the
	// request that completes one retry.
	LocalRetryBurst = 1.3
	// slackShare is the share of the fleet's retry slack that is used by the
	// coordinator and the local retry budgets together, and minCoordinatorShare is
	// the minimum share that the coordinator grants.
	slackShare          = 0.95
	minCoordinatorShare = 0.2
)

// RetryLimit returns the limit of the retries of a service that the coordinator
// grants in addition to those that the nodes earn with their own requests. Its
// budget is slackShare of the slack minus the capacity of all local retry budgets,
// but at least minCoordinatorShare of the slack. Within any window, the burst plus
// the rate times the window add up to this budget.
func RetryLimit(service string, slack float64, window time.Duration, nodes int) *routing.Team {
	budget := max(slackShare*slack-LocalRetryBurst*float64(nodes), minCoordinatorShare*slack)
	return &routing.Team{Name: "retries of " + service, Burst: budget / 3, Rate: budget * 2 / 3 / max(window.Seconds(), 1)}
}

// OverrunBounds limits the overrun that the deployment tolerates. While there is
// no coordinator, the fallback nodes of a team grant it.
type OverrunBounds struct {
	// Window, Ratio and Slack are the bounds of the deployment: within a window, a
	// team may exceed its rate and burst by the share Ratio plus Slack requests.
	Window       time.Duration
	Ratio, Slack float64
}

const (
	// FallbackCount is the number of nodes that grant the overrun of a team.
	FallbackCount = 3
	// fallbackShares is the number of equal shares of the overrun, of which each
	// fallback node grants one per window. It exceeds FallbackCount, because nodes
	// whose views differ temporarily may select different fallback nodes.
	fallbackShares = 4
)

// fallbackLimit returns the limit of one fallback node, or false if it is below one request.
func (b OverrunBounds) fallbackLimit(t *routing.Team) (*routing.Team, bool) {
	seconds := b.Window.Seconds()
	if seconds <= 0 {
		return nil, false
	}
	share := ((t.Rate*seconds+t.Burst)*b.Ratio + b.Slack) / fallbackShares
	if share < 2 {
		return nil, false
	}
	return &routing.Team{Name: t.Name, Rate: share / 2 / seconds, Burst: share / 2}, true
}
