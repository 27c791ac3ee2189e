package detection

import "time"

// Config holds the limits of a Detector. A zero field takes its default.
type Config struct {
	// Threshold is the score, in nats of evidence, at which a server is bad
	// (default 18).
	Threshold float64
	// Suspect is the score at which a server looks bad: it gets a lower weight
	// and counts for the majority rule (default a third of Threshold).
	Suspect float64
	// ReportTimeout is the age of the last report at which a server is unknown
	// (default 2 s).
	ReportTimeout time.Duration
	// SlowFactor is the latency ratio that the detector is tuned for (default 4).
	SlowFactor float64
	// HangAge is the least age of a request that counts as hanging (default 500 ms).
	HangAge time.Duration
}

func (c Config) withDefaults() Config {
	if c.Threshold <= 0 {
		c.Threshold = 18
	}
	if c.Suspect <= 0 {
		c.Suspect = c.Threshold / 3
	}
	if c.ReportTimeout <= 0 {
		c.ReportTimeout = 2 * time.Second
	}
	if c.SlowFactor <= 1 {
		c.SlowFactor = 4
	}
	if c.HangAge <= 0 {
		c.HangAge = 500 * time.Millisecond
	}
	return c
}

// Largest evidence of one report per kind, in nats. No kind reaches the default
// threshold with one report, so that a pause of less than a report interval
// ejects nobody. Wrong answers weigh most.
const (
	maxLatencyEvidence = 7
	maxErrorEvidence   = 11
	maxWrongEvidence   = 13
	// Nothing finished besides the hanging request, or something did.
	hangEvidence        = 6
	hangEvidenceAnswers = 3
)

const (
	// scoreCeiling bounds each sum in units of the threshold, so that a server
	// that recovered loses its score soon.
	scoreCeiling = 1.5
	// While a third of the servers have sharedSuspicion of the suspect score, the
	// cause may be a common one that the others show later, and a server is bad
	// only sharedWait after its score reached the threshold. Without this a
	// viewpoint fault ejects the server that gathers its evidence first.
	sharedSuspicion = 1.0 / 3
	sharedWait      = 1500 * time.Millisecond
	// minReferences is the least number of siblings to compare with.
	minReferences = 2
	// recentReports is the number of reports behind the centre of a server.
	recentReports = 4
	// lagShare of the slow factor is too slow to pass a trial. A trial has few
	// answers; at a smaller factor healthy servers with a heavy tail fail it.
	lagShare = 0.75
	// A request hangs if it is this much older than the siblings' oldest request
	// and than their median latency.
	hangFactor        = 5
	hangLatencyFactor = 20
)
