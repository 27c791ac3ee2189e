package backend

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Values of Faults.LoadReport.
const (
	LoadAccurate = ""
	LoadIdle     = "idle"
	LoadFull     = "full"
)

// maxReportLag bounds the lag of the health and load endpoints.
const maxReportLag = 30 * time.Second

// Faults configures the faults of a backend server; the zero value has none. Shares
// are between 0 and 1. If several faults are drawn for a request, the first of hanging,
// failed, truncated, mismatched and wrong applies.
type Faults struct {
	// SlowFactor multiplies the service time; 0 means 1.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// SlowShare is the share of requests that are slow; 0 means all.
	SlowShare float64 `json:"slow_share,omitempty"`
	// HangShare is the share of requests that never get a response.
	HangShare float64 `json:"hang_share,omitempty"`
	// ErrorShare is the share of requests that get status 500.
	ErrorShare float64 `json:"error_share,omitempty"`
	// TruncatedShare is the share of requests whose response is truncated by closing
	// the connection.
	TruncatedShare float64 `json:"cut_share,omitempty"`
	// MismatchedShare is the share of requests that get the response to another
	// request.
	MismatchedShare float64 `json:"crossed_share,omitempty"`
	// WrongShare is the share of requests that get a corrupted body.
	WrongShare float64 `json:"wrong_share,omitempty"`
	// WrongDigestMatches makes Content-Digest match the corrupted body.
	WrongDigestMatches bool `json:"wrong_digest_matches,omitempty"`
	// CrashMarker crashes the server on a request that contains it in its body or
	// in a header value; empty means never.
	CrashMarker string `json:"crash_marker,omitempty"`
	// ColdRestart starts a cold start when the faults are set, without a new
	// incarnation.
	ColdRestart bool `json:"cold_restart,omitempty"`
	// RefuseConnections closes the listener; open connections keep working.
	RefuseConnections bool `json:"refuse_connections,omitempty"`
	// HealthFails makes the health endpoint respond with 503.
	HealthFails bool `json:"health_fails,omitempty"`
	// LoadReport is "" for accurate reports, "idle" or "full".
	LoadReport string `json:"load_report,omitempty"`
	// ReportLagMillis is the age, in milliseconds, of the state that the health and
	// load endpoints report.
	ReportLagMillis int64 `json:"report_lag_ms,omitempty"`
}

// validate returns an error if a value is out of range.
func (f Faults) validate() error {
	for _, share := range []float64{f.SlowShare, f.HangShare, f.ErrorShare, f.TruncatedShare, f.MismatchedShare, f.WrongShare} {
		if !(share >= 0 && share <= 1) {
			return errors.Newf("share %v is not between 0 and 1", share)
		}
	}
	if !(f.SlowFactor >= 0 && f.SlowFactor <= 1e6) {
		return errors.Newf("slow factor %v is out of range", f.SlowFactor)
	}
	switch f.LoadReport {
	case LoadAccurate, LoadIdle, LoadFull:
	default:
		return errors.Newf("unknown load report %q", f.LoadReport)
	}
	if lag := f.reportLag(); lag < 0 || lag > maxReportLag {
		return errors.Newf("report lag %v is not between 0 and %v", lag, maxReportLag)
	}
	return nil
}

func (f Faults) reportLag() time.Duration {
	return time.Duration(f.ReportLagMillis) * time.Millisecond
}

// hasCrashMarker reports whether the request contains the crash marker.
func (f Faults) hasCrashMarker(h http.Header, body []byte) bool {
	if f.CrashMarker == "" {
		return false
	}
	if strings.Contains(string(body), f.CrashMarker) {
		return true
	}
	for _, values := range h {
		for _, v := range values {
			if strings.Contains(v, f.CrashMarker) {
				return true
			}
		}
	}
	return false
}

// outcome is the planned outcome of an execution.
type outcome uint8

const (
	outcomeAnswered outcome = iota
	outcomeHung
	outcomeFailed
	outcomeTruncated
	outcomeMismatched
	outcomeWrong
)

// executionPlan is the service time and outcome of one execution.
type executionPlan struct {
	serviceTime time.Duration
	outcome     outcome
}

// planExecution returns the plan of the n-th execution. It depends on its arguments
// only, so that a run is reproducible from its seed.
func planExecution(c *Config, f *Faults, n uint64) executionPlan {
	rng := rand.New(rand.NewPCG(c.Seed, n))
	serviceTime := sampleServiceTime(c, rng)
	if slowDraw := rng.Float64(); f.SlowFactor > 0 && (f.SlowShare == 0 || slowDraw < f.SlowShare) {
		serviceTime *= f.SlowFactor
	}
	p := executionPlan{serviceTime: time.Duration(serviceTime), outcome: outcomeAnswered}
	faults := [...]struct {
		share   float64
		outcome outcome
	}{{f.HangShare, outcomeHung}, {f.ErrorShare, outcomeFailed}, {f.TruncatedShare, outcomeTruncated}, {f.MismatchedShare, outcomeMismatched}, {f.WrongShare, outcomeWrong}}
	for _, fault := range faults {
		// Each fault draws one number, so that enabling one does not change the others.
		if rng.Float64() < fault.share && p.outcome == outcomeAnswered {
			p.outcome = fault.outcome
		}
	}
	return p
}
