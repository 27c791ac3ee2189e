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

// backend accepts connections and passes each with its number to serve.
func backend(t *testing.T, serve func(n int, conn net.Conn, br *bufio.Reader)) *Client {
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
	c := &Client{Address: ln.Addr().String(), MaxBody: 1 << 20, IDOf: func(h http.Header) string { return h.Get("Id") }}
	t.Cleanup(func() { ln.Close(); c.Close() })
	return c
}

func call(id string, repeatable bool) *Call {
	return &Call{Method: "GET", Target: "/", Host: "a", ID: id, Repeatable: repeatable, Header: http.Header{"Id": {id}}}
}

func echo(conn net.Conn, r *http.Request) {
	send(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nok", r.Header.Get("Id"))
}

// Guards against an answer to an earlier request being taken for that of the next.
func TestLateAnswersArePassedOver(t *testing.T) {
	c := backend(t, func(_ int, conn net.Conn, br *bufio.Reader) {
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			if r.Header.Get("Id") == "2" {
				send(conn, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\nlate")
			}
			echo(conn, r)
		}
	})
	for _, id := range []string{"1", "2", "3"} {
		reply, err := c.Do(t.Context(), call(id, false))
		require.NoError(t, err)
		require.Equal(t, "ok", string(reply.Body))
		require.Equal(t, id, reply.Header.Get("Id"))
	}
}

// Guards against a connection with unread bytes being used for the next request.
func TestSurplusBytesEndTheConnection(t *testing.T) {
	connections := make(chan int, 10)
	c := backend(t, func(n int, conn net.Conn, br *bufio.Reader) {
		connections <- n
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			send(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nokSURPLUS", r.Header.Get("Id"))
		}
	})
	for _, id := range []string{"1", "2"} {
		_, err := c.Do(t.Context(), call(id, false))
		require.NoError(t, err)
	}
	require.Equal(t, 0, <-connections)
	require.Equal(t, 1, <-connections)
}

// Guards against a request that is sent twice because a kept connection had
// been dropped by the backend server.
func TestDroppedIdleConnection(t *testing.T) {
	c := backend(t, func(n int, conn net.Conn, br *bufio.Reader) {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		echo(conn, r)
		if n == 0 {
			_, _ = http.ReadRequest(br) // The next request is read and dropped.
			return
		}
		_, _ = http.ReadRequest(br)
	})
	_, err := c.Do(t.Context(), call("1", false))
	require.NoError(t, err)
	_, err = c.Do(t.Context(), call("2", false))
	var failed *CallError
	require.ErrorAs(t, err, &failed)
	require.True(t, failed.Sent)
	require.False(t, failed.Answered)

	_, err = c.Do(t.Context(), call("3", false))
	require.NoError(t, err)
	fresh := call("4", false)
	fresh.FreshWithin = time.Nanosecond
	_, err = c.Do(t.Context(), fresh)
	require.NoError(t, err, "a connection that was idle for too long is not used")
}

func TestRepeatableCallUsesNewConnection(t *testing.T) {
	c := backend(t, func(n int, conn net.Conn, br *bufio.Reader) {
		for i := 0; ; i++ {
			r, err := http.ReadRequest(br)
			if err != nil || n == 0 && i == 1 {
				return
			}
			echo(conn, r)
		}
	})
	for _, id := range []string{"1", "2"} {
		_, err := c.Do(t.Context(), call(id, true))
		require.NoError(t, err)
	}
}

// Guards against a cut answer that looks whole.
func TestCutAnswers(t *testing.T) {
	for name, answer := range map[string]string{
		"sized":   "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10\r\n\r\nhalf",
		"chunked": "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"head":    "HTTP/1.1 200 OK\r\nId: 1\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			c := backend(t, func(_ int, conn net.Conn, br *bufio.Reader) {
				_, _ = http.ReadRequest(br)
				send(conn, "%s", answer)
			})
			_, err := c.Do(t.Context(), call("1", false))
			var failed *CallError
			require.ErrorAs(t, err, &failed)
			require.True(t, failed.Answered)
		})
	}
}

// Guards against an answer without a length that was reset being taken as whole.
func TestAnswerThatEndsWithItsConnection(t *testing.T) {
	for name, reset := range map[string]bool{"closed": false, "reset": true} {
		t.Run(name, func(t *testing.T) {
			c := backend(t, func(_ int, conn net.Conn, br *bufio.Reader) {
				_, _ = http.ReadRequest(br)
				send(conn, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nall")
				if reset {
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
			})
			reply, err := c.Do(t.Context(), call("1", false))
			if reset {
				require.Error(t, err)
				return
			}
			require.NoError(t, err)
			require.Equal(t, "all", string(reply.Body))
		})
	}
}

// Guards against a backend server that answers before it has read a long body.
func TestEarlyAnswer(t *testing.T) {
	c := backend(t, func(_ int, conn net.Conn, br *bufio.Reader) {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		echo(conn, r)
		time.Sleep(time.Second) // Reads nothing of the body meanwhile.
	})
	long := call("1", false)
	long.Method, long.Body = "POST", []byte(strings.Repeat("x", 16<<20))
	reply, err := c.Do(t.Context(), long)
	require.NoError(t, err)
	require.Equal(t, 200, reply.Status)
	require.Empty(t, c.idle, "the connection still carries the rest of the body")
}

func TestRefusedConnectionIsNotSent(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := ln.Addr().String()
	ln.Close()
	c := &Client{Address: address, MaxBody: 1, IDOf: func(http.Header) string { return "" }}
	_, err = c.Do(t.Context(), call("1", false))
	var failed *CallError
	require.ErrorAs(t, err, &failed)
	require.False(t, failed.Sent)
}

func TestCancelClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	c := backend(t, func(_ int, _ net.Conn, br *bufio.Reader) {
		_, _ = http.ReadRequest(br)
		_, _ = br.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := c.Do(ctx, call("1", true))
	require.True(t, errors.Is(err, context.DeadlineExceeded))
	<-closed
}
