package backend

import (
	"math"
	"math/rand/v2"
	"time"
)

// drawServiceTime returns a log-normal time in nanoseconds with mean
// c.ServiceTime.
func drawServiceTime(c *Config, rng *rand.Rand) float64 {
	normal := rng.NormFloat64()
	return float64(c.ServiceTime) * math.Exp(c.Spread*normal-c.Spread*c.Spread/2)
}

// warmup models the cold start. A cold server is slow, and it collapses when a
// request arrives while another one is in execution: that request takes much
// longer, and the cold start begins anew.
type warmup struct {
	config    *Config
	since     time.Time
	completed int
	running   int
	collapses uint64
}

// restart begins a cold start.
func (w *warmup) restart(now time.Time) {
	w.since = now
	w.completed = 0
}

// cold reports whether the server is in its cold start.
func (w *warmup) cold(now time.Time) bool {
	c := w.config
	if c.ColdTime == 0 && c.ColdRequests == 0 {
		return false
	}
	if c.ColdTime > 0 && now.Sub(w.since) >= c.ColdTime {
		return false
	}
	return c.ColdRequests == 0 || w.completed < c.ColdRequests
}

// begin starts an execution and returns the factor of its service time.
func (w *warmup) begin(now time.Time) float64 {
	w.running++
	if !w.cold(now) {
		return 1
	}
	if w.running == 1 {
		return w.config.ColdFactor
	}
	w.collapses++
	w.restart(now)
	return w.config.ColdFactor * w.config.CollapseFactor
}

// end finishes an execution; only completed ones warm the server.
func (w *warmup) end(completed bool) {
	w.running--
	if completed {
		w.completed++
	}
}
