package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
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
	"trefoildock.example/mesh/recovery"
	"trefoildock.example/platform"
	"trefoildock.example/retry"
	"trefoildock.example/routing"
	"trefoildock.example/verdict"
	"trefoildock.example/wire"
)

const (
	// revocationMargin is subtracted from Bounds.RevocationDeadline. The result is the
	// staleness bound of the configuration above which requests with a key are refused.
	revocationMargin = 800 * time.Millisecond
	// defaultTimeout bounds a request that states no timeout on a route without one.
	defaultTimeout = 10 * time.Second
	// firstConfigWait is how long a request waits for the first configuration of a node that
	// has just started, which a reader of the zone normally sends within 0.3 s.
	firstConfigWait = time.Second
	// responseMargin is subtracted from the deadline, so that the final response
	// reaches the caller in time.
	responseMargin = 10 * time.Millisecond
	// defaultRetryAfter is the Retry-After time of refusals for a condition of unknown
	// duration.
	defaultRetryAfter = 300 * time.Millisecond
)

// Config holds the settings and dependencies of an Entry.
type Config struct {
	// Node, Zone and Service name this node, its zone and the service that runs on its VM.
	Node, Zone, Service string
	Bounds              platform.Bounds
	Fleet               *fleet.State
	RateLimiter         *quota.RateLimiter
	Links               *link.Pool
	Owner               *owner.Owner
	// Crashes holds the requests that may crash backend servers; nil means a registry of
	// its own.
	Crashes *crashguard.Registry
	Logger  log.Logger
	Metrics *Metrics
	// Recovery records panics; nil means that they are recovered without a record.
	Recovery *recovery.Recorder
}

// Entry handles the requests of callers.
type Entry struct {
	cfg     Config
	headers platform.HeaderCodec
	peers   *peers

	// stopped refuses the requests of callers, closed also the outbound calls of the backend
	// server on this VM.
	stopped, closed atomic.Bool
	// stop holds the end of the process once it is planned.
	stop *plannedStop
	// waiting is the number of attempts that wait for an owner.
	waiting atomic.Int32

	mu        sync.Mutex
	budgets   map[string]*retry.Budget
	latencies map[string]time.Duration // moving average by route
}

// New returns an Entry.
func New(cfg Config) *Entry {
	if cfg.Crashes == nil {
		cfg.Crashes = crashguard.NewRegistry()
	}
	return &Entry{
		cfg: cfg, peers: newPeers(), budgets: make(map[string]*retry.Budget), latencies: make(map[string]time.Duration),
		stop: newPlannedStop(),
	}
}

// request is the state of a request in the entry.
type request struct {
	*h1.Request
	id       string
	view     *fleet.View
	route    *routing.Route
	team     *routing.Team
	service  string
	deadline time.Time
	offer    *wire.Offer
	// fingerprint identifies copies of the request.
	fingerprint crashguard.Fingerprint
	// attempts counts the attempts that may have reached a backend server.
	attempts atomic.Int32
	tried    map[string]bool
	// countedAsOutbound is set once the owner counts the request as an outbound call.
	countedAsOutbound bool
}

// Stop refuses all further requests of callers. Outbound calls of the backend server
// on this VM are still accepted while they can finish in time (PlanStop), because requests
// wait for them.
func (e *Entry) Stop() { e.stopped.Store(true) }

// Close refuses all further requests, so that none is running when the process ends.
func (e *Entry) Close() {
	e.stopped.Store(true)
	e.closed.Store(true)
}

// Waiting returns the number of attempts that have not been sent to a backend server yet.
func (e *Entry) Waiting() int { return int(e.waiting.Load()) }

// Handle handles one request. ctx ends when the caller closes the connection.
func (e *Entry) Handle(ctx context.Context, r *h1.Request) *h1.Response {
	q := &request{Request: r, id: e.headers.RequestID(r.Header), view: e.cfg.Fleet.View(), tried: make(map[string]bool)}
	e.cfg.Metrics.Requests.Inc(1)
	var resp *h1.Response
	err := error(ErrPanic)
	e.cfg.Recovery.Do("entry", q.id, func() { resp, err = e.handle(ctx, q) })
	if err != nil {
		resp = e.failureResponse(q, verdict.FromError(err))
	}
	if q.countedAsOutbound {
		e.cfg.Owner.EndOutboundCall(resp.Status >= http.StatusInternalServerError)
	}
	e.finish(ctx, q, resp, err)
	return resp
}

