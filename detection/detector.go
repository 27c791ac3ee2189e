package detection

import (
	"math"
	"slices"
	"strings"
	"time"
)

// Level grades a backend server.
type Level uint8

const (
	// Healthy servers have too little evidence against them.
	Healthy Level = iota
	// Suspected servers look bad and deserve a lower weight.
	Suspected
	// Bad servers should be ejected if a permit is available.
	Bad
	// Unknown servers have no recent report.
	Unknown
)

// Verdict is the judgement on one backend server.
type Verdict struct {
	BackendServer string
	Level         Level
	// Score is the evidence in nats; higher is worse.
	Score float64
	// Cause names the kind with most evidence: latency, errors, wrong or hang.
	Cause string
}

// kinds of evidence.
const (
	kindLatency = iota
	kindErrors
	kindWrong
	kindHang
	// Probes count apart, so that a health endpoint that answers well does not
	// outweigh failed requests.
	kindProbeErrors
	kindProbeWrong
	kinds
)

var causes = [kinds]string{"latency", "errors", "wrong", "hang", "errors", "wrong"}

// Floors of the failure rates of healthy servers.
const (
	minErrorRate = 0.002
	minWrongRate = 0.0002
)

// Detector judges the backend servers of one service at its home.
type Detector struct {
	cfg     Config
	members map[string]*member
	// order holds the members sorted by name.
	order []*member
	// scales holds the spread of requests and of probes.
	scales  [2]scale
	scratch []float64
}

type member struct {
	status  BackendStatus
	seen    time.Time
	pending []sample
	recent  []sample
	scores  [kinds]float64
	// badSince is when the score reached the threshold; zero while it is below.
	badSince time.Time
	// Recomputed by each Evaluate from the recent reports.
	known      bool
	centers    [2]float64
	hasCenters [2]bool
	errorRate  float64
	wrongRate  float64
}

// NewDetector returns a detector that knows no backend server.
func NewDetector(cfg Config) *Detector {
	return &Detector{
		cfg:     cfg.withDefaults(),
		members: make(map[string]*member),
		scales:  [2]scale{newScale(), newScale()},
	}
}

// Observe takes over a report. Evidence against an earlier incarnation, or from
// before an ejection or a trial ended, is dropped.
func (d *Detector) Observe(now time.Time, s BackendStatus) {
	m := d.members[s.BackendServer]
	if m == nil {
		m = &member{}
		d.members[s.BackendServer] = m
		i, _ := slices.BinarySearchFunc(d.order, s.BackendServer, func(m *member, name string) int {
			return strings.Compare(m.status.BackendServer, name)
		})
		d.order = slices.Insert(d.order, i, m)
	} else if m.status.Incarnation != s.Incarnation || m.status.Ejected != s.Ejected || m.status.InService != s.InService {
		m.scores = [kinds]float64{}
		m.recent, m.pending = m.recent[:0], m.pending[:0]
	}
	m.status, m.seen = s, now
	m.pending = append(m.pending, newSample(now, s))
}

// Forget drops a backend server that left.
func (d *Detector) Forget(name string) {
	delete(d.members, name)
	d.order = slices.DeleteFunc(d.order, func(m *member) bool { return m.status.BackendServer == name })
}

// Evaluate adds the evidence of the reports since the last call and returns a
// verdict per backend server, sorted by name. Call it at least every 500 ms.
func (d *Detector) Evaluate(now time.Time) []Verdict {
	for _, m := range d.order {
		m.summarise(now, d.cfg.ReportTimeout)
	}
	for _, m := range d.order {
		if m.judged() {
			for _, x := range m.pending {
				d.addEvidence(m, x)
			}
		}
		m.pending = m.pending[:0]
	}
	return d.verdicts(now)
}

func (d *Detector) verdicts(now time.Time) []Verdict {
	out := make([]Verdict, len(d.order))
	known, suspected, elevated := 0, 0, 0
	for i, m := range d.order {
		out[i] = d.verdict(m)
		if !m.judged() {
			continue
		}
		known++
		if m.total() >= d.cfg.Suspect {
			suspected++
		}
		if m.total() >= sharedSuspicion*d.cfg.Suspect {
			elevated++
		}
	}
	shared := 3*elevated >= known
	for i, m := range d.order {
		if out[i].Level != Bad {
			m.badSince = time.Time{}
			continue
		}
		if m.badSince.IsZero() {
			m.badSince = now
		}
		if 2*suspected > known || shared && now.Sub(m.badSince) < sharedWait {
			out[i].Level = Suspected
		}
	}
	return out
}

// verdict scores a server by the excess over the median score of its siblings,
// per kind: when the whole service turns slow, all scores rise for as long as
// the siblings' recent reports lag behind.
func (d *Detector) verdict(m *member) Verdict {
	v := Verdict{BackendServer: m.status.BackendServer}
	if !m.known {
		v.Level = Unknown
		return v
	}
	most := 0.0
	for k, own := range m.scores {
		if own == 0 {
			continue
		}
		common, _ := d.siblings(m, func(s *member) (float64, bool) { return s.scores[k], true })
		excess := max(0, own-common)
		v.Score += excess
		if excess > most {
			most, v.Cause = excess, causes[k]
		}
	}
	switch {
	case v.Score >= d.cfg.Threshold:
		v.Level = Bad
	case v.Score >= d.cfg.Suspect:
		v.Level = Suspected
	}
	return v
}

