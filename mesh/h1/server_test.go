package h1

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

type handlerFunc func(ctx context.Context, r *Request) *Response

// Handle implements Handler.
func (f handlerFunc) Handle(ctx context.Context, r *Request) *Response { return f(ctx, r) }

func textResponse(status int, body string) *Response {
	return &Response{Status: status, Header: http.Header{}, Body: []byte(body)}
}

func startServer(t *testing.T, limits Limits, h handlerFunc) (*Server, string) {
	t.Helper()
	s := &Server{
		Handler: h, Limits: func() Limits { return limits },
		Refuse: textResponse,
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = s.Serve(ln) }() // Returns when the listener is closed.
	t.Cleanup(func() { ln.Close(); s.Close() })
	return s, ln.Addr().String()
}

func dial(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	return conn, bufio.NewReader(conn)
}

// sendf writes to a peer that may have closed the connection.
func sendf(conn net.Conn, format string, args ...any) { _, _ = fmt.Fprintf(conn, format, args...) }

// receivedResponse is a response as received by a caller.
type receivedResponse struct {
	status int
	closes bool // the response closes the connection
}

func readResponse(t *testing.T, br *bufio.Reader) (receivedResponse, string) {
	t.Helper()
	resp, err := http.ReadResponse(br, nil)
	require.NoError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return receivedResponse{resp.StatusCode, resp.Close}, string(body)
}

// Guards against pipelined responses that are sent out of order.
func TestPipelinedResponsesKeepOrder(t *testing.T) {
	release := make(chan struct{})
	_, address := startServer(t, Limits{}, func(_ context.Context, r *Request) *Response {
		switch r.URL.Path {
		case "/0":
			<-release
		case "/4":
			close(release) // The handler of the first request returns last.
		}
		return textResponse(200, r.URL.Path)
	})
	conn, br := dial(t, address)
	for i := range 5 {
		sendf(conn, "GET /%d HTTP/1.1\r\nHost: a\r\n\r\n", i)
	}
	for i := range 5 {
		_, body := readResponse(t, br)
		require.Equal(t, fmt.Sprintf("/%d", i), body)
	}
}

// Guards against a handler that is not canceled when its caller closes the
// connection, also if further pipelined bytes are buffered.
func TestClosedConnectionCancelsHandler(t *testing.T) {
	for name, pipelined := range map[string]string{"alone": "", "pipelined bytes": "GET /next HTTP/1.1\r\nHo"} {
		t.Run(name, func(t *testing.T) {
			ended := make(chan struct{})
			_, address := startServer(t, Limits{}, func(ctx context.Context, _ *Request) *Response {
				<-ctx.Done()
				close(ended)
				return textResponse(499, "")
			})
			conn, _ := dial(t, address)
			sendf(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n%s", pipelined)
			time.Sleep(10 * time.Millisecond) // Allows the request to start; the result does not depend on it.
			conn.Close()
			<-ended
		})
	}
}

func TestRequestBodies(t *testing.T) {
	_, address := startServer(t, Limits{BodyBytes: 100}, func(_ context.Context, r *Request) *Response { return textResponse(200, string(r.Payload)) })
	conn, br := dial(t, address)
	sendf(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nsized")
	_, body := readResponse(t, br)
	require.Equal(t, "sized", body)
	sendf(conn, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nchu\r\n4\r\nnked\r\n0\r\n\r\n")
	_, body = readResponse(t, br)
	require.Equal(t, "chunked", body)
}

// Guards against limits that are not enforced and against refusals that do not
// reach the caller.
func TestLimits(t *testing.T) {
	limits := Limits{HeaderBytes: 1000, BodyBytes: 100, HeaderTimeout: 50 * time.Millisecond, IdleTimeout: time.Minute}
	cases := map[string]struct {
		sent   string
		status int
	}{
		"header too large":       {"GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 2000) + "\r\n\r\n", 431},
		"header far too large":   {"GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 20000) + "\r\n\r\n", 431},
		"body too large":         {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 101\r\n\r\n" + strings.Repeat("x", 101), 413},
		"chunked body too large": {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n65\r\n" + strings.Repeat("x", 101) + "\r\n0\r\n\r\n", 413},
		"header not complete":    {"GET / HTTP/1.1\r\nHost: a\r\n", 408},
		"not HTTP":               {"rubbish\r\n\r\n", 400},
		"no host":                {"GET / HTTP/1.1\r\n\r\n", 400},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, address := startServer(t, limits, func(context.Context, *Request) *Response { return textResponse(200, "") })
			conn, br := dial(t, address)
			sendf(conn, "%s", c.sent)
			resp, _ := readResponse(t, br)
			require.Equal(t, c.status, resp.status)
			require.True(t, resp.closes)
		})
	}
}

// Guards against a shutdown that aborts a request in flight or runs a request whose
// response cannot be sent.
func TestStopFinishesRequestsInFlight(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	s, address := startServer(t, Limits{}, func(context.Context, *Request) *Response {
		close(started)
		<-release
		return textResponse(200, "done")
	})
	idle, _ := dial(t, address)
	conn, br := dial(t, address)
	sendf(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	<-started
	require.Eventually(t, func() bool { return s.Connections() == 2 }, 5*time.Second, time.Millisecond)
	s.Stop()
	_, err := idle.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF, "idle connections are closed")
	close(release)
	resp, body := readResponse(t, br)
	require.Equal(t, "done", body)
	require.True(t, resp.closes)
	_, err = br.ReadByte()
	require.ErrorIs(t, err, io.EOF)
}

// Guards against a non-idempotent request that runs although the preceding response
// closes the connection, so that the caller sends it again.
func TestUnsafeRequestWaitsForEarlierResponses(t *testing.T) {
	release := make(chan struct{})
	var order []string
	_, address := startServer(t, Limits{}, func(_ context.Context, r *Request) *Response {
		if r.Method == http.MethodGet {
			<-release
		}
		order = append(order, r.Method)
		return textResponse(200, "")
	})
	conn, br := dial(t, address)
	sendf(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\nPOST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n")
	time.Sleep(10 * time.Millisecond) // Allows the POST request to run too early.
	close(release)
	readResponse(t, br)
	readResponse(t, br)
	require.Equal(t, []string{"GET", "POST"}, order)
}

// Guards against Close blocking on a connection whose goroutine waits for a response
// instead of reading.
func TestCloseEndsWaitingConnections(t *testing.T) {
	s, address := startServer(t, Limits{}, func(ctx context.Context, r *Request) *Response {
		<-ctx.Done()
		return textResponse(200, r.Method)
	})
	conn, _ := dial(t, address)
	sendf(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\nPOST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n")
	require.Eventually(t, func() bool { return s.Active() == 2 }, 5*time.Second, time.Millisecond)
	s.Close()
}
