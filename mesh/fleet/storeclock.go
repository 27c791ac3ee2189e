package fleet

import (
	"sync"
	"time"

	"trefoildock.example/mesh/clock"
)

// storeClock relates the store's monotonic clock to the local boot-time clock. The
// store time in a response is always earlier than the arrival of the response, so the
// smallest observed difference is the most accurate.
type storeClock struct {
	clock func() clock.Instant

	mu        sync.Mutex
	hasOffset bool
	// offset is the local clock minus the store's clock. The estimate is never below
	// the true value.
	offset time.Duration
}

// clockResetThreshold is the backward step of the store's clock above which the clock
// is treated as reset.
const clockResetThreshold = 10 * time.Second

// observe records the store time of a response that has just arrived, and returns an
// estimate of the local instant at which the store read it.
func (c *storeClock) observe(store time.Duration) clock.Instant {
	now := c.clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	offset := time.Duration(now) - store
	if !c.hasOffset || offset < c.offset || offset-c.offset > clockResetThreshold {
		c.hasOffset, c.offset = true, offset
	}
	return clock.Instant(store + c.offset)
}

// now returns an estimate of the store's clock that is never ahead of it.
func (c *storeClock) now() (time.Duration, bool) {
	now := c.clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(now) - c.offset, c.hasOffset
}
