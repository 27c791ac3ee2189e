package soak

import (
	"fmt"
	"time"
)

// Settings are what the platform tells a process about its machine.
type Settings struct {
	Node, IP, Zone, Service string
	// Backend is the address of the backend server; Callers, Ready and Control are
	// those on which the process listens.
	Backend, Callers, Ready, Control string
	// Store is the address of the platform's store.
	Store string
	// LinkPort is the port for links between nodes.
	LinkPort int
	// Heartbeat is the interval of the backend server's announcements.
	Heartbeat time.Duration
}

// Text is the settings file in the platform's format, with the bounds of this package.
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
		revokeWithin.Milliseconds(), drainWithin.Milliseconds(), int(grace.Seconds()), int(rateWindow.Seconds()), rateOver, rateSlack,
		coldOver, coldSlack, s.Callers, s.Ready, s.Control, s.Store)
}