// ErrPanic is the result of a request whose handling has panicked.
var ErrPanic = &verdict.Error{Verdict: verdict.MayHaveRun, Status: http.StatusBadGateway, Code: "internal-error", Detail: "the proxy failed to handle the request"}

// isOutboundCall reports whether the request is an outbound call of the backend
// server on this VM. Only the routes of outbound calls need no key.
func (q *request) isOutboundCall() bool { return q.route != nil && q.route.Public }

func (e *Entry) handle(ctx context.Context, q *request) (*h1.Response, error) {
	if err := e.resolve(ctx, q); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithDeadline(ctx, q.deadline)
	defer cancel()
	if q.isOutboundCall() {
		e.cfg.Owner.BeginOutboundCall()
		q.countedAsOutbound = true
	}
	if err := e.cfg.RateLimiter.Admit(ctx, q.team); err != nil {
		return nil, err
	}
	return e.run(ctx, q)
}

// resolve matches the route, authenticates the team and prepares the offer.
func (e *Entry) resolve(ctx context.Context, q *request) error {
	if q.view.Config == nil {
		q.view = e.cfg.Fleet.AwaitConfig(ctx, firstConfigWait)
	}
	if q.view.Config == nil {
		return verdict.NewNotRun("no-configuration", "this node knows no configuration yet", defaultRetryAfter)
	}
	if err := e.headers.CheckRequest(q.Header); err != nil {
		return refuse(http.StatusBadRequest, "bad-request", err.Error())
	}
	q.route = q.view.Config.MatchRoute(q.Host, q.URL.Path)
	if q.route == nil {
		return refuse(http.StatusNotFound, "no-route", "no route matches the request")
	}
	if e.closed.Load() || e.stopped.Load() && !q.isOutboundCall() || e.tooLateToSend(q) {
		return stoppingError(nil)
	}
	if err := e.authenticate(q); err != nil {
		return err
	}
	q.deadline = e.deadlineOf(q)
	q.service = q.route.PickService()
	q.fingerprint = fingerprintOf(q, e.cfg.Service)
	if err := e.checkBlocked(q); err != nil {
		return err
	}
	e.buildOffer(q)
	return nil
}

// checkBlocked refuses a request that has crashed backend servers.
func (e *Entry) checkBlocked(q *request) error {
	state, remaining := e.cfg.Crashes.State(time.Now(), q.fingerprint)
	if state != crashguard.Blocked {
		return nil
	}
	return verdict.NewNotRun(owner.CodeCrashing, "the request has crashed backend servers", remaining)
}

// authenticate sets the team of the request's key. Without a recent confirmation of
// the configuration it refuses the request, because the key may have been revoked.
func (e *Entry) authenticate(q *request) error {
	if q.route.Public {
		return nil
	}
	if age, known := e.cfg.Fleet.ConfirmationAge(); !known || age > e.cfg.Bounds.RevocationDeadline-revocationMargin {
		e.cfg.Metrics.StaleConfig.Inc(1)
		return verdict.NewNotRun("not-confirmed", "this node cannot tell whether its configuration is current", defaultRetryAfter)
	}
	q.team = q.view.Config.TeamByKey(e.headers.TeamKey(q.Header))
	if q.team == nil {
		return refuse(http.StatusUnauthorized, "unauthorized", "the request carries no valid key")
	}
	return nil
}

// deadlineOf returns the time by which the entry must have the final response.
func (e *Entry) deadlineOf(q *request) time.Time {
	timeout := e.headers.Timeout(q.Header)
	if timeout == 0 {
		timeout = defaultTimeout
	}
	if t := q.route.Timeout; t > 0 && t < timeout {
		timeout = t
	}
	return q.Received.Add(timeout - responseMargin)
}

