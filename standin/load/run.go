package load

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

const (
	idleConnectionTimeout = 30 * time.Second
	connectionsPerEntry   = 256
)

// runner is the state of one run.
type runner struct {
	config    Config
	client    *http.Client
	runID     string
	slots     chan struct{} // one element per request in flight
	started   atomic.Int64
	collector *collector
}

// Run sends requests until the duration has passed, the number of requests is reached
// or ctx ends. It then waits for requests in flight, without canceling them, and
// returns the report.
func Run(ctx context.Context, c Config) (*Report, error) {
	c, err := c.withDefaults()
	if err != nil {
		return nil, err
	}
	transport, err := newTransport(&c)
	if err != nil {
		return nil, err
	}
	defer transport.CloseIdleConnections()
	r := &runner{
		config: c,
		client: &http.Client{
			Transport:     transport,
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		runID:     uuid.NewString(),
		slots:     make(chan struct{}, c.MaxInFlight),
		collector: newCollector(&c),
	}
	started := time.Now()
	arrivalCtx, cancel := context.WithTimeout(ctx, c.Duration)
	defer cancel()
	var wg sync.WaitGroup
	for i := range c.Teams {
		wg.Go(func() { r.runTeam(arrivalCtx, started, i, &wg) })
	}
	wg.Wait()
	return r.collector.report(time.Since(started)), nil
}

func newTransport(c *Config) (*http.Transport, error) {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(!c.HTTP2)
	protocols.SetHTTP2(c.HTTP2)
	protocols.SetUnencryptedHTTP2(c.HTTP2)
	t := &http.Transport{
		Protocols:           protocols,
		DialContext:         (&net.Dialer{Timeout: c.Timeout}).DialContext,
		MaxConnsPerHost:     connectionsPerEntry,
		MaxIdleConnsPerHost: connectionsPerEntry,
		IdleConnTimeout:     idleConnectionTimeout,
		DisableCompression:  true,
	}
	if c.CAFile == "" {
		return t, nil
	}
	pem, err := os.ReadFile(c.CAFile)
	if err != nil {
		return nil, errors.Wrap(err, "read certificate authority")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, errors.Newf("%s holds no certificate", c.CAFile)
	}
	t.TLSClientConfig = &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: roots}
	return t, nil
}

// runTeam starts the requests of one team at their scheduled times. A request that is
// late because the generator is busy is sent immediately.
func (r *runner) runTeam(ctx context.Context, started time.Time, team int, wg *sync.WaitGroup) {
	process := newArrivalProcess(&r.config, team)
	// Requests in flight continue after the arrivals end.
	sendCtx := context.WithoutCancel(ctx)
	for {
		a := process.next()
		if !waitUntil(ctx, started.Add(a.at)) || !r.countRequest() {
			return
		}
		select {
		case r.slots <- struct{}{}:
		default:
			r.collector.recordSkip(team)
			continue
		}
		wg.Go(func() {
			defer func() { <-r.slots }()
			r.runRequest(sendCtx, ctx, team, a)
		})
	}
}

// countRequest counts a request and reports whether it is within MaxRequests.
func (r *runner) countRequest() bool {
	n := r.started.Add(1)
	return r.config.MaxRequests == 0 || n <= int64(r.config.MaxRequests)
}

// runRequest sends one request and resends an unanswered order with the same key through
// the next entries. It does not resend after the run was interrupted.
func (r *runner) runRequest(ctx, arrivalCtx context.Context, team int, scheduled arrival) {
	req, err := newRequest(&r.config.Teams[team], &r.config.Kinds[scheduled.kind], r.runID+"-"+uuid.NewString())
	if err != nil {
		r.collector.recordSkip(team)
		return
	}
	attempts, failovers := 0, 0
	mayHaveExecuted := false
	var last result
	for {
		startedAt := time.Now()
		entry := r.config.Entries[(scheduled.entry+attempts+failovers)%len(r.config.Entries)]
		last = send(ctx, r.client, entry, req, r.config.Timeout)
		if r.config.Failover && last.outcome == NotSent && failovers+1 < len(r.config.Entries) {
			failovers++
			r.collector.recordFailover(team)
			continue
		}
		attempts++
		r.collector.recordAttempt(team, req, entry, last, startedAt, time.Now())
		mayHaveExecuted = mayHaveExecuted || last.outcome.mayHaveExecuted()
		if !req.kind.atMostOnce() || !shouldResend(last) || attempts > r.config.Resends || isInterrupted(arrivalCtx) {
			break
		}
		time.Sleep(r.config.ResendDelay)
	}
	r.collector.recordOutcome(team, req, last, attempts, mayHaveExecuted)
}

// shouldResend reports whether a caller resends its order: it got no answer, or the
// status 409 of an earlier attempt that is still executing.
func shouldResend(r result) bool {
	return r.outcome.isInconclusive() || r.status == http.StatusConflict
}

// isInterrupted reports whether the caller of Run canceled its context.
func isInterrupted(arrivalCtx context.Context) bool {
	return errors.Is(context.Cause(arrivalCtx), context.Canceled)
}

// waitUntil waits until t and returns false if ctx ends first.
func waitUntil(ctx context.Context, t time.Time) bool {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return ctx.Err() == nil
	}
}
