// Command standin runs simulations of the platform, of a backend server and of
// callers. Each subcommand is one process. SIGTERM or SIGINT stops it after the
// requests in flight; a second signal terminates it immediately.
//
// Exit codes: 0 success, 1 failure, 2 the load run found a wrong or truncated response
// or an order whose executions violate a guarantee, 3 a request crashed the backend
// server.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
)

// Exit codes other than 0 and 1.
const (
	exitGuaranteeViolated = 2
	exitCrash             = 3
)

// errGuaranteeViolated is returned by a load run that found a violated guarantee.
var errGuaranteeViolated = errors.New("the run found violated guarantees")

type cli struct {
	Platform platformCommand `cmd:"" help:"Serve the platform API from memory."`
	Backend  backendCommand  `cmd:"" help:"Run a backend server."`
	Load     loadCommand     `cmd:"" help:"Send requests to entry nodes and check the answers."`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	context.AfterFunc(ctx, stop) // A second signal terminates the process.
	logger := log.With(log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr)), "ts", log.DefaultTimestampUTC)

	var c cli
	k := kong.Parse(&c, kong.Name("standin"),
		kong.Description("Stand-ins for the systems around trefoildock; never part of a deployment."),
		kong.BindTo(ctx, (*context.Context)(nil)), kong.BindTo(logger, (*log.Logger)(nil)))
	err := k.Run()
	if errors.Is(err, errGuaranteeViolated) {
		logger.Log("err", err)
		stop()
		os.Exit(exitGuaranteeViolated) //nolint:gocritic // stop was called.
	}
	k.FatalIfErrorf(err)
}
