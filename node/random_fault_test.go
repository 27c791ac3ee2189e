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
				fr := &faultRun{virtualFleet: f, rng: rand.New(rand.NewPCG(seed, 1)), ended: make(chan struct{}), outcomes: make(map[string]int)}
				fr.run()
				require.Empty(t, fr.violations)
				t.Log(fr.outcomes)
			})
		})
	}
}

func (fr *faultRun) run() {
	for w := range 4 {
		rng := rand.New(rand.NewPCG(uint64(w), fr.rng.Uint64()))
		fr.wg.Go(func() { fr.sendOrders(rng) })
	}
	rng := rand.New(rand.NewPCG(9, fr.rng.Uint64()))
	fr.wg.Go(func() { fr.sendSmallTeam(rng) })
	for start := time.Now(); time.Since(start) < faultRunDuration; {
		endFaults := []func(){fr.injectFault()}
		if fr.rng.IntN(2) == 0 {
			time.Sleep(fr.randomDuration(100*time.Millisecond, 2*time.Second))
			endFaults = append(endFaults, fr.injectFault())
		}
		time.Sleep(fr.randomDuration(time.Second, 8*time.Second))
		for _, f := range endFaults {
			f()
		}
		time.Sleep(fr.randomDuration(100*time.Millisecond, 6*time.Second))
	}
	close(fr.ended)
	fr.wg.Wait()
	fr.checkSmallTeam()
}

func (fr *faultRun) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(fr.rng.Int64N(int64(high-low)))
}

// injectFault injects one fault and returns the function that ends it.
func (fr *faultRun) injectFault() func() {
	i := fr.rng.IntN(faultRunNodes)
	a, b := fr.rng.IntN(3), fr.rng.IntN(3)
	switch fr.rng.IntN(9) {
	case 0:
		return fr.crashNode(i)
	case 1:
		fr.blockZones(faultRunNodes, a, b, a != b)
		return func() { fr.blockZones(faultRunNodes, a, b, false) }
	case 2:
		fr.isolate(faultRunNodes, i, true)
		return func() { fr.isolate(faultRunNodes, i, false) }
	case 3:
		return fr.platformFault(memory.Faults{Down: true})
	case 4:
		return fr.platformFault(memory.Faults{LoseResponses: true})
	case 5:
		return fr.platformFault(memory.Faults{Delay: 400 * time.Millisecond})
	case 6:
		return fr.backendFault(i, standin.Faults{TruncatedShare: 0.3, MismatchedShare: 0.3})
	case 7:
		return fr.backendFault(i, standin.Faults{HangShare: 0.5, ErrorShare: 0.2})
	default:
		return fr.zoneOut(zones[a])
	}
}

// crashNode kills node i and its backend server; the returned function starts a
// replacement VM.
func (fr *faultRun) crashNode(i int) func() {
	if fr.node(nodeName(i)) == nil {
		return func() {}
	}
	fr.kill(i)
	return func() { fr.start(i) }
}

func (fr *faultRun) platformFault(f memory.Faults) func() {
	fr.platform.SetFaults(f)
	return func() { fr.platform.SetFaults(memory.Faults{}) }
}

func (fr *faultRun) backendFault(i int, f standin.Faults) func() {
	fr.virtualFleet.mu.Lock()
	b := fr.backends[nodeName(i)]
	fr.virtualFleet.mu.Unlock()
	if b == nil {
		return func() {}
	}
	require.NoError(fr.t, b.server.SetFaults(f))
	return func() { _ = b.server.SetFaults(standin.Faults{}) }
}

// zoneOut takes an availability zone out of service if the platform is
// available.
func (fr *faultRun) zoneOut(zone string) func() {
	fr.changeZones(func(c *rules.Config) {
		c.Zones[zone] = rules.Zone{Name: zone, OutOfService: true, Comment: "test: maintenance"}
	})
	return func() { fr.changeZones(func(c *rules.Config) { delete(c.Zones, zone) }) }
}

// changeZones commits a change of the zones; a failure of the platform is
// allowed.
func (fr *faultRun) changeZones(change func(*rules.Config)) {
	current, err := fr.store.LoadConfig(fr.t.Context())
	if err != nil {
		return
	}
	next := *current.Config
	next.Zones = make(map[string]rules.Zone)
	for k, v := range current.Config.Zones {
		next.Zones[k] = v
	}
	change(&next)
	_, _ = fr.store.CommitConfig(fr.t.Context(), configstore.ConfigCommit{
		ID: uuid.NewString(), ReadVersion: current.Version, Delta: rules.Diff(current.Config, &next),
		Operator: "tester", Requester: "test: maintenance",
	})
}

