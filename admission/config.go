package admission

import "time"

// Config holds the limits of one controller. A zero field takes its default.
type Config struct {
	// TeamQueue is the largest number of queued requests of one team (default 64).
	TeamQueue int
	// TotalQueue is the largest number of queued requests of all teams (default 256).
	TotalQueue int
	// ReservationTimeout is the time within which a two-phase request must be
	// committed (default 2 s).
	ReservationTimeout time.Duration
	// SuccessesPerSlot is the number of successes at normal latency after which
	// the limit grows by one (default 8).
	SuccessesPerSlot int
	// StepFactor is the ratio to the baseline latency above which an answer is
	// not at normal latency (default 3).
	StepFactor float64
	// WarmStart lets a backend server that does not announce itself as cold start
	// with all slots. Default: every backend server starts at one slot.
	WarmStart bool
	// Violated is told of a broken invariant, a fault of this package. Default: panic.
	Violated func(detail string)
	// RetryAfter is the hint given with refusals whose end is unknown (default 1 s).
	RetryAfter time.Duration
}

// A latency step is seen when stepSlow of the last stepAnswers answers are above
// normal latency.
const (
	stepAnswers = 5
	stepSlow    = 4
)

// FullWeight is the load weight of a healthy serving backend server.
const FullWeight = 100

// TrialWeight is the load weight during a re-admission trial.
const TrialWeight = 1

func (c Config) withDefaults() Config {
	if c.TeamQueue <= 0 {
		c.TeamQueue = 64
	}
	if c.TotalQueue <= 0 {
		c.TotalQueue = 256
	}
	if c.ReservationTimeout <= 0 {
		c.ReservationTimeout = 2 * time.Second
	}
	if c.SuccessesPerSlot <= 0 {
		c.SuccessesPerSlot = 8
	}
	if c.StepFactor <= 1 {
		c.StepFactor = 3
	}
	if c.Violated == nil {
		c.Violated = func(detail string) { panic("admission: " + detail) }
	}
	if c.RetryAfter <= 0 {
		c.RetryAfter = time.Second
	}
	return c
}
