package fleet

import (
	"sync"
	"time"

	"trefoildock.example/mesh/clock"
	"trefoildock.example/platform"
)

// storeClock relates the store's monotonic clock to the local boot-time clock. The
// store time in a response is always earlier than the arrival of the response, so the
// smallest observed difference is the most accurate. The clocks drift apart, so an
// observation becomes less accurate with time.
type storeClock struct {
	clock func() clock.Instant

	mu        sync.Mutex
	hasOffset bool
	// generation is the generation of the store to which offset belongs. The clock of a
	// store that was restored may have gone back.
	generation uint64
	// offset is the local clock minus the store's clock. The estimate is never below
	// the true value.
	offset time.Duration
	// observedAt is when offset was observed.
	observedAt clock.Instant
}

// maxClockDrift bounds the drift between the local clock and that of the store. Quartz
// clocks without correction drift by up to 100 parts per million each.
const maxClockDrift = 200e-6

// bound returns the highest offset that the clocks can have now. c.mu is held.
func (c *storeClock) bound(now clock.Instant) time.Duration {
	return c.offset + time.Duration(maxClockDrift*float64(now.Sub(c.observedAt)))
}

// clockResetThreshold is the backward step of the store's clock above which the clock
// is treated as reset.
const clockResetThreshold = 10 * time.Second

// observe records the store time of a response that has just arrived with a revision, and
// returns an estimate of the local instant at which the store read it.
func (c *storeClock) observe(revision uint64, store time.Duration) clock.Instant {
	now := c.clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	offset := time.Duration(now) - store
	generation := platform.Generation(revision)
	if generation < c.generation {
		return 0 // A late response of the store before its restoration, whose clock is unrelated.
	}
	if bound := c.bound(now); !c.hasOffset || generation > c.generation || offset < bound || offset-bound > clockResetThreshold {
		c.hasOffset, c.generation, c.offset, c.observedAt = true, generation, offset, now
	}
	return clock.Instant(store + c.bound(now))
}

// now returns an estimate of the store's clock that is never ahead of it.
func (c *storeClock) now() (time.Duration, bool) {
	now := c.clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(now) - c.bound(now), c.hasOffset
}
