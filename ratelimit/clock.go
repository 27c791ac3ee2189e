package ratelimit

import "time"

// clock converts the caller's time to credited time, which never decreases and
// excludes steps larger than MaxClockStep.
type clock struct {
	last     time.Time
	credited time.Duration
}

// advance returns the credited time at now.
func (c *clock) advance(now time.Time) time.Duration {
	step := now.Sub(c.last)
	switch {
	case c.last.IsZero() || step > MaxClockStep || step < -MaxClockStep:
		c.last = now
	case step > 0:
		c.last = now
		c.credited += step
	}
	return c.credited
}
