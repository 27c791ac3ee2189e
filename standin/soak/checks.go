package soak

import (
	"fmt"
	"sync"
	"time"
)

// Limits that the checks enforce. The settings file of each process has the same values.
const (
	revocationDeadline = 5 * time.Second
	drainDeadline      = 2 * time.Second
	configDeadline     = 2 * time.Second
	evacuationDeadline = 5 * time.Second
	// settleTime is the time without faults after which the checks that require
	// connectivity between machines and to the store apply to a machine.
	settleTime = 3 * time.Second
	// rateWindow is the window in which the executions of a team are counted.
	rateWindow = 5 * time.Second
	// rateTolerance is the tolerated fraction above the rate limit and burst of a team,
	// and rateSlack the tolerated number of requests beyond it.
	rateTolerance = 0.1
	rateSlack     = 20
	// coldRateFactor is the tolerated multiple of coldStartRate, and coldRateSlack the
	// tolerated number of requests beyond it.
	coldRateFactor = 1.5
	coldRateSlack  = 5
	// limitWindow is the window in which the arrivals at a backend server that names a
	// limit are counted, limitFactor the tolerated multiple of the limit and limitSlack the
	// tolerated number of requests beyond it. The machines are bound limitNotice after they
	// have passed on a response that names it.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	limitNotice = 500 * time.Millisecond
	// recoveryTime is the time after the last fault within which requests must succeed again.
	recoveryTime = 15 * time.Second
)

// checker records requests, executions and responses and checks them against the
// guarantees of the proxy. It is safe for concurrent use.
type checker struct {
	mu             sync.Mutex
	violations     []string
	executions     map[string]int         // number of executions by request ID
	reportedNotRun map[string]int         // status by request ID, for statuses that exclude execution
	sent           map[string]sentRequest // by request ID
	teamExecutions map[string][]time.Time
	coldExecutions map[*Backend][]time.Time
	limits         map[*Backend]*limitRecord
	revoked        map[string]time.Time // time of the revocation by key
	evacuated      map[string]time.Time // time of the evacuation by zone
	newestSeen     map[string]int       // newest configuration version observed by process
	statusCounts   map[string]int
	// lastFaultEnd is the time of the last end of a fault by machine; the key "" is for
	// faults of the store and of all machines.
	lastFaultEnd map[string]time.Time
	// activeFaults is the number of active faults, by the same keys.
	activeFaults map[string]int
}

// limitRecord holds the requests since a backend server first named a limit.
type limitRecord struct {
	since time.Time
	// told is when a machine passed on the first response with the limit.
	told map[string]time.Time
	// arrivals holds the arrivals of requests of machines that were told.
	arrivals []time.Time
}

type sentRequest struct {
	sentAt     time.Time
	machine    string
	team       string
	key        string
	atMostOnce bool
}

func newChecker() *checker {
	return &checker{
		executions: make(map[string]int), reportedNotRun: make(map[string]int), sent: make(map[string]sentRequest),
		teamExecutions: make(map[string][]time.Time), coldExecutions: make(map[*Backend][]time.Time), limits: make(map[*Backend]*limitRecord), revoked: make(map[string]time.Time),
		evacuated: make(map[string]time.Time), newestSeen: make(map[string]int), statusCounts: make(map[string]int),
		lastFaultEnd: make(map[string]time.Time), activeFaults: make(map[string]int),
	}
}

// recordViolation records the violation of a guarantee. c.mu must be held.
func (c *checker) recordViolation(guarantee, format string, args ...any) {
	c.violations = append(c.violations, guarantee+": "+fmt.Sprintf(format, args...))
}

// beginFault records the start of a fault of a machine, or of the store with "".
func (c *checker) beginFault(machine string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.activeFaults[machine]++
}

// endFault records the end of a fault that beginFault recorded.
func (c *checker) endFault(machine string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.activeFaults[machine]--
	c.lastFaultEnd[machine] = time.Now()
}

// settled reports whether a machine and the store had no fault for settleTime
// before now. c.mu must be held.
func (c *checker) settled(machine string, now time.Time) bool {
	for _, m := range []string{machine, ""} {
		if c.activeFaults[m] > 0 || now.Sub(c.lastFaultEnd[m]) < settleTime {
			return false
		}
	}
	return true
}

// recordRequest records a request before its first byte is written.
func (c *checker) recordRequest(id string, s sentRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent[id] = s
}

