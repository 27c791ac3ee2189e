package entry

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"trefoildock.example/crashguard"
	"trefoildock.example/link"
	"trefoildock.example/mesh/fleet"
	"trefoildock.example/mesh/h1"
	"trefoildock.example/mesh/owner"
	"trefoildock.example/mesh/quota"
	"trefoildock.example/platform"
	"trefoildock.example/routing"
	"trefoildock.example/standin/rowstore"
)

// testNode is an entry with the owner of one backend server whose responses are set
// by the test.
type testNode struct {
	entry      *Entry
	owner      *owner.Owner
	store      *rowstore.Store
	state      *fleet.State
	executions atomic.Int32
	// announcement is the first announcement of the backend server.
	announcement platform.Announcement
	respond      atomic.Pointer[func(w http.ResponseWriter, r *http.Request)]
	// timeoutMillis is the value of the request's deadline header field, in milliseconds.
	timeoutMillis string
}

const testConfig = `{"version":"r1","routes":{"columns":["name","host","prefix","type","timeout-ms","target-latency-ms","max-attempts","public","service"],"rows":[
["read","shop","/","safe",9000,100,2,true,"orders"],["order","shop","/order/","unsafe",9000,100,2,true,"orders"],["away","shop","/away/","safe",9000,100,2,true,"none"]]},
"services":{"columns":["name"],"rows":[["orders"]]},"tenants":{"columns":["name"],"rows":[]},"limits":{}}`

func newTestNode(t *testing.T) *testNode {
	t.Helper()
	n := &testNode{timeoutMillis: "9000"}
	n.setResponse(func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, "ok") })
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.executions.Add(1)
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Server-Seal", "s")
		(*n.respond.Load())(w, r)
	}))
	t.Cleanup(backend.Close)
	store := rowstore.New()
	srv := httptest.NewServer(store)
	t.Cleanup(srv.Close)
	t.Cleanup(srv.CloseClientConnections)
	client, err := platform.NewClient(platform.ClientConfig{URL: srv.URL})
	require.NoError(t, err)
	registry := metrics.NewRegistry()
	bounds := platform.Bounds{RetryBudgetRatio: 0.2, RetryBudgetSlack: 60, RetryBudgetWindow: 10 * time.Second, RevocationDeadline: 5 * time.Second}
	n.owner = owner.New(owner.Config{
		Bounds: bounds, Heartbeat: time.Second, Logger: log.NewNopLogger(), Metrics: owner.NewMetrics(registry),
		Service:   func(string) *routing.Service { return nil },
		RouteName: func(_, target string) string { return target }, OnChange: func() {}, OnNotice: func(crashguard.Notice) {},
		AllowResend: func(context.Context, string) bool { return true },
	})
	n.announcement = platform.Announcement{
		ID: "i-1", Service: "orders", Address: strings.TrimPrefix(backend.URL, "http://"), Slots: 1, Sequence: 1, StartedAt: time.UnixMilli(1),
	}
	require.NoError(t, n.owner.Announce(n.announcement))
	state := fleet.New(fleet.Config{
		Self: fleet.Member{Node: "n", Zone: "z", Address: "n:1"}, Operator: client.Rows(platform.OperatorTable), Members: client.Rows("members"),
		Backend: func() (*fleet.Backend, bool) {
			return &fleet.Backend{ID: "i-1", Service: "orders", Slots: 1, Serving: true}, true
		},
		QueryPeer: func(context.Context, string, fleet.FollowRequest) (fleet.FollowResponse, error) {
			return fleet.FollowResponse{}, errors.New("alone")
		},
		OnView: func(*fleet.View) {}, OnCoordinator: func(fleet.Peer) {}, UnreachableAddress: func() string { return "" }, OnCoordinatorUnreachable: func(string) {}, Logger: log.NewNopLogger(),
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); state.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	store.Put(platform.OperatorTable, "config", []byte(testConfig))
	require.Eventually(t, func() bool { return len(state.View().Owners["orders"]) == 1 && state.View().Config != nil }, 10*time.Second, time.Millisecond)
	lease := &quota.LeaseManager{Self: quota.Peer{Node: "n", Address: "n:1"}, Logger: log.NewNopLogger()}
	lease.Init()
	n.store, n.state = store, state
	n.entry = New(Config{
		Links: &link.Pool{AllowPlaintext: true, Dial: func(context.Context, string) (net.Conn, error) { return nil, errors.New("no route") }},
		Node:  "n", Zone: "z", Service: "shopfront", Bounds: bounds, Fleet: state, Owner: n.owner, Logger: log.NewNopLogger(),
		Metrics: NewMetrics(registry), RateLimiter: &quota.RateLimiter{
			Lease: lease, Fallbacks: func(string) []quota.Peer { return nil },
			RetryLimit: func(service string) *routing.Team { return quota.RetryLimit(service, 60, 10*time.Second, 1) },
		},
	})
	return n
}

