package soak

import (
	"fmt"
	"time"
)

// Settings holds the values of the settings file of a process.
type Settings struct {
	Node, IP, Zone, Service string
	// Backend is the address of the backend server. Callers, Ready and Control are the
	// addresses on which the process listens for callers, readiness probes and control.
	Backend, Callers, Ready, Control string
	// Store is the address of the platform store.
	Store string
	// LinkPort is the port for links between nodes.
	LinkPort int
	// Heartbeat is the announcement interval of the backend server.
	Heartbeat time.Duration
}

// Text returns the settings file in the format of the platform, with the limits that
// this package checks.
func (s Settings) Text() string {
	return fmt.Sprintf(`node = %q
ip = %q
zone = %q
region = "r"
port-range = [%d, %d]
heartbeat-ms = %d
app-addr = %q
service = %q
bounds = ["revoke-ms=%d", "drain-deadline-ms=%d", "grace-period-s=%d", "retry-budget-ratio=0.2", "budget-window-s=10",
  "budget-slack=60", "quota-window-s=%d", "quota-over=%g", "quota-slack=%d", "cold-over=%g", "cold-slack=%d", "strict-revoke=true"]
[listen]
outbound = %q
ready = %q
control = %q
[limits]
memory-mb = 284
[provider]
address = %q
`, s.Node, s.IP, s.Zone, s.LinkPort, s.LinkPort, s.Heartbeat.Milliseconds(), s.Backend, s.Service,
		revocationDeadline.Milliseconds(), drainDeadline.Milliseconds(), int(gracePeriod.Seconds()), int(rateWindow.Seconds()), rateTolerance, rateSlack,
		coldRateFactor, coldRateSlack, s.Callers, s.Ready, s.Control, s.Store)
}
