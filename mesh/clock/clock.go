// Package clock reads the clock that fleet-wide promises are measured with.
//
// The monotonic clock of the runtime stops while a machine is suspended. A
// lease or a confirmation that was taken before a suspension would look fresh
// afterwards, so everything that other nodes rely on uses the boot-time clock.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a reading of the boot-time clock, in nanoseconds since the start of the machine.
type Instant int64

// Now reads the boot-time clock.
func Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: boot-time clock is not available: " + err.Error()) // Present since Linux 2.6.39.
	}
	return Instant(ts.Nano())
}

// Sub returns the time from u to t.
func (t Instant) Sub(u Instant) time.Duration { return time.Duration(t - u) }

// Add returns the instant d after t.
func (t Instant) Add(d time.Duration) Instant { return t + Instant(d) }
