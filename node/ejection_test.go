package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoildock.example/rules"
	standin "trefoildock.example/standin/backend"
)

const (
	grayNodes = 12
	// grayRequestInterval is the mean interval between two requests at one entry:
	// 60 requests/s for 6 backend servers.
	grayRequestInterval = 200 * time.Millisecond
)

// grayFailureRun is a fleet under steady load whose nodes 0, 2, 4, ... serve
// the catalogue.
type grayFailureRun struct {
	*virtualFleet
	ended chan struct{}
	wg    sync.WaitGroup

	mu       sync.Mutex
	statuses map[int]int
}

func runGrayFailure(t *testing.T, floor int, f func(*grayFailureRun)) {
	t.Helper()
	runFleet(t, grayNodes, func(v *virtualFleet) {
		v.changeRules(func(c *rules.Config) *rules.Config {
			next := *c
			next.Services = map[string]rules.Service{}
			for name, s := range c.Services {
				if name == "catalogue" {
					s.Floor = floor
				}
				next.Services[name] = s
			}
			return &next
		})
		g := &grayFailureRun{virtualFleet: v, ended: make(chan struct{}), statuses: make(map[int]int)}
		for i := range grayNodes {
			g.wg.Go(func() { g.sendRequests(i) })
		}
		defer g.wg.Wait()
		defer close(g.ended)
		time.Sleep(10 * time.Second) // Covers the slow start and the time in which a new coordinator grants no permits.
		f(g)
	})
}

func (g *grayFailureRun) sendRequests(i int) {
	rng := rand.New(rand.NewPCG(uint64(i), 1))
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		select {
		case <-g.ended:
			return
		case <-time.After(time.Duration((0.5 + rng.Float64()) * float64(grayRequestInterval))):
		}
		path := fmt.Sprintf("/catalogue/%d", rng.IntN(50))
		wg.Go(func() {
			r, err := g.send(i, http.MethodGet, path, "")
			g.mu.Lock()
			defer g.mu.Unlock()
			if err == nil {
				g.statuses[r.status]++
			}
		})
	}
}

func (g *grayFailureRun) server(i int) *standin.Server {
	g.virtualFleet.mu.Lock()
	defer g.virtualFleet.mu.Unlock()
	return g.backends[nodeName(i)].server
}

// ejected returns the catalogue servers that are ejected or on trial.
func (g *grayFailureRun) ejected() (names []string) {
	for _, n := range g.running() {
		for _, b := range n.owner.byService()["catalogue"] {
			if s := b.gate.State().String(); s == "ejected" || s == "trial" {
				names = append(names, b.name)
			}
		}
	}
	return names
}

func (g *grayFailureRun) total(counter func(*trafficMetrics) int64) (sum int64) {
	for _, n := range g.running() {
		sum += counter(n.metrics)
	}
	return sum
}

// TestGrayFailureIsEjectedAndReturns checks that a backend server that is slow,
// fails or hangs while its health endpoint succeeds is ejected, and that it is
// returned to service after the fault has ended.
func TestGrayFailureIsEjectedAndReturns(t *testing.T) {
	for name, faults := range map[string]standin.Faults{
		"slow":    {SlowFactor: 5},
		"errors":  {ErrorShare: 0.5},
		"cut":     {TruncatedShare: 0.5},
		"crossed": {MismatchedShare: 0.5},
		"wrong":   {WrongShare: 0.5},
		"hang":    {HangShare: 0.5},
	} {
		t.Run(name, func(t *testing.T) {
			runGrayFailure(t, 4, func(g *grayFailureRun) {
				require.Empty(t, g.ejected())
				require.NoError(t, g.server(2).SetFaults(faults))
				start := time.Now()
				g.eventually("the server is ejected", func() bool { return len(g.ejected()) > 0 })
				t.Logf("ejected after %v", time.Since(start))
				require.LessOrEqual(t, time.Since(start), 6*time.Second)
				require.Equal(t, []string{"catalogue-2"}, g.ejected())
				before := g.server(2).Stats().Started
				time.Sleep(4 * time.Second)
				require.Equal(t, before, g.server(2).Stats().Started, "an ejected server gets no work")
				require.NoError(t, g.server(2).SetFaults(standin.Faults{}))
				time.Sleep(time.Minute)
				require.Empty(t, g.ejected())
				before = g.server(2).Stats().Started
				time.Sleep(5 * time.Second)
				require.Greater(t, g.server(2).Stats().Started, before, "a recovered server gets work")
			})
		})
	}
}