func (fr *faultRun) active() bool {
	select {
	case <-fr.ended:
		return false
	default:
		return true
	}
}

func (fr *faultRun) recordViolation(format string, args ...any) {
	fr.mu.Lock()
	defer fr.mu.Unlock()
	fr.violations = append(fr.violations, time.Now().Format("04:05.000 ")+fmt.Sprintf(format, args...))
}

func (fr *faultRun) countOutcome(outcome string) {
	fr.mu.Lock()
	defer fr.mu.Unlock()
	fr.outcomes[outcome]++
}

// sendOrders places orders sequentially and resends each one until it has
// completed or has been sent four times.
func (fr *faultRun) sendOrders(rng *rand.Rand) {
	for fr.active() {
		key := newKey()
		completed := false
		for attempt := 0; attempt < 4 && !completed; attempt++ {
			completed = fr.sendOrder(rng, key)
			time.Sleep(time.Duration(rng.IntN(1000)) * time.Millisecond)
		}
		if n := fr.executionCount(key); n > 1 || completed && n != 1 {
			fr.recordViolation("order %s ran %d times, completed: %v", key, n, completed)
		}
		time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
	}
}

// sendOrder sends an order once through a random running entry.
func (fr *faultRun) sendOrder(rng *rand.Rand, key string) (completed bool) {
	i := rng.IntN(faultRunNodes)
	if fr.node(nodeName(i)) == nil {
		return false
	}
	r, err := fr.order(i, key)
	if err != nil {
		fr.countOutcome("connection lost")
		return false
	}
	v := r.header.Get(verdict.Header)
	fr.countOutcome(fmt.Sprintf("%d %s", r.status, v))
	if v == verdict.NotRun.String() && fr.executionCount(key) > 0 {
		fr.recordViolation("order %s got the verdict not-run (%d %s) but has run", key, r.status, r.body)
	}
	if r.status == http.StatusOK {
		fr.checkResponse(r, key)
	}
	return r.status == http.StatusOK
}

func (fr *faultRun) checkResponse(r callerResponse, key string) {
	if r.header.Get(verdict.Header) != verdict.Completed.String() {
		fr.recordViolation("response to order %s without the completed verdict", key)
	}
	if !strings.Contains(r.body, standinanswer.BodyDigest([]byte(orderBody(key)))) {
		fr.recordViolation("response to order %s belongs to another request: %s", key, r.body)
	}
}

// sendSmallTeam sends requests far above the rate of the small team.
func (fr *faultRun) sendSmallTeam(rng *rand.Rand) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for fr.active() {
		i := rng.IntN(faultRunNodes)
		if fr.node(nodeName(i)) != nil {
			wg.Go(func() { fr.sendSmallTeamRequest(i) })
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (fr *faultRun) sendSmallTeamRequest(i int) {
	sent := time.Now()
	r, err := fr.send(i, http.MethodGet, "/orders/1", "", "Authorization", "Bearer "+fr.keys["homes"])
	if err != nil || r.status == http.StatusTooManyRequests || r.header.Get(verdict.Header) == verdict.NotRun.String() {
		return
	}
	fr.mu.Lock()
	defer fr.mu.Unlock()
	fr.smallTeamRequests = append(fr.smallTeamRequests, requestInterval{sent, time.Now()})
}

// checkSmallTeam compares the number of requests in every time window with rate
// times duration plus burst. Only requests that lie completely inside a window
// are counted.
func (fr *faultRun) checkSmallTeam() {
	for _, first := range fr.smallTeamRequests {
		for _, last := range fr.smallTeamRequests {
			length := last.responded.Sub(first.sent)
			if length <= 0 {
				continue
			}
			inside := 0
			for _, a := range fr.smallTeamRequests {
				if !a.sent.Before(first.sent) && !a.responded.After(last.responded) {
					inside++
				}
			}
			if float64(inside) > smallRate*length.Seconds()+smallBurst+1e-9 {
				fr.recordViolation("small team: %d requests in %v", inside, length)
				return
			}
		}
	}
	fr.countOutcome("small team admitted")
	fr.outcomes["small team admitted"] = len(fr.smallTeamRequests)
}
