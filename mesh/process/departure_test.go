package process

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"trefoildock.example/mesh/fleet"
	"trefoildock.example/platform"
	"trefoildock.example/standin/rowstore"
)

// storedBackend returns the backend server in the row of node a, or nil.
func storedBackend(t *testing.T, store *rowstore.Store) *fleet.Backend {
	t.Helper()
	value, ok := store.Value(memberTable, "member/a")
	if !ok {
		return nil
	}
	var m fleet.Member
	require.NoError(t, json.Unmarshal(value, &m))
	return m.Backend
}

// departures are the ways in which a backend server announces its departure.
var departures = map[string]struct{ method, body string }{
	"leave":    {http.MethodDelete, ""},
	"draining": {http.MethodPut, `{"service":"orders","address":"127.0.0.1:1","slots":50,"state":"draining","sequence":2,"born":1}`},
}

// announceDeparture sends a departure to a node and returns the status of the response.
func announceDeparture(t *testing.T, n *Node, method, body string) int {
	t.Helper()
	r := httptest.NewRequestWithContext(t.Context(), method, "/v1/instances/i-a", strings.NewReader(body))
	w := httptest.NewRecorder()
	platform.AnnouncementHandler(n).ServeHTTP(w, r)
	return w.Code
}

// Guards against an acknowledged departure that only the memory of the process holds, so that
// it is lost with the process.
func TestDepartureIsStoredBeforeItIsAcknowledged(t *testing.T) {
	for name, d := range departures {
		t.Run(name, func(t *testing.T) {
			rows := rowstore.New()
			store := &controlledWrites{store: rows, delay: 200 * time.Millisecond}
			n := startNode(t, "a", store)
			require.Eventually(t, func() bool { return storedBackend(t, rows) != nil }, waitTimeout, 5*time.Millisecond)
			require.Equal(t, http.StatusOK, announceDeparture(t, n, d.method, d.body))
			require.True(t, storedBackend(t, rows).Leaving)
		})
	}
}

// Guards against the acknowledgement of a departure that the store does not accept. The backend
// server gets no requests all the same.
func TestDepartureIsNotAcknowledgedWithoutTheStore(t *testing.T) {
	for name, d := range departures {
		t.Run(name, func(t *testing.T) {
			rows := rowstore.New()
			store := &controlledWrites{store: rows}
			n := startNode(t, "a", store)
			require.Eventually(t, func() bool { return storedBackend(t, rows) != nil }, waitTimeout, 5*time.Millisecond)
			store.refused.Store(true)
			started := time.Now()
			require.Equal(t, http.StatusServiceUnavailable, announceDeparture(t, n, d.method, d.body))
			require.Less(t, time.Since(started), time.Second, "the backend server stops waiting after one second")
			s, known := n.owner.Status()
			require.True(t, known)
			require.False(t, s.Serving)
			store.refused.Store(false)
			require.Equal(t, http.StatusOK, announceDeparture(t, n, d.method, d.body))
			require.True(t, storedBackend(t, rows).Leaving)
		})
	}
}

// Guards against a departure that is lost because the process that is told of it has just
// started and knows no backend server.
func TestDepartureToNewProcessIsStored(t *testing.T) {
	store := rowstore.New()
	store.Put(memberTable, "member/a", []byte(`{"node":"a","zone":"z","address":"127.0.0.1:1","incarnation":"earlier","backend":{"id":"i-a","service":"orders","slots":50,"serving":true,"born_ms":1}}`))
	srv := httptest.NewServer(store)
	t.Cleanup(srv.Close)
	t.Cleanup(srv.CloseClientConnections)
	n := runNode(t, "a", srv.URL, "127.0.0.1:1", nodeOptions{}).Node
	require.Equal(t, http.StatusOK, announceDeparture(t, n, http.MethodDelete, ""))
	require.True(t, storedBackend(t, store).Leaving)
	require.NoError(t, n.Announce(t.Context(), heartbeatOf("a", 2)))
	s, known := n.owner.Status()
	require.True(t, known)
	require.False(t, s.Serving)
}

// Guards against a process that misses the departure in the row of the earlier one, because
// another node has sent it an older row first.
func TestDepartureInLaterRowIsRestored(t *testing.T) {
	n, err := New(Config{Settings: &platform.Settings{Node: "a", Zone: "z", IP: "127.0.0.1", StoreAddress: "127.0.0.1:1"}, Logger: log.NewNopLogger()})
	require.NoError(t, err)
	row := func(leaving bool) *fleet.View {
		b := &fleet.Backend{ID: "i-a", Service: "orders", Slots: 50, Serving: !leaving, Leaving: leaving, StartMillis: 1}
		return &fleet.View{Nodes: map[string]*fleet.Member{"a": {Node: "a", Zone: "z", Incarnation: "earlier", Backend: b}}}
	}
	n.applyView(row(false))
	require.NoError(t, n.Announce(context.Background(), heartbeatOf("a", 2)))
	n.applyView(row(true))
	s, known := n.owner.Status()
	require.True(t, known)
	require.False(t, s.Serving)
	require.True(t, s.Leaving)
}
