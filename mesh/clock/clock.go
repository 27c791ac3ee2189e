// Package clock provides the clock for leases and other guarantees between nodes.
//
// The monotonic clock of the Go runtime stops while a VM is suspended. A lease or a
// confirmation from before a suspension would appear recent afterwards, so all times
// on which other nodes rely are read from the boot-time clock.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a reading of the boot-time clock, in nanoseconds since the boot of the VM.
type Instant int64

// Now returns the current instant.
func Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: boot-time clock is not available: " + err.Error()) // Available since Linux 2.6.39.
	}
	return Instant(ts.Nano())
}

// Sub returns the time from u to t.
func (t Instant) Sub(u Instant) time.Duration { return time.Duration(t - u) }

// Add returns the instant d after t.
func (t Instant) Add(d time.Duration) Instant { return t + Instant(d) }
