package entry

import (
	"context"
	"crypto/sha256"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"trefoildock.example/crashguard"
	"trefoildock.example/link"
	"trefoildock.example/mesh/fleet"
	"trefoildock.example/mesh/h1"
	"trefoildock.example/mesh/owner"
	"trefoildock.example/mesh/quota"
	"trefoildock.example/platform"
	"trefoildock.example/retry"
	"trefoildock.example/routing"
	"trefoildock.example/verdict"
	"trefoildock.example/wire"
)

const (
	// confirmMargin is the part of the time for the withdrawal of keys that is
	// left when a node stops taking requests with keys.
	confirmMargin = 800 * time.Millisecond
	// defaultTimeout bounds a request that states no deadline on a route without one.
	defaultTimeout = 10 * time.Second
	// answerMargin is kept back from the deadline, so that the final answer reaches
	// the caller in time.
	answerMargin = 10 * time.Millisecond
	// retryAfter is the hint with refusals whose end is unknown.
	retryAfter = 300 * time.Millisecond
)

// Config is what an entry needs.
type Config struct {
	// Node, Zone and Service name this node, its zone and the service of its machine.
	Node, Zone, Service string
	Bounds              platform.Bounds
	Fleet               *fleet.State
	Rates               *quota.Rates
	Links               *link.Pool
	Owner               *owner.Owner
	Logger              log.Logger
	Metrics             *Metrics
}

// Entry answers the requests of callers.
type Entry struct {
	cfg     Config
	dialect platform.Dialect
	peers   *peers

	stopped atomic.Bool

	mu      sync.Mutex
	budgets map[string]*retry.Budget
	usual   map[string]time.Duration // by route
}

// New returns an entry.
func New(cfg Config) *Entry {
	return &Entry{cfg: cfg, peers: newPeers(), budgets: make(map[string]*retry.Budget), usual: make(map[string]time.Duration)}
}

// request is a request while the entry handles it.
type request struct {
	*h1.Request
	id       string
	view     *fleet.View
	route    *routing.Route
	team     *routing.Team
	service  string
	deadline time.Time
	offer    *wire.Offer
	// attempts counts the backend servers that the request was sent to.
	attempts atomic.Int32
	tried    map[string]bool
	// calling is set once the owner was told of a call.
	calling bool
}

// Stop refuses all further requests of callers. Calls of the backend server are
// still taken, because the requests that wait for them may finish.
func (e *Entry) Stop() { e.stopped.Store(true) }

// Handle answers one request. ctx ends when the caller leaves.
func (e *Entry) Handle(ctx context.Context, r *h1.Request) *h1.Answer {
	q := &request{Request: r, id: e.dialect.RequestID(r.Header), view: e.cfg.Fleet.View(), tried: make(map[string]bool)}
	e.cfg.Metrics.Requests.Inc(1)
	a, err := e.handle(ctx, q)
	if err != nil {
		a = e.failure(q, verdict.From(err))
	}
	if q.calling {
		e.cfg.Owner.EndOutboundCall(a.Status >= http.StatusInternalServerError)
	}
	e.finish(ctx, q, a, err)
	return a
}

// isCall reports whether the request is a call of the backend server on this
// machine. Only calls come without a key.
func (q *request) isCall() bool { return q.route != nil && q.route.Public }

func (e *Entry) handle(ctx context.Context, q *request) (*h1.Answer, error) {
	if err := e.admit(ctx, q); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithDeadline(ctx, q.deadline)
	defer cancel()
	if q.isCall() {
		e.cfg.Owner.BeginOutboundCall()
		q.calling = true
	}
	if err := e.cfg.Rates.Admit(ctx, q.team); err != nil {
		return nil, err
	}
	return e.run(ctx, q)
}

// admit finds the route and the team, and prepares the offer.
func (e *Entry) admit(_ context.Context, q *request) error {
	if q.view.Config == nil {
		return verdict.Refuse("no-configuration", "this node knows no configuration yet", retryAfter)
	}
	if q.id == "" {
		return refuse(http.StatusBadRequest, "bad-request", "the request carries no id")
	}
	q.route = q.view.Config.Match(q.Host, q.URL.Path)
	if q.route == nil {
		return refuse(http.StatusNotFound, "no-route", "no route matches the request")
	}
	if e.stopped.Load() && !q.isCall() {
		return verdict.Refuse("stopping", "this node is about to stop", retryAfter)
	}
	if err := e.authenticate(q); err != nil {
		return err
	}
	q.deadline = e.deadlineOf(q)
	q.service = q.route.Pick()
	fingerprint := fingerprintOf(q, e.cfg.Service)
	if q.view.Convicted[fleet.FingerprintKey(fingerprint[:])] {
		e.cfg.Metrics.Convicted.Inc(1)
		return verdict.Refuse("crashing-request", "the request has crashed backend servers", time.Second)
	}
	e.prepare(q, fingerprint)
	return nil
}

