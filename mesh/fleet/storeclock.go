package fleet

import (
	"sync"
	"time"

	"trefoildock.example/mesh/clock"
)

// storeClock relates the store's steady clock to that of this machine. An
// answer shows a time of the store that had passed when the answer arrived, so
// the smallest difference seen is the closest to the truth.
type storeClock struct {
	mu    sync.Mutex
	known bool
	// offset is the local clock minus the store's, at least its true value.
	offset time.Duration
}

// clockReset is the step back of the store's clock from which it counts as a
// new clock.
const clockReset = 10 * time.Second

// observe takes the store's time in an answer that has just arrived, and
// returns the local instant at which the store gave it.
func (c *storeClock) observe(store time.Duration) clock.Instant {
	now := clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	offset := time.Duration(now) - store
	if !c.known || offset < c.offset || offset-c.offset > clockReset {
		c.known, c.offset = true, offset
	}
	return clock.Instant(store + c.offset)
}

// now returns an estimate of the store's time that is at most the true value.
func (c *storeClock) now() (time.Duration, bool) {
	now := clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(now) - c.offset, c.known
}
