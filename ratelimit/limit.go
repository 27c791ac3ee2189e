package ratelimit

import "time"

const (
	// FullShare is the sum of all shares of a team, in parts per million (ppm).
	FullShare = 1_000_000
	// MaxWait is the maximum time that a request waits for a token.
	MaxWait = 250 * time.Millisecond
	// ReportInterval is the maximum time between two reports of a holder.
	ReportInterval = time.Second
	// TickInterval is the maximum time between two calls of Holder.ReportDue and of
	// Ledger.Tick. It is also the minimum time between two reports.
	TickInterval = 100 * time.Millisecond
	// MaxClockStep is the maximum time between two calls for which tokens are added.
	MaxClockStep = time.Second

	// tokenUnit is one token in micro-tokens, the unit of bucket levels. With it,
	// tokens times a share in ppm is an integer.
	tokenUnit = 1_000_000
	// minReserve is the part of a team's limit, in ppm, that the coordinator does
	// not grant as shares. It serves entry nodes without a share and absorbs
	// shifts of the demand that are faster than the reassignment of shares.
	minReserve = 180_000
	// maxTakeReserve limits the reserve for token requests, in ppm, so that
	// callers above the rate limit cannot displace all shares.
	maxTakeReserve = 500_000
	// standbyFraction is the part of the reserve, in ppm, that the standby
	// coordinator gets, or of the entire unallocated fraction if no shares are
	// requested. The standby coordinator serves token requests while the
	// coordinator is unavailable.
	standbyFraction = 650_000
	// reserveTokens is the minimum burst of the reserve, in tokens. A bucket with a
	// capacity below one token never admits a request.
	reserveTokens = 2
)

// Limit is the rate limit of one team.
type Limit struct {
	// Rate is the rate in 1/1000 request per second (see PerSecond), at most 1e12.
	Rate uint64
	// Burst is the burst in requests, at most 1e9; 0 rejects every request.
	Burst uint32
}

// PerSecond is the Rate of one request per second.
const PerSecond = 1000

// perSecond returns the rate in requests per second.
func (l Limit) perSecond() float64 { return float64(l.Rate) / PerSecond }

// Limits returns the limit of a team, or false if the team is not configured.
type Limits func(team string) (Limit, bool)

// MinShare returns the smallest usable share in ppm, for which the burst is one
// token. It exceeds FullShare if the team has no burst.
func (l Limit) MinShare() uint32 {
	if l.Burst == 0 {
		return FullShare + 1
	}
	return ceilDiv(tokenUnit, l.Burst)
}

// Reserve returns the minimum share in ppm that the coordinator retains for
// itself and its standby. A team with a burst of at most two tokens is served
// by its coordinator alone.
func (l Limit) Reserve() uint32 {
	if l.Burst == 0 {
		return FullShare
	}
	return min(FullShare, max(minReserve, ceilDiv(reserveTokens*tokenUnit, l.Burst)))
}

func ceilDiv(a, b uint32) uint32 { return (a + b - 1) / b }
