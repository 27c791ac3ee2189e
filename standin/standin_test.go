package standin

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against aborting a request in flight on shutdown.
func TestServeFinishesRequestsInFlight(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	listenerClosed := make(chan struct{})
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		cancel()
		<-listenerClosed
		_, _ = io.WriteString(w, "whole")
	})
	served := make(chan error, 1)
	go func() { served <- Serve(ctx, l, handler, time.Minute) }()
	go func() {
		defer close(listenerClosed)
		for { // Dials until the listener is closed.
			conn, err := net.Dial("tcp", l.Addr().String())
			if err != nil && ctx.Err() != nil {
				return
			}
			if err == nil {
				conn.Close()
			}
		}
	}()
	resp, err := http.Get("http://" + l.Addr().String())
	require.NoError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, "whole", string(body))
	require.NoError(t, <-served)
}