// buildOffer sets the fields of the offer that are the same for all attempts.
func (e *Entry) buildOffer(q *request) {
	header := h1.EndToEnd(q.Header, e.headers.IsProtected)
	e.headers.StripRequestHeaders(header)
	q.offer = &wire.Offer{
		RequestId: q.id, Service: q.service, Method: q.Method, Target: q.RequestURI, Host: q.Host,
		Idempotent: q.route.Idempotent, Fields: wire.FieldsFromHeader(header),
		Fingerprint: q.fingerprint[:], Urgent: q.isOutboundCall(), CallerService: e.cfg.Service,
		TeamWeight: weightOf(q.route.PriorityFor(q.team)), ContentLength: int64(len(q.Payload)),
	}
	if q.team != nil {
		q.offer.Team = q.team.Name
	}
}

// priorityWeights holds the weights in an owner's fair queue by priority, starting
// with the highest priority. Priorities beyond the end have the last weight.
var priorityWeights = []uint32{8, 4, 2, 1}

func weightOf(priority int) uint32 {
	return priorityWeights[min(max(priority, 0), len(priorityWeights)-1)]
}

// fingerprintOf returns the same value for equal requests of one team from the same
// service. A request of one team must not block that of another.
func fingerprintOf(q *request, service string) crashguard.Fingerprint {
	digest := sha256.Sum256(q.Payload)
	caller := service
	if q.team != nil {
		caller += "\x00" + q.team.Name
	}
	return crashguard.NewFingerprint(q.Host+q.RequestURI, q.Method, digest[:], caller)
}

func refuse(status int, code, detail string) error {
	return &verdict.Error{Verdict: verdict.NotRun, Status: status, Code: code, Detail: detail}
}

// failureResponse converts an error to the response to the caller.
func (e *Entry) failureResponse(q *request, err *verdict.Error) *h1.Response {
	resp := ErrorResponse(err)
	if q.id != "" {
		e.headers.SetRequestID(resp.Header, q.id)
	}
	if err.Status == http.StatusUnauthorized {
		resp.Header.Set("Www-Authenticate", "Bearer") // Required by RFC 9110, 15.5.2.
	}
	return resp
}

// ErrorResponse converts an error to a response without a request ID.
func ErrorResponse(err *verdict.Error) *h1.Response {
	resp := &h1.Response{Status: err.Status, Header: make(http.Header)}
	if err.Verdict != verdict.NotRun && owner.ImpliesNotRun(err.Status) {
		resp.Status = http.StatusBadGateway
	}
	resp.Header.Set("Content-Type", "text/plain; charset=utf-8")
	resp.Header.Set(verdict.Header, err.Verdict.String())
	if err.RetryAfter > 0 && err.Verdict == verdict.NotRun {
		resp.Header.Set("Retry-After", strconv.FormatFloat(err.RetryAfter.Seconds(), 'f', 3, 64))
	}
	resp.Body = []byte(err.Code + ": " + err.Detail + "\n")
	return resp
}

// finish records the metrics and the log line of a request.
func (e *Entry) finish(ctx context.Context, q *request, resp *h1.Response, err error) {
	elapsed := time.Since(q.Received)
	e.cfg.Metrics.record(resp.Status, elapsed)
	keyvals := []any{"event", "request answered", "request", q.id, "status", resp.Status, "ms", elapsed.Milliseconds(), "attempts", q.attempts.Load()}
	if q.route != nil {
		keyvals = append(keyvals, "route", q.route.Name, "service", q.service, "config", q.view.Config.Version)
	}
	if q.team != nil {
		keyvals = append(keyvals, "team", q.team.Name)
	}
	if err != nil {
		failure := verdict.FromError(err)
		age, _ := e.cfg.Fleet.ConfirmationAge()
		keyvals = append(keyvals, "code", failure.Code, "verdict", failure.Verdict, "confirmed_ms", age.Milliseconds(), "cause", failure.Cause)
		if failure.Code == owner.CodeCrashing {
			e.cfg.Metrics.CrashingRequests.Inc(1)
			keyvals = append(keyvals, "fingerprint", hex.EncodeToString(q.fingerprint[:]))
		}
	}
	if ctx.Err() != nil {
		keyvals = append(keyvals, "caller", "left")
	}
	e.cfg.Logger.Log(keyvals...)
}
