package node

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoildock.example/rules"
	standin "trefoildock.example/standin/backend"
)

// measureVariable is the environment variable with the seed of the measurement;
// without it the test is skipped.
const measureVariable = "TREFOILDOCK_MEASURE"

const (
	measureNodes = 24
	// measureServiceTime limits the number of requests, so that a run of real
	// nodes takes a few seconds.
	measureServiceTime    = 100 * time.Millisecond
	measureLoad           = 0.7
	measureWarmUpDuration = 10 * time.Second
	measureOutDuration    = 8 * time.Second
	measureReturnDuration = 6 * time.Second
	// measureBlockDuration is the time for which a node misses the push.
	measureBlockDuration = 5 * time.Second
	movedZone            = "zone-b"
)

const measureRules = `
service catalogue floor 3 probe /health # test: catalogue
service orders floor 5 probe /health    # test: orders
service tracking floor 5 probe /health  # test: tracking
route GET /catalogue/* service catalogue access open repeat idempotent timeout 3s # test: browsing
route GET /tracking/* service tracking access team repeat idempotent timeout 3s   # test: status
route POST /orders service orders access team repeat once timeout 3s              # test: orders
team large-0 rate 400/s burst 800 # test: large
team large-1 rate 400/s burst 800 # test: large
team small-0 rate 120/s burst 240 # test: small
team small-1 rate 120/s burst 240 # test: small
team small-2 rate 120/s burst 240 # test: small
team small-3 rate 120/s burst 240 # test: small
team small-4 rate 120/s burst 240 # test: small
team small-5 rate 120/s burst 240 # test: small
`

// measureTeams has one entry for each unit of demand.
var measureTeams = []string{
	"large-0", "large-0", "large-0", "large-0", "large-1", "large-1", "large-1",
	"small-0", "small-1", "small-2", "small-3", "small-4", "small-5",
}

// zoneMove is one result, printed as a line of JSON.
type zoneMove struct {
	Workload              string         `json:"workload"`
	MissedPush            bool           `json:"missed_push"`
	Requests              int            `json:"requests"`
	Failed                int            `json:"failed"`
	NoResponse            int            `json:"cut"`
	Duplicates            int            `json:"doubled"`
	LastNewRequestSeconds float64        `json:"last_new_request_s"`
	Responses             map[string]int `json:"answers"`
}

// zoneMoveRun sends requests while an availability zone is taken out of service
// and returned.
type zoneMoveRun struct {
	*virtualFleet
	rng   *rand.Rand
	wg    sync.WaitGroup
	ended chan struct{}

	mu     sync.Mutex
	result zoneMove
	orders []string
}

// TestMeasureZoneMove prints the zone_move rows of the measurements. It checks
// only that requests were sent; `make measure` compares the figures with the
// targets.
func TestMeasureZoneMove(t *testing.T) {
	seed, err := strconv.ParseUint(os.Getenv(measureVariable), 10, 64)
	if err != nil {
		t.Skipf("set %s to a seed to measure", measureVariable)
	}
	for _, w := range []struct {
		name            string
		zones, toClient time.Duration // round trips
	}{
		{"ffon", 1400 * time.Microsecond, time.Millisecond},
		{"cola", 500 * time.Microsecond, 3 * time.Millisecond},
	} {
		for _, missed := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/missed=%v", w.name, missed), func(t *testing.T) {
				withVirtualClock(t, func(f *virtualFleet) {
					f.net.delay = measureDelay(w.zones/2, w.toClient/2)
					m := &zoneMoveRun{virtualFleet: f, rng: rand.New(rand.NewPCG(seed, 1)), ended: make(chan struct{})}
					m.result = zoneMove{Workload: w.name, MissedPush: missed, Responses: make(map[string]int)}
					m.run(seed)
					line, err := json.Marshal(m.result)
					require.NoError(t, err)
					fmt.Println(string(line))
					require.Positive(t, m.result.Requests)
				})
			})
		}
	}
}

// measureDelay returns the one-way delays between availability zones and to
// callers.
func measureDelay(betweenZones, toClient time.Duration) func(from, to string) time.Duration {
	zone := make(map[string]int)
	for i := range measureNodes {
		zone[nodeIP(i)] = i % len(zones)
	}
	return func(from, to string) time.Duration {
		switch {
		case from == clientIP || to == clientIP:
			return toClient
		case zone[from] != zone[to]:
			return betweenZones
		default:
			return 0
		}
	}
}

func (m *zoneMoveRun) run(seed uint64) {
	for i := range measureNodes {
		service := "tracking"
		switch {
		case i < 6:
			service = "catalogue"
		case i < 15:
			service = "orders"
		}
		m.startNode(i)
		m.startBackend(i, standin.Config{
			Name: fmt.Sprintf("%s-%d", service, i), Service: service, ServiceTime: measureServiceTime, Seed: seed<<8 + uint64(i),
		})
	}
	m.waitAndConfigure(measureRules)
	m.wg.Go(m.generate)
	time.Sleep(measureWarmUpDuration)
	m.reset()
	m.move()
	close(m.ended)
	m.wg.Wait()
	m.countDuplicates()
}

