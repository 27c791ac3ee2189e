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
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"trefoildock.example/platform"
	"trefoildock.example/standin/rowstore"
)

// slowWrites delays the writes to a store.
type slowWrites struct {
	store *rowstore.Store
	delay time.Duration
}

// ServeHTTP implements http.Handler.
func (s slowWrites) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		time.Sleep(s.delay)
	}
	s.store.ServeHTTP(w, r)
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

// Guards against a planned stop that cuts requests which were accepted while the backend
// server is handed over, after the last check for running requests.
func TestPlannedStopAnswersAcceptedRequests(t *testing.T) {
	ran := &executions{ids: make(map[string]bool)}
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ran.add(r.Header.Get("Request-Id"))
		time.Sleep(150 * time.Millisecond)
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Server-Seal", "s")
		_, _ = fmt.Fprint(w, "ok")
	}))
	t.Cleanup(backend.Close)
	store := rowstore.New()
	store.Put(platform.OperatorTable, "config", []byte(publicConfig))
	srv := httptest.NewServer(slowWrites{store, 300 * time.Millisecond})
	t.Cleanup(srv.Close)
	t.Cleanup(srv.CloseClientConnections)
	a, callers, stop := startServingNode(t, "a", srv.URL, backend.URL)
	b, _, _ := startServingNode(t, "b", srv.URL, backend.URL)
	for _, n := range []*Node{a, b} {
		require.Eventually(t, func() bool { return n.ready() && len(n.fleet.View().Owners["orders"]) == 2 }, waitTimeout, 5*time.Millisecond)
	}

	answered := &executions{ids: make(map[string]bool)}
	var sends sync.WaitGroup
	stopCalling := make(chan struct{})
	go func() {
		for i := 0; ; i++ {
			select {
			case <-stopCalling:
				return
			case <-time.After(20 * time.Millisecond):
			}
			sends.Go(func() { sendOnce(callers, fmt.Sprint("r", i), answered) })
		}
	}()
	time.Sleep(200 * time.Millisecond)
	stop()
	close(stopCalling)
	sends.Wait()
	ran.mu.Lock()
	defer ran.mu.Unlock()
	require.NotEmpty(t, ran.ids)
	for id := range ran.ids {
		require.True(t, answered.ids[id], "request %s ran and got no response", id)
	}
}

// patientConfig has a route whose requests wait for a backend server for up to 5.4 s.
const patientConfig = `{"version":"r1","routes":{"columns":["name","host","prefix","type","timeout-ms","target-latency-ms","max-attempts","public","service"],"rows":[
["order","shop","/","unsafe",9000,3000,2,false,"orders"]]},"services":{"columns":["name"],"rows":[["orders"]]},"tenants":{"columns":["name","api-keys"],"rows":[["blue",["k"]]]},"limits":{}}`

// Guards against a planned stop that cuts requests which still wait for a backend server
// when the process ends.
func TestPlannedStopAnswersWaitingRequests(t *testing.T) {
	const acceptedFor = 2700 * time.Millisecond // Below acceptPeriod.
	blocked := make(chan struct{})
	backend := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-blocked }))
	t.Cleanup(backend.Close)
	t.Cleanup(sync.OnceFunc(func() { close(blocked) }))
	store := rowstore.New()
	store.Put(platform.OperatorTable, "config", []byte(patientConfig))
	srv := httptest.NewServer(store)
	t.Cleanup(srv.Close)
	t.Cleanup(srv.CloseClientConnections)
	gracePeriod := func(s *platform.Settings) { s.Bounds.GracePeriod = 4 * time.Second }
	a, callers, stop := runServingNode(t, "a", srv.URL, backend.URL, 1, gracePeriod)
	b, _, _ := runServingNode(t, "b", srv.URL, backend.URL, 1, gracePeriod)
	for _, n := range []*Node{a, b} {
		require.Eventually(t, func() bool { return n.ready() && len(n.fleet.View().Owners["orders"]) == 2 }, waitTimeout, 5*time.Millisecond)
	}
	var sends sync.WaitGroup
	occupying := &executions{ids: make(map[string]bool)}
	for i := range 2 {
		sends.Go(func() { sendOnce(callers, fmt.Sprint("occupying", i), occupying) })
	}
	require.Eventually(t, func() bool { return a.owner.Running() > 0 && b.owner.Running() > 0 }, waitTimeout, 5*time.Millisecond)

	answered := &executions{ids: make(map[string]bool)}
	stopping := time.Now()
	go stop()
	var ids []string
	for time.Since(stopping) < acceptedFor {
		id := fmt.Sprint("waiting", len(ids))
		ids = append(ids, id)
		sends.Go(func() { sendOnce(callers, id, answered) })
		time.Sleep(100 * time.Millisecond)
	}
	sends.Wait()
	for _, id := range ids {
		require.True(t, answered.ids[id], "request %s was accepted and got no response", id)
	}
}

