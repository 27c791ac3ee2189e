package ejection

import "time"

// Config holds the settings of Permits. A zero field selects its default.
type Config struct {
	// ReportTimeout is the age of the last report at which a server stops counting
	// as capacity (default 2 s).
	ReportTimeout time.Duration
	// StartDelay is the time after NewPermits during which no server is ejected
	// (default 4 s). The previous coordinator may have granted permits for 3 s,
	// its staleness bound, after the change of the coordinator was acknowledged,
	// and these permits are valid for another 3 s. A new coordinator handles no
	// report in the first 4 s after the change, and StartDelay covers the
	// remaining time.
	StartDelay time.Duration
	// InitialBackoff is the time between the first ejection and its trial
	// (default 5 s).
	InitialBackoff time.Duration
	// MaxBackoff is the maximum time between an ejection and its trial
	// (default 5 min).
	MaxBackoff time.Duration
	// BackoffHalfLife is the time in service after which the backoff halves (default
	// 2 min).
	BackoffHalfLife time.Duration
	// TrialSuccesses is the number of successes after which a trial ends
	// (default 5).
	TrialSuccesses uint32
	// Retention is the time after the last report at which the record of a server is
	// removed (default 10 min).
	Retention time.Duration
	// OnViolation is called with a description when granted permits reduce the
	// capacity below the floor, which indicates a bug in this package. The default
	// panics.
	OnViolation func(detail string)
}

func (c Config) withDefaults() Config {
	if c.OnViolation == nil {
		c.OnViolation = func(detail string) { panic("ejection: " + detail) }
	}
	for _, d := range []struct {
		value    *time.Duration
		fallback time.Duration
	}{
		{&c.ReportTimeout, 2 * time.Second},
		{&c.StartDelay, 4 * time.Second},
		{&c.InitialBackoff, 5 * time.Second},
		{&c.MaxBackoff, 5 * time.Minute},
		{&c.BackoffHalfLife, 2 * time.Minute},
		{&c.Retention, 10 * time.Minute},
	} {
		if *d.value <= 0 {
			*d.value = d.fallback
		}
	}
	if c.TrialSuccesses == 0 {
		c.TrialSuccesses = 5
	}
	return c
}

// permitLifetime is the maximum time for which a permit may be in effect after
// it was granted. It exceeds Expiry by 2%: 1% for the difference between the
// clock rates of the coordinator and the owner node, and 1% as a margin.
const permitLifetime = Expiry + Expiry/50