// reset drops the results of the warm-up, in which all backend servers start
// cold.
func (m *zoneMoveRun) reset() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.result.Requests, m.result.Failed, m.result.NoResponse = 0, 0, 0
	m.result.Responses = make(map[string]int)
}

// move takes the zone out of service, returns it, and records the time of the
// last request that the zone received in between.
func (m *zoneMoveRun) move() {
	var withoutPush *Node
	if m.result.MissedPush {
		withoutPush = m.nodeWithoutPush()
		m.blockParents(withoutPush, true)
	}
	start := time.Now()
	m.addLine("zone " + movedZone + " out # test: maintenance")
	before := m.dispatchedInZoneB()
	for restored := false; time.Since(start) < measureOutDuration; time.Sleep(5 * time.Millisecond) {
		if now := m.dispatchedInZoneB(); now != before {
			before = now
			m.result.LastNewRequestSeconds = time.Since(start).Seconds()
		}
		if withoutPush != nil && !restored && time.Since(start) >= measureBlockDuration {
			restored = true
			m.blockParents(withoutPush, false)
		}
	}
	m.changeRules(func(c *rules.Config) *rules.Config {
		next := *c
		next.Zones = map[string]rules.Zone{}
		return &next
	})
	time.Sleep(measureReturnDuration)
}

// nodeWithoutPush returns a node of the moved zone that is not an attester, so
// that it receives changes only from its parents.
func (m *zoneMoveRun) nodeWithoutPush() *Node {
	for _, n := range m.running() {
		attester := true
		_ = n.control.runAndWait(m.t.Context(), func() { attester = n.control.topology.IsAttester(n.settings.Node.Name) })
		if n.settings.Node.Zone == movedZone && !attester {
			return n
		}
	}
	require.FailNow(m.t, "every node of the zone is an attester")
	return nil
}

func (m *zoneMoveRun) blockParents(n *Node, blocked bool) {
	var parents []string
	require.NoError(m.t, n.control.runAndWait(m.t.Context(), func() { parents = n.control.topology.Parents(n.settings.Node.Name) }))
	own := nodeIP(indexOf(n.settings.Node.Name))
	for _, p := range parents {
		m.net.setBlocked(own, nodeIP(indexOf(p)), blocked)
		m.net.setBlocked(nodeIP(indexOf(p)), own, blocked)
	}
}

// generate sends requests as a Poisson process, distributed over the services
// by their size. The load increases during the first half of the warm-up.
func (m *zoneMoveRun) generate() {
	const slots = 3
	full := measureLoad * slots * measureNodes / measureServiceTime.Seconds()
	start := time.Now()
	for {
		select {
		case <-m.ended:
			return
		default:
		}
		rate := full * min(1, 0.1+time.Since(start).Seconds()/(measureWarmUpDuration.Seconds()/2))
		time.Sleep(time.Duration(m.rng.ExpFloat64() / rate * float64(time.Second)))
		entry, team, service := m.rng.IntN(measureNodes), measureTeams[m.rng.IntN(len(measureTeams))], m.rng.IntN(measureNodes)
		m.wg.Go(func() { m.request(entry, team, service) })
	}
}

func (m *zoneMoveRun) request(entry int, team string, service int) {
	key := "Bearer " + m.keys[team]
	var r callerResponse
	var err error
	switch {
	case service < 6:
		r, err = m.send(entry, http.MethodGet, "/catalogue/sticks", "")
	case service < 15:
		order := newKey()
		m.mu.Lock()
		m.orders = append(m.orders, order)
		m.mu.Unlock()
		r, err = m.send(entry, http.MethodPost, "/orders", orderBody(order), "Authorization", key, "Idempotency-Key", order)
	default:
		r, err = m.send(entry, http.MethodGet, "/tracking/1", "", "Authorization", key)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.result.Requests++
	switch {
	case err != nil:
		m.result.NoResponse++
		m.result.Responses["cut"]++
	case r.status != http.StatusOK:
		m.result.Failed++
		m.result.Responses[fmt.Sprintf("%d %.120s", r.status, r.body)]++
	}
}

func (m *zoneMoveRun) countDuplicates() {
	total := make(map[string]int)
	m.virtualFleet.mu.Lock()
	defer m.virtualFleet.mu.Unlock()
	for _, b := range m.backends {
		for key, n := range b.server.Executions().Keys {
			total[key] += n
		}
	}
	for _, key := range m.orders {
		if total[key] > 1 {
			m.result.Duplicates++
		}
	}
}
