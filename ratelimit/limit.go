package ratelimit

import "time"

const (
	// Whole is the sum of all shares of a team, in parts per million (ppm).
	Whole = 1_000_000
	// MaxWait is the longest time that a request waits for a token.
	MaxWait = 250 * time.Millisecond
	// ReportInterval is the longest time between two reports of a holder.
	ReportInterval = time.Second
	// TickInterval is the longest time between two calls of Holder.ReportDue
	// and Ledger.Tick. It is also the shortest time between two reports.
	TickInterval = 100 * time.Millisecond
	// MaxClockStep is the longest gap between two calls that earns tokens.
	MaxClockStep = time.Second

	// tokenUnit is one token in the unit of bucket levels, micro-tokens, so that
	// tokens times a share in ppm is a whole number.
	tokenUnit = 1_000_000
	// minReserve is the part of a team's promise that the home does not grant.
	// It serves entries without a share and absorbs demand that moves faster
	// than shares do.
	minReserve = 180_000
	// maxTakeReserve bounds the part that is kept because entries take single
	// tokens, so that callers above the rate cannot displace all shares.
	maxTakeReserve = 500_000
	// standbyPart is the deputy's part of the reserve, or of the whole free
	// fraction if nobody wants shares. The deputy answers Take while the home is
	// lost; the home keeps the rest.
	standbyPart = 650_000
	// reserveTokens is the least burst kept at the home, in tokens. A bucket
	// below one token never allows a request.
	reserveTokens = 2
)

// Limit is the promise to one team.
type Limit struct {
	// Rate in requests per second, at most 1e9.
	Rate uint32
	// Burst in requests, at most 1e9; 0 refuses every request.
	Burst uint32
}

// Limits returns the limit of a team; false if the team is not configured.
type Limits func(team string) (Limit, bool)

// MinShare returns the smallest usable share in ppm, the one whose burst is one
// token. It exceeds Whole if the team has no burst.
func (l Limit) MinShare() uint32 {
	if l.Burst == 0 {
		return Whole + 1
	}
	return ceilDiv(tokenUnit, l.Burst)
}

// Reserve returns the least share in ppm that the home keeps for itself and its
// deputy. A team with a burst of two tokens or less is served by its home alone.
func (l Limit) Reserve() uint32 {
	if l.Burst == 0 {
		return Whole
	}
	return min(Whole, max(minReserve, ceilDiv(reserveTokens*tokenUnit, l.Burst)))
}

func ceilDiv(a, b uint32) uint32 { return (a + b - 1) / b }
