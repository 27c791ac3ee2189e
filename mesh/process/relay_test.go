package process

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoildock.example/standin/rowstore"
	"trefoildock.example/wire"
)

const waitTimeout = 20 * time.Second

// openListeners holds open listeners by address, which are handed over to a node. A port
// that is closed and opened again could be taken by another process in between.
type openListeners map[string]net.Listener

// open opens a listener on a free port.
func (l openListeners) open(t *testing.T) (address string, port int) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l[ln.Addr().String()] = ln
	return ln.Addr().String(), ln.Addr().(*net.TCPAddr).Port
}

// listen returns the open listener of an address.
func (l openListeners) listen(_ net.ListenConfig, address string) (net.Listener, error) {
	return l[address], nil
}

// startNode runs a node with an announced backend server.
func startNode(t *testing.T, name string, store http.Handler) *Node {
	t.Helper()
	srv := httptest.NewServer(store)
	t.Cleanup(srv.Close)
	t.Cleanup(srv.CloseClientConnections)
	return startServingNode(t, name, srv.URL, "http://127.0.0.1:1", nodeOptions{}).Node
}

// readOnlyStore is a store that rejects the writes of one node.
type readOnlyStore struct{ store *rowstore.Store }

// ServeHTTP implements http.Handler.
func (r readOnlyStore) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if q.Method == http.MethodPost {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	r.store.ServeHTTP(w, q)
}

// Guards against a node whose row stays outdated, and a coordinator whose lease
// expires, because the store rejects the calls of this VM and serves the others.
func TestRowIsWrittenViaPeer(t *testing.T) {
	store := rowstore.New()
	startNode(t, "b", store)
	require.Eventually(t, func() bool { _, ok := store.Value(memberTable, "member/b"); return ok }, waitTimeout, 5*time.Millisecond)
	startNode(t, "a", readOnlyStore{store})
	require.Eventually(t, func() bool { _, ok := store.Value(memberTable, "member/a"); return ok }, waitTimeout, 5*time.Millisecond)
}

// Guards against a node that writes to arbitrary tables on behalf of a peer.
func TestRelayedWritesAreLimitedToNodeTables(t *testing.T) {
	store := rowstore.New()
	n := startNode(t, "a", store)
	a := n.handleStoreWrite(&wire.StoreWrite{Table: "status", Key: "x", Value: []byte("1")})
	require.Equal(t, wire.StoreWriteAnswer_NOT_WRITTEN, a.GetOutcome())
	_, ok := store.Value("status", "x")
	require.False(t, ok)
	a = n.handleStoreWrite(&wire.StoreWrite{Table: leaseTable, Key: "x", Value: []byte("1")})
	require.Equal(t, wire.StoreWriteAnswer_WRITTEN, a.GetOutcome())
	a = n.handleStoreWrite(&wire.StoreWrite{Table: leaseTable, Key: "x", Value: []byte("2")})
	require.Equal(t, wire.StoreWriteAnswer_CONFLICT, a.GetOutcome())
}
