package detection

import "time"

// Config holds the settings of a Detector. A zero field selects its default.
type Config struct {
	// Threshold is the score, in nats of evidence, at which a server is classified
	// as faulty (default 18).
	Threshold float64
	// SuspectScore is the score at which a server is suspected. A suspected server
	// gets a lower weight and counts for the majority rule (default a third of
	// Threshold).
	SuspectScore float64
	// ReportTimeout is the age of the last report at which the level of a server
	// becomes Unknown (default 2 s).
	ReportTimeout time.Duration
	// SlowFactor is the latency ratio of the tested hypothesis that a server is slow
	// (default 4).
	SlowFactor float64
	// HangAge is the minimum age of a request that counts as hanging (default
	// 500 ms).
	HangAge time.Duration
}

func (c Config) withDefaults() Config {
	if c.Threshold <= 0 {
		c.Threshold = 18
	}
	if c.SuspectScore <= 0 {
		c.SuspectScore = c.Threshold / 3
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

// Maximum evidence per report and kind, in nats. No kind reaches the default
// threshold with one report, so that a pause shorter than a report interval
// does not cause an ejection. Wrong responses have the highest weight.
const (
	maxLatencyEvidence = 7
	maxErrorEvidence   = 11
	maxWrongEvidence   = 13
	// hangEvidence applies if no request succeeded in the report interval,
	// hangEvidenceWithResponses if any did.
	hangEvidence              = 6
	hangEvidenceWithResponses = 3
)

const (
	// scoreCeiling is the upper bound of each sum as a multiple of the threshold,
	// so that the score of a recovered server decreases soon.
	scoreCeiling = 1.5
	// While a third of the servers have a score of at least commonCauseFraction of
	// the suspect score, the cause may be a common one that affects the other
	// servers later. A server is then classified as faulty only commonCauseDelay
	// after its score reached the threshold. Without this delay a fault of the
	// observer ejects the server whose score reaches the threshold first.
	commonCauseFraction = 1.0 / 3
	commonCauseDelay    = 1500 * time.Millisecond
	// minReferences is the minimum number of siblings for a comparison.
	minReferences = 2
	// recentReports is the number of reports that the latency center and the failure
	// rates of a server include.
	recentReports = 4
	// trialSlowFraction is the fraction of the slow factor above which a server
	// fails a trial. A trial has few responses; with a smaller fraction healthy
	// servers with a heavy latency tail fail it.
	trialSlowFraction = 0.75
	// A request counts as hanging if its age exceeds hangFactor times that of the
	// siblings' oldest request and hangLatencyFactor times their median latency.
	hangFactor        = 5
	hangLatencyFactor = 20
)
