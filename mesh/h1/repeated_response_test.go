package h1

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func requestIDOf(h http.Header) string { return h.Get("Request-Id") }

// listenRaw serves each connection with serve, which gets its number.
func listenRaw(t *testing.T, serve func(n int, conn net.Conn, br *bufio.Reader)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	go func() {
		for n := 0; ; n++ {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() { defer conn.Close(); serve(n, conn, bufio.NewReader(conn)) }()
		}
	}()
	return ln.Addr().String()
}

// Guards against an earlier refusal that a backend server repeats on a kept connection and that
// is taken for the answer to the same request, which it now runs.
func TestRepeatedRefusalIsNotTheAnswerToTheNextAttempt(t *testing.T) {
	refusal := "HTTP/1.1 503 X\r\nRequest-Id: r1\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	address := listenRaw(t, func(n int, conn net.Conn, br *bufio.Reader) {
		for requests := 0; ; requests++ {
			if _, err := http.ReadRequest(br); err != nil {
				return
			}
			if n == 0 {
				_, _ = fmt.Fprint(conn, refusal) // Repeated on each further request.
				if requests == 0 {
					continue
				}
			}
			_, _ = fmt.Fprint(conn, "HTTP/1.1 200 X\r\nRequest-Id: r1\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	c := &Client{Address: address, RequestID: requestIDOf, MaxBodyBytes: 100}
	request := &UpstreamRequest{Method: "POST", Target: "/", Host: "shop", ID: "r1", Header: http.Header{"Request-Id": {"r1"}}, AllowResend: func() bool { return false }}
	resp, err := c.Do(t.Context(), request)
	require.NoError(t, err)
	require.Equal(t, 503, resp.Status)
	resp, err = c.Do(t.Context(), request)
	require.NoError(t, err)
	require.Equal(t, 200, resp.Status)
}

// Guards against an answer that ends within its head, at any byte, but counts as complete.
func TestAnswerThatEndsInItsHeadFails(t *testing.T) {
	for _, framing := range []string{"Content-Length: 12\r\n", "Transfer-Encoding: chunked\r\n", ""} {
		head := "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Seal: s\r\n" + framing + "\r\n"
		for end := range len(head) {
			address := listenRaw(t, func(_ int, conn net.Conn, br *bufio.Reader) {
				if _, err := http.ReadRequest(br); err == nil {
					_, _ = fmt.Fprint(conn, head[:end])
				}
			})
			c := &Client{Address: address, RequestID: requestIDOf, MaxBodyBytes: 100}
			_, err := c.Do(t.Context(), &UpstreamRequest{Method: "GET", Target: "/", Host: "shop", ID: "r1", AllowResend: func() bool { return false }})
			require.Error(t, err, "%q", head[:end])
		}
	}
}

// Guards against connections that pile up because each one has refused a request.
func TestConnectionWithManyRefusalsIsClosed(t *testing.T) {
	address := listenRaw(t, func(_ int, conn net.Conn, br *bufio.Reader) {
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 X\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", requestIDOf(r.Header))
		}
	})
	dials := 0
	c := &Client{Address: address, RequestID: requestIDOf, MaxBodyBytes: 100, OnDial: func() { dials++ }}
	for i := range 10 * maxFailedIDs {
		id := fmt.Sprint("r", i)
		_, err := c.Do(t.Context(), &UpstreamRequest{Method: "GET", Target: "/", Host: "shop", ID: id, Header: http.Header{"Request-Id": {id}}, AllowResend: func() bool { return false }})
		require.NoError(t, err)
	}
	require.Equal(t, 10, dials)
	require.Eventually(t, func() bool { c.mu.Lock(); defer c.mu.Unlock(); return len(c.idle) <= 1 }, time.Second, time.Millisecond)
}
