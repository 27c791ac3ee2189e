package node

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/google/uuid"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"trefoildock.example/configstore"
	"trefoildock.example/platform/memory"
	"trefoildock.example/rules"
	"trefoildock.example/settings"
	standin "trefoildock.example/standin/backend"
	"trefoildock.example/verdict"
)

// virtualFleet runs nodes and backend servers in one process with a virtual
// clock and an in-memory network. The node code is unchanged.
type virtualFleet struct {
	t        *testing.T
	net      *memNetwork
	platform *memory.Store
	store    *configstore.Store
	keys     map[string]string
	client   *http.Client

	mu       sync.Mutex
	nodes    map[string]*Node
	backends map[string]*vmBackend
	// executions counts the executions of each key at backend servers that have
	// been stopped.
	executions map[string]int
}

// vmBackend is the backend server of a node.
type vmBackend struct {
	server *standin.Server
	http   *http.Server
	stop   context.CancelFunc
}

// clientIP is the address of callers.
const clientIP = "127.9.9.9"

// usedRealClock is set by tests that use links on the real clock.
var usedRealClock atomic.Bool

func clearPools() {
	runtime.GC()
	runtime.GC()
}

// runFleet runs a test against a fleet of n nodes in three zones with
// clusterRules applied.
func runFleet(t *testing.T, n int, f func(*virtualFleet)) {
	t.Helper()
	withVirtualClock(t, func(fl *virtualFleet) {
		for i := range n {
			fl.start(i)
		}
		fl.waitAndConfigure(clusterRules)
		f(fl)
	})
}

// withVirtualClock runs f with an empty fleet in a synctest bubble.
func withVirtualClock(t *testing.T, f func(*virtualFleet)) {
	t.Helper()
	// yamux keeps timers in a sync.Pool, and a timer must not be used with two
	// clocks. Two garbage collections empty the pool. Streams that an earlier test
	// left on the real clock set their last timer after link's stream close
	// timeout of 2 s.
	if usedRealClock.Swap(false) {
		time.Sleep(2500 * time.Millisecond)
	}
	clearPools()
	defer clearPools()
	synctest.Test(t, func(t *testing.T) {
		fl := newVirtualFleet(t)
		defer fl.close()
		f(fl)
	})
}

// waitAndConfigure waits until all nodes are ready and applies the
// configuration.
func (f *virtualFleet) waitAndConfigure(configuration string) {
	f.t.Helper()
	f.eventually("all nodes are ready", func() bool {
		return f.allNodes(func(n *Node) bool { return n.fresh(time.Now()) && n.coordinators.ready(time.Now()) })
	})
	f.applyRules(configuration)
	time.Sleep(time.Second) // Propagates the owners' services to every entry.
}

func newVirtualFleet(t *testing.T) *virtualFleet {
	f := &virtualFleet{
		t: t, net: newMemNetwork(), platform: memory.New(), nodes: make(map[string]*Node),
		backends: make(map[string]*vmBackend), keys: make(map[string]string), executions: make(map[string]int),
	}
	f.store = configstore.New(f.platform.Table(), f.platform.Objects(), configstore.Options{})
	f.client = &http.Client{Transport: &http.Transport{DialContext: memHost{f.net, clientIP}.Dial, DisableKeepAlives: true}}
	return f
}

func nodeName(i int) string { return fmt.Sprintf("n%02d", i) }
func nodeIP(i int) string   { return fmt.Sprintf("127.0.1.%d", i+1) }

// start starts node i and its backend server.
func (f *virtualFleet) start(i int) {
	f.startNode(i)
	service := []string{"catalogue", "orders"}[i%2]
	config := standin.Config{Name: fmt.Sprintf("%s-%d", service, i), Service: service, ServiceTime: 2 * time.Millisecond, Seed: uint64(i)}
	f.startBackend(i, config)
}

