package backend

import "time"

const (
	// sampleInterval is the shortest time between two kept samples.
	sampleInterval = 10 * time.Millisecond
	// maxSamples covers maxReportLag at sampleInterval.
	maxSamples = int(maxReportLag/sampleInterval) + 2
)

// sample is what the health and load endpoints report.
type sample struct {
	at       time.Time
	inFlight int
	draining bool
}

// history keeps the recent samples for endpoints that report with a lag.
type history struct {
	samples []sample // oldest first
}

// add appends a sample and replaces the last one if that is very recent.
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

// at returns the sample that was valid at t, or the oldest one.
func (h *history) at(t time.Time) sample {
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

// LoadReport is the body of the load endpoint.
type LoadReport struct {
	// InFlight is the number of executions.
	InFlight int `json:"in_flight"`
	// Slots is the largest number of executions.
	Slots int `json:"slots"`
	// State is "serving" or "draining".
	State string `json:"state"`
}

// loadReport returns the report of a sample as the faults distort it.
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
