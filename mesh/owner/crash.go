package owner

import (
	"context"
	"encoding/hex"
	"net"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"trefoildock.example/crashguard"
	"trefoildock.example/verdict"
)

const (
	// crashWindow is the time after a lost connection within which the end of the
	// backend server counts as a crash.
	crashWindow = 10 * time.Second
	// probeTimeout bounds one connection attempt that tells whether the backend server has
	// ended. It runs on this VM and accepts or refuses within 1 ms.
	probeTimeout = 50 * time.Millisecond
	// probePause is the time between two attempts. A process that ends may close its
	// connections before its listener.
	probePause = 20 * time.Millisecond
	// suspectPollInterval is the Retry-After time of a suspect while another one runs.
	suspectPollInterval = 50 * time.Millisecond
)

// lostRequest is a request whose connection to the backend server was lost.
type lostRequest struct {
	lostAt time.Time
	crashguard.Involved
	// survived means that the backend server accepted connections after the loss.
	survived bool
}

// crashProbe is a running check whether the backend server has ended.
type crashProbe struct {
	done chan struct{}
	// ended and accepted are the result, once done is closed; a connection attempt may also
	// get no reply.
	ended, accepted bool
}

// fingerprint returns the fingerprint of the request; false if it has none.
func (r *activeRequest) fingerprint() (crashguard.Fingerprint, bool) {
	var f crashguard.Fingerprint
	return f, copy(f[:], r.offer.GetFingerprint()) > 0
}

func (r *activeRequest) involved() (crashguard.Involved, bool) {
	f, ok := r.fingerprint()
	return crashguard.Involved{Fingerprint: f, Trial: r.crashTrial != ""}, ok
}

// checkSuspect refuses a request that has crashed backend servers, and one that may have
// while another suspect runs here or another copy elsewhere. o.mu is held.
func (o *Owner) checkSuspect(now time.Time, r *activeRequest, b *backend) error {
	f, ok := r.fingerprint()
	if !ok {
		return nil
	}
	state, remaining := o.cfg.Crashes.State(now, f)
	switch {
	case state == crashguard.Blocked:
		return blockedError(remaining)
	case state == crashguard.Unknown && !r.offer.GetCrashSuspect():
		return nil
	}
	// After a crash with two suspects, either could be the cause.
	for other := range b.inFlight {
		if other.crashTrial != "" {
			return suspectWaits(suspectPollInterval)
		}
	}
	return nil
}

// beginTrial registers a suspect that is about to run. o.mu is held.
func (o *Owner) beginTrial(now time.Time, r *activeRequest, b *backend) error {
	f, ok := r.fingerprint()
	if !ok {
		return nil
	}
	deadline, _ := r.ctx.Deadline()
	event := incarnationOf(b.announcement) + "#" + r.offer.GetRequestId()
	admission, notice, wait := o.cfg.Crashes.Begin(now, f, r.offer.GetCrashSuspect(), event, deadline.Sub(now)+crashProbeTime)
	switch admission {
	case crashguard.Refuse:
		return blockedError(wait)
	case crashguard.Delay:
		return suspectWaits(wait)
	}
	if notice != nil {
		r.crashTrial = event
		o.notify(b, *notice)
	}
	return nil
}

// crashProbeTime is the longest time that a probe takes.
const crashProbeTime = 2*probeTimeout + probePause

func blockedError(remaining time.Duration) error {
	return verdict.NewNotRun(CodeCrashing, "the request has crashed backend servers", remaining)
}

func suspectWaits(wait time.Duration) error {
	return verdict.NewNotRun(CodeSuspectWaits, "a copy of the request, or another one, that may crash backend servers is running", min(wait, suspectPollInterval))
}

// endTrial tells other nodes how a request has ended. o.mu is held.
func (o *Owner) endTrial(now time.Time, r *activeRequest, b *backend, answered bool) {
	f, ok := r.fingerprint()
	switch {
	case !ok:
	case answered:
		if n, cleared := o.cfg.Crashes.Complete(now, f); cleared {
			o.notify(b, n)
		}
	case r.crashTrial != "" && !r.crashReported:
		o.notify(b, o.cfg.Crashes.EndTrial(f, r.crashTrial))
	}
}

