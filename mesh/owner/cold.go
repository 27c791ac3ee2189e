package owner

import (
	"context"
	"net/http"
	"time"

	"trefoildock.example/mesh/h1"
)

const (
	// coldRateMargin, in requests per second, keeps the rate of a backend server that
	// may be cold below its upper bound.
	coldRateMargin = 2
	// maxMissedHeartbeats is the number of heartbeat intervals without a heartbeat
	// after which a backend server without health checks may have restarted cold.
	maxMissedHeartbeats = 3
	// coldCheckShare is the share of the requests that a cold backend server would tolerate
	// from which it is asked whether it is cold. The rest covers the time of the check.
	coldCheckShare = 0.6
	// coldCheckTimeout bounds a health check. Its response takes as long as a slot is busy,
	// and 25 ms.
	coldCheckTimeout = 500 * time.Millisecond
)

// coldProtection limits the requests to a backend server that may be cold. It may become cold
// again at any moment without a restart, and its next heartbeat would say so too late. So
// it gets no more requests within a second than a cold one tolerates, counted from the last
// moment at which it is known not to have been cold.
type coldProtection struct {
	window slidingWindow
	// until is the end of the cold start that the backend server has reported.
	until time.Time
	// warmAt is when the last health check was sent whose response reported no cold start.
	warmAt time.Time
	// lastCheck is when the last health check was sent; checking is set while it runs.
	lastCheck time.Time
	checking  bool
}

// coldLimit returns the number of requests that may be sent to the backend server within a
// second, and the time from which they count; 0 means no limit. o.mu is held.
func (o *Owner) coldLimit(now time.Time, b *backend) (limit int, since time.Time) {
	s := o.cfg.Service(b.announcement.Service)
	if s == nil || s.ColdStartRate <= 0 {
		return 0, time.Time{}
	}
	if now.Before(b.cold.until) {
		return max(int(s.ColdStartRate), 1), time.Time{}
	}
	limit = max(int(s.ColdStartRate*o.cfg.Bounds.ColdStartRateFactor+o.cfg.Bounds.ColdStartRateSlack)-coldRateMargin, 1)
	if s.HealthPath != "" && o.cfg.Bounds.HealthCheckRate > 0 {
		return limit, b.cold.warmAt
	}
	// Without health checks only heartbeats show whether the backend server is cold.
	if now.Sub(b.lastHeartbeat) < maxMissedHeartbeats*o.cfg.Heartbeat && b.lastHeartbeat.After(b.lastConnectFailure) {
		return 0, time.Time{}
	}
	return limit, time.Time{}
}

// coldWaitTime returns the time until a backend server that may be cold tolerates one more
// request. o.mu is held.
func (o *Owner) coldWaitTime(now time.Time, b *backend) time.Duration {
	limit, since := o.coldLimit(now, b)
	wait := b.cold.window.waitTime(now, limit, since)
	if wait > 0 {
		o.checkCold(now, b)
	}
	return wait
}

// takeCold counts a request, and reports whether a backend server that may be cold tolerates
// it. It starts a health check in time, so that a warm backend server is not limited. o.mu
// is held.
func (o *Owner) takeCold(now time.Time, b *backend) bool {
	limit, since := o.coldLimit(now, b)
	allowed := b.cold.window.allow(now, limit, since)
	if limit > 0 && float64(b.cold.window.count(since)) >= coldCheckShare*float64(limit) {
		o.checkCold(now, b)
	}
	return allowed
}

// checkCold starts a health check of the backend server, unless it is known to be cold or was
// checked shortly before. o.mu is held.
func (o *Owner) checkCold(now time.Time, b *backend) {
	s := o.cfg.Service(b.announcement.Service)
	if s == nil || s.HealthPath == "" || o.cfg.Bounds.HealthCheckRate <= 0 || b.cold.checking || now.Before(b.cold.until) {
		return
	}
	if now.Sub(b.cold.lastCheck) < time.Duration(float64(time.Second)/o.cfg.Bounds.HealthCheckRate) {
		return
	}
	b.cold.checking, b.cold.lastCheck = true, now
	go o.cfg.Recovery.Do("health check", "", func() { o.runColdCheck(now, b, s.HealthPath) })
}

// runColdCheck asks the backend server whether it is cold.
func (o *Owner) runColdCheck(started time.Time, b *backend, path string) {
	ctx, cancel := context.WithTimeout(context.Background(), coldCheckTimeout)
	defer cancel()
	o.cfg.Metrics.HealthChecks.Inc(1)
	resp, err := b.client.Do(ctx, &h1.UpstreamRequest{
		Method: http.MethodGet, Target: path, Host: b.announcement.Address, Header: make(http.Header),
		MaxIdle: maxNonIdempotentIdle, AllowResend: func() bool { return false }, // A second check would exceed their rate.
	})
	o.mu.Lock()
	defer o.mu.Unlock()
	b.cold.checking = false
	if err != nil {
		o.cfg.Logger.Log("event", "health check failed", "backend", b.announcement.ID, "err", err)
		return
	}
	remaining, err := o.headers.ColdStartRemaining(resp.Header, b.announcement.ID)
	if err != nil {
		o.cfg.Logger.Log("event", "health check failed", "backend", b.announcement.ID, "status", resp.Status, "err", err)
		return
	}
	if remaining == 0 {
		b.cold.warmAt = started
		return
	}
	o.observeCold(time.Now(), b, remaining, "health check")
}

// observeCold records how long the backend server says that it stays cold. o.mu is held.
func (o *Owner) observeCold(now time.Time, b *backend, remaining time.Duration, source string) {
	if remaining <= 0 {
		return
	}
	if !now.Before(b.cold.until) {
		o.cfg.Logger.Log("event", "backend server is cold", "backend", b.announcement.ID, "remaining", remaining, "source", source)
	}
	b.cold.until = now.Add(remaining)
}
