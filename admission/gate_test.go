package admission

import (
	"context"
	"flag"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

// TestMain sets a fixed seed for the randomized tests unless one is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		if err := flag.Set("rapid.seed", "1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func newTestGate(slots int) *Gate {
	g := NewGate(Config{})
	g.Announce(Announcement{Slots: slots, Incarnation: "a"})
	return g
}

// Guards against more concurrent requests than slots, lost wake-ups and slots
// that are not released when a waiting caller times out.
func TestGateUnderConcurrency(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGate(3)
		var running, peak, done, failed atomic.Int32
		var wg sync.WaitGroup
		for i := range 400 {
			wg.Go(func() {
				time.Sleep(time.Duration(i*3) * time.Millisecond)
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(5+i%40)*time.Millisecond)
				defer cancel()
				release, err := g.Acquire(ctx, Request{Team: string(rune('a' + i%4))})
				if err != nil {
					failed.Add(1)
					return
				}
				peak.Store(max(peak.Load(), running.Add(1)))
				time.Sleep(10 * time.Millisecond)
				running.Add(-1)
				done.Add(1)
				release(Success)
				release(Success)
			})
		}
		wg.Wait()
		require.EqualValues(t, 400, done.Load()+failed.Load())
		require.Greater(t, done.Load(), int32(200))
		require.Positive(t, failed.Load())
		require.EqualValues(t, 3, peak.Load())
		require.Equal(t, Load{Limit: 3, Weight: 100}, g.Load())
		require.Empty(t, g.waiters)
	})
}

// Guards against reporting a canceled request as rejected, and against keeping
// it in the queue.
func TestGateCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGate(1)
		release, err := g.Acquire(t.Context(), Request{Team: "t"})
		require.NoError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		result := make(chan error)
		go func() {
			_, err := g.Acquire(ctx, Request{Team: "t"})
			result <- err
		}()
		synctest.Wait()
		require.EqualValues(t, 1, g.Load().Queued)
		cancel()
		require.ErrorIs(t, <-result, context.Canceled)
		require.Zero(t, g.Load().Queued)
		go func() {
			_, err := g.Acquire(t.Context(), Request{Team: "t"})
			result <- err
		}()
		synctest.Wait()
		g.SetState(Leaving)
		var refused *RefusedError
		require.True(t, errors.As(<-result, &refused))
		require.Equal(t, "leaving", refused.Code)
		release(Success)
	})
}

// Guards against a two-phase request that starts after its reservation has
// expired.
func TestGateReserve(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGate(1)
		r, err := g.Reserve(t.Context(), Request{Team: "t"})
		require.NoError(t, err)
		require.NoError(t, r.Commit())
		r.Release(Success)
		r, err = g.Reserve(t.Context(), Request{Team: "t"})
		require.NoError(t, err)
		time.Sleep(2 * time.Second)
		g.Tick()
		require.Zero(t, g.Load().InFlight)
		require.Error(t, r.Commit())
		r.Release(Canceled)
		release, err := g.Acquire(t.Context(), Request{Team: "t"})
		require.NoError(t, err)
		release(Success)
	})
}
