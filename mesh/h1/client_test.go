package h1

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

// startBackend accepts connections and passes each with its number to serve.
func startBackend(t *testing.T, serve func(n int, conn net.Conn, br *bufio.Reader)) *Client {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() {
		for n := 0; ; n++ {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				serve(n, conn, bufio.NewReader(conn))
			}()
		}
	}()
	c := &Client{Address: ln.Addr().String(), MaxBodyBytes: 1 << 20, RequestID: func(h http.Header) string { return h.Get("Id") }}
	t.Cleanup(func() { ln.Close(); c.Close() })
	return c
}

func newRequest(id string, retryable bool) *UpstreamRequest {
	return &UpstreamRequest{Method: "GET", Target: "/", Host: "a", ID: id, AllowResend: func() bool { return retryable }, Header: http.Header{"Id": {id}}}
}

func respondWithID(conn net.Conn, r *http.Request) {
	sendf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nok", r.Header.Get("Id"))
}

// Guards against a response to an earlier request that is taken as the response to the next.
func TestStaleResponsesAreDiscarded(t *testing.T) {
	c := startBackend(t, func(_ int, conn net.Conn, br *bufio.Reader) {
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			if r.Header.Get("Id") == "2" {
				sendf(conn, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\nlate")
			}
			respondWithID(conn, r)
		}
	})
	for _, id := range []string{"1", "2", "3"} {
		resp, err := c.Do(t.Context(), newRequest(id, false))
		require.NoError(t, err)
		require.Equal(t, "ok", string(resp.Body))
		require.Equal(t, id, resp.Header.Get("Id"))
	}
}

// Guards against the reuse of a connection with unread bytes.
func TestUnreadBytesPreventReuse(t *testing.T) {
	connections := make(chan int, 10)
	c := startBackend(t, func(n int, conn net.Conn, br *bufio.Reader) {
		connections <- n
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			sendf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nokSURPLUS", r.Header.Get("Id"))
		}
	})
	for _, id := range []string{"1", "2"} {
		_, err := c.Do(t.Context(), newRequest(id, false))
		require.NoError(t, err)
	}
	require.Equal(t, 0, <-connections)
	require.Equal(t, 1, <-connections)
}

// Guards against a request that is sent twice because the backend server has closed
// an idle connection.
func TestClosedIdleConnection(t *testing.T) {
	c := startBackend(t, func(n int, conn net.Conn, br *bufio.Reader) {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		respondWithID(conn, r)
		if n == 0 {
			_, _ = http.ReadRequest(br) // The next request is read and gets no response.
			return
		}
		_, _ = http.ReadRequest(br)
	})
	_, err := c.Do(t.Context(), newRequest("1", false))
	require.NoError(t, err)
	_, err = c.Do(t.Context(), newRequest("2", false))
	var upstreamErr *UpstreamError
	require.ErrorAs(t, err, &upstreamErr)
	require.True(t, upstreamErr.Sent)
	require.False(t, upstreamErr.ResponseStarted)

	_, err = c.Do(t.Context(), newRequest("3", false))
	require.NoError(t, err)
	shortIdle := newRequest("4", false)
	shortIdle.MaxIdle = time.Nanosecond
	_, err = c.Do(t.Context(), shortIdle)
	require.NoError(t, err, "a connection that was idle for too long is not reused")
}

func TestRetryableRequestUsesNewConnection(t *testing.T) {
	c := startBackend(t, func(n int, conn net.Conn, br *bufio.Reader) {
		for i := 0; ; i++ {
			r, err := http.ReadRequest(br)
			if err != nil || n == 0 && i == 1 {
				return
			}
			respondWithID(conn, r)
		}
	})
	for _, id := range []string{"1", "2"} {
		_, err := c.Do(t.Context(), newRequest(id, true))
		require.NoError(t, err)
	}
}

// Guards against a truncated response that is taken as complete.
func TestTruncatedResponses(t *testing.T) {
	for name, response := range map[string]string{
		"sized":   "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10\r\n\r\nhalf",
		"chunked": "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"head":    "HTTP/1.1 200 OK\r\nId: 1\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			c := startBackend(t, func(_ int, conn net.Conn, br *bufio.Reader) {
				_, _ = http.ReadRequest(br)
				sendf(conn, "%s", response)
			})
			_, err := c.Do(t.Context(), newRequest("1", false))
			var upstreamErr *UpstreamError
			require.ErrorAs(t, err, &upstreamErr)
			require.True(t, upstreamErr.ResponseStarted)
		})
	}
}

// Guards against a response without a length that is taken as complete after a connection reset.
func TestResponseDelimitedByClose(t *testing.T) {
	for name, reset := range map[string]bool{"closed": false, "reset": true} {
		t.Run(name, func(t *testing.T) {
			c := startBackend(t, func(_ int, conn net.Conn, br *bufio.Reader) {
				_, _ = http.ReadRequest(br)
				sendf(conn, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nall")
				if reset {
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
			})
			resp, err := c.Do(t.Context(), newRequest("1", false))
			if reset {
				require.Error(t, err)
				return
			}
			require.NoError(t, err)
			require.Equal(t, "all", string(resp.Body))
		})
	}
}

// Guards against a failure if the backend server responds before it has read a large body.
func TestResponseBeforeRequestBodyIsRead(t *testing.T) {
	c := startBackend(t, func(_ int, conn net.Conn, br *bufio.Reader) {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		respondWithID(conn, r)
		time.Sleep(time.Second) // The body is not read.
	})
	req := newRequest("1", false)
	req.Method, req.Body = "POST", []byte(strings.Repeat("x", 16<<20))
	resp, err := c.Do(t.Context(), req)
	require.NoError(t, err)
	require.Equal(t, 200, resp.Status)
	require.Empty(t, c.idle, "the rest of the request body is still being written")
}

func TestRefusedConnectionIsReportedAsNotSent(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := ln.Addr().String()
	ln.Close()
	c := &Client{Address: address, MaxBodyBytes: 1, RequestID: func(http.Header) string { return "" }}
	_, err = c.Do(t.Context(), newRequest("1", false))
	var upstreamErr *UpstreamError
	require.ErrorAs(t, err, &upstreamErr)
	require.False(t, upstreamErr.Sent)
}

func TestCancelClosesConnection(t *testing.T) {
	closed := make(chan struct{})
	c := startBackend(t, func(_ int, _ net.Conn, br *bufio.Reader) {
		_, _ = http.ReadRequest(br)
		_, _ = br.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := c.Do(ctx, newRequest("1", true))
	require.True(t, errors.Is(err, context.DeadlineExceeded))
	<-closed
}
