package crashguard

import (
	"slices"
	"sync"
	"time"
)

const (
	// coincidenceWindow is the time within which the crashes of a service are compared: a
	// request that did not run on one of the backend servers that crashed is not their
	// only cause.
	coincidenceWindow = 10 * time.Second
	// coincidentTrials is the number of crashed trials that block a request while other
	// causes crash backend servers, too.
	coincidentTrials = 2
	// maxRecentCrashes bounds the crashes that are compared.
	maxRecentCrashes = 256
	// maxKnownCrashes bounds the crashes that a record keeps.
	maxKnownCrashes = 64
	// maxTrial bounds the time for which a trial holds back other copies of the request.
	maxTrial = 5 * time.Second
)

// NoticeKind is the kind of a Notice.
type NoticeKind uint8

const (
	// Crashed means that a backend server crashed while it ran the requests.
	Crashed NoticeKind = iota + 1
	// TrialStarted means that a suspect has begun to run.
	TrialStarted
	// TrialEnded means that a suspect has ended without a result.
	TrialEnded
	// Completed means that a request was answered, so that it does not crash backend
	// servers.
	Completed
)

// Involved is a request of a Notice.
type Involved struct {
	Fingerprint Fingerprint
	// Trial means that the request was known as a suspect when it began to run.
	Trial bool
	// Blocked means that the crash blocks the request.
	Blocked bool
}

// Notice informs other nodes about requests that may crash backend servers.
type Notice struct {
	Kind NoticeKind
	// Service is the service of the backend server.
	Service string
	// Event identifies the crash or the trial.
	Event    string
	Requests []Involved
	// Age is the time since the crash.
	Age time.Duration
	// Remaining is the time for which a trial that has started lasts at most.
	Remaining time.Duration
}

// suspicion is the record of one fingerprint.
type suspicion struct {
	expires time.Time
	blocked bool
	// cleared is set by a completion, until the next crash.
	cleared bool
	// crashes holds the crashes that are known, trials the number of those that crashed a
	// trial since the last completion.
	crashes []string
	trials  int
	// trial identifies the trial that runs until trialEnd.
	trial    string
	trialEnd time.Time
}

type recentCrash struct {
	service  string
	event    string
	at       time.Time
	requests []Involved
}

// Registry holds what a node knows about requests that may crash backend servers. The
// requests that a backend server ran when it crashed become suspects. One copy of a
// suspect runs at a time (trial). A crash during its trial blocks it; an answer to
// any copy clears it, because a request that crashes backend servers crashes each one that
// runs it. Nodes exchange notices; a lost notice costs at most another trial.
type Registry struct {
	mu      sync.Mutex
	records map[Fingerprint]*suspicion
	recent  []recentCrash
}

// NewRegistry returns a registry without records.
func NewRegistry() *Registry {
	return &Registry{records: make(map[Fingerprint]*suspicion)}
}

// State returns the state of a fingerprint and the time until a blocked one expires.
func (r *Registry) State(now time.Time, f Fingerprint) (State, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state(now, f)
}

func (r *Registry) state(now time.Time, f Fingerprint) (State, time.Duration) {
	s := r.records[f]
	switch {
	case s == nil || s.cleared || now.After(s.expires):
		return Unknown, 0
	case s.blocked:
		return Blocked, s.expires.Sub(now)
	default:
		return Suspect, 0
	}
}

// Begin decides whether a request may run now. If it is a suspect, event identifies its
// trial, which lasts for limit at most, and the notice is for other nodes. suspected means
// that the sender of the request knows of a crash. wait is the time until a
// request that is not accepted should be tried again.
func (r *Registry) Begin(now time.Time, f Fingerprint, suspected bool, event string, limit time.Duration) (a Admission, trial *Notice, wait time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state, remaining := r.state(now, f)
	switch {
	case state == Blocked:
		return Refuse, nil, remaining
	case state == Unknown && !suspected:
		return Run, nil, 0
	}
	s := r.record(now, f)
	s.cleared = false
	if s.trial != "" && now.Before(s.trialEnd) {
		return Delay, nil, s.trialEnd.Sub(now)
	}
	limit = min(limit, maxTrial)
	s.trial, s.trialEnd = event, now.Add(limit)
	return Run, &Notice{Kind: TrialStarted, Event: event, Requests: []Involved{{Fingerprint: f, Trial: true}}, Remaining: limit}, 0
}

// Crash records that a backend server of this node crashed while it ran the requests, and
// returns the notice for other nodes.
func (r *Registry) Crash(now time.Time, service, event string, requests []Involved) Notice {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := Notice{Kind: Crashed, Service: service, Event: event, Requests: slices.Clone(requests)}
	for i, q := range n.Requests {
		if !q.Trial {
			continue
		}
		needed := 1
		if r.otherCauses(now, service, q.Fingerprint) {
			needed = coincidentTrials
		}
		n.Requests[i].Blocked = r.record(now, q.Fingerprint).trials+1 >= needed
	}
	r.observeCrash(now, n)
	return n
}

