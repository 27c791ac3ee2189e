package ratelimit

import (
	"math"
	"math/bits"
	"time"
)

// unboundedWait is the wait time if the tokens do not become available at the
// current share.
const unboundedWait = time.Duration(math.MaxInt64)

// refillUnit is the number of refill units per micro-token. A refill unit is a
// rate of 1/1000 micro-token per second over one nanosecond.
const refillUnit = PerSecond * uint64(time.Second)

// bucket is a token bucket for a share of a limit. Levels are exact integers,
// because rounding errors of each refill would accumulate to tokens above the
// limit.
type bucket struct {
	// level is the number of available micro-tokens.
	level uint64
	// remainder is the fraction of a micro-token that the last refill left, in units
	// of 1/refillUnit.
	remainder uint64
	// refilledAt is the credited time of the last refill.
	refilledAt time.Duration
}

// refill adds the tokens for the time since the last refill at the given share
// and limits the level to the capacity. It must be called before the share
// changes.
func (b *bucket) refill(at time.Duration, l Limit, share uint32) {
	if at > b.refilledAt {
		hi, lo := bits.Mul64(l.Rate*uint64(share), uint64(at-b.refilledAt))
		lo, carry := bits.Add64(lo, b.remainder, 0)
		hi += carry
		if hi >= refillUnit {
			b.level, b.remainder = math.MaxUint64, 0
		} else {
			var added uint64
			added, b.remainder = bits.Div64(hi, lo, refillUnit)
			b.level, carry = bits.Add64(b.level, added, 0)
			if carry != 0 {
				b.level = math.MaxUint64
			}
		}
		b.refilledAt = at
	}
	b.clamp(l, share)
}

// clamp discards the tokens above the capacity of the share.
func (b *bucket) clamp(l Limit, share uint32) {
	capacity := uint64(l.Burst) * uint64(share)
	if b.level >= capacity {
		b.level, b.remainder = capacity, 0
	}
}

// take consumes n tokens and reports whether they were available.
func (b *bucket) take(n uint32) bool {
	cost := uint64(n) * tokenUnit
	if b.level < cost {
		return false
	}
	b.level -= cost
	return true
}

// waitTime returns the time until n tokens are available, or unboundedWait.
func (b *bucket) waitTime(l Limit, share, n uint32) time.Duration {
	cost := uint64(n) * tokenUnit
	if b.level >= cost {
		return 0
	}
	perSecond := l.perSecond() * float64(share)
	if perSecond == 0 || uint64(l.Burst)*uint64(share) < cost {
		return unboundedWait
	}
	seconds := float64(cost-b.level) / perSecond
	if seconds > float64(time.Hour/time.Second) {
		return unboundedWait
	}
	// Rounded up, so that the token is available after exactly this time.
	return time.Duration(math.Ceil(seconds*float64(time.Second))) + 1
}
