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

// handler holds what the endpoints share.
type handler struct {
	config Config
	files  chan struct{} // slots of requests with a rules file
}

// reply is a successful answer.
type reply struct {
	status int
	body   any
}

// endpoint answers a request or returns an error for problemOf.
type endpoint func(ctx iris.Context) (reply, error)

// NewHandler returns the administration API. It panics if a required part of the
// configuration is missing, or if a route is invalid, which is a programming error.
func NewHandler(config Config) http.Handler {
	if config.Store == nil || config.Cluster == nil || config.Operator == nil {
		panic("admin: Store, Cluster and Operator are required")
	}
	config = config.withDefaults()
	h := &handler{
		config: config,
		files:  make(chan struct{}, maxFileRequests),
	}
	app := newApplication()
	h.route(app)
	if err := app.Build(); err != nil {
		panic(errors.Wrap(err, "admin: build routes"))
	}
	return app
}

// newApplication returns an iris application that only serves requests: it
// writes no banner and no log, and leaves signals and listeners to the node.
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

func (h *handler) route(app *iris.Application) {
	app.UseRouter(h.recoverPanic, h.authenticate)
	app.OnErrorCode(http.StatusNotFound, h.serve(func(iris.Context) (reply, error) {
		return reply{}, newProblem(http.StatusNotFound, CodeNotFound, "there is no such resource")
	}))
	app.OnErrorCode(http.StatusMethodNotAllowed, h.serve(func(iris.Context) (reply, error) {
		return reply{}, newProblem(http.StatusMethodNotAllowed, CodeMethodNotAllowed, "the resource does not allow this method")
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

// serve bounds the time of an endpoint and writes its answer.
func (h *handler) serve(e endpoint) iris.Handler {
	return func(ctx iris.Context) {
		bounded, cancel := context.WithTimeout(ctx.Request().Context(), h.config.RequestTimeout)
		defer cancel()
		ctx.ResetRequest(ctx.Request().WithContext(bounded))
		// A client that sends its body slowly must not hold the slot of a rules
		// file. Writers without a connection have no deadline.
		_ = http.NewResponseController(ctx.ResponseWriter().Naive()).SetReadDeadline(time.Now().Add(h.config.RequestTimeout))
		answer, err := e(ctx)
		if err != nil {
			h.fail(ctx, err)
			return
		}
		writeJSON(ctx, answer.status, "application/json", answer.body)
	}
}

// serveFile is serve for a request with a rules file.
func (h *handler) serveFile(e endpoint) iris.Handler {
	return h.serve(func(ctx iris.Context) (reply, error) {
		select {
		case h.files <- struct{}{}:
			defer func() { <-h.files }()
			return e(ctx)
		case <-ctx.Request().Context().Done():
			p := newProblem(http.StatusServiceUnavailable, CodeBusy, "other rules files are being processed; nothing was changed")
			p.RetryAfter = 1
			return reply{}, p
		}
	})
}

// recoverPanic answers a request whose endpoint panicked. The log has the cause.
func (h *handler) recoverPanic(ctx iris.Context) {
	defer func() {
		if cause := recover(); cause != nil {
			h.fail(ctx, errors.Newf("panic: %v\n%s", cause, debug.Stack()))
		}
	}()
	ctx.Next()
}

// fail writes a problem and counts it. Only internal errors are logged.
func (h *handler) fail(ctx iris.Context, err error) {
	problem := problemOf(err)
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

// writeJSON writes a body without characters escaped for HTML, which would make
// rule lines hard to read.
func writeJSON(ctx iris.Context, status int, contentType string, body any) {
	w := ctx.ResponseWriter()
	w.Header().Set("Content-Type", contentType)
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetEscapeHTML(false)
	_ = encoder.Encode(body) // The client may be gone; there is nobody left to tell.
}