func (n *testNode) setResponse(f func(w http.ResponseWriter, r *http.Request)) { n.respond.Store(&f) }

func (n *testNode) send(t *testing.T, method, path, id string) *h1.Response {
	t.Helper()
	r := httptest.NewRequest(method, "http://shop"+path, nil)
	r.Header.Set("Request-Id", id)
	r.Header.Set("Request-Deadline", n.timeoutMillis)
	return n.entry.Handle(t.Context(), &h1.Request{Request: r, Received: time.Now()})
}

// Guards against a request that is offered to a returning backend server although it was blocked
// while it waited.
func TestRequestIsBlockedWhileItWaits(t *testing.T) {
	n := newTestNode(t)
	n.owner.SetEvacuated(true) // No backend server is free.
	q := make(chan *h1.Response, 1)
	go func() { q <- n.send(t, "GET", "/a", "1") }()
	require.Eventually(t, func() bool { return n.entry.cfg.Metrics.Requests.Count() == 1 }, 10*time.Second, time.Millisecond)
	time.Sleep(20 * time.Millisecond) // The request has been offered and refused.
	fingerprint := fingerprintOf(&request{Request: &h1.Request{Request: httptest.NewRequest(http.MethodGet, "http://shop/a", nil)}}, "shopfront")
	n.entry.cfg.Crashes.Block(time.Now(), fingerprint, time.Minute)
	n.owner.SetEvacuated(false)
	resp := <-q
	require.Equal(t, 503, resp.Status)
	require.Contains(t, string(resp.Body), owner.CodeCrashing)
	require.Zero(t, n.executions.Load())
}

func TestRequestIsServed(t *testing.T) {
	n := newTestNode(t)
	resp := n.send(t, "GET", "/a", "1")
	require.Equal(t, 200, resp.Status)
	require.Equal(t, "ok", string(resp.Body))
	require.Equal(t, "s", resp.Header.Get("Server-Seal"))
}

// Guards against a retry of a non-idempotent request that may have run.
func TestRetries(t *testing.T) {
	fail := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }
	shed := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	abort := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	cases := []struct {
		name, method, path string
		respond            func(http.ResponseWriter, *http.Request)
		executions         int
		status             int
	}{
		{"failed order", "POST", "/order/1", fail, 1, 500},
		{"aborted order", "POST", "/order/1", abort, 1, 502},
		{"order that did not run", "POST", "/order/1", shed, 2, 503},
		{"failed idempotent request without another backend server", "GET", "/a", fail, 1, 500},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n := newTestNode(t)
			n.setResponse(c.respond)
			resp := n.send(t, c.method, c.path, "1")
			require.Equal(t, c.status, resp.Status)
			require.GreaterOrEqual(t, int(n.executions.Load()), c.executions)
			if c.respond != nil && c.path == "/order/1" && c.status != 503 {
				require.Equal(t, c.executions, int(n.executions.Load()))
			}
		})
	}
}