// TestEjectionFloor checks that ejections do not violate the floor, and that
// ejected servers are returned when an operator removes capacity.
func TestEjectionFloor(t *testing.T) {
	runGrayFailure(t, 5, func(g *grayFailureRun) {
		require.NoError(t, g.server(2).SetFaults(standin.Faults{ErrorShare: 0.5}))
		require.NoError(t, g.server(6).SetFaults(standin.Faults{ErrorShare: 0.9}))
		for range 300 {
			time.Sleep(100 * time.Millisecond)
			require.LessOrEqual(t, len(g.ejected()), 1, "five of six servers must serve")
		}
		require.Positive(t, g.total(func(m *trafficMetrics) int64 { return m.ejections.Count() }))
		require.Positive(t, g.total(func(m *trafficMetrics) int64 { return m.floorRefused.Count() }))
		g.eventually("one server is ejected", func() bool { return len(g.ejected()) == 1 })
		g.addLine("backend catalogue-0 out # test: disk swap")
		time.Sleep(5 * time.Second)
		require.Empty(t, g.ejected(), "all remaining servers must serve")
	})
}

// TestNoEjectionUnderOverload checks that nothing is ejected if a service as a
// whole is overloaded or slow.
func TestNoEjectionUnderOverload(t *testing.T) {
	runGrayFailure(t, 2, func(g *grayFailureRun) {
		for i := range 6 {
			require.NoError(t, g.server(2*i).SetFaults(standin.Faults{SlowFactor: 200}))
		}
		for range 300 {
			time.Sleep(100 * time.Millisecond)
			require.Empty(t, g.ejected())
		}
		require.Greater(t, g.statuses[http.StatusServiceUnavailable]+g.statuses[http.StatusTooManyRequests], 0, "the service is overloaded")
	})
}

// TestCrashingRequestIsRefused checks that a request that crashes backend
// servers is refused when its caller resends it, and that requests that ran
// concurrently are not refused.
func TestCrashingRequestIsRefused(t *testing.T) {
	runGrayFailure(t, 2, func(g *grayFailureRun) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		for i := range 6 {
			require.NoError(t, g.server(2*i).SetFaults(standin.Faults{CrashMarker: "poison"}))
			go g.restart(ctx, 2*i)
		}
		crashes := func() int64 { return g.total(func(m *trafficMetrics) int64 { return m.crashes.Count() }) }
		last := callerResponse{}
		for range 40 {
			var err error
			last, err = g.send(1, http.MethodGet, "/catalogue/9", "", "X-Marker", "poison")
			require.NoError(t, err)
			time.Sleep(500 * time.Millisecond)
		}
		seen := crashes()
		t.Logf("%d crashes", seen)
		require.Positive(t, seen)
		require.Equal(t, http.StatusServiceUnavailable, last.status, last.body)
		require.Contains(t, last.body, codeCrashingRequest)
		time.Sleep(10 * time.Second)
		for range 20 {
			_, err := g.send(3, http.MethodGet, "/catalogue/9", "", "X-Marker", "poison")
			require.NoError(t, err)
		}
		time.Sleep(5 * time.Second)
		require.Equal(t, seen, crashes(), "the crashing request is not run again")
		for i := range 50 {
			r, err := g.send(5, http.MethodGet, fmt.Sprintf("/catalogue/%d", 100+i), "")
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, r.status, r.body)
		}
	})
}

// restart restarts the backend server of a node one second after each crash.
func (g *grayFailureRun) restart(ctx context.Context, i int) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.server(i).Done():
		}
		g.killBackend(nodeName(i))
		if !sleep(ctx, time.Second) {
			return
		}
		g.startBackend(i, standin.Config{Name: fmt.Sprintf("catalogue-%d", i), Service: "catalogue", ServiceTime: 2 * time.Millisecond, Seed: uint64(i)})
		_ = g.server(i).SetFaults(standin.Faults{CrashMarker: "poison"})
	}
}

// TestProbesDoNotRaiseSlots checks that successful health probes do not raise
// the slot limit of a cold backend server.
func TestProbesDoNotRaiseSlots(t *testing.T) {
	runFleet(t, 6, func(f *virtualFleet) {
		time.Sleep(time.Minute) // Without traffic there is a probe every 500 ms.
		for _, n := range f.running() {
			require.Positive(t, n.metrics.probes.Count())
			for service, owned := range n.owner.byService() {
				for _, b := range owned {
					require.Equal(t, uint32(1), b.gate.Load().Limit, service)
				}
			}
		}
	})
}
