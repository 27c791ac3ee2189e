package main

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"trefoildock.example/platform/memory"
	"trefoildock.example/standin"
	"trefoildock.example/standin/platformserver"
)

// shutdownTimeout bounds the wait for requests in flight after a stop signal.
const shutdownTimeout = 5 * time.Second

type platformCommand struct {
	Listen string `default:"127.0.0.1:7600" help:"Address of the API, of PUT /faults and GET /stats."`
}

// Run serves the platform API until ctx ends.
func (c *platformCommand) Run(ctx context.Context, logger log.Logger) error {
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	logger.Log("msg", "platform is serving", "addr", l.Addr())
	err = standin.Serve(ctx, l, platformserver.New(memory.New()), shutdownTimeout)
	logger.Log("msg", "platform stopped")
	return err
}
