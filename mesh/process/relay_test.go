package process

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"trefoildock.example/platform"
	"trefoildock.example/standin/rowstore"
	"trefoildock.example/wire"
)

const patience = 20 * time.Second

// listenAddress returns an address that nobody listens on.
func listenAddress(t *testing.T) (address string, port int) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	return ln.Addr().String(), ln.Addr().(*net.TCPAddr).Port
}

// startNode runs a node with a backend server that has announced itself.
func startNode(t *testing.T, name string, store http.Handler) *Node {
	t.Helper()
	srv := httptest.NewServer(store)
	t.Cleanup(srv.Close)
	t.Cleanup(srv.CloseClientConnections)
	s := &platform.Settings{
		Node: name, Zone: "z", IP: "127.0.0.1", BackendAddress: "127.0.0.1:1", BackendService: "orders",
		Heartbeat: time.Second, StoreAddress: strings.TrimPrefix(srv.URL, "http://"),
		Bounds: platform.Bounds{RevokeWithin: 5 * time.Second, RetryWindow: 10 * time.Second, RateWindow: 5 * time.Second},
	}
	_, s.FirstLinkPort = listenAddress(t)
	s.ListenCallers, _ = listenAddress(t)
	s.ListenReady, _ = listenAddress(t)
	s.ListenAnnounce, _ = listenAddress(t)
	n, err := New(Config{Settings: s, Logger: log.NewNopLogger()})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx) }()
	t.Cleanup(func() { cancel(); require.NoError(t, <-done) })
	require.NoError(t, n.Announce(platform.Announcement{
		ID: "i-" + name, Service: "orders", Address: s.BackendAddress, Slots: 1, Sequence: 1, Born: time.UnixMilli(1),
	}))
	return n
}

// readOnly is a store that turns away the writes of one node.
type readOnly struct{ store *rowstore.Store }

// ServeHTTP implements http.Handler.
func (r readOnly) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if q.Method == http.MethodPost {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	r.store.ServeHTTP(w, q)
}

// Guards against a node whose row stays outdated, and a home whose lease ends,
// because the store turns this machine away and serves the others.
func TestRowIsWrittenThroughAnotherNode(t *testing.T) {
	store := rowstore.New()
	startNode(t, "b", store)
	require.Eventually(t, func() bool { _, ok := store.Value(memberTable, "member/b"); return ok }, patience, 5*time.Millisecond)
	startNode(t, "a", readOnly{store})
	require.Eventually(t, func() bool { _, ok := store.Value(memberTable, "member/a"); return ok }, patience, 5*time.Millisecond)
}

// Guards against a node that writes rows of other tables for a stranger.
func TestOnlyOwnTablesAreWrittenForOthers(t *testing.T) {
	store := rowstore.New()
	n := startNode(t, "a", store)
	a := n.answerStoreWrite(&wire.StoreWrite{Table: "status", Key: "x", Value: []byte("1")})
	require.Equal(t, wire.StoreWriteAnswer_NOT_WRITTEN, a.GetOutcome())
	_, ok := store.Value("status", "x")
	require.False(t, ok)
	a = n.answerStoreWrite(&wire.StoreWrite{Table: leaseTable, Key: "x", Value: []byte("1")})
	require.Equal(t, wire.StoreWriteAnswer_WRITTEN, a.GetOutcome())
	a = n.answerStoreWrite(&wire.StoreWrite{Table: leaseTable, Key: "x", Value: []byte("2")})
	require.Equal(t, wire.StoreWriteAnswer_CONFLICT, a.GetOutcome())
}
