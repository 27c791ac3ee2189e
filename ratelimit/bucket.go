package ratelimit

import (
	"math"
	"math/bits"
	"time"
)

// never is a wait that does not end without a larger share.
const never = time.Duration(math.MaxInt64)

// refillUnit is the number of nanoseconds times thousandths of a micro-token
// per second that make one micro-token.
const refillUnit = PerSecond * uint64(time.Second)

// bucket is a token bucket for a share of a limit. Levels are exact integers,
// because rounding up by a fraction at each refill would add up to tokens that
// nobody promised.
type bucket struct {
	// level in micro-tokens.
	level uint64
	// rest is the part of the refill below one micro-token, in 1/refillUnit of it.
	rest uint64
	// at is the credited time of the last refill.
	at time.Duration
}

// refill adds the tokens earned since the last refill at the share in force
// and cuts the level to the capacity. It must be called before the share
// changes.
func (b *bucket) refill(at time.Duration, l Limit, share uint32) {
	if at > b.at {
		hi, lo := bits.Mul64(l.Rate*uint64(share), uint64(at-b.at))
		lo, carry := bits.Add64(lo, b.rest, 0)
		hi += carry
		if hi >= refillUnit {
			b.level, b.rest = math.MaxUint64, 0
		} else {
			var earned uint64
			earned, b.rest = bits.Div64(hi, lo, refillUnit)
			b.level, carry = bits.Add64(b.level, earned, 0)
			if carry != 0 {
				b.level = math.MaxUint64
			}
		}
		b.at = at
	}
	b.clamp(l, share)
}

// clamp drops the tokens above the capacity of the share.
func (b *bucket) clamp(l Limit, share uint32) {
	capacity := uint64(l.Burst) * uint64(share)
	if b.level >= capacity {
		b.level, b.rest = capacity, 0
	}
}

// take spends n tokens if the level has them.
func (b *bucket) take(n uint32) bool {
	cost := uint64(n) * tokenUnit
	if b.level < cost {
		return false
	}
	b.level -= cost
	return true
}

// wait returns the time until n tokens are there, or never.
func (b *bucket) wait(l Limit, share, n uint32) time.Duration {
	cost := uint64(n) * tokenUnit
	if b.level >= cost {
		return 0
	}
	perSecond := l.perSecond() * float64(share)
	if perSecond == 0 || uint64(l.Burst)*uint64(share) < cost {
		return never
	}
	seconds := float64(cost-b.level) / perSecond
	if seconds > float64(time.Hour/time.Second) {
		return never
	}
	// Rounded up, so that a caller that waits exactly this long finds the token.
	return time.Duration(math.Ceil(seconds*float64(time.Second))) + 1
}
