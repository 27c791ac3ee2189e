package ratelimit

import "time"

// clock turns the caller's time into credited time, which never runs backwards
// and leaves out gaps above MaxClockStep.
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
