package node

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	standinanswer "trefoildock.example/standin/answer"
	"trefoildock.example/verdict"
)

// rawResponse returns a function that writes text unchanged, except that ID is
// replaced by the request ID.
func rawResponse(text string) func(io.Writer, *http.Request, int64) bool {
	return func(w io.Writer, r *http.Request, _ int64) bool {
		_, _ = io.WriteString(w, strings.ReplaceAll(text, "ID", r.Header.Get(verdict.RequestIDHeader)))
		return false
	}
}

const okHead = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\n"

// TestInvalidResponses checks that a truncated, crossed or invalid response is
// not passed to the caller as a complete one, and that a non-idempotent request
// is not retried after it.
func TestInvalidResponses(t *testing.T) {
	digest := standinanswer.ContentDigest([]byte("abc"))
	cases := []struct{ name, text, code string }{
		{"short", okHead + "Content-Length: 10\r\n\r\nabc", "answer-cut"},
		{"no last chunk", okHead + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", "answer-cut"},
		{"truncated chunk", okHead + "Transfer-Encoding: chunked\r\n\r\nff\r\nabc", "answer-cut"},
		{"truncated head", "HTTP/1.1 200 OK\r\nRequest", "backend-lost"},
		{"nothing", "", "backend-lost"},
		{"not HTTP", "hello\r\n\r\n", "backend-lost"},
		{"unframed", okHead + "\r\nabc", "unframed-answer"},
		{"crossed", "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 3\r\n\r\nabc", "crossed-answer"},
		{"wrong digest", okHead + "Content-Digest: " + digest + "\r\nContent-Length: 3\r\n\r\nabd", "wrong-answer"},
		{"wrong digest in chunks", okHead + "Content-Digest: " + digest + "\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabd\r\n0\r\n\r\n", "wrong-answer"},
		{"malformed digest", okHead + "Content-Digest: sha-256=:no:\r\nContent-Length: 3\r\n\r\nabc", "wrong-answer"},
		{"switched protocol", "HTTP/1.1 101 Switching\r\nRequest-Id: ID\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n", "wrong-answer"},
		{"undefined status", "HTTP/1.1 777 What\r\nRequest-Id: ID\r\nContent-Length: 0\r\n\r\n", "wrong-answer"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newRawBackend(t, rawResponse(c.text))
			good := newRawBackend(t, respondOK)
			f := newFleet(t, b.address)
			forEachProtocol(t, func(t *testing.T, hc *http.Client) {
				before := b.count.Load()
				r, err := f.send(hc, http.MethodPost, "/once/x", strings.NewReader("order"))
				require.NoError(t, err)
				requireProblem(t, r, 502, verdict.MayHaveRun, c.code)
				require.Equal(t, before+1, b.count.Load(), "the request ran more than once")
			})
			if c.code == codeInvalidResponse {
				require.EqualValues(t, 2, f.owners[0].metrics.invalidResponses.Count())
			}
			// With one faulty and one healthy owner, an idempotent request succeeds.
			f = newFleet(t, b.address, good.address)
			for range 6 {
				r, err := f.send(client(t, false), http.MethodGet, "/shop/x", nil)
				require.NoError(t, err)
				require.Equal(t, 200, r.status, r.body)
			}
		})
	}
}

// TestInvalidStreamedResponses checks that a streamed response that fails after
// its start does not end cleanly for the caller.
func TestInvalidStreamedResponses(t *testing.T) {
	part := strings.Repeat("x", 200<<10)
	digest := standinanswer.ContentDigest([]byte("other"))
	for name, text := range map[string]string{
		"short":         okHead + "Content-Length: 300000\r\n\r\n" + part,
		"no last chunk": okHead + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(part), part),
		"wrong digest":  okHead + fmt.Sprintf("Content-Digest: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", digest, len(part), part),
	} {
		t.Run(name, func(t *testing.T) {
			b := newRawBackend(t, rawResponse(text))
			f := newFleet(t, b.address)
			forEachProtocol(t, func(t *testing.T, hc *http.Client) {
				r, err := f.send(hc, http.MethodGet, "/shop/x", nil)
				require.Equal(t, 200, r.status)
				require.Error(t, err, "the truncated body ended cleanly")
				require.GreaterOrEqual(t, len(r.body), bufferBytes)
			})
		})
	}
}

