package owner

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoildock.example/routing"
)

// coldBackend is a backend server that reports on its health path how long it stays cold, and
// records when its requests and health checks arrive.
type coldBackend struct {
	mu        sync.Mutex
	coldUntil time.Time
	// silent means that the responses to health checks come from another backend server.
	silent         bool
	arrived, asked []time.Time
}

func (c *coldBackend) respond(conn net.Conn, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if r.URL.Path != "/healthz" {
		c.arrived = append(c.arrived, now)
		respondOK(conn, r)
		return
	}
	c.asked = append(c.asked, now)
	id := "i-1"
	if c.silent {
		id = "i-2"
	}
	fields := fmt.Sprintf("Instance-Id: %s\r\nCold-Remaining-Ms: %d\r\n", id, max(time.Until(c.coldUntil).Milliseconds(), 0))
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 X\r\n%sContent-Length: 0\r\n\r\n", fields)
}

// mostInOneSecond returns the largest number of times within one second, from a time on.
func mostInOneSecond(times []time.Time, from time.Time) int {
	most := 0
	for i, first := range times {
		n := 0
		for _, at := range times[i:] {
			if at.Sub(first) < time.Second {
				n++
			}
		}
		if !first.Before(from) {
			most = max(most, n)
		}
	}
	return most
}

const (
	testColdRate    = 11
	testColdMost    = 21 // testColdRate * 1.5 + 5
	testHealthRate  = 3
	testRequestRate = 40
)

// runWhileCold sends requests at a steady rate to a warm backend server that becomes cold
// again shortly after a heartbeat. It returns the number of requests that ran in the second
// before, and the largest number within one second while it is cold.
func runWhileCold(t *testing.T, c *coldBackend) (before, whileCold int) {
	t.Helper()
	s := newTestBackend(t, c.respond)
	o := newOwner(t, nil)
	o.cfg.Bounds.HealthCheckRate = testHealthRate
	o.cfg.Heartbeat = 1500 * time.Millisecond
	o.cfg.Service = func(string) *routing.Service {
		return &routing.Service{ColdStartRate: testColdRate, HealthPath: "/healthz"}
	}
	a := announcement(s)
	a.Slots = 50
	require.NoError(t, o.Announce(a))
	var sends sync.WaitGroup
	send := func(d time.Duration, name string) {
		for end, i := time.Now().Add(d), 0; time.Now().Before(end); i++ {
			sends.Go(func() { _, _, _ = sendOffer(o, newOffer(fmt.Sprint(name, i))) }) // Requests above the limit are refused.
			time.Sleep(time.Second / testRequestRate)
		}
	}
	send(2*time.Second, "warm")
	a.Sequence = 2
	require.NoError(t, o.Announce(a))
	sends.Wait()
	c.mu.Lock()
	coldAt := time.Now()
	c.coldUntil = coldAt.Add(2 * time.Second)
	before = mostInOneSecond(c.arrived, coldAt.Add(-1100*time.Millisecond))
	c.mu.Unlock()
	send(1500*time.Millisecond, "cold")
	sends.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.asked) > 0 {
		elapsed := time.Since(c.asked[0]).Seconds()
		require.LessOrEqual(t, float64(len(c.asked)-1), testHealthRate*elapsed, "health checks")
	}
	return before, mostInOneSecond(c.arrived, coldAt)
}

// Guards against the overload of a backend server that becomes cold again without a restart,
// which its next heartbeat says too late.
func TestBackendServerThatBecomesColdAgainIsNotOverloaded(t *testing.T) {
	before, whileCold := runWhileCold(t, &coldBackend{})
	require.Greater(t, before, testColdMost, "a warm backend server gets its full rate")
	require.LessOrEqual(t, whileCold, testColdMost)
}

// Guards against the overload of a cold backend server whose health checks tell nothing of it.
func TestBackendServerWithoutHealthResponsesIsNotOverloaded(t *testing.T) {
	_, whileCold := runWhileCold(t, &coldBackend{silent: true})
	require.LessOrEqual(t, whileCold, testColdMost)
}

// Guards against health checks of backend servers whose rate is harmless for a cold one, and
// which cost a slot and a request each.
func TestHealthChecksAreSentAtHighRatesOnly(t *testing.T) {
	c := &coldBackend{}
	s := newTestBackend(t, c.respond)
	o := newOwner(t, nil)
	o.cfg.Bounds.HealthCheckRate = testHealthRate
	o.cfg.Service = func(string) *routing.Service {
		return &routing.Service{ColdStartRate: testColdRate, HealthPath: "/healthz"}
	}
	require.NoError(t, o.Announce(announcement(s)))
	for i := range testColdRate - 1 {
		_, _, failure := sendOffer(o, newOffer(strings.Repeat("x", i+1)))
		require.Nil(t, failure)
	}
	time.Sleep(50 * time.Millisecond)
	c.mu.Lock()
	defer c.mu.Unlock()
	require.Empty(t, c.asked)
	require.Len(t, c.arrived, testColdRate-1)
}
