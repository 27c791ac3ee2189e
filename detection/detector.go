package detection

import (
	"math"
	"slices"
	"strings"
	"time"
)

// Level is the classification of a backend server.
type Level uint8

const (
	// Healthy servers have a score below the suspect score.
	Healthy Level = iota
	// Suspected servers should get a lower weight.
	Suspected
	// Faulty servers have a score of at least the threshold and should be ejected
	// if a permit is available.
	Faulty
	// Unknown servers have no recent report.
	Unknown
)

// Assessment is the result of the evaluation of one backend server.
type Assessment struct {
	BackendServer string
	Level         Level
	// Score is the evidence of a fault, in nats.
	Score float64
	// Cause is the kind with the most evidence: latency, errors, wrong or hang.
	Cause string
}

// Kinds of evidence.
const (
	kindLatency = iota
	kindErrors
	kindWrong
	kindHang
	// Probes are counted separately, so that a working health endpoint does not
	// outweigh failed requests.
	kindProbeErrors
	kindProbeWrong
	kindCount
)

var causes = [kindCount]string{"latency", "errors", "wrong", "hang", "errors", "wrong"}

// Lower bounds of the assumed failure rates of healthy servers.
const (
	minErrorRate = 0.002
	minWrongRate = 0.0002
)

// Detector evaluates the backend servers of one service on its coordinator.
type Detector struct {
	cfg     Config
	members map[string]*member
	// sorted holds the members sorted by name.
	sorted []*member
	// spreads holds the latency spread of requests and of probes.
	spreads [2]latencySpread
	scratch []float64
}

type member struct {
	status     BackendStatus
	lastReport time.Time
	pending    []sample
	recent     []sample
	scores     [kindCount]float64
	// faultySince is the time at which the score reached the threshold; zero while
	// it is below.
	faultySince time.Time
	// The fields below are recomputed from the recent reports by each Evaluate.
	// hasRecentReport is false if the last report is older than the report timeout.
	hasRecentReport  bool
	latencyCenters   [2]float64
	hasLatencyCenter [2]bool
	errorRate        float64
	wrongRate        float64
}

// NewDetector returns a detector without backend servers.
func NewDetector(cfg Config) *Detector {
	return &Detector{
		cfg:     cfg.withDefaults(),
		members: make(map[string]*member),
		spreads: [2]latencySpread{newLatencySpread(), newLatencySpread()},
	}
}

// Observe records a report. A change of the incarnation, the ejection or the
// service state of a server discards its earlier evidence.
func (d *Detector) Observe(now time.Time, s BackendStatus) {
	m := d.members[s.BackendServer]
	if m == nil {
		m = &member{}
		d.members[s.BackendServer] = m
		i, _ := slices.BinarySearchFunc(d.sorted, s.BackendServer, func(m *member, name string) int {
			return strings.Compare(m.status.BackendServer, name)
		})
		d.sorted = slices.Insert(d.sorted, i, m)
	} else if m.status.Incarnation != s.Incarnation || m.status.Ejected != s.Ejected || m.status.InService != s.InService {
		m.scores = [kindCount]float64{}
		m.recent, m.pending = m.recent[:0], m.pending[:0]
	}
	m.status, m.lastReport = s, now
	m.pending = append(m.pending, newSample(now, s))
}

// Remove removes a backend server.
func (d *Detector) Remove(name string) {
	delete(d.members, name)
	d.sorted = slices.DeleteFunc(d.sorted, func(m *member) bool { return m.status.BackendServer == name })
}

// Evaluate adds the evidence of the reports since the last call and returns an
// assessment of each backend server, sorted by name. It must be called at least
// every 500 ms.
func (d *Detector) Evaluate(now time.Time) []Assessment {
	for _, m := range d.sorted {
		m.summarize(now, d.cfg.ReportTimeout)
	}
	for _, m := range d.sorted {
		if m.isComparable() {
			for _, x := range m.pending {
				d.addEvidence(m, x)
			}
		}
		m.pending = m.pending[:0]
	}
	return d.assessments(now)
}