// authenticate finds the team of the key. Without a recent confirmation of the
// configuration the key may have been withdrawn.
func (e *Entry) authenticate(q *request) error {
	if q.route.Public {
		return nil
	}
	if age, known := e.cfg.Fleet.Age(); !known || age > e.cfg.Bounds.RevokeWithin-confirmMargin {
		e.cfg.Metrics.Unconfirmed.Inc(1)
		return verdict.Refuse("not-confirmed", "this node cannot tell whether its configuration is current", retryAfter)
	}
	q.team = q.view.Config.TeamOfKey(e.dialect.Key(q.Header))
	if q.team == nil {
		return refuse(http.StatusUnauthorized, "unauthorized", "the request carries no valid key")
	}
	return nil
}

// deadlineOf returns the time by which the caller must have its final answer.
func (e *Entry) deadlineOf(q *request) time.Time {
	timeout := e.dialect.Timeout(q.Header)
	if timeout == 0 {
		timeout = defaultTimeout
	}
	if t := q.route.Timeout; t > 0 && t < timeout {
		timeout = t
	}
	return q.Received.Add(timeout - answerMargin)
}

// prepare fills in the part of the offer that is the same for all attempts.
func (e *Entry) prepare(q *request, fingerprint crashguard.Fingerprint) {
	header := h1.EndToEnd(q.Header)
	e.dialect.StripRequest(header)
	q.offer = &wire.Offer{
		RequestId: q.id, Service: q.service, Method: q.Method, Target: q.RequestURI, Host: q.Host,
		Idempotent: q.route.Idempotent, Fields: wire.FieldsOf(header),
		Fingerprint: fingerprint[:], Urgent: q.isCall(), CallerService: e.cfg.Service,
		TeamWeight: weightOf(q.route.PriorityFor(q.team)),
	}
	if q.team != nil {
		q.offer.Team = q.team.Name
	}
}

// priorityWeights are the shares of the queue of an owner by priority, the most
// urgent first. Lower priorities have the last weight.
var priorityWeights = []uint32{8, 4, 2, 1}

func weightOf(priority int) uint32 {
	return priorityWeights[min(max(priority, 0), len(priorityWeights)-1)]
}

// fingerprintOf identifies equal requests from equal callers.
func fingerprintOf(q *request, caller string) crashguard.Fingerprint {
	digest := sha256.Sum256(q.Payload)
	return crashguard.NewFingerprint(q.Host+q.RequestURI, q.Method, digest[:], caller)
}

func refuse(status int, code, detail string) error {
	return &verdict.Error{Verdict: verdict.NotRun, Status: status, Code: code, Detail: detail}
}

// failure turns an error into the answer to the caller.
func (e *Entry) failure(q *request, err *verdict.Error) *h1.Answer {
	a := RefusalAnswer(err)
	if q.id != "" {
		e.dialect.SetRequestID(a.Header, q.id)
	}
	if err.Status == http.StatusUnauthorized {
		a.Header.Set("Www-Authenticate", "Bearer") // Required by RFC 9110, 15.5.2.
	}
	return a
}

// RefusalAnswer renders an error.
func RefusalAnswer(err *verdict.Error) *h1.Answer {
	a := &h1.Answer{Status: err.Status, Header: make(http.Header)}
	if err.Verdict != verdict.NotRun && owner.ImpliesNotRun(err.Status) {
		a.Status = http.StatusBadGateway
	}
	a.Header.Set("Content-Type", "text/plain; charset=utf-8")
	a.Header.Set(verdict.Header, err.Verdict.String())
	if err.RetryAfter > 0 && err.Verdict == verdict.NotRun {
		a.Header.Set("Retry-After", strconv.FormatFloat(err.RetryAfter.Seconds(), 'f', 3, 64))
	}
	a.Body = []byte(err.Code + ": " + err.Detail + "\n")
	return a
}

// finish counts and logs the outcome.
func (e *Entry) finish(ctx context.Context, q *request, a *h1.Answer, err error) {
	took := time.Since(q.Received)
	e.cfg.Metrics.count(a.Status, took)
	line := []any{"event", "request answered", "request", q.id, "status", a.Status, "ms", took.Milliseconds(), "attempts", q.attempts.Load()}
	if q.route != nil {
		line = append(line, "route", q.route.Name, "service", q.service, "config", q.view.Config.Version)
	}
	if q.team != nil {
		line = append(line, "team", q.team.Name)
	}
	if err != nil {
		f := verdict.From(err)
		age, _ := e.cfg.Fleet.Age()
		line = append(line, "code", f.Code, "verdict", f.Verdict, "confirmed_ms", age.Milliseconds(), "cause", f.Cause)
	}
	if ctx.Err() != nil {
		line = append(line, "caller", "left")
	}
	e.cfg.Logger.Log(line...)
}
