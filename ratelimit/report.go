package ratelimit

import (
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// askAbove is the demand in requests per second from which a holder asks
	// for a share. Below it single tokens cost fewer messages.
	askAbove = 2.0
	// returnBelow is the demand in requests per second under which a holder
	// returns its share. The gap to askAbove avoids frequent changes.
	returnBelow = 0.5
	// slowWindow and fastWindow are the time constants of the two demand
	// estimates. The slow one keeps shares stable, because every change of a
	// share drops tokens.
	slowWindow = 5 * time.Second
	fastWindow = time.Second
	// stepDeviations is the distance between the estimates, in standard
	// deviations of random arrivals, that counts as a change of demand.
	stepDeviations = 3.0
	// deadBand is the relative change of a wanted share that is ignored.
	deadBand = 0.05
	// headroom is the factor between demand and wanted share. It covers the
	// spread of random arrivals between two reports.
	headroom = 1.25
	// idleTime is the time without requests after which a record is dropped.
	idleTime = 10 * time.Second
)

// ReportDue estimates the demand and says whether to send reports now: after
// ReportInterval, or after TickInterval if a share is far from the demand. The
// caller calls it every TickInterval.
func (h *Holder) ReportDue(now time.Time) bool {
	at := h.clock.advance(now)
	if elapsed := at - h.lastTick; elapsed >= TickInterval {
		h.lastTick = at
		h.urgent = false
		for _, t := range h.teams {
			t.estimate(elapsed)
			h.urgent = h.urgent || t.urgent()
		}
	}
	since := at - h.lastReport
	return since >= ReportInterval || h.urgent && since >= TickInterval
}

// Report lists the teams of one home, in order of their names, with a new
// sequence number. Shares above the demand are lowered before they are
// reported. isHome says whether the receiver is the home of a team under the
// membership version term.
func (h *Holder) Report(now time.Time, term uint64, isHome func(team string) bool) Report {
	at := h.clock.advance(now)
	h.lastReport = at
	h.sequence++
	r := Report{Holder: h.name, Incarnation: h.incarnation, Term: term}
	for team, t := range h.teams {
		if !isHome(team) {
			continue
		}
		if !t.deputy {
			t.standby = 0
		}
		if t.share > 2*t.wanted+t.standby {
			t.setShare(at, t.wanted+t.standby)
		}
		if t.share == 0 && t.wanted == 0 && t.sequence == 0 && !t.deputy {
			if at-t.usedAt > idleTime {
				delete(h.teams, team)
			}
			continue
		}
		t.sequence, t.asked = h.sequence, t.wanted
		r.Shares = append(r.Shares, ShareState{
			Team: team, Sequence: h.sequence, Share: t.share, Wanted: t.wanted, Standby: min(t.standby, t.share), Deputy: t.deputy,
		})
	}
	slices.SortFunc(r.Shares, func(a, b ShareState) int { return strings.Compare(a.Team, b.Team) })
	return r
}

// Apply puts the shares of an answer into force. It ignores an answer to any
// but the last report of the team and an answer that was applied before.
func (h *Holder) Apply(now time.Time, a Answer) {
	at := h.clock.advance(now)
	if a.Incarnation != h.incarnation {
		return
	}
	for _, n := range a.Shares {
		t := h.teams[n.Team]
		if t == nil || n.Sequence == 0 || n.Sequence != t.sequence || n.Share > Whole || n.Standby > n.Share {
			continue
		}
		t.sequence, t.standby = 0, n.Standby
		t.setShare(at, n.Share)
	}
}

// setShare changes the capacity. Tokens earned until now count at the old share.
func (t *holding) setShare(at time.Duration, share uint32) {
	t.bucket.refill(at, t.limit, t.share)
	t.share = share
	t.bucket.clamp(t.limit, share)
}

// estimate updates the demand and the wanted share.
func (t *holding) estimate(elapsed time.Duration) {
	rate := float64(t.requests) / elapsed.Seconds()
	t.requests = 0
	t.fast += min(1, elapsed.Seconds()/fastWindow.Seconds()) * (rate - t.fast)
	t.demand += min(1, elapsed.Seconds()/slowWindow.Seconds()) * (rate - t.demand)
	// An exponential average of Poisson arrivals has the variance rate/(2*window).
	deviation := math.Sqrt(max(t.demand, 1) / (2 * fastWindow.Seconds()))
	if math.Abs(t.fast-t.demand) > stepDeviations*deviation {
		t.demand = t.fast
	}
	threshold := askAbove
	if t.share > 0 {
		threshold = returnBelow
	}
	if t.demand <= threshold || t.limit.Rate == 0 || t.limit.MinShare() > Whole {
		t.wanted = 0
		return
	}
	ppm := headroom * t.demand / float64(t.limit.Rate) * Whole
	wanted := max(uint32(min(ppm, Whole)), t.limit.MinShare())
	if math.Abs(float64(wanted)-float64(t.wanted)) > deadBand*float64(t.wanted) {
		t.wanted = wanted
	}
}

// urgent says whether the share is so far from the demand that the change is
// reported without waiting for ReportInterval. A wish that the home knows
// already is not urgent, so that a team above its rate causes no more reports.
func (t *holding) urgent() bool {
	known := max(t.share-min(t.share, t.standby), t.asked)
	return t.share > 2*t.wanted+t.standby || t.wanted > known+known/2
}