// assessments applies the majority rule and the delay for common causes to the
// assessments of all servers.
func (d *Detector) assessments(now time.Time) []Assessment {
	out := make([]Assessment, len(d.sorted))
	compared, suspected, elevated := 0, 0, 0
	for i, m := range d.sorted {
		out[i] = d.assess(m)
		if !m.isComparable() {
			continue
		}
		compared++
		if m.total() >= d.cfg.SuspectScore {
			suspected++
		}
		if m.total() >= commonCauseFraction*d.cfg.SuspectScore {
			elevated++
		}
	}
	commonCause := 3*elevated >= compared
	for i, m := range d.sorted {
		if out[i].Level != Faulty {
			m.faultySince = time.Time{}
			continue
		}
		if m.faultySince.IsZero() {
			m.faultySince = now
		}
		if 2*suspected > compared || commonCause && now.Sub(m.faultySince) < commonCauseDelay {
			out[i].Level = Suspected
		}
	}
	return out
}

// assess scores a server by the excess over the median score of its siblings,
// per kind. The median is subtracted because all scores increase temporarily
// when the whole service becomes slow, until the recent reports of the siblings
// include the change.
func (d *Detector) assess(m *member) Assessment {
	v := Assessment{BackendServer: m.status.BackendServer}
	if !m.hasRecentReport {
		v.Level = Unknown
		return v
	}
	largest := 0.0
	for k, score := range m.scores {
		if score == 0 {
			continue
		}
		common, _ := d.siblingMedian(m, func(s *member) (float64, bool) { return s.scores[k], true })
		excess := max(0, score-common)
		v.Score += excess
		if excess > largest {
			largest, v.Cause = excess, causes[k]
		}
	}
	switch {
	case v.Score >= d.cfg.Threshold:
		v.Level = Faulty
	case v.Score >= d.cfg.SuspectScore:
		v.Level = Suspected
	}
	return v
}

// total returns the sum of the scores of all kinds, without regard to the
// siblings.
func (m *member) total() float64 {
	sum := 0.0
	for _, s := range m.scores {
		sum += s
	}
	return sum
}

// isComparable reports whether the server takes part in the comparison.
func (m *member) isComparable() bool {
	return m.hasRecentReport && m.status.InService && !m.status.Ejected
}

// summarize recomputes the latency centers and the failure rates from the recent
// reports.
func (m *member) summarize(now time.Time, timeout time.Duration) {
	m.hasRecentReport = now.Sub(m.lastReport) < timeout
	m.recent = append(m.recent, m.pending...)
	if extra := len(m.recent) - recentReports; extra > 0 {
		m.recent = append(m.recent[:0], m.recent[extra:]...)
	}
	var requests, errors, wrong float64
	var sum, weight, last [2]float64
	for _, x := range m.recent {
		requests += x.requests
		errors += x.errors
		wrong += x.wrong
		if x.hasLatency {
			k := latencyIndex(x.fromProbes)
			sum[k] += x.responses() * x.logLatency
			weight[k] += x.responses()
			last[k] = x.logLatency
		}
	}
	m.errorRate, m.wrongRate = 0, 0
	if requests > 0 {
		m.errorRate, m.wrongRate = errors/requests, wrong/requests
	}
	for k := range sum {
		m.hasLatencyCenter[k] = weight[k] > 0
		if m.hasLatencyCenter[k] {
			// If the last report is slower, it alone determines the center, so that the
			// reference follows immediately when the whole service becomes slow.
			m.latencyCenters[k] = max(sum[k]/weight[k], last[k])
		}
	}
}

// latencyIndex returns the index into spreads and latencyCenters.
func latencyIndex(probes bool) int {
	if probes {
		return 1
	}
	return 0
}

// siblingMedian returns the upper median of a property over the other comparable
// servers that have it, and the number of these servers. With the mean of the
// two middle values, the reference of five slow servers of nine lies between
// slow and normal, so that each of them accumulates evidence: with an observer
// fault once a minute, 12 healthy servers are ejected in 30 backend-server
// hours, compared to 1 with the upper median.
func (d *Detector) siblingMedian(subject *member, property func(*member) (float64, bool)) (float64, int) {
	d.scratch = d.scratch[:0]
	for _, m := range d.sorted {
		if m == subject || !m.isComparable() {
			continue
		}
		if v, ok := property(m); ok {
			d.scratch = append(d.scratch, v)
		}
	}
	return upperMedianOf(d.scratch), len(d.scratch)
}