func (o *Owner) notify(b *backend, n crashguard.Notice) {
	n.Service = b.announcement.Service
	go o.cfg.OnNotice(n)
}

// detectCrash checks after the loss of a connection whether the backend server has ended.
// If it has, the requests in flight are reported at once: it may stay away, and a copy of
// the request may already be on its way to the next one. It returns the error of
// the request.
func (o *Owner) detectCrash(r *activeRequest, b *backend, err error) error {
	o.mu.Lock()
	if r.crashReported {
		o.mu.Unlock()
		return crashedError(err)
	}
	if b.leaving || b.announcement.Draining || b != o.backend {
		o.mu.Unlock()
		return err
	}
	probe := b.probe
	if probe == nil {
		probe = &crashProbe{done: make(chan struct{})}
		b.probe = probe
		address := b.announcement.Address
		go o.cfg.Recovery.Do("crash probe", r.offer.GetRequestId(), func() { o.runProbe(b, probe, address) })
	}
	o.mu.Unlock()
	select {
	case <-probe.done:
	case <-r.ctx.Done():
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if !probe.ended && !r.crashReported {
		r.survived = probe.accepted
		return err
	}
	return crashedError(err)
}

func crashedError(cause error) error {
	return verdict.NewMayHaveRun(CodeBackendCrashed, "the backend server crashed", cause)
}

// runProbe connects to the backend server. A refused connection shows that it has ended;
// it may also reset single connections while it runs.
func (o *Owner) runProbe(b *backend, probe *crashProbe, address string) {
	defer close(probe.done)
	err := o.connect(address)
	if !isRefused(err) {
		time.Sleep(probePause)
		err = o.connect(address)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	b.probe = nil
	probe.ended, probe.accepted = isRefused(err), err == nil
	if probe.ended {
		o.reportEnd(time.Now(), b)
	}
}

func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// connect opens a connection to the backend server and closes it.
func (o *Owner) connect(address string) error {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	dial := o.cfg.Dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	conn, err := dial(ctx, "tcp", address)
	if err == nil {
		conn.Close()
		o.cfg.Metrics.Dials.Inc(1)
	}
	return err
}

// reportEnd reports a crash after a refused connection. o.mu is held.
func (o *Owner) reportEnd(now time.Time, b *backend) {
	b.lastConnectFailure = now
	b.backoffUntil = now.Add(connectBackoff)
	for r := range b.inFlight {
		q, ok := r.involved()
		if r.crashReported || !ok {
			continue
		}
		r.crashReported = true
		b.lostRequests = append(b.lostRequests, lostRequest{lostAt: now, Involved: q})
	}
	o.reportCrash(now, b, true)
}

// reportCrash reports the requests whose connection was lost shortly before the backend
// server was found to have ended: by a refused connection, or by a new incarnation. A
// backend server that leaves ends as planned. o.mu is held.
func (o *Owner) reportCrash(now time.Time, b *backend, refused bool) {
	var requests []crashguard.Involved
	for _, l := range b.lostRequests {
		switch {
		case now.Sub(l.lostAt) >= crashWindow, refused && l.survived:
			continue // It ended long after the request.
		case l.survived:
			l.Trial = false // It may have restarted within the probe, but probably later.
		}
		requests = append(requests, l.Involved)
	}
	b.lostRequests = nil
	if len(requests) == 0 || b.leaving || b.announcement.Draining {
		return
	}
	b.crashes++
	o.cfg.Metrics.Crashes.Inc(1)
	event := incarnationOf(b.announcement) + "#" + strconv.Itoa(b.crashes)
	n := o.cfg.Crashes.Crash(now, b.announcement.Service, event, requests)
	o.cfg.Logger.Log("event", "backend server crashed with requests in flight", "backend", incarnationOf(b.announcement), "requests", len(requests), "fingerprints", describe(n.Requests))
	o.notify(b, n)
}

// describe lists the requests of a crash for the log.
func describe(requests []crashguard.Involved) string {
	out := make([]string, 0, len(requests))
	for _, q := range requests {
		text := hex.EncodeToString(q.Fingerprint[:])
		switch {
		case q.Blocked:
			text += " (blocked)"
		case q.Trial:
			text += " (trial)"
		}
		out = append(out, text)
	}
	return strings.Join(out, ", ")
}
