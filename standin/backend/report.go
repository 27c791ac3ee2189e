package backend

import "time"

const (
	// sampleInterval is the minimum time between two samples.
	sampleInterval = 10 * time.Millisecond
	// maxSamples is the number of samples that covers maxReportLag.
	maxSamples = int(maxReportLag/sampleInterval) + 2
)

// sample is the state at one time that the health and load endpoints report.
type sample struct {
	at       time.Time
	inFlight int
	draining bool
}

// history holds recent samples for reports with a lag.
type history struct {
	samples []sample // oldest first
}

// add appends a sample. It replaces the last one if the one before that is less than
// sampleInterval older than s.
func (h *history) add(s sample) {
	if n := len(h.samples); n > 1 && s.at.Sub(h.samples[n-2].at) < sampleInterval {
		h.samples[n-1] = s
		return
	}
	if len(h.samples) >= maxSamples {
		h.samples = append(h.samples[:0], h.samples[len(h.samples)/2:]...)
	}
	h.samples = append(h.samples, s)
}

// validAt returns the sample that was valid at t, or the oldest one.
func (h *history) validAt(t time.Time) sample {
	for i := len(h.samples) - 1; i > 0; i-- {
		if !h.samples[i].at.After(t) {
			return h.samples[i]
		}
	}
	if len(h.samples) == 0 {
		return sample{}
	}
	return h.samples[0]
}

// LoadReport is the response body of the load endpoint.
type LoadReport struct {
	// InFlight is the number of executions.
	InFlight int `json:"in_flight"`
	// Slots is the maximum number of concurrent executions.
	Slots int `json:"slots"`
	// State is "serving" or "draining".
	State string `json:"state"`
}

// loadReport returns the load report of a sample, distorted by the faults.
func loadReport(s sample, slots int, f Faults) LoadReport {
	r := LoadReport{InFlight: s.inFlight, Slots: slots, State: stateName(s.draining)}
	switch f.LoadReport {
	case LoadIdle:
		r.InFlight = 0
	case LoadFull:
		r.InFlight = slots
	}
	return r
}
