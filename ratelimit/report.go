package ratelimit

import (
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// requestShareAbove is the demand in requests per second above which a holder
	// requests a share. Below it, requests for individual tokens need fewer
	// messages.
	requestShareAbove = 2.0
	// releaseShareBelow is the demand in requests per second below which a holder
	// releases its share. The difference to requestShareAbove prevents frequent
	// changes.
	releaseShareBelow = 0.5
	// slowWindow and fastWindow are the time constants of the two moving averages
	// of the demand. The slow one keeps shares stable, because every change of a
	// share discards tokens.
	slowWindow = 5 * time.Second
	fastWindow = time.Second
	// stepDeviations is the difference between the two averages, in standard
	// deviations of random arrivals, that counts as a step of the demand.
	stepDeviations = 3.0
	// shareDeadBand is the relative change of the requested share that is ignored.
	shareDeadBand = 0.05
	// shareHeadroom is the ratio of the requested share to the demand. It covers the
	// variance of random arrivals between two reports.
	shareHeadroom = 1.25
	// idleTimeout is the time without requests after which the record of a team is
	// removed.
	idleTimeout = 10 * time.Second
)

// ReportDue updates the demand estimates and reports whether reports are due,
// which is after ReportInterval, or after TickInterval if a share deviates
// significantly from the demand. It must be called every TickInterval.
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

// Report returns a report with a new sequence number for one coordinator,
// sorted by team name. Shares far above the demand are reduced before they are
// reported. isCoordinator returns whether the receiver is the coordinator of a
// team under the membership version term.
func (h *Holder) Report(now time.Time, term uint64, isCoordinator func(team string) bool) Report {
	at := h.clock.advance(now)
	h.lastReport = at
	h.sequence++
	r := Report{Holder: h.name, Incarnation: h.incarnation, Term: term}
	for team, t := range h.teams {
		if !isCoordinator(team) {
			continue
		}
		if !t.isStandby {
			t.standby = 0
		}
		if t.share > 2*t.wanted+t.standby {
			t.setShare(at, t.wanted+t.standby)
		}
		if t.share == 0 && t.wanted == 0 && t.sequence == 0 && !t.isStandby {
			if at-t.lastUsed > idleTimeout {
				delete(h.teams, team)
			}
			continue
		}
		t.sequence, t.reportedWanted = h.sequence, t.wanted
		r.Shares = append(r.Shares, ShareState{
			Team: team, Sequence: h.sequence, Share: t.share, Wanted: t.wanted, Standby: min(t.standby, t.share), IsStandby: t.isStandby,
		})
	}
	slices.SortFunc(r.Shares, func(a, b ShareState) int { return strings.Compare(a.Team, b.Team) })
	return r
}

// Apply applies the shares of a response. It ignores responses to other reports
// than the last one of the team, and responses that were already applied.
func (h *Holder) Apply(now time.Time, response ReportResponse) {
	at := h.clock.advance(now)
	if response.Incarnation != h.incarnation {
		return
	}
	for _, n := range response.Shares {
		t := h.teams[n.Team]
		if t == nil || n.Sequence == 0 || n.Sequence != t.sequence || n.Share > FullShare || n.Standby > n.Share {
			continue
		}
		t.sequence, t.standby = 0, n.Standby
		t.setShare(at, n.Share)
	}
}

// setShare changes the share. The time until now is refilled at the previous
// share.
func (t *teamState) setShare(at time.Duration, share uint32) {
	t.bucket.refill(at, t.limit, t.share)
	t.share = share
	t.bucket.clamp(t.limit, share)
}

// estimate updates the demand estimates and the requested share.
func (t *teamState) estimate(elapsed time.Duration) {
	rate := float64(t.requests) / elapsed.Seconds()
	t.requests = 0
	t.fastDemand += min(1, elapsed.Seconds()/fastWindow.Seconds()) * (rate - t.fastDemand)
	t.demand += min(1, elapsed.Seconds()/slowWindow.Seconds()) * (rate - t.demand)
	// The variance of an exponential moving average of Poisson arrivals is
	// rate/(2*window).
	deviation := math.Sqrt(max(t.demand, 1) / (2 * fastWindow.Seconds()))
	if math.Abs(t.fastDemand-t.demand) > stepDeviations*deviation {
		t.demand = t.fastDemand
	}
	threshold := requestShareAbove
	if t.share > 0 {
		threshold = releaseShareBelow
	}
	if t.demand <= threshold || t.limit.Rate == 0 || t.limit.MinShare() > FullShare {
		t.wanted = 0
		return
	}
	ppm := shareHeadroom * t.demand / t.limit.perSecond() * FullShare
	wanted := max(uint32(min(ppm, FullShare)), t.limit.MinShare())
	if math.Abs(float64(wanted)-float64(t.wanted)) > shareDeadBand*float64(t.wanted) {
		t.wanted = wanted
	}
}

// urgent reports whether the share deviates so far from the demand that a
// report is due before ReportInterval. A requested share that was already
// reported is not urgent, so that a team above its rate does not cause more
// reports.
func (t *teamState) urgent() bool {
	reported := max(t.share-min(t.share, t.standby), t.reportedWanted)
	return t.share > 2*t.wanted+t.standby || t.wanted > reported+reported/2
}
