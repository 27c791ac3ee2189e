package admin

import (
	"context"
	"encoding/json"
	"net/http"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/kataras/iris/v12"
)

// handler contains the state that the endpoints share.
type handler struct {
	config    Config
	fileSlots chan struct{} // semaphore for requests with a rules file
}

// httpResponse is the status and body of a successful response.
type httpResponse struct {
	status int
	body   any
}

// endpoint handles a request. Its error is converted by problemFromError.
type endpoint func(ctx iris.Context) (httpResponse, error)

// NewHandler returns the handler of the admin API. It panics if a required
// field of the configuration is missing or a route is invalid; both are programming
// errors.
func NewHandler(config Config) http.Handler {
	if config.Store == nil || config.Cluster == nil || config.Operator == nil {
		panic("admin: Store, Cluster and Operator are required")
	}
	config = config.withDefaults()
	h := &handler{
		config:    config,
		fileSlots: make(chan struct{}, maxConcurrentFileRequests),
	}
	app := newApplication()
	h.registerRoutes(app)
	if err := app.Build(); err != nil {
		panic(errors.Wrap(err, "admin: build routes"))
	}
	return app
}

// newApplication returns an iris application that only serves requests. It writes no
// banner or log and does not handle signals or listeners, which the node manages.
func newApplication() *iris.Application {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Configure(iris.WithConfiguration(iris.Configuration{
		LogLevel:                "disable",
		DisableStartupLog:       true,
		DisableInterruptHandler: true,
		DisablePathCorrection:   true,
		FireMethodNotAllowed:    true,
		Charset:                 "utf-8",
	}))
	return app
}

func (h *handler) registerRoutes(app *iris.Application) {
	app.UseRouter(h.recoverPanic, h.authenticate)
	app.OnErrorCode(http.StatusNotFound, h.serve(func(iris.Context) (httpResponse, error) {
		return httpResponse{}, newProblem(http.StatusNotFound, CodeNotFound, "there is no such resource")
	}))
	app.OnErrorCode(http.StatusMethodNotAllowed, h.serve(func(iris.Context) (httpResponse, error) {
		return httpResponse{}, newProblem(http.StatusMethodNotAllowed, CodeMethodNotAllowed, "the resource does not allow this method")
	}))

	app.Get(pathConfiguration, h.serve(h.readConfiguration))
	app.Put(pathConfiguration, h.serveFile(h.applyFile))
	app.Post(pathCheck, h.serveFile(h.check))
	app.Post(pathDiff, h.serveFile(h.diff))
	app.Post(pathDeltas, h.serve(h.applyDelta))
	app.Put(pathZones+"{name:string}", h.serve(h.setZone))
	app.Put(pathBackendServers+"{name:string}", h.serve(h.setBackendServer))
	app.Post(pathTeams+"{team:string}/keys", h.serve(h.issueKey))
	app.Post(pathWithdrawals, h.serve(h.withdrawKeys))
	app.Get(pathStatus, h.serve(h.status))
	app.Get(pathAudit, h.serve(h.audit))
}

// serve returns an iris handler that runs an endpoint with a timeout and writes its
// response.
func (h *handler) serve(e endpoint) iris.Handler {
	return func(ctx iris.Context) {
		bounded, cancel := context.WithTimeout(ctx.Request().Context(), h.config.RequestTimeout)
		defer cancel()
		ctx.ResetRequest(ctx.Request().WithContext(bounded))
		// The read deadline keeps a client that sends its body slowly from occupying a
		// rules file slot. The error is ignored, because response writers without a
		// connection do not support deadlines.
		_ = http.NewResponseController(ctx.ResponseWriter().Naive()).SetReadDeadline(time.Now().Add(h.config.RequestTimeout))
		response, err := e(ctx)
		if err != nil {
			h.fail(ctx, err)
			return
		}
		writeJSON(ctx, response.status, "application/json", response.body)
	}
}

// serveFile is serve for a request with a rules file. It limits the number of
// concurrent requests of this kind.
func (h *handler) serveFile(e endpoint) iris.Handler {
	return h.serve(func(ctx iris.Context) (httpResponse, error) {
		select {
		case h.fileSlots <- struct{}{}:
			defer func() { <-h.fileSlots }()
			return e(ctx)
		case <-ctx.Request().Context().Done():
			p := newProblem(http.StatusServiceUnavailable, CodeBusy, "other rules files are being processed; nothing was changed")
			p.RetryAfter = 1
			return httpResponse{}, p
		}
	})
}

// recoverPanic responds with an internal error to a request whose endpoint panicked.
// The panic value and stack trace are logged.
func (h *handler) recoverPanic(ctx iris.Context) {
	defer func() {
		if cause := recover(); cause != nil {
			h.fail(ctx, errors.Newf("panic: %v\n%s", cause, debug.Stack()))
		}
	}()
	ctx.Next()
}

// fail writes a problem response and counts it. Only internal errors are logged.
func (h *handler) fail(ctx iris.Context, err error) {
	problem := problemFromError(err)
	h.config.Refusals.CountRefusal(problem.Code)
	if problem.Status == http.StatusInternalServerError {
		_ = h.config.Logger.Log("level", "error", "msg", "admin request failed",
			"method", ctx.Method(), "path", ctx.Path(), "err", err)
	}
	if problem.RetryAfter > 0 {
		ctx.Header("Retry-After", strconv.Itoa(problem.RetryAfter))
	}
	writeJSON(ctx, problem.Status, "application/problem+json", problem)
	ctx.StopExecution()
}

// writeJSON writes a JSON body. HTML escaping is off, because it would make rules
// hard to read.
func writeJSON(ctx iris.Context, status int, contentType string, body any) {
	w := ctx.ResponseWriter()
	w.Header().Set("Content-Type", contentType)
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetEscapeHTML(false)
	_ = encoder.Encode(body) // A failed write means that the client has disconnected.
}