// otherCauses reports whether a backend server of the service has crashed recently without
// running the request.
func (r *Registry) otherCauses(now time.Time, service string, f Fingerprint) bool {
	return slices.ContainsFunc(r.recent, func(c recentCrash) bool {
		return c.service == service && now.Sub(c.at) < coincidenceWindow &&
			!slices.ContainsFunc(c.requests, func(q Involved) bool { return q.Fingerprint == f })
	})
}

// Complete records that a request was answered. It returns a notice for other nodes if the
// request was a suspect.
func (r *Registry) Complete(now time.Time, f Fingerprint) (Notice, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if state, _ := r.state(now, f); state == Unknown {
		return Notice{}, false
	}
	r.clear(f)
	return Notice{Kind: Completed, Requests: []Involved{{Fingerprint: f}}}, true
}

// EndTrial records that a trial has ended without a result, and returns the notice for
// other nodes.
func (r *Registry) EndTrial(f Fingerprint, event string) Notice {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endTrial(f, event)
	return Notice{Kind: TrialEnded, Event: event, Requests: []Involved{{Fingerprint: f}}}
}

// Observe applies a notice of another node or from the store.
func (r *Registry) Observe(now time.Time, n Notice) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch n.Kind {
	case Crashed:
		if n.Age < Expiry {
			r.observeCrash(now, n)
		}
	case TrialStarted:
		for _, q := range n.Requests {
			s := r.record(now, q.Fingerprint)
			s.cleared, s.trial, s.trialEnd = false, n.Event, now.Add(min(n.Remaining, maxTrial))
		}
	case TrialEnded:
		for _, q := range n.Requests {
			r.endTrial(q.Fingerprint, n.Event)
		}
	case Completed:
		for _, q := range n.Requests {
			r.clear(q.Fingerprint)
		}
	}
}

// Block records that another node refuses the request for the given time.
func (r *Registry) Block(now time.Time, f Fingerprint, remaining time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.record(now, f)
	s.blocked, s.cleared, s.expires = true, false, now.Add(min(remaining, Expiry))
}

// observeCrash records a crash once. r.mu is held.
func (r *Registry) observeCrash(now time.Time, n Notice) {
	at := now.Add(-n.Age)
	r.recent = slices.DeleteFunc(r.recent, func(c recentCrash) bool { return now.Sub(c.at) >= coincidenceWindow })
	if n.Age < coincidenceWindow && len(r.recent) < maxRecentCrashes && !slices.ContainsFunc(r.recent, func(c recentCrash) bool { return c.event == n.Event }) {
		r.recent = append(r.recent, recentCrash{service: n.Service, event: n.Event, at: at, requests: n.Requests})
	}
	for _, q := range n.Requests {
		s := r.record(now, q.Fingerprint)
		if slices.Contains(s.crashes, n.Event) {
			continue // Received before, or before the completion that cleared the request.
		}
		if len(s.crashes) == maxKnownCrashes {
			s.crashes = s.crashes[1:]
		}
		s.crashes = append(s.crashes, n.Event)
		s.cleared, s.blocked = false, s.blocked || q.Blocked
		if q.Trial {
			s.trials, s.trial = s.trials+1, ""
		}
		if expires := at.Add(Expiry); expires.After(s.expires) {
			s.expires = expires
		}
	}
}

func (r *Registry) endTrial(f Fingerprint, event string) {
	if s := r.records[f]; s != nil && s.trial == event {
		s.trial = ""
	}
}

// clear keeps the crashes, so that a late notice of one of them has no effect.
func (r *Registry) clear(f Fingerprint) {
	if s := r.records[f]; s != nil {
		s.cleared, s.blocked, s.trials, s.trial = true, false, 0, ""
	}
}

// record returns the record of a fingerprint, which it creates if there is none.
func (r *Registry) record(now time.Time, f Fingerprint) *suspicion {
	s := r.records[f]
	if s != nil && !now.After(s.expires) {
		return s
	}
	if s == nil && len(r.records) >= MaxRecords {
		r.evict(now)
	}
	s = &suspicion{expires: now.Add(Expiry)}
	r.records[f] = s
	return s
}

// evict removes the expired records, or the one that expires first.
func (r *Registry) evict(now time.Time) {
	var first Fingerprint
	var expires time.Time
	for f, s := range r.records {
		if now.After(s.expires) {
			delete(r.records, f)
		}
		if expires.IsZero() || s.expires.Before(expires) {
			first, expires = f, s.expires
		}
	}
	delete(r.records, first)
}
