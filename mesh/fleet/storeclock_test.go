package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoildock.example/mesh/clock"
)

// Guards against confirmations that appear older from hour to hour, because the local clock
// runs faster than that of the store, until no node accepts them.
func TestDriftingClockDoesNotAgeConfirmations(t *testing.T) {
	const latency, drift = 4 * time.Millisecond, 50e-6
	var local time.Duration
	c := storeClock{clock: func() clock.Instant { return clock.Instant(local) }}
	for store := time.Duration(0); store < 48*time.Hour; store += time.Second {
		local = time.Duration(float64(store)*(1+drift)) + latency
		at := time.Duration(c.observe(1, store))
		require.Less(t, local-at, 50*time.Millisecond, "after %s", store)
		require.LessOrEqual(t, at, local)
		now, known := c.now()
		require.True(t, known)
		require.LessOrEqual(t, now, store+latency, "the estimate is not ahead of the store")
	}
}