// total is the evidence against a server without regard to its siblings' scores.
func (m *member) total() float64 {
	sum := 0.0
	for _, s := range m.scores {
		sum += s
	}
	return sum
}

// judged reports whether the server takes part in the comparison.
func (m *member) judged() bool {
	return m.known && m.status.InService && !m.status.Ejected
}

// summarise recomputes the centre and the failure rates of the recent reports.
func (m *member) summarise(now time.Time, timeout time.Duration) {
	m.known = now.Sub(m.seen) < timeout
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
		if x.hasLog {
			k := indexOf(x.probes)
			sum[k] += x.answers() * x.log
			weight[k] += x.answers()
			last[k] = x.log
		}
	}
	m.errorRate, m.wrongRate = 0, 0
	if requests > 0 {
		m.errorRate, m.wrongRate = errors/requests, wrong/requests
	}
	for k := range sum {
		m.hasCenters[k] = weight[k] > 0
		if m.hasCenters[k] {
			// The last report alone counts if it is slower, so that a service that
			// turns slow moves the reference at once.
			m.centers[k] = max(sum[k]/weight[k], last[k])
		}
	}
}

func indexOf(probes bool) int {
	if probes {
		return 1
	}
	return 0
}

// siblings returns the upper median of a property over the other judged servers
// that have it, and how many they are. With the mean of the two middle values,
// five slow servers of nine see a reference between slow and normal and each
// gathers evidence against itself: viewpoint faults once a minute then ejected
// 12 healthy servers in 30 backend-server hours, and 1 with the upper median.
func (d *Detector) siblings(self *member, property func(*member) (float64, bool)) (float64, int) {
	d.scratch = d.scratch[:0]
	for _, m := range d.order {
		if m == self || !m.judged() {
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
		rate, _ := d.siblings(m, func(s *member) (float64, bool) { return s.errorRate, true })
		healthy := min(max(rate, minErrorRate), 0.9)
		d.addCount(m, kindErrors, x.errors-x.probeErrors, x.requests-x.probed, healthy, maxErrorEvidence)
		d.addCount(m, kindProbeErrors, x.probeErrors, x.probed, healthy, maxErrorEvidence)
		rate, _ = d.siblings(m, func(s *member) (float64, bool) { return s.wrongRate, true })
		healthy = min(max(rate, minWrongRate), 0.9)
		d.addCount(m, kindWrong, x.wrong-x.probeWrong, x.requests-x.probed, healthy, maxWrongEvidence)
		d.addCount(m, kindProbeWrong, x.probeWrong, x.probed, healthy, maxWrongEvidence)
	}
	d.addHang(m, x)
}

// addCount adds the evidence of k failures of n.
func (d *Detector) addCount(m *member, kind int, k, n, healthy, most float64) {
	d.add(m, kind, min(countEvidence(k, n, healthy, faultyRate(healthy)), most))
}

func (d *Detector) addLatency(m *member, x sample) {
	if !x.hasLog {
		return
	}
	k := indexOf(x.probes)
	ref, n := d.siblings(m, func(s *member) (float64, bool) { return s.centers[k], s.hasCenters[k] })
	if n < minReferences {
		return
	}
	shift := x.log - ref
	d.add(m, kindLatency, latencyEvidence(shift, x.answers(), d.scales[k].sigma(), d.cfg.SlowFactor))
	d.scales[k].add(shift * math.Sqrt(medianWeight(x.answers())))
}

// Lags reports whether the answers to requests of a backend server that is on
// trial are slower than those of its siblings. It refers to the last Evaluate.
func (d *Detector) Lags(name string) bool {
	m := d.members[name]
	if m == nil || !m.hasCenters[0] {
		return false
	}
	ref, n := d.siblings(m, func(s *member) (float64, bool) { return s.centers[0], s.hasCenters[0] })
	return n >= minReferences && m.centers[0]-ref > math.Log(lagShare*d.cfg.SlowFactor)
}

// addHang compares the oldest unfinished request with the siblings' oldest and
// with their latency, so that a service with long requests is no evidence.
func (d *Detector) addHang(m *member, x sample) {
	oldest := m.status.Oldest
	limit := d.cfg.HangAge
	if age, n := d.siblings(m, func(s *member) (float64, bool) { return float64(s.status.Oldest), true }); n >= minReferences {
		limit = max(limit, time.Duration(hangFactor*age))
	}
	if log, n := d.siblings(m, func(s *member) (float64, bool) { return s.centers[0], s.hasCenters[0] }); n >= minReferences {
		limit = max(limit, time.Duration(hangLatencyFactor*math.Exp(log)))
	}
	switch {
	case oldest < limit:
		d.add(m, kindHang, -hangEvidence)
	case x.answers() > 0:
		d.add(m, kindHang, hangEvidenceAnswers)
	default:
		d.add(m, kindHang, hangEvidence)
	}
}

// add moves one sum, which stays between 0 and the ceiling.
func (d *Detector) add(m *member, kind int, evidence float64) {
	m.scores[kind] = min(max(m.scores[kind]+evidence, 0), scoreCeiling*d.cfg.Threshold)
}