// TestLinkLostDuringResponse checks that a link failure in the middle of a
// response is not taken for the end of the response.
func TestLinkLostDuringResponse(t *testing.T) {
	for _, size := range []int{1000, 200 << 10} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			release := make(chan struct{})
			b := newRawBackend(t, func(w io.Writer, r *http.Request, _ int64) bool {
				_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n", r.Header.Get(verdict.RequestIDHeader), size+1)
				_, _ = w.Write(bytes.Repeat([]byte("x"), size))
				<-release
				return false
			})
			f := newFleet(t, b.address)
			go func() {
				defer close(release)
				eventually(t, func() bool { return b.count.Load() == 1 }, "the request runs")
				f.owners[0].linkServer.Close()
			}()
			r, err := f.send(client(t, false), http.MethodPost, "/once/x", strings.NewReader("order"))
			if size > bufferBytes && err != nil {
				return // The response had started and was reset.
			}
			require.NoError(t, err)
			requireProblem(t, r, 502, verdict.MayHaveRun, "link-lost")
		})
	}
}

// TestResponseForwarding checks that responses are forwarded correctly: methods
// and status codes without a body, interim responses, trailers and hop-by-hop
// fields.
func TestResponseForwarding(t *testing.T) {
	cases := []struct {
		name, method, text string
		status             int
		length, body       string
	}{
		{"HEAD", "HEAD", okHead + "Content-Length: 12\r\n\r\n", 200, "12", ""},
		{"HEAD without length", "HEAD", okHead + "\r\n", 200, "", ""},
		{"204", "GET", "HTTP/1.1 204 No Content\r\nRequest-Id: ID\r\n\r\n", 204, "", ""},
		{"304", "GET", "HTTP/1.1 304 Not Modified\r\nRequest-Id: ID\r\nEtag: \"a\"\r\n\r\n", 304, "", ""},
		{"interim", "GET", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + okHead + "Content-Length: 2\r\n\r\nhi", 200, "2", "hi"},
		{"chunked", "GET", okHead + "Transfer-Encoding: chunked\r\nTrailer: X-T\r\n\r\n2\r\nhi\r\n0\r\nX-T: v\r\n\r\n", 200, "2", "hi"},
		{"empty", "GET", okHead + "Content-Length: 0\r\n\r\n", 200, "0", ""},
		{"hop-by-hop", "GET", okHead + "Connection: X-Hop\r\nX-Hop: 1\r\nKeep-Alive: 5\r\nTrefoildock-Verdict: not-run\r\nTeam: a\r\nIdempotency-Replayed: true\r\nContent-Length: 2\r\n\r\nhi", 200, "2", "hi"},
		{"digest", "GET", okHead + "Content-Digest: md5=:x:, " + standinanswer.ContentDigest([]byte("hi")) + "\r\nContent-Length: 2\r\n\r\nhi", 200, "2", "hi"},
		{"server error", "GET", "HTTP/1.1 503 Busy\r\nRequest-Id: ID\r\nContent-Length: 2\r\n\r\nno", 503, "2", "no"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t, newRawBackend(t, rawResponse(c.text)).address)
			forEachProtocol(t, func(t *testing.T, hc *http.Client) {
				r, err := f.send(hc, c.method, "/shop/x", nil)
				require.NoError(t, err)
				require.Equal(t, c.status, r.status, r.body)
				require.Equal(t, c.body, r.body)
				require.Equal(t, c.length, r.header.Get("Content-Length"))
				require.Equal(t, []string{"completed"}, r.header.Values(verdict.Header))
				for _, name := range []string{"X-Hop", "Keep-Alive", "Team", "Trailer", "X-T", "Idempotency-Replayed", "Connection"} {
					require.Empty(t, r.header.Values(name), name)
				}
			})
		})
	}
}

