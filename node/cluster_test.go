package node

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
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
)

// cluster is a small fleet in one process: nodes with their backend servers,
// and an in-memory platform store.
type cluster struct {
	t        *testing.T
	prefix   string
	platform *memory.Store
	store    *configstore.Store
	nodes    []*Node
	backends []*standin.Server
	keys     map[string]string
}

// clusterCount is the number of clusters started; it gives each cluster its own
// addresses.
var clusterCount int

// zones are the availability zones of test clusters.
var zones = []string{"zone-a", "zone-b", "zone-c"}

const clusterRules = `
service catalogue floor 1 probe /health  # test: catalogue
service orders floor 1 probe /health     # test: orders
route GET /catalogue/* service catalogue access open repeat idempotent timeout 3s # test: browsing
route GET /orders/* service orders access team repeat idempotent timeout 3s       # test: status
route POST /orders service orders access team repeat once timeout 3s              # test: orders
team walkers rate 1000/s burst 1000 # test: a large team
team homes rate 2/s burst 3         # test: a small team
`

// newCluster starts n nodes with one backend server each: the first half serves
// catalogue, the rest orders. It returns when all nodes are ready.
func newCluster(t *testing.T, n int, configure func(*standin.Config)) *cluster {
	t.Helper()
	usedRealClock.Store(true)
	clusterCount++
	pid := os.Getpid()
	c := &cluster{
		t: t, platform: memory.New(), keys: make(map[string]string),
		prefix: fmt.Sprintf("127.%d.%d.", 1+(pid>>8)%126, pid&0xff),
	}
	c.store = configstore.New(c.platform.Table(), c.platform.Objects(), configstore.Options{})
	for i := range n {
		c.startNode(i)
		c.startBackend(i, []string{"catalogue", "orders"}[i*2/n], configure)
	}
	t.Cleanup(c.close)
	c.waitReady()
	c.applyRules(clusterRules)
	return c
}

func (c *cluster) address(i int) string { return fmt.Sprintf("%s%d", c.prefix, clusterCount*16+i+1) }

func (c *cluster) startNode(i int) *Node {
	ip := c.address(i)
	s := settings.Default()
	s.Node = settings.Node{Name: fmt.Sprintf("n%d", i), VM: fmt.Sprintf("vm%d", i), Zone: zones[i%len(zones)], Region: "r", Cluster: "test"}
	s.Listen = settings.Listen{Traffic: ip + ":8080", Link: ip + ":7400", Announce: ip + ":7401", Admin: ip + ":7402", Metrics: ip + ":7403"}
	s.Platform.URL = "http://" + ip + ":1"
	require.NoError(c.t, s.Validate())
	logger := log.NewNopLogger()
	if testing.Verbose() {
		logger = log.With(log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr)), "node", s.Node.Name, "ts", log.TimestampFormat(time.Now, "05.000"))
	}
	node := New(s, Dependencies{Store: c.store, Logger: logger, Registry: metrics.NewRegistry()})
	require.NoError(c.t, node.Start())
	c.nodes = append(c.nodes, node)
	return node
}

func (c *cluster) startBackend(i int, service string, configure func(*standin.Config)) {
	config := standin.Config{
		Name: fmt.Sprintf("%s-%d", service, i), Service: service, Listen: c.address(i) + ":9000",
		Announce: "http://" + c.address(i) + ":7401", ServiceTime: 2 * time.Millisecond, Seed: uint64(i),
	}
	if configure != nil {
		configure(&config)
	}
	b, err := standin.New(config)
	require.NoError(c.t, err)
	require.NoError(c.t, b.Start())
	c.backends = append(c.backends, b)
}

func (c *cluster) close() {
	for _, b := range c.backends {
		b.Kill()
	}
	for _, n := range c.nodes {
		n.Close()
	}
}

// eventually waits for a condition that depends on messages between nodes. The
// timeout only ends a hanging test.
func (c *cluster) eventually(condition func() bool, what string) {
	c.t.Helper()
	require.Eventually(c.t, condition, 60*time.Second, 10*time.Millisecond, what)
}

func (c *cluster) waitReady() {
	c.t.Helper()
	c.eventually(func() bool {
		for _, n := range c.nodes {
			if !ready(n) {
				return false
			}
		}
		return true
	}, "all nodes are ready")
}

func ready(n *Node) bool {
	rec := httptest.NewRecorder()
	n.metricsHandler().ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/readyz", nil))
	return rec.Code == http.StatusOK
}

// applyRules commits rules with one key per team and waits until every node has
// applied them.
func (c *cluster) applyRules(text string) {
	c.t.Helper()
	text = issueKeys(c.t, text, c.keys)
	next, err := rules.Parse("test.rules", strings.NewReader(text))
	require.NoError(c.t, err)
	current, err := c.store.LoadConfig(c.t.Context())
	require.NoError(c.t, err)
	c.commit(current, rules.Diff(current.Config, next))
}

func (c *cluster) commit(current *configstore.ConfigState, d rules.Delta) {
	c.t.Helper()
	version, err := c.store.CommitConfig(c.t.Context(), configstore.ConfigCommit{
		ID: uuid.NewString(), ReadVersion: current.Version, Delta: d, Operator: "tester", Requester: "test: change",
	})
	require.NoError(c.t, err)
	c.eventually(func() bool {
		for _, n := range c.nodes {
			if n.snapshot.Load().configVersion < version {
				return false
			}
		}
		return true
	}, "the configuration has been applied")
}

// callerResponse is a response received by a caller.
type callerResponse struct {
	status int
	header http.Header
	body   string
}

// do sends a request to the entry of a node.
func (c *cluster) do(i int, method, path, body string, headers ...string) callerResponse {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(c.t.Context(), 30*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.address(i)+":8080"+path, strings.NewReader(body))
	require.NoError(c.t, err)
	for k := 0; k+1 < len(headers); k += 2 {
		req.Header.Add(headers[k], headers[k+1])
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	require.NoError(c.t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	require.NoError(c.t, err)
	return callerResponse{status: resp.StatusCode, header: resp.Header, body: string(data)}
}

func (c *cluster) bearer(team string) string { return "Bearer " + c.keys[team] }

// issueKeys returns the rules with one new key per team, and stores the
// plaintext keys in keys.
func issueKeys(t *testing.T, text string, keys map[string]string) string {
	t.Helper()
	for line := range strings.Lines(text) {
		name, ok := strings.CutPrefix(line, "team ")
		if !ok {
			continue
		}
		team, _, _ := strings.Cut(name, " ")
		clear, digest, err := rules.NewKey()
		require.NoError(t, err)
		keys[team] = clear
		text += fmt.Sprintf("key %s %s # test: key\n", team, digest)
	}
	return text
}
