package quota

import (
	"context"
	"sync"
	"time"

	"trefoildock.example/mesh/clock"

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
	// relayTime is how long the home is asked through another node before it is
	// tried directly again.
	relayTime = 2 * time.Second
	// silentTime is how long a deputy that did not answer is not asked again.
	silentTime = time.Second
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

// Want names what is taken from the home: a request of a team, or a retry of a
// service.
type Want struct {
	Team, RetryOf string
	// Spare takes a retry only if more than half of the saved budget is left.
	Spare bool
}

// Rates decides for a node whether a request of a team may run.
type Rates struct {
	Keeper *Keeper
	// Ask takes from a home on another node.
	Ask func(ctx context.Context, h Home, w Want) (Taken, error)
	// Relay asks another node to ask the home; nil relays nothing. A home that
	// this node cannot reach may still be reached by others.
	Relay func(ctx context.Context, w Want) (Taken, error)
	// RetryLimit is the limit of the retries of a service that the home gives out.
	RetryLimit func(service string) *routing.Team
	// Deputies returns the nodes that give out the overrun of a team while there is
	// no home, and AskDeputy asks one of them.
	Deputies  func(team string) []Home
	AskDeputy func(ctx context.Context, h Home, team string) (Taken, error)
	Allowance Allowance
	// Started is when this process started.
	Started time.Time

	mu sync.Mutex
	// overrun is what this node has given out as a deputy.
	overrun *Ledger
	// silent are deputies that did not answer, until the given times.
	silent map[Home]time.Time
	// relayUntil is the time until which the home is asked through another node.
	relayUntil time.Time
}

// Admit counts one request of the team. Its error means that the request has
// not run: over the rate (429), or no home is known (503).
func (r *Rates) Admit(ctx context.Context, team *routing.Team) error {
	if team == nil || team.Rate <= 0 {
		return nil
	}
	started := time.Now()
	for {
		taken, ok := r.take(ctx, team, Want{Team: team.Name})
		now := time.Now()
		switch {
		case ok && taken.Granted > 0:
			return nil
		case ok && now.Add(taken.Wait).Sub(started) > maxWait:
			return overRate(taken.Wait)
		case ok:
			clock.Sleep(ctx, max(taken.Wait, time.Millisecond))
		case r.askDeputies(ctx, team):
			return nil
		case now.Sub(started) > findWait:
			return verdict.Refuse("rate-unknown", "no node keeps the rate of the team at the moment", minRetryAfter)
		default:
			clock.Sleep(ctx, findPoll)
		}
		if ctx.Err() != nil {
			return verdict.Refuse("canceled", "the request ended before its rate was known", minRetryAfter)
		}
	}
}

// TakeRetry takes one retry of the service from the fleet's budget. It never
// waits for one. Half of the budget is kept for the most urgent requests.
func (r *Rates) TakeRetry(ctx context.Context, service string, mostUrgent bool) bool {
	taken, ok := r.take(ctx, r.RetryLimit(service), Want{RetryOf: service, Spare: !mostUrgent})
	return ok && taken.Granted > 0
}

// take asks the home. It returns false if there is none.
func (r *Rates) take(ctx context.Context, limit *routing.Team, w Want) (Taken, bool) {
	if ledger := r.Keeper.Ledger(); ledger != nil {
		if w.Spare && !ledger.HasSpare(time.Now(), limit) {
			return Taken{}, true
		}
		granted, wait := ledger.Take(time.Now(), limit, 1)
		return Taken{Granted: granted, Wait: wait}, true
	}
	home, known := r.Keeper.Home()
	if !known || home == r.Keeper.Self {
		r.Keeper.Lost(home)
		return Taken{}, false
	}
	if !r.relaying() {
		taken, err := r.ask(ctx, func(ctx context.Context) (Taken, error) { return r.Ask(ctx, home, w) })
		if err == nil && !taken.NotHome {
			return taken, true
		}
		r.Keeper.Logger.Log("event", "home of the rates not reached", "home", home.Node, "not_home", taken.NotHome, "err", err)
	}
	if r.Relay != nil {
		taken, err := r.ask(ctx, func(ctx context.Context) (Taken, error) { return r.Relay(ctx, w) })
		if err == nil && !taken.NotHome {
			r.startRelaying()
			return taken, true
		}
	}
	r.Keeper.Lost(home)
	return Taken{}, false
}

func (r *Rates) ask(ctx context.Context, f func(context.Context) (Taken, error)) (Taken, error) {
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	return f(ctx)
}

func (r *Rates) relaying() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Now().Before(r.relayUntil)
}

func (r *Rates) startRelaying() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := time.Now(); !now.Before(r.relayUntil) {
		r.relayUntil = now.Add(relayTime)
	}
}

// askDeputies takes a request of the team from the tolerated overrun.
func (r *Rates) askDeputies(ctx context.Context, team *routing.Team) bool {
	for _, h := range r.Deputies(team.Name) {
		if h == r.Keeper.Self {
			if r.TakeOverrun(time.Now(), team).Granted > 0 {
				return true
			}
			continue
		}
		if r.isSilent(h) {
			continue
		}
		taken, err := r.ask(ctx, func(ctx context.Context) (Taken, error) { return r.AskDeputy(ctx, h, team.Name) })
		if err != nil {
			r.Keeper.Logger.Log("event", "deputy of the rates not reached", "deputy", h.Node, "team", team.Name, "err", err)
			r.markSilent(h)
			continue
		}
		if taken.Granted > 0 {
			return true
		}
	}
	return false
}

// TakeOverrun gives out one request of the team as its deputy.
func (r *Rates) TakeOverrun(now time.Time, team *routing.Team) Taken {
	limit, ok := r.Allowance.deputyLimit(team)
	if !ok {
		return Taken{}
	}
	r.mu.Lock()
	if r.overrun == nil {
		// An earlier process of this node may have given out its part a moment ago.
		r.overrun = NewLedger(r.Started, false)
	}
	ledger := r.overrun
	r.mu.Unlock()
	granted, wait := ledger.Take(now, limit, 1)
	return Taken{Granted: granted, Wait: wait}
}

func (r *Rates) isSilent(h Home) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Now().Before(r.silent[h])
}

func (r *Rates) markSilent(h Home) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.silent == nil {
		r.silent = make(map[Home]time.Time)
	}
	r.silent[h] = time.Now().Add(silentTime)
}

func overRate(wait time.Duration) error {
	e := verdict.Refuse("rate-limit", "the team is over its rate", max(wait, minRetryAfter))
	e.Status = 429
	return e
}