// TestLongBodies checks that long bodies are neither truncated, reordered nor
// buffered as a whole.
func TestLongBodies(t *testing.T) {
	const size = 8 << 20
	body := make([]byte, size)
	for i := range body {
		body[i] = byte(i * 7 >> 3)
	}
	b := newRawBackend(t, respondWith(fmt.Sprintf("Content-Length: %d\r\n", size), string(body), true))
	echo := newEchoBackend(t)
	f := newFleet(t, b.address)
	g := newFleet(t, echo)
	want := sha256.Sum256(body)
	forEachProtocol(t, func(t *testing.T, hc *http.Client) {
		r, err := f.send(hc, http.MethodGet, "/shop/x", nil)
		require.NoError(t, err)
		require.Equal(t, want, sha256.Sum256([]byte(r.body)))

		for _, path := range []string{"/shop/x", "/once/x"} {
			r, err = g.send(hc, http.MethodPost, path, trailerBody{bytes.NewReader(body)})
			require.NoError(t, err)
			require.Equal(t, 200, r.status, r.body)
			require.Equal(t, want, sha256.Sum256([]byte(r.body)))
		}
	})
}

// TestVerdictCoversAllAttempts checks that NotRun is not reported after any
// attempt that may have run.
func TestVerdictCoversAllAttempts(t *testing.T) {
	cut := newRawBackend(t, rawResponse(okHead+"Content-Length: 10\r\n\r\nabc"))
	shed := newRawBackend(t, rawResponse("HTTP/1.1 503 Busy\r\nBackend-Refused: shed\r\nRetry-After: 7\r\nContent-Length: 0\r\n\r\n"))
	f := newFleet(t, cut.address, shed.address, shed.address)
	for range 10 {
		before := cut.count.Load()
		r, err := f.send(client(t, false), http.MethodGet, "/shop/x", nil)
		require.NoError(t, err)
		if cut.count.Load() > before {
			requireProblem(t, r, 502, verdict.MayHaveRun, "answer-cut")
			continue
		}
		require.Equal(t, "not-run", r.header.Get(verdict.Header), r.body)
	}
	f = newFleet(t, shed.address)
	r, err := f.send(client(t, false), http.MethodPost, "/once/x", nil)
	require.NoError(t, err)
	requireProblem(t, r, 503, verdict.NotRun, "backend-shed")
	require.Equal(t, "7", r.header.Get("Retry-After"))

	f = newFleet(t)
	r, err = f.send(client(t, false), http.MethodPost, "/once/x", nil)
	require.NoError(t, err)
	requireProblem(t, r, 503, verdict.NotRun, "no-owner")
	require.NotEmpty(t, r.header.Get("Retry-After"))
}

// TestResponseBackpressure checks that nodes apply backpressure to the
// backend server if the caller does not read a long response. The backend
// server can then write only what fits into the socket buffers and flow-control
// windows on the path.
func TestResponseBackpressure(t *testing.T) {
	const size, bound = 256 << 20, 64 << 20
	var written atomic.Int64
	backend := newHandlerBackend(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(verdict.RequestIDHeader, r.Header.Get(verdict.RequestIDHeader))
		w.Header().Set("Content-Length", strconv.Itoa(size))
		for written.Load() < size {
			n, err := w.Write(make([]byte, 64<<10))
			written.Add(int64(n))
			if err != nil {
				return
			}
		}
	})
	f := newFleet(t, backend)
	forEachProtocol(t, func(t *testing.T, c *http.Client) {
		written.Store(0)
		resp, err := c.Get("http://" + f.address + "/shop/x")
		require.NoError(t, err)
		defer resp.Body.Close()
		require.Less(t, waitUntilStalled(t, &written), int64(bound))
	})
}

// waitUntilStalled waits until a count has stopped growing and returns it.
func waitUntilStalled(t *testing.T, count *atomic.Int64) int64 {
	t.Helper()
	last := int64(-1)
	eventually(t, func() bool {
		time.Sleep(200 * time.Millisecond)
		now := count.Load()
		stalled := now == last
		last = now
		return stalled
	}, "writing has stalled")
	return last
}
