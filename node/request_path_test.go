package node

import (
	"net/http"
	"testing"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"trefoildock.example/verdict"
)

// TestRequestPath checks the complete path from a caller through an entry and
// an owner to a backend server and back.
func TestRequestPath(t *testing.T) {
	c := newCluster(t, 6, nil)
	for i := range c.nodes {
		r := c.do(i, http.MethodGet, "/catalogue/sticks", "")
		require.Equal(t, http.StatusOK, r.status, r.body)
		require.Equal(t, "completed", r.header.Get(verdict.Header))

		r = c.do(i, http.MethodPost, "/orders", `{"order":1}`, "Authorization", c.bearer("walkers"), "Idempotency-Key", uuid.Must(uuid.NewV7()).String())
		require.Equal(t, http.StatusOK, r.status, r.body)
		require.Contains(t, r.body, "walkers")
	}

	r := c.do(0, http.MethodPost, "/orders", "{}")
	require.Equal(t, http.StatusUnauthorized, r.status, r.body)
	require.Equal(t, "not-run", r.header.Get(verdict.Header))
}
