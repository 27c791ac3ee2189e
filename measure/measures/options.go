package measures

import "time"

// Options configures a run.
type Options struct {
	// Seed initializes the random number generators.
	Seed uint64
	// TimeLimit is the wall-clock time after which the false_ejections rows end.
	// They use the time that remains after the other rows, so their simulated
	// hours depend on the machine.
	TimeLimit time.Duration
	// DetectionRuns is the number of simulated faults from which each quantile is
	// computed.
	DetectionRuns int
	// BuildDir is the directory in which the test program of the zone_move rows
	// is built.
	BuildDir string
}
