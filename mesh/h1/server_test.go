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

type handlerFunc func(ctx context.Context, r *Request) *Answer

// Handle implements Handler.
func (f handlerFunc) Handle(ctx context.Context, r *Request) *Answer { return f(ctx, r) }

func text(status int, body string) *Answer {
	return &Answer{Status: status, Header: http.Header{}, Body: []byte(body)}
}

func listen(t *testing.T, limits Limits, h handlerFunc) (*Server, string) {
	t.Helper()
	s := &Server{
		Handler: h, Limits: func() Limits { return limits },
		Refuse: text,
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = s.Serve(ln) }() // Ends when the listener closes.
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

// send writes to a peer that may be gone.
func send(conn net.Conn, format string, args ...any) { _, _ = fmt.Fprintf(conn, format, args...) }

// received is an answer as a caller sees it.
type received struct {
	status int
	last   bool // the connection ends with it
}

func readAnswer(t *testing.T, br *bufio.Reader) (received, string) {
	t.Helper()
	resp, err := http.ReadResponse(br, nil)
	require.NoError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return received{resp.StatusCode, resp.Close}, string(body)
}

// Guards against pipelined answers that overtake each other.
func TestPipelinedAnswersKeepTheirOrder(t *testing.T) {
	release := make(chan struct{})
	_, address := listen(t, Limits{}, func(_ context.Context, r *Request) *Answer {
		switch r.URL.Path {
		case "/0":
			<-release
		case "/4":
			close(release) // The first request is answered last.
		}
		return text(200, r.URL.Path)
	})
	conn, br := dial(t, address)
	for i := range 5 {
		send(conn, "GET /%d HTTP/1.1\r\nHost: a\r\n\r\n", i)
	}
	for i := range 5 {
		_, body := readAnswer(t, br)
		require.Equal(t, fmt.Sprintf("/%d", i), body)
	}
}

// Guards against a request that runs on although its caller has left, also when
// pipelined bytes are buffered behind it.
func TestCallerThatLeavesIsNoticed(t *testing.T) {
	for name, behind := range map[string]string{"alone": "", "bytes behind": "GET /next HTTP/1.1\r\nHo"} {
		t.Run(name, func(t *testing.T) {
			ended := make(chan struct{})
			_, address := listen(t, Limits{}, func(ctx context.Context, _ *Request) *Answer {
				<-ctx.Done()
				close(ended)
				return text(499, "")
			})
			conn, _ := dial(t, address)
			send(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n%s", behind)
			time.Sleep(10 * time.Millisecond) // Lets the request start; the result does not depend on it.
			conn.Close()
			<-ended
		})
	}
}

func TestBodies(t *testing.T) {
	_, address := listen(t, Limits{BodyBytes: 100}, func(_ context.Context, r *Request) *Answer { return text(200, string(r.Payload)) })
	conn, br := dial(t, address)
	send(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nsized")
	_, body := readAnswer(t, br)
	require.Equal(t, "sized", body)
	send(conn, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nchu\r\n4\r\nnked\r\n0\r\n\r\n")
	_, body = readAnswer(t, br)
	require.Equal(t, "chunked", body)
}

// Guards against limits that are not kept, or that cost the caller its answer.
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
			_, address := listen(t, limits, func(context.Context, *Request) *Answer { return text(200, "") })
			conn, br := dial(t, address)
			send(conn, "%s", c.sent)
			resp, _ := readAnswer(t, br)
			require.Equal(t, c.status, resp.status)
			require.True(t, resp.last)
		})
	}
}

// Guards against a stop that cuts a request or runs one whose answer has no place.
func TestStopAnswersWhatWasRead(t *testing.T) {
	began, release := make(chan struct{}), make(chan struct{})
	s, address := listen(t, Limits{}, func(context.Context, *Request) *Answer {
		close(began)
		<-release
		return text(200, "done")
	})
	idle, _ := dial(t, address)
	conn, br := dial(t, address)
	send(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	<-began
	require.Eventually(t, func() bool { return s.Connections() == 2 }, 5*time.Second, time.Millisecond)
	s.Stop()
	_, err := idle.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF, "an idle connection is closed")
	close(release)
	resp, body := readAnswer(t, br)
	require.Equal(t, "done", body)
	require.True(t, resp.last)
	_, err = br.ReadByte()
	require.ErrorIs(t, err, io.EOF)
}

// Guards against a request that is not idempotent and runs although the answer
// before it ends the connection, so that its caller sends it again.
func TestOrderBehindOtherRequestsWaits(t *testing.T) {
	release := make(chan struct{})
	var order []string
	_, address := listen(t, Limits{}, func(_ context.Context, r *Request) *Answer {
		if r.Method == http.MethodGet {
			<-release
		}
		order = append(order, r.Method)
		return text(200, "")
	})
	conn, br := dial(t, address)
	send(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\nPOST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n")
	time.Sleep(10 * time.Millisecond) // Gives the order a chance to run too early.
	close(release)
	readAnswer(t, br)
	readAnswer(t, br)
	require.Equal(t, []string{"GET", "POST"}, order)
}

// Guards against a process that does not end because a handler waits and its
// connection is not read meanwhile.
func TestCloseEndsWaitingConnections(t *testing.T) {
	s, address := listen(t, Limits{}, func(ctx context.Context, r *Request) *Answer {
		<-ctx.Done()
		return text(200, r.Method)
	})
	conn, _ := dial(t, address)
	send(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\nPOST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n")
	require.Eventually(t, func() bool { return s.Active() == 2 }, 5*time.Second, time.Millisecond)
	s.Close()
}
