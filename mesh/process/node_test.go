package process

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"trefoildock.example/platform"
	"trefoildock.example/standin/rowstore"
)

// controlledWrites delays the writes to a store, or refuses them.
type controlledWrites struct {
	store   http.Handler
	delay   time.Duration
	refused atomic.Bool
}

// ServeHTTP implements http.Handler.
func (c *controlledWrites) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		time.Sleep(c.delay)
		if c.refused.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
	c.store.ServeHTTP(w, r)
}

const publicConfig = `{"version":"r1","routes":{"columns":["name","host","prefix","type","timeout-ms","target-latency-ms","max-attempts","public","service"],"rows":[
["order","shop","/","unsafe",9000,500,2,true,"orders"]]},"services":{"columns":["name"],"rows":[["orders"]]},"tenants":{"columns":["name"],"rows":[]},"limits":{}}`

// executions records the IDs of the requests that a backend server has run.
type executions struct {
	mu  sync.Mutex
	ids map[string]bool
}

func (e *executions) add(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ids[id] = true
}

func newExecutions() *executions { return &executions{ids: make(map[string]bool)} }

// answerAfter returns a backend server that records each request and answers it after a delay.
func answerAfter(ran *executions, delay time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ran.add(r.Header.Get("Request-Id"))
		time.Sleep(delay)
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Server-Seal", "s")
		_, _ = fmt.Fprint(w, "ok")
	}
}

// nodeOptions differ between tests. Zero values stand for 50 slots, a grace period of 6 s and
// unchanged listeners.
type nodeOptions struct {
	slots        int
	gracePeriod  time.Duration
	wrapListener func(net.Listener) net.Listener
}

// testNode is a node that runs; stop stops it and waits until it has ended.
type testNode struct {
	*Node
	stop func()
}

func unchanged(store http.Handler) http.Handler { return store }

// startTwoNodes runs two nodes, each with the same backend server, and waits until they are
// ready.
func startTwoNodes(t *testing.T, handle http.HandlerFunc, config string, wrapStore func(http.Handler) http.Handler, options nodeOptions) (a, b testNode) {
	t.Helper()
	backend := httptest.NewServer(handle)
	t.Cleanup(backend.Close)
	store := rowstore.New()
	store.Put(platform.OperatorTable, "config", []byte(config))
	srv := httptest.NewServer(wrapStore(store))
	t.Cleanup(srv.Close)
	t.Cleanup(srv.CloseClientConnections)
	a = startServingNode(t, "a", srv.URL, backend.URL, options)
	b = startServingNode(t, "b", srv.URL, backend.URL, options)
	for _, n := range []testNode{a, b} {
		require.Eventually(t, func() bool { return n.ready() && len(n.fleet.View().Owners["orders"]) == 2 }, waitTimeout, 5*time.Millisecond)
	}
	return a, b
}

// startServingNode runs a node with a backend server.
func startServingNode(t *testing.T, name, storeURL, backendURL string, options nodeOptions) testNode {
	t.Helper()
	n := runNode(t, name, storeURL, strings.TrimPrefix(backendURL, "http://"), options)
	a := heartbeatOf(name, 1)
	a.Address = n.settings.BackendAddress
	if options.slots > 0 {
		a.Slots = options.slots
	}
	require.NoError(t, n.Announce(t.Context(), a))
	return n
}

// heartbeatOf returns a heartbeat of the backend server of a node.
func heartbeatOf(name string, sequence int64) platform.Announcement {
	return platform.Announcement{ID: "i-" + name, Service: "orders", Address: "127.0.0.1:1", Slots: 50, Sequence: sequence, StartedAt: time.UnixMilli(1)}
}

// runNode runs a node whose backend server has not announced itself yet.
func runNode(t *testing.T, name, storeURL, backendAddress string, options nodeOptions) testNode {
	t.Helper()
	s := &platform.Settings{
		Node: name, Zone: "z", IP: "127.0.0.1", BackendAddress: backendAddress, BackendService: "orders",
		Heartbeat: time.Second, StoreAddress: strings.TrimPrefix(storeURL, "http://"),
		Bounds: platform.Bounds{RevocationDeadline: 5 * time.Second, RetryBudgetWindow: 10 * time.Second, RateWindow: 5 * time.Second, GracePeriod: 6 * time.Second},
	}
	if options.gracePeriod > 0 {
		s.Bounds.GracePeriod = options.gracePeriod
	}
	listeners := make(openListeners)
	_, s.FirstLinkPort = listeners.open(t)
	s.ListenCallers, _ = listeners.open(t)
	s.ListenReady, _ = listeners.open(t)
	s.ListenAnnounce, _ = listeners.open(t)
	if options.wrapListener != nil {
		for address, ln := range listeners {
			listeners[address] = options.wrapListener(ln)
		}
	}
	n, err := New(Config{Settings: s, Logger: log.NewNopLogger(), Listen: listeners.listen})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx) }()
	stop := sync.OnceFunc(func() { cancel(); require.NoError(t, <-done) })
	t.Cleanup(stop)
	return testNode{n, stop}
}

// sendOnce sends a request on a new connection and records its ID if a complete response
// arrives.
func sendOnce(address, id string, answered *executions) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return // The node has stopped.
	}
	defer conn.Close()
	_, _ = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: shop\r\nAuthorization: Bearer k\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return
	}
	resp.Body.Close()
	answered.add(id)
}
