package backend

import (
	"math"
	"math/rand/v2"
	"time"
)

// sampleServiceTime returns a log-normally distributed time, in nanoseconds, with mean
// c.ServiceTime.
func sampleServiceTime(c *Config, rng *rand.Rand) float64 {
	normal := rng.NormFloat64()
	return float64(c.ServiceTime) * math.Exp(c.Spread*normal-c.Spread*c.Spread/2)
}

// coldStart models the cold start. A cold server is slow. A request that starts while
// another one is executing takes much longer and restarts the cold start, which is
// counted as a collapse.
type coldStart struct {
	config    *Config
	startedAt time.Time
	completed int
	running   int
	collapses uint64
}

// restart begins a cold start.
func (cs *coldStart) restart(now time.Time) {
	cs.startedAt = now
	cs.completed = 0
}

// active reports whether the cold start is in progress.
func (cs *coldStart) active(now time.Time) bool {
	c := cs.config
	if c.ColdTime == 0 && c.ColdRequests == 0 {
		return false
	}
	if c.ColdTime > 0 && now.Sub(cs.startedAt) >= c.ColdTime {
		return false
	}
	return c.ColdRequests == 0 || cs.completed < c.ColdRequests
}

// begin records the start of an execution and returns the factor of its service time.
func (cs *coldStart) begin(now time.Time) float64 {
	cs.running++
	if !cs.active(now) {
		return 1
	}
	if cs.running == 1 {
		return cs.config.ColdFactor
	}
	cs.collapses++
	cs.restart(now)
	return cs.config.ColdFactor * cs.config.CollapseFactor
}

// end records the end of an execution. Only completed ones count towards ColdRequests.
func (cs *coldStart) end(completed bool) {
	cs.running--
	if completed {
		cs.completed++
	}
}