// checkExecution checks an execution on the backend server b of a machine.
func (c *checker) checkExecution(b *Backend, machine string, e Execution) {
	c.mu.Lock()
	defer c.mu.Unlock()
	req, sent := c.sent[e.ID]
	c.executions[e.ID]++
	if !sent {
		c.recordViolation("unasked", "request %s was never sent", e.ID)
		return
	}
	if req.atMostOnce && c.executions[e.ID] > 1 {
		c.recordViolation("twice", "order %s ran %d times", e.ID, c.executions[e.ID])
	}
	if e.Team != req.team || e.KeyForwarded {
		c.recordViolation("team", "request %s ran for team %q in place of %q, key passed: %t", e.ID, e.Team, req.team, e.KeyForwarded)
	}
	if at, revoked := c.revoked[req.key]; revoked && req.sentAt.Sub(at) > revocationDeadline {
		c.recordViolation("revoked", "request %s ran with a key withdrawn %s before", e.ID, req.sentAt.Sub(at))
	}
	if e.SinceDrain > drainDeadline && c.settled(machine, e.At) && c.settled(req.machine, e.At) {
		c.recordViolation("drain", "request %s reached a backend server %s after its leaving was acknowledged", e.ID, e.SinceDrain)
	}
	if at, evacuated := c.evacuated[e.Zone]; evacuated && e.At.Sub(at) > evacuationDeadline && c.settled(machine, e.At) && c.settled(req.machine, e.At) {
		c.recordViolation("evacuated", "request %s reached zone %s %s after its evacuation", e.ID, e.Zone, e.At.Sub(at))
	}
	if e.Cold {
		c.coldExecutions[b] = append(c.coldExecutions[b], e.At)
		executions := c.coldExecutions[b]
		limit := int(coldStartRate*coldRateFactor + coldRateSlack)
		if n := len(executions) - limit - 1; n >= 0 && e.At.Sub(executions[n]) < time.Second && req.sentAt.After(executions[n]) {
			c.recordViolation("cold", "%d requests within %s at a cold backend server", limit+1, e.At.Sub(executions[n]))
		}
	}
	if e.Team != "" {
		c.checkRate(e)
	}
}

// checkLimit checks a request that arrives at a backend server, or that it has answered,
// against the limit that its responses name.
func (c *checker) checkLimit(b *Backend, id string, limit float64, answered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now, machine := time.Now(), c.sent[id].machine
	l := c.limits[b]
	switch {
	case limit <= 0:
		delete(c.limits, b)
		return
	case l == nil:
		l = &limitRecord{since: now, told: make(map[string]time.Time)}
		c.limits[b] = l
	}
	// A fault of the machine since it was told excuses it.
	if told, ok := l.told[machine]; ok && (c.activeFaults[machine] > 0 || c.lastFaultEnd[machine].After(told)) {
		delete(l.told, machine)
	}
	told, ok := l.told[machine]
	switch {
	case answered && !ok:
		l.told[machine] = now
	case !answered && ok && now.Sub(told) >= limitNotice:
		l.arrivals = append(l.arrivals, now)
		n := len(l.arrivals) - int(limitFactor*limit*limitWindow.Seconds()+limitSlack) - 1
		if n >= 0 && now.Sub(l.arrivals[n]) < limitWindow && now.Sub(l.since) > settleTime {
			c.recordViolation("limit", "%d requests within %s at a backend server that named %.1f a second", len(l.arrivals)-n, now.Sub(l.arrivals[n]), limit)
		}
	}
}

// checkRate checks the number of executions of a team within rateWindow. c.mu must be held.
func (c *checker) checkRate(e Execution) {
	c.teamExecutions[e.Team] = append(c.teamExecutions[e.Team], e.At)
	executions := c.teamExecutions[e.Team]
	limit := int((teamRate*rateWindow.Seconds()+teamBurst)*(1+rateTolerance) + rateSlack)
	n := len(executions) - limit - 1
	if n >= 0 && e.At.Sub(executions[n]) < rateWindow && c.sent[e.ID].sentAt.After(executions[n]) {
		c.recordViolation("rate", "%d requests of team %s within %s", limit+1, e.Team, e.At.Sub(executions[n]))
	}
}

// checkResponse checks the response to a request; status 0 means that there was none.
func (c *checker) checkResponse(id string, status int, responseID, signatureHeader, body, wantBody string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.statusCounts[fmt.Sprint(status)]++
	switch {
	case status >= 200 && status < 300 && (responseID != id || body != wantBody || signatureHeader != signature(id, wantBody)):
		c.recordViolation("answer", "request %s got the answer of %q, %d bytes %.40q", id, responseID, len(body), body)
	case status == 408, status == 421, status == 429, status == 503:
		c.reportedNotRun[id] = status
	}
}

// checkProbe checks the response to a probe of the route that a version of the
// configuration adds. found reports whether the process has the route. version was the
// newest version when the probe was sent, and was acknowledged at acknowledgedAt.
func (c *checker) checkProbe(machine, process string, version int, found bool, sentAt, acknowledgedAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case found:
		c.newestSeen[process] = max(c.newestSeen[process], version)
	case c.newestSeen[process] >= version:
		c.recordViolation("back", "process %s does not know version %d although it did", process, version)
	case sentAt.Sub(acknowledgedAt) > configDeadline && c.settled(machine, sentAt):
		c.recordViolation("config", "process %s does not know version %d %s after its acknowledgement", process, version, sentAt.Sub(acknowledgedAt))
	}
}

// finish runs the checks that require the records of the whole run, and returns all
// violations.
func (c *checker) finish() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, status := range c.reportedNotRun {
		if c.sent[id].atMostOnce && c.executions[id] > 0 {
			c.recordViolation("not run", "order %s was answered %d and ran %d times", id, status, c.executions[id])
		}
	}
	return c.violations
}