func (d *Detector) addEvidence(m *member, x sample) {
	d.addLatency(m, x)
	if x.requests > 0 {
		rate, _ := d.siblingMedian(m, func(s *member) (float64, bool) { return s.errorRate, true })
		healthy := min(max(rate, minErrorRate), 0.9)
		d.addCount(m, kindErrors, x.errors-x.probeErrors, x.requests-x.probeCount, healthy, maxErrorEvidence)
		d.addCount(m, kindProbeErrors, x.probeErrors, x.probeCount, healthy, maxErrorEvidence)
		rate, _ = d.siblingMedian(m, func(s *member) (float64, bool) { return s.wrongRate, true })
		healthy = min(max(rate, minWrongRate), 0.9)
		d.addCount(m, kindWrong, x.wrong-x.probeWrong, x.requests-x.probeCount, healthy, maxWrongEvidence)
		d.addCount(m, kindProbeWrong, x.probeWrong, x.probeCount, healthy, maxWrongEvidence)
	}
	d.addHang(m, x)
}

// addCount adds the evidence of k failures in n requests, at most limit.
func (d *Detector) addCount(m *member, kind int, k, n, healthy, limit float64) {
	d.add(m, kind, min(countEvidence(k, n, healthy, faultyRate(healthy)), limit))
}

func (d *Detector) addLatency(m *member, x sample) {
	if !x.hasLatency {
		return
	}
	k := latencyIndex(x.fromProbes)
	ref, n := d.siblingMedian(m, func(s *member) (float64, bool) { return s.latencyCenters[k], s.hasLatencyCenter[k] })
	if n < minReferences {
		return
	}
	shift := x.logLatency - ref
	d.add(m, kindLatency, latencyEvidence(shift, x.responses(), d.spreads[k].sigma(), d.cfg.SlowFactor))
	d.spreads[k].add(shift * math.Sqrt(medianWeight(x.responses())))
}

// IsSlow reports whether a backend server in a trial responds more slowly than
// its siblings, as of the last Evaluate.
func (d *Detector) IsSlow(name string) bool {
	m := d.members[name]
	if m == nil || !m.hasLatencyCenter[0] {
		return false
	}
	ref, n := d.siblingMedian(m, func(s *member) (float64, bool) { return s.latencyCenters[0], s.hasLatencyCenter[0] })
	return n >= minReferences && m.latencyCenters[0]-ref > math.Log(trialSlowFraction*d.cfg.SlowFactor)
}

// addHang compares the oldest unfinished request with the siblings' oldest one
// and with their latency, so that a service with long requests does not create
// evidence.
func (d *Detector) addHang(m *member, x sample) {
	oldest := m.status.OldestAge
	limit := d.cfg.HangAge
	if age, n := d.siblingMedian(m, func(s *member) (float64, bool) { return float64(s.status.OldestAge), true }); n >= minReferences {
		limit = max(limit, time.Duration(hangFactor*age))
	}
	if log, n := d.siblingMedian(m, func(s *member) (float64, bool) { return s.latencyCenters[0], s.hasLatencyCenter[0] }); n >= minReferences {
		limit = max(limit, time.Duration(hangLatencyFactor*math.Exp(log)))
	}
	switch {
	case oldest < limit:
		d.add(m, kindHang, -hangEvidence)
	case x.responses() > 0:
		d.add(m, kindHang, hangEvidenceWithResponses)
	default:
		d.add(m, kindHang, hangEvidence)
	}
}

// add adds evidence to one sum, which is limited to the range from 0 to the
// ceiling.
func (d *Detector) add(m *member, kind int, evidence float64) {
	m.scores[kind] = min(max(m.scores[kind]+evidence, 0), scoreCeiling*d.cfg.Threshold)
}
