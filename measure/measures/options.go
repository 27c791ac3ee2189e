package measures

import "time"

// Options configure a run.
type Options struct {
	// Seed selects the random sequences.
	Seed uint64
	// Time is the real time after which the false_ejections rows end. They use
	// what the other rows leave, so their hours depend on the machine.
	Time time.Duration
	// DetectionRuns is the number of faults behind each quantile.
	DetectionRuns int
	// Dir takes the test program of the zone_move rows.
	Dir string
}
