package h1

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against passing on a field whose name is not a token: the next hop may read
// "Transfer-Encoding : chunked" as framing and refuse or misread the request.
func TestInvalidFieldNamesAreRefused(t *testing.T) {
	var handled atomic.Int32
	_, address := startServer(t, Limits{}, func(context.Context, *Request) *Response {
		handled.Add(1)
		return textResponse(200, "")
	})
	for _, field := range []string{
		"Transfer-Encoding : chunked", "Content-Length : 5", "X y: 1", "X(: 1", "X\x01: 1", "X\x7f: 1", "X\xe9: 1", ": 1", "X\t: 1", "Transfer-Encoding\t: chunked",
		"X: a\x00b", "X: a\x01b",
	} {
		t.Run(fmt.Sprintf("%q", field), func(t *testing.T) {
			conn, br := dial(t, address)
			sendf(conn, "POST / HTTP/1.1\r\nHost: a\r\n%s\r\n\r\n", field)
			resp, _ := readResponse(t, br)
			require.Equal(t, 400, resp.status)
			require.True(t, resp.closes)
		})
	}
	require.Zero(t, handled.Load())
}

// Guards against a caller or backend server that removes a field which the next hop needs
// by listing it in Connection.
func TestConnectionFieldKeepsProtectedFields(t *testing.T) {
	protected := func(name string) bool { return name == "Id" }
	out := EndToEnd(http.Header{"Connection": {"close, id, x-hop"}, "Id": {"1"}, "X-Hop": {"1"}, "X-End": {"1"}}, protected)
	require.Equal(t, http.Header{"Id": {"1"}, "X-End": {"1"}}, out)
}

// repeat writes until the peer closes the connection and counts the bytes.
func repeat(conn net.Conn, sent *atomic.Int64, text string) {
	block := []byte(strings.Repeat(text, 1+(64<<10)/len(text)))
	for {
		n, err := conn.Write(block)
		sent.Add(int64(n))
		if err != nil {
			return
		}
	}
}

// Guards against a backend server that sends bytes without end: the memory of the process
// and the time of the request would grow until the deadline.
func TestEndlessResponses(t *testing.T) {
	for name, response := range map[string]struct{ begin, repeated string }{
		"no response":          {"", "garbage "},
		"status line":          {"HTTP/1.1 200 ", "x"},
		"field name":           {"HTTP/1.1 200 OK\r\n", "x"},
		"field value":          {"HTTP/1.1 200 OK\r\nX: ", "x"},
		"fields":               {"HTTP/1.1 200 OK\r\n", "X: 1\r\n"},
		"informational":        {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"informational fields": {"HTTP/1.1 103 Early Hints\r\n", "X: 1\r\n"},
		"other responses":      {"", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1\r\n\r\nx"},
		"body":                 {"HTTP/1.1 200 OK\r\nId: 1\r\n\r\n", "x"},
		"length":               {"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9000000000000\r\n\r\n", "x"},
		"chunks":               {"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nxxxx\r\n"},
		"chunk size":           {"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
		"chunk extension":      {"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n4;", "x"},
		"trailer":              {"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: 1\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			var sent atomic.Int64
			closed := make(chan struct{})
			c := startBackend(t, func(_ int, conn net.Conn, br *bufio.Reader) {
				_, _ = http.ReadRequest(br)
				sendf(conn, "%s", response.begin)
				repeat(conn, &sent, response.repeated)
				close(closed)
			})
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			_, err := c.Do(ctx, newRequest("1", false))
			var upstreamErr *UpstreamError
			require.ErrorAs(t, err, &upstreamErr)
			require.True(t, upstreamErr.Sent)
			require.NoError(t, ctx.Err(), "the response was read until the deadline")
			<-closed
			// The limits are 64 KiB for a head and 1 MiB for a body here; the rest is in the
			// buffers of the sockets.
			require.Less(t, sent.Load(), int64(16<<20))
			require.Empty(t, c.idle)
		})
	}
}

// Guards against a second copy of a response that reaches the caller of the next request
// on the connection, or any of its bytes.
func TestLateSecondResponse(t *testing.T) {
	const copied = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\nlate"
	for name, serve := range map[string]func(conn net.Conn, r *http.Request, first bool){
		"in the same segment": func(conn net.Conn, r *http.Request, first bool) {
			own := "HTTP/1.1 200 OK\r\nId: " + r.Header.Get("Id") + "\r\nContent-Length: 2\r\n\r\nok"
			if first {
				own += copied
			}
			sendf(conn, "%s", own)
		},
		"between the requests": func(conn net.Conn, r *http.Request, first bool) {
			respondWithID(conn, r)
			if first {
				time.Sleep(20 * time.Millisecond)
				sendf(conn, "%s", copied)
			}
		},
		"before the next response": func(conn net.Conn, r *http.Request, first bool) {
			if !first {
				sendf(conn, "%s", copied)
			}
			respondWithID(conn, r)
		},
		"after an informational response": func(conn net.Conn, r *http.Request, first bool) {
			if !first {
				sendf(conn, "HTTP/1.1 103 Early Hints\r\n\r\n%s", copied)
			}
			respondWithID(conn, r)
		},
		"half before the next request": func(conn net.Conn, r *http.Request, first bool) {
			if first {
				respondWithID(conn, r)
				sendf(conn, "%s", copied[:30])
				return
			}
			sendf(conn, "%s", copied[30:])
			respondWithID(conn, r)
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := startBackend(t, func(n int, conn net.Conn, br *bufio.Reader) {
				for i := 0; ; i++ {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					if n > 0 {
						respondWithID(conn, r)
						continue
					}
					serve(conn, r, i == 0)
				}
			})
			for i, id := range []string{"1", "2", "3"} {
				resp, err := c.Do(t.Context(), newRequest(id, false))
				if err != nil {
					continue // A failure is allowed, the response to another request is not.
				}
				require.Equal(t, id, resp.Header.Get("Id"))
				require.Equal(t, "ok", string(resp.Body))
				if i == 0 {
					time.Sleep(50 * time.Millisecond)
				}
			}
		})
	}
}

// Guards against a process that ends because the handler of one request panics.
func TestPanicEndsOnlyItsRequest(t *testing.T) {
	var panics atomic.Int32
	s, address := startServer(t, Limits{}, func(_ context.Context, r *Request) *Response {
		if r.URL.Path == "/panic" {
			panic("test")
		}
		return textResponse(200, "ok")
	})
	s.OnPanic = func(any) *Response {
		panics.Add(1)
		return textResponse(500, "")
	}
	conn, br := dial(t, address)
	sendf(conn, "GET /panic HTTP/1.1\r\nHost: a\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n")
	resp, _ := readResponse(t, br)
	require.Equal(t, 500, resp.status)
	resp, body := readResponse(t, br)
	require.Equal(t, 200, resp.status)
	require.Equal(t, "ok", body)
	require.EqualValues(t, 1, panics.Load())
}