// startServingNode runs a node with a backend server. It returns the address for callers
// and a function that stops the node and waits until it has ended.
func startServingNode(t *testing.T, name, storeURL, backendURL string) (n *Node, callers string, stop func()) {
	t.Helper()
	return runServingNode(t, name, storeURL, backendURL, 50, func(*platform.Settings) {})
}

// Guards against a planned stop that still sends a request to a backend server when the
// process ends before the request can finish.
func TestPlannedStopRefusesRequestsThatCannotFinish(t *testing.T) {
	const workTime = 1200 * time.Millisecond
	ran, answered := &executions{ids: make(map[string]bool)}, &executions{ids: make(map[string]bool)}
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ran.add(r.Header.Get("Request-Id"))
		time.Sleep(workTime)
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Server-Seal", "s")
		_, _ = fmt.Fprint(w, "ok")
	}))
	t.Cleanup(backend.Close)
	store := rowstore.New()
	store.Put(platform.OperatorTable, "config", []byte(publicConfig))
	srv := httptest.NewServer(store)
	t.Cleanup(srv.Close)
	t.Cleanup(srv.CloseClientConnections)
	gracePeriod := func(s *platform.Settings) { s.Bounds.GracePeriod = 4 * time.Second }
	a, callers, stop := runServingNode(t, "a", srv.URL, backend.URL, 50, gracePeriod)
	b, _, _ := runServingNode(t, "b", srv.URL, backend.URL, 50, gracePeriod)
	for _, n := range []*Node{a, b} {
		require.Eventually(t, func() bool { return n.ready() && len(n.fleet.View().Owners["orders"]) == 2 }, waitTimeout, 5*time.Millisecond)
	}
	sendOnce(callers, "first", answered)
	require.True(t, answered.ids["first"])

	var sends sync.WaitGroup
	stopped := make(chan struct{})
	go func() { stop(); close(stopped) }()
	for i := 0; ; i++ {
		select {
		case <-stopped:
		case <-time.After(50 * time.Millisecond):
			sends.Go(func() { sendOnce(callers, fmt.Sprint("r", i), answered) })
			continue
		}
		break
	}
	sends.Wait()
	ran.mu.Lock()
	defer ran.mu.Unlock()
	for id := range ran.ids {
		require.True(t, answered.ids[id], "request %s ran and got no response", id)
	}
}

// runServingNode is startServingNode with a number of slots and with settings that configure changes.
func runServingNode(t *testing.T, name, storeURL, backendURL string, slots int, configure func(*platform.Settings)) (n *Node, callers string, stop func()) {
	t.Helper()
	n, stop = runNode(t, name, storeURL, strings.TrimPrefix(backendURL, "http://"), configure)
	a := heartbeatOf(name, 1)
	a.Address, a.Slots = n.settings.BackendAddress, slots
	require.NoError(t, n.Announce(t.Context(), a))
	return n, n.settings.ListenCallers, stop
}

// runNodeWithoutBackend runs a node whose backend server has not announced itself yet.
func runNodeWithoutBackend(t *testing.T, name, storeURL string) *Node {
	t.Helper()
	n, _ := runNode(t, name, storeURL, "127.0.0.1:1", func(*platform.Settings) {})
	return n
}

// heartbeatOf returns a heartbeat of the backend server of a node.
func heartbeatOf(name string, sequence int64) platform.Announcement {
	return platform.Announcement{ID: "i-" + name, Service: "orders", Address: "127.0.0.1:1", Slots: 50, Sequence: sequence, StartedAt: time.UnixMilli(1)}
}

// runNode runs a node, and returns a function that stops it and waits until it has ended.
func runNode(t *testing.T, name, storeURL, backendAddress string, configure func(*platform.Settings)) (n *Node, stop func()) {
	t.Helper()
	s := &platform.Settings{
		Node: name, Zone: "z", IP: "127.0.0.1", BackendAddress: backendAddress, BackendService: "orders",
		Heartbeat: time.Second, StoreAddress: strings.TrimPrefix(storeURL, "http://"),
		Bounds: platform.Bounds{RevocationDeadline: 5 * time.Second, RetryBudgetWindow: 10 * time.Second, RateWindow: 5 * time.Second, GracePeriod: 6 * time.Second},
	}
	configure(s)
	listeners := make(openListeners)
	_, s.FirstLinkPort = listeners.open(t)
	s.ListenCallers, _ = listeners.open(t)
	s.ListenReady, _ = listeners.open(t)
	s.ListenAnnounce, _ = listeners.open(t)
	n, err := New(Config{Settings: s, Logger: log.NewNopLogger(), Listen: listeners.listen})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx) }()
	stop = sync.OnceFunc(func() { cancel(); require.NoError(t, <-done) })
	t.Cleanup(stop)
	return n, stop
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
