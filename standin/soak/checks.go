package soak

import (
	"fmt"
	"sync"
	"time"
)

// Bounds of the promises, as the settings of the processes state them.
const (
	revokeWithin   = 5 * time.Second
	drainWithin    = 2 * time.Second
	configWithin   = 2 * time.Second
	evacuateWithin = 5 * time.Second
	// contact is the time without a fault after which a machine must keep the
	// promises that need contact with others.
	contact    = 3 * time.Second
	rateWindow = 5 * time.Second
	rateOver   = 0.1
	rateSlack  = 20
	coldOver   = 1.5
	coldSlack  = 5
	// recovery is the time after the last fault in which full service must return.
	recovery = 15 * time.Second
)

// checks collects what callers and backend servers see and compares it with the
// promises. It is safe for concurrent use.
type checks struct {
	mu         sync.Mutex
	violations []string
	runs       map[string]int        // executions by request
	notRun     map[string]int        // status by request that promised so
	sent       map[string]sentRecord // by request
	teamRuns   map[string][]time.Time
	coldRuns   map[*Backend][]time.Time
	revoked    map[string]time.Time // acknowledged withdrawal by key
	evacuated  map[string]time.Time // acknowledged evacuation by zone
	seen       map[string]int       // newest version seen by process
	counts     map[string]int
	// disturbed is when a machine or "" (the store, or all machines) was last harmed.
	disturbed map[string]time.Time
	// ongoing counts the faults in force.
	ongoing map[string]int
}

type sentRecord struct {
	at      time.Time
	machine string
	team    string
	key     string
	once    bool
}

func newChecks() *checks {
	return &checks{
		runs: make(map[string]int), notRun: make(map[string]int), sent: make(map[string]sentRecord),
		teamRuns: make(map[string][]time.Time), coldRuns: make(map[*Backend][]time.Time), revoked: make(map[string]time.Time),
		evacuated: make(map[string]time.Time), seen: make(map[string]int), counts: make(map[string]int),
		disturbed: make(map[string]time.Time), ongoing: make(map[string]int),
	}
}

// violated records a broken promise. c.mu is held.
func (c *checks) violated(promise, format string, args ...any) {
	c.violations = append(c.violations, promise+": "+fmt.Sprintf(format, args...))
}

// begin and end note a fault of a machine, or of the store with "".
func (c *checks) begin(machine string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ongoing[machine]++
}

func (c *checks) end(machine string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ongoing[machine]--
	c.disturbed[machine] = time.Now()
}

// inTouch reports whether a machine and the store had no fault for the contact
// time before now. c.mu is held.
func (c *checks) inTouch(machine string, now time.Time) bool {
	for _, m := range []string{machine, ""} {
		if c.ongoing[m] > 0 || now.Sub(c.disturbed[m]) < contact {
			return false
		}
	}
	return true
}

// send notes a request before its first byte is written.
func (c *checks) send(id string, s sentRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent[id] = s
}

// ran checks an execution.
func (c *checks) ran(b *Backend, machine string, r Execution) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, known := c.sent[r.ID]
	c.runs[r.ID]++
	if !known {
		c.violated("unasked", "request %s was never sent", r.ID)
		return
	}
	if s.once && c.runs[r.ID] > 1 {
		c.violated("twice", "order %s ran %d times", r.ID, c.runs[r.ID])
	}
	if r.Team != s.team || r.KeyPassed {
		c.violated("team", "request %s ran for team %q in place of %q, key passed: %t", r.ID, r.Team, s.team, r.KeyPassed)
	}
	if at, gone := c.revoked[s.key]; gone && s.at.Sub(at) > revokeWithin {
		c.violated("revoked", "request %s ran with a key withdrawn %s before", r.ID, s.at.Sub(at))
	}
	if r.SinceLeft > drainWithin && c.inTouch(machine, r.At) && c.inTouch(s.machine, r.At) {
		c.violated("drain", "request %s reached a backend server %s after its leaving was acknowledged", r.ID, r.SinceLeft)
	}
	if at, out := c.evacuated[r.Zone]; out && r.At.Sub(at) > evacuateWithin && c.inTouch(machine, r.At) && c.inTouch(s.machine, r.At) {
		c.violated("evacuated", "request %s reached zone %s %s after its evacuation", r.ID, r.Zone, r.At.Sub(at))
	}
	if r.Cold {
		c.coldRuns[b] = append(c.coldRuns[b], r.At)
		runs := c.coldRuns[b]
		limit := int(coldRate*coldOver + coldSlack)
		if n := len(runs) - limit - 1; n >= 0 && r.At.Sub(runs[n]) < time.Second && s.at.After(runs[n]) {
			c.violated("cold", "%d requests within %s at a cold backend server", limit+1, r.At.Sub(runs[n]))
		}
	}
	if r.Team != "" {
		c.checkRate(r)
	}
}

// checkRate checks the executions of a team within a window. c.mu is held.
func (c *checks) checkRate(r Execution) {
	c.teamRuns[r.Team] = append(c.teamRuns[r.Team], r.At)
	runs := c.teamRuns[r.Team]
	limit := int((teamRate*rateWindow.Seconds()+teamBurst)*(1+rateOver) + rateSlack)
	n := len(runs) - limit - 1
	if n >= 0 && r.At.Sub(runs[n]) < rateWindow && c.sent[r.ID].at.After(runs[n]) {
		c.violated("rate", "%d requests of team %s within %s", limit+1, r.Team, r.At.Sub(runs[n]))
	}
}

// answered checks the answer to a request; status 0 means that there was none.
func (c *checks) answered(id string, status int, answerID, sealed, body, want string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[fmt.Sprint(status)]++
	switch {
	case status >= 200 && status < 300 && (answerID != id || body != want || sealed != seal(id, want)):
		c.violated("answer", "request %s got the answer of %q, %d bytes %.40q", id, answerID, len(body), body)
	case status == 408, status == 421, status == 429, status == 503:
		c.notRun[id] = status
	}
}

// probed checks the answer to a request on a route that exists from a version on.
// latest is the newest acknowledged version when the request was sent, since its
// acknowledgement.
func (c *checks) probed(machine, process string, version int, found bool, sentAt, acknowledged time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case found:
		c.seen[process] = max(c.seen[process], version)
	case c.seen[process] >= version:
		c.violated("back", "process %s does not know version %d although it did", process, version)
	case sentAt.Sub(acknowledged) > configWithin && c.inTouch(machine, sentAt):
		c.violated("config", "process %s does not know version %d %s after its acknowledgement", process, version, sentAt.Sub(acknowledged))
	}
}

// finish makes the checks that need the whole run, and returns all violations.
func (c *checks) finish() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, status := range c.notRun {
		if c.sent[id].once && c.runs[id] > 0 {
			c.violated("not run", "order %s was answered %d and ran %d times", id, status, c.runs[id])
		}
	}
	return c.violations
}
