package entry

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoildock.example/mesh/h1"
)

// Guards against a process that ends because the handling of one request panics, and
// against a failure that claims that the request has not run.
func TestPanicInEntryFailsOnlyItsRequest(t *testing.T) {
	n := newTestNode(t)
	owner := n.entry.cfg.Owner
	n.entry.cfg.Owner = nil
	resp := n.send(t, "POST", "/order/x", "a")
	require.Equal(t, http.StatusBadGateway, resp.Status)
	require.Equal(t, "a", resp.Header.Get("Request-Id"))
	n.entry.cfg.Owner = owner
	require.Equal(t, http.StatusOK, n.send(t, "POST", "/order/x", "b").Status)
}

// Guards against a caller whose own behaviour makes a healthy backend server suspected:
// requests without time, callers that leave, malformed fields.
func TestCallersCannotMakeBackendSuspected(t *testing.T) {
	const workTime = 60 * time.Millisecond
	for name, misuse := range map[string]func(t *testing.T, n *testNode, id string){
		"deadline of 1 ms": func(t *testing.T, n *testNode, id string) {
			n.timeoutMillis = "1"
			n.send(t, "GET", "/x", id)
		},
		"deadline within the work": func(t *testing.T, n *testNode, id string) {
			n.timeoutMillis = "50"
			n.send(t, "GET", "/x", id)
		},
		"orders with a deadline within the work": func(t *testing.T, n *testNode, id string) {
			n.timeoutMillis = "50"
			n.send(t, "POST", "/order/x", id)
		},
		"negative deadline": func(t *testing.T, n *testNode, id string) {
			n.timeoutMillis = "-5"
			require.Equal(t, http.StatusBadRequest, n.send(t, "GET", "/x", id).Status)
		},
		"leaving": func(t *testing.T, n *testNode, id string) {
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
			defer cancel()
			r := httptest.NewRequest(http.MethodPost, "http://shop/order/x", nil)
			r.Header.Set("Request-Id", id)
			n.entry.Handle(ctx, &h1.Request{Request: r, Received: time.Now()})
		},
		"id listed in Connection": func(t *testing.T, n *testNode, id string) {
			r := httptest.NewRequest(http.MethodGet, "http://shop/x", nil)
			r.Header.Set("Request-Id", id)
			r.Header.Set("Connection", "close, Request-Id")
			resp := n.entry.Handle(t.Context(), &h1.Request{Request: r, Received: time.Now()})
			require.Equal(t, http.StatusOK, resp.Status)
		},
	} {
		t.Run(name, func(t *testing.T) {
			n := newTestNode(t)
			n.setResponse(func(w http.ResponseWriter, r *http.Request) {
				select {
				case <-time.After(workTime):
				case <-r.Context().Done():
				}
				_, _ = fmt.Fprint(w, "ok")
			})
			for i := range 4 { // The baseline of the latency.
				require.Equal(t, http.StatusOK, n.send(t, "POST", "/order/x", fmt.Sprint("first", i)).Status)
				require.Equal(t, http.StatusOK, n.send(t, "GET", "/x", fmt.Sprint("second", i)).Status)
			}
			for i := range 12 {
				misuse(t, n, fmt.Sprint("misuse", i))
			}
			n.timeoutMillis = "9000"
			began := time.Now()
			for i := range 6 {
				require.Equal(t, http.StatusOK, n.send(t, "POST", "/order/x", fmt.Sprint("order", i)).Status)
			}
			// Six orders take 0.36 s; a suspected backend server would refuse orders for seconds.
			require.Less(t, time.Since(began), 6*workTime+time.Second)
		})
	}
}
