package main

import (
	"context"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"trefoildock.example/standin/backend"
)

type backendCommand struct {
	Name           string        `required:"" help:"Name of the backend server."`
	Service        string        `required:"" help:"Service of the backend server."`
	Listen         string        `default:"127.0.0.1:0" help:"Address for requests and control."`
	Control        string        `help:"Second address for control, which stays reachable when connections are refused."`
	Announce       string        `help:"Base URL of the node's announcement port, for example http://127.0.0.1:7700."`
	Slots          int           `default:"3" help:"Concurrent executions."`
	Connections    int           `default:"400" help:"Open connections."`
	ServiceTime    time.Duration `default:"20ms" help:"Mean time of an execution."`
	Spread         float64       `default:"0" help:"Standard deviation of the logarithm of the service time."`
	ColdTime       time.Duration `help:"Longest cold start; 0 for no such limit."`
	ColdRequests   int           `help:"Executions that end the cold start; 0 for no such limit."`
	ColdFactor     float64       `default:"5" help:"Factor of the service time during a cold start."`
	CollapseFactor float64       `default:"20" help:"Further factor for concurrent requests during a cold start."`
	HealthTime     time.Duration `default:"25ms" help:"Time of a probe."`
	DrainTime      time.Duration `default:"1s" help:"Time between the draining announcement and the end of listening."`
	StopTimeout    time.Duration `default:"20s" help:"Time for drain and requests in flight after a stop signal."`
	Secrets        string        `type:"existingfile" help:"File with values that no request may carry, one per line."`
	Journal        string        `help:"File that keeps the executions across restarts."`
	Seed           uint64        `default:"1" help:"Seed of all random choices."`
}

// Run serves until ctx ends and then drains and stops the server.
func (c *backendCommand) Run(ctx context.Context, logger log.Logger) error {
	logger = log.With(logger, "backend", c.Name)
	secrets, err := readSecrets(c.Secrets)
	if err != nil {
		return err
	}
	s, err := backend.New(backend.Config{
		Name: c.Name, Service: c.Service, Listen: c.Listen, Control: c.Control, Announce: c.Announce,
		Slots: c.Slots, Connections: c.Connections, ServiceTime: c.ServiceTime, Spread: c.Spread,
		ColdTime: c.ColdTime, ColdRequests: c.ColdRequests, ColdFactor: c.ColdFactor, CollapseFactor: c.CollapseFactor,
		HealthTime: c.HealthTime, DrainTime: c.DrainTime, Journal: c.Journal, Seed: c.Seed,
		Secrets: secrets,
		OnCrash: func() { os.Exit(exitCrash) },
		Logger:  logger,
	})
	if err != nil {
		return err
	}
	if err := s.Start(); err != nil {
		return err
	}
	logger.Log("msg", "backend server is serving", "addr", s.Addr(), "control", s.ControlAddr(), "incarnation", s.Incarnation())
	<-ctx.Done()
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.StopTimeout)
	defer cancel()
	err = s.Shutdown(stopCtx)
	logger.Log("msg", "backend server stopped")
	return err
}

// readSecrets returns the whitespace-separated values of a file, or none if path is
// empty.
func readSecrets(path string) ([]string, error) {
	if path == "" {
		return nil, nil
	}
	text, err := os.ReadFile(path)
	return strings.Fields(string(text)), errors.Wrap(err, "read secrets")
}
