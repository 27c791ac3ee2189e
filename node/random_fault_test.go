package node

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"trefoildock.example/configstore"
	"trefoildock.example/platform/memory"
	"trefoildock.example/rules"
	standinanswer "trefoildock.example/standin/answer"
	standin "trefoildock.example/standin/backend"
	"trefoildock.example/verdict"
)

const (
	// faultRunNodes is the number of nodes in a randomized run.
	faultRunNodes = 9
	// faultRunDuration is the virtual duration of a randomized run with faults.
	faultRunDuration = 90 * time.Second
	// smallRate and smallBurst are the limits of the team "homes" in clusterRules.
	smallRate, smallBurst = 2.0, 3
)

// faultRun is a randomized run: traffic to a fleet while faults are injected
// and ended.
type faultRun struct {
	*virtualFleet
	rng   *rand.Rand
	ended chan struct{}
	wg    sync.WaitGroup

	mu                sync.Mutex
	violations        []string
	smallTeamRequests []requestInterval // completed requests of the small team
	outcomes          map[string]int
}

// requestInterval is the time from sending a request to receiving its response.
type requestInterval struct{ sent, responded time.Time }

// TestRandomFaults checks the guarantees of the fleet under single and
// concurrent faults: orders run at most once, verdicts are correct, responses
// belong to their requests, teams stay within their rate, and the fleet's
// invariants hold.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			runFleet(t, faultRunNodes, func(f *virtualFleet) {
				h := &faultRun{virtualFleet: f, rng: rand.New(rand.NewPCG(seed, 1)), ended: make(chan struct{}), outcomes: make(map[string]int)}
				h.run()
				require.Empty(t, h.violations)
				t.Log(h.outcomes)
			})
		})
	}
}

func (h *faultRun) run() {
	for w := range 4 {
		rng := rand.New(rand.NewPCG(uint64(w), h.rng.Uint64()))
		h.wg.Go(func() { h.sendOrders(rng) })
	}
	rng := rand.New(rand.NewPCG(9, h.rng.Uint64()))
	h.wg.Go(func() { h.sendSmallTeam(rng) })
	for start := time.Now(); time.Since(start) < faultRunDuration; {
		endFaults := []func(){h.injectFault()}
		if h.rng.IntN(2) == 0 {
			time.Sleep(h.randomDuration(100*time.Millisecond, 2*time.Second))
			endFaults = append(endFaults, h.injectFault())
		}
		time.Sleep(h.randomDuration(time.Second, 8*time.Second))
		for _, f := range endFaults {
			f()
		}
		time.Sleep(h.randomDuration(100*time.Millisecond, 6*time.Second))
	}
	close(h.ended)
	h.wg.Wait()
	h.checkSmallTeam()
}

func (h *faultRun) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(h.rng.Int64N(int64(high-low)))
}

// injectFault injects one fault and returns the function that ends it.
func (h *faultRun) injectFault() func() {
	i := h.rng.IntN(faultRunNodes)
	a, b := h.rng.IntN(3), h.rng.IntN(3)
	switch h.rng.IntN(9) {
	case 0:
		return h.crashNode(i)
	case 1:
		h.blockZones(faultRunNodes, a, b, a != b)
		return func() { h.blockZones(faultRunNodes, a, b, false) }
	case 2:
		h.isolate(faultRunNodes, i, true)
		return func() { h.isolate(faultRunNodes, i, false) }
	case 3:
		return h.platformFault(memory.Faults{Down: true})
	case 4:
		return h.platformFault(memory.Faults{LoseResponses: true})
	case 5:
		return h.platformFault(memory.Faults{Delay: 400 * time.Millisecond})
	case 6:
		return h.backendFault(i, standin.Faults{TruncatedShare: 0.3, MismatchedShare: 0.3})
	case 7:
		return h.backendFault(i, standin.Faults{HangShare: 0.5, ErrorShare: 0.2})
	default:
		return h.zoneOut(zones[a])
	}
}

// crashNode kills node i and its backend server; the returned function starts a
// replacement VM.
func (h *faultRun) crashNode(i int) func() {
	if h.node(nodeName(i)) == nil {
		return func() {}
	}
	h.kill(i)
	return func() { h.start(i) }
}

func (h *faultRun) platformFault(f memory.Faults) func() {
	h.platform.SetFaults(f)
	return func() { h.platform.SetFaults(memory.Faults{}) }
}

func (h *faultRun) backendFault(i int, f standin.Faults) func() {
	h.virtualFleet.mu.Lock()
	b := h.backends[nodeName(i)]
	h.virtualFleet.mu.Unlock()
	if b == nil {
		return func() {}
	}
	require.NoError(h.t, b.server.SetFaults(f))
	return func() { _ = b.server.SetFaults(standin.Faults{}) }
}

