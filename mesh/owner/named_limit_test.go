package owner

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against more than the allowed arrivals in any 4 s: steady demand above the limit,
// demand in bursts after pauses, and limits that change with each answer.
func TestNamedLimitBoundsAnyWindow(t *testing.T) {
	const window = 4 * time.Second
	for _, rate := range []float64{0, 0.1, 0.5, 1, 1.9, 4.4, 30} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			r := rand.New(rand.NewPCG(uint64(rate*10), 0))
			var l namedLimit
			now := time.Unix(0, 0)
			l.set(now, rate)
			var sent []time.Time
			for range 20000 {
				now = now.Add(time.Duration(r.IntN(20)) * time.Millisecond)
				if r.IntN(500) == 0 {
					now = now.Add(time.Duration(r.IntN(6000)) * time.Millisecond)
				}
				if r.IntN(10) == 0 {
					l.set(now, rate*(0.5+r.Float64()/2)) // At most rate.
				}
				if l.take(now) {
					sent = append(sent, now)
				}
			}
			first := 0
			for i := range sent {
				for sent[i].Sub(sent[first]) > window {
					first++
				}
				require.LessOrEqual(t, float64(i-first+1), 1.5*rate*window.Seconds()+5)
			}
			require.NotEmpty(t, sent, "answers tell when the limit ends")
		})
	}
}

// Guards against a backend server that is left idle although it would take requests.
func TestNamedLimitIsUsed(t *testing.T) {
	var l namedLimit
	now := time.Unix(0, 0)
	require.True(t, l.take(now), "no limit")
	l.set(now, 4)
	sent := 0
	for ; now.Before(time.Unix(10, 0)); now = now.Add(10 * time.Millisecond) {
		if wait := l.waitTime(now); wait == 0 {
			require.True(t, l.take(now))
			sent++
		} else {
			require.Less(t, wait, 251*time.Millisecond)
		}
	}
	require.InDelta(t, 40, sent, 1)
	l = namedLimit{}
	require.True(t, l.take(now))
	require.True(t, l.take(now), "no limit")
}