func (f *virtualFleet) startNode(i int) {
	ip := nodeIP(i)
	s := settings.Default()
	s.Node = settings.Node{Name: nodeName(i), VM: "vm-" + nodeName(i), Zone: zones[i%len(zones)], Region: "r", Cluster: "test"}
	s.Listen = settings.Listen{Traffic: ip + ":8080", Link: ip + ":7400", Announce: ip + ":7401", Admin: ip + ":7402", Metrics: ip + ":7403"}
	for k := range 3 {
		s.Link.Seeds = append(s.Link.Seeds, nodeIP(k)+":7400")
	}
	logger := log.NewNopLogger()
	if os.Getenv("TREFOILDOCK_TEST_LOG") != "" {
		logger = log.With(log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr)), "node", s.Node.Name, "ts", log.TimestampFormat(time.Now, "04:05.000"))
	}
	n := New(s, Dependencies{Store: f.store, Logger: logger, Registry: metrics.NewRegistry(), Network: memHost{f.net, ip}, Fatal: f.failOnViolation})
	require.NoError(f.t, n.Start())
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes[nodeName(i)] = n
}

// failOnViolation fails the test when an invariant is violated.
func (f *virtualFleet) failOnViolation(message string) {
	f.t.Errorf("%s", message)
}

// node returns the named node, or nil if it is not running.
func (f *virtualFleet) node(name string) *Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[name]
}

// running returns the running nodes.
func (f *virtualFleet) running() []*Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]*Node, 0, len(f.nodes))
	for _, name := range slices.Sorted(maps.Keys(f.nodes)) {
		out = append(out, f.nodes[name])
	}
	return out
}

