package ejection

import "time"

// Config holds the limits of Permits. A zero field takes its default.
type Config struct {
	// ReportTimeout is the age of a report at which its server no longer counts
	// as capacity (default 2 s).
	ReportTimeout time.Duration
	// Silence is the time after its start in which a home grants nothing
	// (default 4 s). The predecessor may have been fresh, and so have granted,
	// for 3 s after the change of home was attested, and its permits live for 3 s
	// more. Together with the 4 s that a new home waits before it answers at
	// all, this covers both.
	Silence time.Duration
	// FirstBackOff is the time between a first ejection and the trial (default 5 s).
	FirstBackOff time.Duration
	// MaxBackOff is the largest time between ejection and trial (default 5 min).
	MaxBackOff time.Duration
	// GoodTime is the time in service after which the back-off halves (default 2 min).
	GoodTime time.Duration
	// TrialSuccesses is the number of successes that end a trial (default 5).
	TrialSuccesses uint32
	// Retention is the time after the last report at which a server is forgotten
	// (default 10 min).
	Retention time.Duration
	// Violated is told of a broken floor, a fault of this package. Default: panic.
	Violated func(detail string)
}

func (c Config) withDefaults() Config {
	if c.Violated == nil {
		c.Violated = func(detail string) { panic("ejection: " + detail) }
	}
	for _, d := range []struct {
		value    *time.Duration
		standard time.Duration
	}{
		{&c.ReportTimeout, 2 * time.Second},
		{&c.Silence, 4 * time.Second},
		{&c.FirstBackOff, 5 * time.Second},
		{&c.MaxBackOff, 5 * time.Minute},
		{&c.GoodTime, 2 * time.Minute},
		{&c.Retention, 10 * time.Minute},
	} {
		if *d.value <= 0 {
			*d.value = d.standard
		}
	}
	if c.TrialSuccesses == 0 {
		c.TrialSuccesses = 5
	}
	return c
}

// hold is the time for which a permit may be obeyed after it was granted: the
// clocks of home and owner differ by up to 1% in rate, with a margin of as much.
const hold = Expiry + Expiry/50