// zoneOut takes an availability zone out of service if the platform is
// available.
func (h *faultRun) zoneOut(zone string) func() {
	h.changeZones(func(c *rules.Config) {
		c.Zones[zone] = rules.Zone{Name: zone, OutOfService: true, Comment: "test: maintenance"}
	})
	return func() { h.changeZones(func(c *rules.Config) { delete(c.Zones, zone) }) }
}

// changeZones commits a change of the zones; a failure of the platform is
// allowed.
func (h *faultRun) changeZones(change func(*rules.Config)) {
	current, err := h.store.LoadConfig(h.t.Context())
	if err != nil {
		return
	}
	next := *current.Config
	next.Zones = make(map[string]rules.Zone)
	for k, v := range current.Config.Zones {
		next.Zones[k] = v
	}
	change(&next)
	_, _ = h.store.CommitConfig(h.t.Context(), configstore.ConfigCommit{
		ID: uuid.NewString(), ReadVersion: current.Version, Delta: rules.Diff(current.Config, &next),
		Operator: "tester", Requester: "test: maintenance",
	})
}

func (h *faultRun) active() bool {
	select {
	case <-h.ended:
		return false
	default:
		return true
	}
}

func (h *faultRun) recordViolation(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violations = append(h.violations, time.Now().Format("04:05.000 ")+fmt.Sprintf(format, args...))
}

func (h *faultRun) countOutcome(outcome string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.outcomes[outcome]++
}

// sendOrders places orders sequentially and resends each one until it has
// completed or has been sent four times.
func (h *faultRun) sendOrders(rng *rand.Rand) {
	for h.active() {
		key := newKey()
		completed := false
		for attempt := 0; attempt < 4 && !completed; attempt++ {
			completed = h.sendOrder(rng, key)
			time.Sleep(time.Duration(rng.IntN(1000)) * time.Millisecond)
		}
		if n := h.executionCount(key); n > 1 || completed && n != 1 {
			h.recordViolation("order %s ran %d times, completed: %v", key, n, completed)
		}
		time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
	}
}

// sendOrder sends an order once through a random running entry.
func (h *faultRun) sendOrder(rng *rand.Rand, key string) (completed bool) {
	i := rng.IntN(faultRunNodes)
	if h.node(nodeName(i)) == nil {
		return false
	}
	r, err := h.order(i, key)
	if err != nil {
		h.countOutcome("connection lost")
		return false
	}
	v := r.header.Get(verdict.Header)
	h.countOutcome(fmt.Sprintf("%d %s", r.status, v))
	if v == verdict.NotRun.String() && h.executionCount(key) > 0 {
		h.recordViolation("order %s got the verdict not-run (%d %s) but has run", key, r.status, r.body)
	}
	if r.status == http.StatusOK {
		h.checkResponse(r, key)
	}
	return r.status == http.StatusOK
}

func (h *faultRun) checkResponse(r callerResponse, key string) {
	if r.header.Get(verdict.Header) != verdict.Completed.String() {
		h.recordViolation("response to order %s without the completed verdict", key)
	}
	if !strings.Contains(r.body, standinanswer.BodyDigest([]byte(orderBody(key)))) {
		h.recordViolation("response to order %s belongs to another request: %s", key, r.body)
	}
}

// sendSmallTeam sends requests far above the rate of the small team.
func (h *faultRun) sendSmallTeam(rng *rand.Rand) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for h.active() {
		i := rng.IntN(faultRunNodes)
		if h.node(nodeName(i)) != nil {
			wg.Go(func() { h.sendSmallTeamRequest(i) })
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (h *faultRun) sendSmallTeamRequest(i int) {
	sent := time.Now()
	r, err := h.send(i, http.MethodGet, "/orders/1", "", "Authorization", "Bearer "+h.keys["homes"])
	if err != nil || r.status == http.StatusTooManyRequests || r.header.Get(verdict.Header) == verdict.NotRun.String() {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.smallTeamRequests = append(h.smallTeamRequests, requestInterval{sent, time.Now()})
}

// checkSmallTeam compares the number of requests in every time window with rate
// times duration plus burst. Only requests that lie completely inside a window
// are counted.
func (h *faultRun) checkSmallTeam() {
	for _, first := range h.smallTeamRequests {
		for _, last := range h.smallTeamRequests {
			length := last.responded.Sub(first.sent)
			if length <= 0 {
				continue
			}
			inside := 0
			for _, a := range h.smallTeamRequests {
				if !a.sent.Before(first.sent) && !a.responded.After(last.responded) {
					inside++
				}
			}
			if float64(inside) > smallRate*length.Seconds()+smallBurst+1e-9 {
				h.recordViolation("small team: %d requests in %v", inside, length)
				return
			}
		}
	}
	h.countOutcome("small team admitted")
	h.outcomes["small team admitted"] = len(h.smallTeamRequests)
}