// Guards against a request without an owner that ends with neither a response nor an
// error, which crashes the process, and against one that waits until its deadline.
func TestNoOwner(t *testing.T) {
	n := newTestNode(t)
	started := time.Now()
	resp := n.send(t, "GET", "/away/1", "1")
	require.Equal(t, 503, resp.Status)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	require.Equal(t, "1", resp.Header.Get("Request-Id"))
	require.Less(t, time.Since(started), 5*time.Second)
}

// Guards against recovered backend servers that get no requests while requests are
// refused: in a large fleet, owners that are ranked last because their backend
// server is suspected are beyond the limit of probed owners.
func TestSuspectedOwnerServesWhenNoOtherCan(t *testing.T) {
	n := newTestNode(t)
	for i := range 2 * maxProbedOwners {
		name := fmt.Sprint("x", i)
		n.store.Put("members", "member/"+name, fmt.Appendf(nil,
			`{"node":%q,"zone":"z","address":"%s:1","backend":{"id":"i-%s","service":"orders","slots":3,"serving":true}}`, name, name, name))
	}
	require.Eventually(t, func() bool { return len(n.state.View().Owners["orders"]) == 1+2*maxProbedOwners }, 10*time.Second, time.Millisecond)
	n.setResponse(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) })
	for n.executions.Load() < 2 { // The owner suspects its backend server after two failures.
		n.entry.peers.byNode = make(map[string]*peer)
		n.send(t, "GET", "/a", fmt.Sprint("fail", n.executions.Load()))
	}
	n.setResponse(func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, "ok") })
	n.entry.peers.recordSuspected("n", time.Now().Add(time.Hour))
	for i := range 3 {
		require.Equal(t, 200, n.send(t, "POST", "/order/1", fmt.Sprint(i)).Status)
	}
}

// Guards against a not-run verdict for a request that the backend server still processes.
func TestTimeoutIsNotReportedAsRefusal(t *testing.T) {
	n := newTestNode(t)
	n.setResponse(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	n.timeoutMillis = "300"
	resp := n.send(t, "POST", "/order/1", "1")
	require.Equal(t, 504, resp.Status)
	require.Empty(t, resp.Header.Get("Retry-After"))
}

// Guards against a busy service that holds requests until their deadline instead of
// refusing them.
func TestBusyServiceRefuses(t *testing.T) {
	n := newTestNode(t)
	release := make(chan struct{})
	n.setResponse(func(w http.ResponseWriter, _ *http.Request) { <-release; _, _ = fmt.Fprint(w, "ok") })
	var responses [4]*h1.Response
	done := make(chan int, len(responses))
	for i := range responses {
		go func() { responses[i] = n.send(t, "POST", "/order/1", fmt.Sprint(i)); done <- i }()
	}
	for range len(responses) - 1 {
		<-done
	}
	close(release)
	<-done
	refused := 0
	for _, resp := range responses {
		if resp.Status == 503 {
			refused++
		}
	}
	require.GreaterOrEqual(t, refused, len(responses)-1)
	require.EqualValues(t, 1, n.executions.Load())
}

// Guards against a not-run verdict for a request whose outcome is unknown, and
// against outbound calls that are refused during a shutdown.
func TestNotRunStatusesAndStop(t *testing.T) {
	for _, status := range []int{408, 421, 429, 503} {
		require.True(t, owner.ImpliesNotRun(status))
	}
	n := newTestNode(t)
	n.entry.Stop()
	require.Equal(t, 200, n.send(t, "GET", "/a", "1").Status, "outbound calls of the backend server are still accepted after Stop")
}

// Guards against the answer 'not run' to a request whose first attempt may have run, because
// its second attempt was refused.
func TestRefusedSecondAttemptDoesNotHideTheFirst(t *testing.T) {
	n := newTestNode(t)
	n.setResponse(func(http.ResponseWriter, *http.Request) {
		n.owner.SetEvacuated(true)
		panic(http.ErrAbortHandler)
	})
	resp := n.send(t, "GET", "/a", "1")
	require.EqualValues(t, 1, n.executions.Load())
	require.Equal(t, 502, resp.Status)
	require.Equal(t, "may-have-run", resp.Header.Get("Trefoildock-Verdict"))
}
