package quota

import (
	"context"
	"sync"
	"time"

	"trefoildock.example/routing"
	"trefoildock.example/verdict"
)

const (
	// takeTimeout bounds one question to the home, which answers within 3 ms.
	takeTimeout = 150 * time.Millisecond
	// maxWait is the longest time that a request waits for its rate.
	maxWait = 250 * time.Millisecond
	// findWait is how long a request waits for a home to be found.
	findWait = 300 * time.Millisecond
	// findPoll is the interval at which it looks.
	findPoll = 20 * time.Millisecond
	// minRetryAfter is the least hint with a refusal.
	minRetryAfter = 50 * time.Millisecond
)

// Taken is the answer of a home.
type Taken struct {
	Granted int
	// Wait is the time until a request is available, if none was granted.
	Wait time.Duration
	// NotHome means that the node that was asked is not the home.
	NotHome bool
}

// Rates decides for a node whether a request of a team may run.
type Rates struct {
	Keeper *Keeper
	// Ask takes one request of the team from a home on another node.
	Ask func(ctx context.Context, h Home, team string) (Taken, error)
	// Nodes returns the number of nodes that share the allowance.
	Nodes     func() int
	Allowance Allowance

	mu       sync.Mutex
	fallback *Ledger
}

// Admit counts one request of the team. Its error means that the request has
// not run: over the rate (429), or no home is known (503).
func (r *Rates) Admit(ctx context.Context, team *routing.Team) error {
	if team == nil || team.Rate <= 0 {
		return nil
	}
	started := time.Now()
	for {
		taken, ok := r.take(ctx, team)
		now := time.Now()
		switch {
		case ok && taken.Granted > 0:
			return nil
		case ok && now.Add(taken.Wait).Sub(started) > maxWait:
			return overRate(taken.Wait)
		case ok:
			sleep(ctx, max(taken.Wait, time.Millisecond))
		case r.takeAllowance(now, team):
			return nil
		case now.Sub(started) > findWait:
			return verdict.Refuse("rate-unknown", "no node keeps the rate of the team at the moment", minRetryAfter)
		default:
			sleep(ctx, findPoll)
		}
		if ctx.Err() != nil {
			return verdict.Refuse("canceled", "the request ended before its rate was known", minRetryAfter)
		}
	}
}

// take asks the home. It returns false if there is none.
func (r *Rates) take(ctx context.Context, team *routing.Team) (Taken, bool) {
	if ledger := r.Keeper.Ledger(); ledger != nil {
		granted, wait := ledger.Take(time.Now(), team, 1)
		return Taken{Granted: granted, Wait: wait}, true
	}
	home, known := r.Keeper.Home()
	if !known || home == r.Keeper.Self {
		r.Keeper.Lost(home)
		return Taken{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	taken, err := r.Ask(ctx, home, team.Name)
	if err != nil || taken.NotHome {
		r.Keeper.Logger.Log("event", "home of the rates lost", "home", home.Node, "not_home", taken.NotHome, "err", err)
		r.Keeper.Lost(home)
		return Taken{}, false
	}
	return taken, true
}

// takeAllowance spends the part of the tolerated overrun of this node.
func (r *Rates) takeAllowance(now time.Time, team *routing.Team) bool {
	part, ok := r.Allowance.team(team, r.Nodes())
	if !ok {
		return false
	}
	r.mu.Lock()
	if r.fallback == nil {
		r.fallback = NewLedger(now, true)
	}
	ledger := r.fallback
	r.mu.Unlock()
	granted, _ := ledger.Take(now, part, 1)
	return granted > 0
}

func overRate(wait time.Duration) error {
	e := verdict.Refuse("rate-limit", "the team is over its rate", max(wait, minRetryAfter))
	e.Status = 429
	return e
}
