package main

import (
	"context"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"trefoildock.example/mesh/logsink"
	"trefoildock.example/mesh/process"
	"trefoildock.example/platform"
)

// sidecarCmd runs a node on the users' platform.
type sidecarCmd struct {
	CheckSettings bool   `help:"Check the settings and exit."`
	MetricsPort   string `help:"Port of the metrics on the machine's address." default:"9464"`
	Advertise     string `help:"Address at which other nodes reach this one, if it differs from the machine's address and first port." placeholder:"HOST:PORT"`
}

// memoryShare is the part of the machine's limit above which the collector runs
// harder; the rest covers stacks and buffers of the kernel.
const memoryShare = 0.7

// Run executes the command.
func (c *sidecarCmd) Run(a *app) error {
	name := a.getenv(platform.SettingsVariable)
	if name == "" {
		return &usageError{errors.Newf("%s does not name a settings file", platform.SettingsVariable)}
	}
	s, err := platform.LoadSettings(name)
	if err != nil {
		return err
	}
	if c.CheckSettings {
		a.printf("%s: settings of node %s, no faults\n", name, s.Node)
		return nil
	}
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryBytes)))
	}
	sink := logsink.New(a.stdout)
	defer sink.Close()
	logger := log.With(log.NewLogfmtLogger(sink), "ts", log.DefaultTimestampUTC, "node", s.Node)
	node, err := process.New(process.Config{Settings: s, Logger: logger, Advertise: c.Advertise, MetricsAddress: net.JoinHostPort(s.IP, c.MetricsPort)})
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(a.ctx)
	defer stop()
	go reloadOnHangup(ctx, name, logger)
	return node.Run(ctx)
}

// reloadOnHangup reads the settings again on SIGHUP. Addresses and bounds of a
// running process stay; a change of them takes effect with its next start.
func reloadOnHangup(ctx context.Context, name string, logger log.Logger) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			if _, err := platform.LoadSettings(name); err != nil {
				logger.Log("event", "settings not reloaded", "file", name, "err", err)
				continue
			}
			logger.Log("event", "settings reloaded", "file", name)
		}
	}
}
