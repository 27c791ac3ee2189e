package admission

import "time"

// Config holds the settings of one controller. A zero field selects its default.
type Config struct {
	// MaxTeamQueue is the maximum number of queued requests per team (default 64).
	MaxTeamQueue int
	// MaxQueue is the maximum number of queued requests of all teams (default 256).
	MaxQueue int
	// ReservationTimeout is the time within which a two-phase request must be
	// committed (default 2 s).
	ReservationTimeout time.Duration
	// SuccessesPerSlot is the number of successful responses at normal latency
	// after which the concurrency limit increases by one (default 8).
	SuccessesPerSlot int
	// SlowFactor is the ratio to the baseline latency above which a response
	// counts as slow (default 3).
	SlowFactor float64
	// WarmStart sets the initial limit of a backend server that is not announced
	// as cold to all its slots. By default every backend server starts with one
	// slot.
	WarmStart bool
	// OnViolation is called with a description when an invariant of this package
	// does not hold, which indicates a bug. The default panics.
	OnViolation func(detail string)
	// RetryAfter is the retry hint of rejections for which no wait time can be
	// estimated (default 1 s).
	RetryAfter time.Duration
}

// A latency step is detected when stepThreshold of the last stepWindow
// responses are slow.
const (
	stepWindow    = 5
	stepThreshold = 4
)

// FullWeight is the load-balancing weight of a healthy backend server in service.
const FullWeight = 100

// TrialWeight is the load-balancing weight during a re-admission trial.
const TrialWeight = 1

func (c Config) withDefaults() Config {
	if c.MaxTeamQueue <= 0 {
		c.MaxTeamQueue = 64
	}
	if c.MaxQueue <= 0 {
		c.MaxQueue = 256
	}
	if c.ReservationTimeout <= 0 {
		c.ReservationTimeout = 2 * time.Second
	}
	if c.SuccessesPerSlot <= 0 {
		c.SuccessesPerSlot = 8
	}
	if c.SlowFactor <= 1 {
		c.SlowFactor = 3
	}
	if c.OnViolation == nil {
		c.OnViolation = func(detail string) { panic("admission: " + detail) }
	}
	if c.RetryAfter <= 0 {
		c.RetryAfter = time.Second
	}
	return c
}
