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
	config  Config
	client  *http.Client
	runID   string
	slots   chan struct{} // one element per request in flight
	started atomic.Int64
	tally   *tally
}

// Run sends requests until the duration has passed, the number of requests is
// reached or ctx ends, waits for those in flight and returns the report.
// Requests in flight are not cancelled; each ends within its timeouts.
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
		runID: uuid.NewString(),
		slots: make(chan struct{}, c.MaxInFlight),
		tally: newTally(&c),
	}
	started := time.Now()
	arrivals, cancel := context.WithTimeout(ctx, c.Duration)
	defer cancel()
	var wg sync.WaitGroup
	for i := range c.Teams {
		wg.Go(func() { r.runTeam(arrivals, started, i, &wg) })
	}
	wg.Wait()
	return r.tally.report(time.Since(started)), nil
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

// runTeam starts the requests of one team at their scheduled times. A request
// that is late because the generator is busy is sent at once.
func (r *runner) runTeam(ctx context.Context, started time.Time, team int, wg *sync.WaitGroup) {
	s := newSchedule(&r.config, team)
	// Requests in flight outlive the arrivals.
	sendCtx := context.WithoutCancel(ctx)
	for {
		a := s.next()
		if !waitUntil(ctx, started.Add(a.at)) || !r.take() {
			return
		}
		select {
		case r.slots <- struct{}{}:
		default:
			r.tally.skip(team)
			continue
		}
		wg.Go(func() {
			defer func() { <-r.slots }()
			r.runOrder(sendCtx, ctx, team, a)
		})
	}
}

// take counts a request and reports whether it is within MaxRequests.
func (r *runner) take() bool {
	n := r.started.Add(1)
	return r.config.MaxRequests == 0 || n <= int64(r.config.MaxRequests)
}

// runOrder sends one request and repeats an unanswered order with the same key at
// the next entries. It stops repeating when the arrivals were interrupted.
func (r *runner) runOrder(ctx, arrivals context.Context, team int, a arrival) {
	o, err := newOrder(&r.config.Teams[team], &r.config.Kinds[a.kind], r.runID+"-"+uuid.NewString())
	if err != nil {
		r.tally.skip(team)
		return
	}
	attempts, failovers := 0, 0
	uncertain := false
	var last result
	for {
		begun := time.Now()
		entry := r.config.Entries[(a.entry+attempts+failovers)%len(r.config.Entries)]
		last = send(ctx, r.client, entry, o, r.config.Timeout)
		if r.config.Failover && last.outcome == NotSent && failovers+1 < len(r.config.Entries) {
			failovers++
			r.tally.failover(team)
			continue
		}
		attempts++
		r.tally.attempt(team, o, entry, last, begun, time.Now())
		uncertain = uncertain || last.outcome.uncertain()
		if !o.kind.once() || !mayResend(last) || attempts > r.config.Resends || interrupted(arrivals) {
			break
		}
		time.Sleep(r.config.ResendDelay)
	}
	r.tally.finish(team, o, last, attempts, uncertain)
}

// mayResend reports whether a caller repeats its order: it had no answer, or it
// was told that an earlier attempt is still running.
func mayResend(r result) bool {
	return r.outcome.unanswered() || r.code == http.StatusConflict
}

// interrupted reports whether the caller of Run ended it early.
func interrupted(arrivals context.Context) bool {
	return errors.Is(context.Cause(arrivals), context.Canceled)
}

// waitUntil sleeps until t and reports false if ctx ended first.
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
