package ratelimit

import (
	"slices"
	"time"
)

// request simulates a request on an entry node, which waits for at most MaxWait.
func (f *fleet) request(n *fleetNode, team string) {
	if !f.isFresh(n) {
		return // The node responds with status 503 for another reason.
	}
	f.counts.offered++
	f.runBaseline(f.split[n.id], team, f.now+MaxWait, &f.counts.split, f.splitAdmitted)
	f.runBaseline(f.shared, team, f.now+MaxWait, &f.counts.shared, nil)
	f.handleDecision(n, team, f.now+MaxWait, n.holder.Allow(f.clock(n), team, f.limits[team]))
}

func (f *fleet) runBaseline(b *Split, team string, deadline time.Duration, refused *int, admitted map[string][]time.Duration) {
	allowed, wait := b.Allow(epoch.Add(f.now), team, f.limits[team])
	switch {
	case allowed:
		if admitted != nil {
			admitted[team] = append(admitted[team], f.now)
		}
	case wait > deadline-f.now:
		*refused++
	default:
		f.schedule(wait, func() { f.runBaseline(b, team, deadline, refused, admitted) })
	}
}

func (f *fleet) handleDecision(n *fleetNode, team string, deadline time.Duration, d Decision) {
	inc := n.incarnationNumber
	retry := func() {
		if f.isFresh(n) && n.incarnationNumber == inc {
			f.handleDecision(n, team, deadline, n.holder.Retry(f.clock(n), team, f.limits[team]))
		}
	}
	switch {
	case d.Outcome == Allowed:
		f.admitted[team] = append(f.admitted[team], f.now)
	case d.Outcome == Refused || d.Wait > deadline-f.now:
		f.counts.refused++
	case d.Outcome == Wait:
		f.schedule(d.Wait, retry)
	default:
		f.requestToken(n, team, retry)
	}
}

// requestToken requests a token from the coordinator, and from the standby
// coordinator if that fails.
func (f *fleet) requestToken(n *fleetNode, team string, retry func()) {
	f.counts.tokenRequests++
	inc := n.incarnationNumber
	f.requestTokenFrom(n, f.coordinator(n), team, func(to *fleetNode) (bool, time.Duration) {
		if to.ledger.Recovered(team) {
			granted, retryAfter, _ := to.ledger.Take(f.clock(to), team, 1, f.limits[team])
			return granted, retryAfter
		}
		return to.holder.Take(f.clock(to), team, 1, f.limits[team])
	}, func(first time.Duration) {
		if n.incarnationNumber != inc || !f.isFresh(n) {
			return
		}
		f.requestTokenFrom(n, f.standby(n), team, func(to *fleetNode) (bool, time.Duration) {
			return to.holder.Take(f.clock(to), team, 1, f.limits[team])
		}, func(second time.Duration) {
			n.holder.TakeRefused(f.clock(n), team, min(first, second))
			retry()
		})
	})
}

func (f *fleet) requestTokenFrom(n, to *fleetNode, team string, grant func(to *fleetNode) (bool, time.Duration), refused func(time.Duration)) {
	responded := false
	refuse := func(retryAfter time.Duration) {
		if !responded {
			responded = true
			refused(retryAfter)
		}
	}
	if !to.running && f.now > to.failedAt+3*time.Second {
		refuse(MaxWait) // The keep-alive of the connection has failed.
		return
	}
	f.schedule(50*ms, func() { refuse(100 * ms) })
	f.send(n, to, func() {
		if !f.isFresh(to) {
			return
		}
		granted, retryAfter := grant(to)
		at := f.now
		f.send(to, n, func() {
			if granted && !responded {
				responded = true
				f.admitted[team] = append(f.admitted[team], at)
			}
			refuse(retryAfter)
		})
	})
}

// startTraffic starts Poisson arrivals at load times the rate of each team.
// weight returns the fraction of the demand of a team that arrives at a node.
func (f *fleet) startTraffic(load float64, weight func(team, node int, at time.Duration) float64) {
	for index, team := range slices.Sorted(mapKeys(f.limits)) {
		var arrive func()
		arrive = func() {
			f.schedule(time.Duration(f.rng.ExpFloat64()/(load*f.limits[team].perSecond())*1e9), arrive)
			remaining := f.rng.Float64()
			for i, n := range f.nodes {
				if remaining -= weight(index, i, f.now); remaining < 0 {
					f.request(n, team)
					return
				}
			}
		}
		f.schedule(0, arrive)
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
