package ratelimit

import (
	"slices"
	"time"
)

// request runs the caller's loop of the package: at most MaxWait in all.
func (f *fleet) request(n *fleetNode, team string) {
	if !f.fresh(n) {
		return // Answered 503 by the node for another reason.
	}
	f.counts.offered++
	f.baseline(f.split[n.id], team, f.now+MaxWait, &f.counts.split, f.splitAdmitted)
	f.baseline(f.shared, team, f.now+MaxWait, &f.counts.shared, nil)
	f.handle(n, team, f.now+MaxWait, n.holder.Allow(f.clock(n), team, f.limits[team]))
}

func (f *fleet) baseline(b *Split, team string, deadline time.Duration, refused *int, admitted map[string][]time.Duration) {
	allowed, wait := b.Allow(epoch.Add(f.now), team, f.limits[team])
	switch {
	case allowed:
		if admitted != nil {
			admitted[team] = append(admitted[team], f.now)
		}
	case wait > deadline-f.now:
		*refused++
	default:
		f.after(wait, func() { f.baseline(b, team, deadline, refused, admitted) })
	}
}

func (f *fleet) handle(n *fleetNode, team string, deadline time.Duration, d Decision) {
	inc := n.inc
	again := func() {
		if f.fresh(n) && n.inc == inc {
			f.handle(n, team, deadline, n.holder.Retry(f.clock(n), team, f.limits[team]))
		}
	}
	switch {
	case d.Outcome == Allowed:
		f.admitted[team] = append(f.admitted[team], f.now)
	case d.Outcome == Refused || d.Wait > deadline-f.now:
		f.counts.refused++
	case d.Outcome == Wait:
		f.after(d.Wait, again)
	default:
		f.take(n, team, again)
	}
}

// take asks the home and then the deputy.
func (f *fleet) take(n *fleetNode, team string, again func()) {
	f.counts.takes++
	inc := n.inc
	f.ask(n, f.home(n), team, func(to *fleetNode) (bool, time.Duration) {
		if to.ledger.Recovered(team) {
			granted, retryAfter, _ := to.ledger.Take(f.clock(to), team, 1, f.limits[team])
			return granted, retryAfter
		}
		return to.holder.Take(f.clock(to), team, 1, f.limits[team])
	}, func(first time.Duration) {
		if n.inc != inc || !f.fresh(n) {
			return
		}
		f.ask(n, f.deputy(n), team, func(to *fleetNode) (bool, time.Duration) {
			return to.holder.Take(f.clock(to), team, 1, f.limits[team])
		}, func(second time.Duration) {
			n.holder.TakeRefused(f.clock(n), team, min(first, second))
			again()
		})
	})
}

func (f *fleet) ask(n, to *fleetNode, team string, grant func(to *fleetNode) (bool, time.Duration), refused func(time.Duration)) {
	answered := false
	refuse := func(retryAfter time.Duration) {
		if !answered {
			answered = true
			refused(retryAfter)
		}
	}
	if !to.alive && f.now > to.diedAt+3*time.Second {
		refuse(MaxWait) // The keep-alive of the link has failed.
		return
	}
	f.after(50*ms, func() { refuse(100 * ms) })
	f.send(n, to, func() {
		if !f.fresh(to) {
			return
		}
		granted, retryAfter := grant(to)
		at := f.now
		f.send(to, n, func() {
			if granted && !answered {
				answered = true
				f.admitted[team] = append(f.admitted[team], at)
			}
			refuse(retryAfter)
		})
	})
}

// traffic starts Poisson arrivals at load times the rate of each team. weight
// gives the part of a node in a team's demand.
func (f *fleet) traffic(load float64, weight func(team, node int, at time.Duration) float64) {
	for index, team := range slices.Sorted(mapKeys(f.limits)) {
		var arrive func()
		arrive = func() {
			f.after(time.Duration(f.r.ExpFloat64()/(load*f.limits[team].perSecond())*1e9), arrive)
			left := f.r.Float64()
			for i, n := range f.nodes {
				if left -= weight(index, i, f.now); left < 0 {
					f.request(n, team)
					return
				}
			}
		}
		f.after(0, arrive)
	}
}

func mapKeys(m map[string]Limit) func(func(string) bool) {
	return func(yield func(string) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}
