// Command standin runs the stand-ins of the platform, of a backend server and of
// callers. Each subcommand is one process, which stops on SIGTERM or SIGINT
// after the requests in flight; a second signal ends it at once.
//
// Exit codes: 0 success, 1 failure, 2 the load run found a wrong or cut answer
// or an order that ran twice, 3 a request crashed the backend server.
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

// Exit codes besides 0 and 1.
const (
	exitBrokenPromise = 2
	exitCrash         = 3
)

// errBrokenPromise ends a load run that found a broken promise.
var errBrokenPromise = errors.New("the run found broken promises")

type cli struct {
	Platform platformCommand `cmd:"" help:"Serve the platform API from memory."`
	Backend  backendCommand  `cmd:"" help:"Run a backend server."`
	Load     loadCommand     `cmd:"" help:"Send requests to entry nodes and check the answers."`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	context.AfterFunc(ctx, stop) // A second signal gets its default effect.
	logger := log.With(log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr)), "ts", log.DefaultTimestampUTC)

	var c cli
	k := kong.Parse(&c, kong.Name("standin"),
		kong.Description("Stand-ins for the systems around trefoildock; never part of a deployment."),
		kong.BindTo(ctx, (*context.Context)(nil)), kong.BindTo(logger, (*log.Logger)(nil)))
	err := k.Run()
	if errors.Is(err, errBrokenPromise) {
		logger.Log("err", err)
		stop()
		os.Exit(exitBrokenPromise) //nolint:gocritic // stop was called.
	}
	k.FatalIfErrorf(err)
}
