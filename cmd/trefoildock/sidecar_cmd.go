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

// sidecarCmd runs a node as a sidecar that is configured by the settings file of the
// platform.
type sidecarCmd struct {
	CheckSettings bool   `help:"Check the settings and exit."`
	MetricsPort   string `help:"Port of the metrics on the machine's address." default:"9464"`
	Advertise     string `help:"Address at which other nodes reach this one, if it differs from the machine's address and first port." placeholder:"HOST:PORT"`
}

// memoryLimitFraction is the fraction of the memory limit of the process that is set
// as the soft memory limit of the Go runtime. The rest covers kernel buffers, other
// memory that the runtime does not count, and use above the soft limit.
const memoryLimitFraction = 0.7

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
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(s.MemoryBytes)))
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
	go validateSettingsOnHangup(ctx, name, logger)
	return node.Run(ctx)
}

// validateSettingsOnHangup reads and validates the settings file on SIGHUP. Addresses
// and limits of the running process do not change; new values take effect at the next
// start.
func validateSettingsOnHangup(ctx context.Context, name string, logger log.Logger) {
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