// startBackend serves a stand-in backend server on the in-memory network and
// announces it every 500 ms.
func (f *virtualFleet) startBackend(i int, config standin.Config) {
	server, err := standin.New(config)
	require.NoError(f.t, err)
	address := nodeIP(i) + ":9000"
	ln, err := memHost{f.net, nodeIP(i)}.Listen("tcp", address)
	require.NoError(f.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	b := &vmBackend{server: server, http: &http.Server{Handler: server}, stop: cancel}
	go func() { _ = b.http.Serve(ln) }()
	name := nodeName(i)
	go func() {
		for {
			if n := f.node(name); n != nil {
				a := server.Announcement()
				_ = n.owner.announce(config.Name, announcement{
					Service: config.Service, Address: address, Slots: 3, Connections: 100, Incarnation: a.Incarnation, State: a.State,
				}, time.Now())
			}
			if !sleep(ctx, 500*time.Millisecond) {
				return
			}
		}
	}()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.backends[name] = b
}

// kill stops a node and its backend server abruptly, as the loss of a VM does.
func (f *virtualFleet) kill(i int) {
	name := nodeName(i)
	f.killBackend(name)
	f.mu.Lock()
	n := f.nodes[name]
	delete(f.nodes, name)
	f.mu.Unlock()
	n.Close()
}

// stop shuts a node down gracefully.
func (f *virtualFleet) stop(i int) error {
	name := nodeName(i)
	err := f.node(name).Stop(context.Background())
	f.mu.Lock()
	delete(f.nodes, name)
	f.mu.Unlock()
	f.killBackend(name)
	return err
}

func (f *virtualFleet) killBackend(name string) {
	f.mu.Lock()
	b := f.backends[name]
	delete(f.backends, name)
	f.mu.Unlock()
	if b == nil {
		return
	}
	b.stop()
	b.http.Close()
	b.server.Kill()
	f.mu.Lock()
	defer f.mu.Unlock()
	for key, n := range b.server.Executions().Keys {
		f.executions[key] += n
	}
}

// executionCount returns the number of executions of the request with the key.
func (f *virtualFleet) executionCount(key string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	total := f.executions[key]
	for _, b := range f.backends {
		total += b.server.Executions().Keys[key]
	}
	return total
}

func (f *virtualFleet) close() {
	f.client.CloseIdleConnections()
	for _, n := range f.running() {
		f.killBackend(n.settings.Node.Name)
		n.Close()
	}
	time.Sleep(2 * time.Minute) // Covers delayed closes of sessions and streams.
}

func (f *virtualFleet) allNodes(condition func(*Node) bool) bool {
	for _, n := range f.running() {
		if !condition(n) {
			return false
		}
	}
	return true
}

// eventually waits in virtual time.
func (f *virtualFleet) eventually(what string, condition func() bool) {
	f.t.Helper()
	for range 6000 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	require.FailNow(f.t, "not reached within 60 s: "+what)
}

// applyRules commits rules with one key per team and waits until all nodes have
// applied a configuration.
func (f *virtualFleet) applyRules(text string) {
	f.t.Helper()
	text = issueKeys(f.t, text, f.keys)
	f.changeRules(func(*rules.Config) *rules.Config {
		next, err := rules.Parse("test.rules", strings.NewReader(text))
		require.NoError(f.t, err)
		return next
	})
	f.eventually("the configuration has been applied", func() bool {
		return f.allNodes(func(n *Node) bool { return n.snapshot.Load().configVersion > 0 })
	})
}

// changeRules commits a change of the configuration and returns its version.
func (f *virtualFleet) changeRules(edit func(*rules.Config) *rules.Config) uint64 {
	f.t.Helper()
	current, err := f.store.LoadConfig(f.t.Context())
	require.NoError(f.t, err)
	d := rules.Diff(current.Config, edit(current.Config))
	version, err := f.store.CommitConfig(f.t.Context(), configstore.ConfigCommit{
		ID: uuid.NewString(), ReadVersion: current.Version, Delta: d, Operator: "tester", Requester: "test: change",
	})
	require.NoError(f.t, err)
	return version
}

// addLine commits an additional rule.
func (f *virtualFleet) addLine(line string) {
	f.t.Helper()
	f.changeRules(func(c *rules.Config) *rules.Config {
		next, err := c.Apply(rules.Delta{Added: []string{line}})
		require.NoError(f.t, err)
		return next
	})
}

// send sends a request to the entry of node i. If err is set, the connection
// failed and the outcome of the request is unknown to the caller.
func (f *virtualFleet) send(i int, method, path, body string, headers ...string) (callerResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+net.JoinHostPort(nodeIP(i), "8080")+path, strings.NewReader(body))
	if err != nil {
		return callerResponse{}, err
	}
	req.GetBody = nil // Prevents net/http from resending the request.
	for k := 0; k+1 < len(headers); k += 2 {
		req.Header.Add(headers[k], headers[k+1])
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return callerResponse{}, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return callerResponse{status: resp.StatusCode, header: resp.Header, body: string(data)}, err
}

// order sends an order with an idempotency key.
func (f *virtualFleet) order(i int, key string) (callerResponse, error) {
	return f.send(i, http.MethodPost, "/orders", orderBody(key), "Authorization", "Bearer "+f.keys["walkers"], "Idempotency-Key", key)
}

func orderBody(key string) string { return `{"order":"` + key + `"}` }

// newKey returns a UUIDv7 with the time of the virtual clock. uuid.NewV7 keeps
// the latest time used in the process, which may be that of the real clock.
func newKey() string {
	id := uuid.New()
	ms := uint64(time.Now().UnixMilli())
	binary.BigEndian.PutUint64(id[:8], ms<<16|uint64(id[6])<<8|uint64(id[7]))
	id[6] = id[6]&0x0f | 0x70
	return id.String()
}

// TestVirtualRequestPath checks the request path under the virtual clock, on
// which the fault tests depend.
func TestVirtualRequestPath(t *testing.T) {
	runFleet(t, 6, func(f *virtualFleet) {
		for i := range 6 {
			r, err := f.send(i, http.MethodGet, "/catalogue/sticks", "")
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, r.status, r.body)
			r, err = f.order(i, newKey())
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, r.status, r.body)
			require.Equal(t, "completed", r.header.Get(verdict.Header))
		}
	})
}
