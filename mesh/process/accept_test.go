package process

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"trefoildock.example/platform"
	"trefoildock.example/standin/rowstore"
)

// failingListener fails to accept while failures is positive, as without file descriptors.
type failingListener struct {
	net.Listener
	failures *atomic.Int32
}

// Accept implements net.Listener.
func (l failingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil && l.failures.Add(-1) >= 0 {
		conn.Close()
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return conn, err
}

// Guards against a node that serves no caller and no other node any more after it had no file
// descriptor for a connection, although it says that it is ready.
func TestNodeServesAfterAcceptFails(t *testing.T) {
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
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
	listeners, failures := make(openListeners), new(atomic.Int32)
	_, linkPort := listeners.open(t)
	callers, _ := listeners.open(t)
	ready, _ := listeners.open(t)
	announce, _ := listeners.open(t)
	for address, ln := range listeners {
		listeners[address] = failingListener{ln, failures}
	}
	n, err := New(Config{Listen: listeners.listen, Logger: log.NewNopLogger(), Settings: &platform.Settings{
		Node: "a", Zone: "z", IP: "127.0.0.1", BackendAddress: backend.Listener.Addr().String(), BackendService: "orders", Heartbeat: time.Second,
		StoreAddress: srv.Listener.Addr().String(), FirstLinkPort: linkPort, ListenCallers: callers, ListenReady: ready, ListenAnnounce: announce,
		Bounds: platform.Bounds{RevocationDeadline: 5 * time.Second, RetryBudgetWindow: 10 * time.Second, RateWindow: 5 * time.Second, GracePeriod: 3 * time.Second},
	}})
	require.NoError(t, err)
	done := make(chan error, 1)
	ctx, cancel := context.WithCancel(t.Context())
	go func() { done <- n.Run(ctx) }()
	t.Cleanup(func() { cancel(); require.NoError(t, <-done) })
	a := heartbeatOf("a", 1)
	a.Address = n.settings.BackendAddress
	require.NoError(t, n.Announce(t.Context(), a))
	require.Eventually(t, func() bool { return n.ready() && len(n.fleet.View().Owners["orders"]) == 1 }, waitTimeout, 5*time.Millisecond)

	failures.Store(4)
	for _, address := range []string{callers, callers, n.linkAddress(), n.linkAddress()} {
		conn, err := net.Dial("tcp", address)
		require.NoError(t, err)
		conn.Close()
	}
	answered := &executions{ids: make(map[string]bool)}
	require.Eventually(t, func() bool { return failures.Load() <= 0 }, waitTimeout, 5*time.Millisecond)
	var sends sync.WaitGroup
	for i := range 8 {
		sends.Go(func() { sendOnce(callers, fmt.Sprint("r", i), answered) })
	}
	sends.Wait()
	require.Len(t, answered.ids, 8)
	conn, err := dialPeer(ctx, n.linkAddress())
	require.NoError(t, err)
	defer conn.Close()
	_ = conn.SetReadDeadline(time.Now().Add(500 * time.Millisecond))
	_, err = conn.Read(make([]byte, 1))
	var timeout net.Error
	require.ErrorAs(t, err, &timeout, "the link is open")
	require.True(t, timeout.Timeout())
}
