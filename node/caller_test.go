package node

import (
	"bufio"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"trefoildock.example/verdict"
)

// rawExchange writes bytes to a connection and reads responses until the
// connection is closed or the expected number has arrived.
func (f *fleet) rawExchange(t *testing.T, text string, expected int) (responses []callerResponse, closed bool) {
	t.Helper()
	conn, err := net.Dial("tcp", f.address)
	require.NoError(t, err)
	defer conn.Close()
	go func() { _, _ = io.WriteString(conn, text) }() // The node may close the connection before it has read everything.
	br := bufio.NewReader(conn)
	for len(responses) < expected {
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			return responses, true
		}
		body, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		require.NoError(t, err)
		responses = append(responses, callerResponse{status: resp.StatusCode, header: resp.Header, body: string(body)})
		if resp.Close {
			_, err := br.ReadByte()
			require.Error(t, err, "bytes after the last response")
			return responses, true
		}
	}
	return responses, false
}

// TestAmbiguousRequests checks that malformed or ambiguous requests are not
// run, and that a connection with untrusted framing is not reused.
func TestAmbiguousRequests(t *testing.T) {
	b := newRawBackend(t, respondOK)
	f := newFleet(t, b.address)
	get := func(target string) string { return "GET " + target + " HTTP/1.1\r\nHost: a\r\n\r\n" }
	post := func(fields, body string) string {
		return "POST /shop/x HTTP/1.1\r\nHost: a\r\n" + fields + "\r\n" + body
	}
	cases := []struct {
		name, text string
		status     int
		code       string // empty if net/http itself responds
		closed     bool
	}{
		{"conflicting lengths", post("Content-Length: 3\r\nContent-Length: 4\r\n", "abcd"), 400, "", true},
		{"length list", post("Content-Length: 3, 4\r\n", "abcd"), 400, "", true},
		{"signed length", post("Content-Length: +3\r\n", "abc"), 400, "", true},
		{"space before colon", post("Content-Length : 3\r\n", "abc"), 400, "", true},
		{"unknown coding", post("Transfer-Encoding: gzip, chunked\r\n", "0\r\n\r\n"), 501, "", true},
		{"two codings", post("Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n", "0\r\n\r\n"), 501, "", true},
		{"bad chunk size", post("Transfer-Encoding: chunked\r\n", "zz\r\nabc\r\n0\r\n\r\n"), 400, "body-incomplete", true},
		{"endless chunk size", post("Transfer-Encoding: chunked\r\n", strings.Repeat("1", 5000)), 400, "body-incomplete", true},
		{"large header", "GET /shop/x HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 64<<10) + "\r\n\r\n", 431, "", true},
		{"declared too long", post("Content-Length: 99999999\r\n", "abc"), 413, "body-too-large", true},
		{"two hosts", "GET /shop/x HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400, "", true},
		{"no host", "GET /shop/x HTTP/1.1\r\n\r\n", 400, "", true},
		{"host with path", "GET /shop/x HTTP/1.1\r\nHost: a/b\r\n\r\n", 400, "", true},
		{"host list", "GET /shop/x HTTP/1.1\r\nHost: a,b\r\n\r\n", 400, "bad-host", false},
		{"encoded host", "GET /shop/x HTTP/1.1\r\nHost: a%2fb\r\n\r\n", 400, "bad-host", false},
		{"CONNECT", "CONNECT a:80 HTTP/1.1\r\nHost: a:80\r\n\r\n", 501, "not-supported", false},
		{"TRACE", "TRACE /shop/x HTTP/1.1\r\nHost: a\r\n\r\n", 501, "not-supported", false},
		{"upgrade", "GET /shop/x HTTP/1.1\r\nHost: a\r\nConnection: upgrade\r\nUpgrade: websocket\r\n\r\n", 501, "not-supported", false},
		{"asterisk", "OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n", 400, "bad-target", false},
		{"empty segment", get("/shop//x"), 400, "ambiguous-path", false},
		{"dot segment", get("/shop/../once/x"), 400, "ambiguous-path", false},
		{"encoded dots", get("/shop/%2e%2E/once/x"), 400, "ambiguous-path", false},
		{"dots with parameter", get("/shop/..;a/x"), 400, "ambiguous-path", false},
		{"encoded slash", get("/shop%2Fx"), 400, "ambiguous-path", false},
		{"double-encoded slash in path", get("/shop/..%252fonce"), 400, "ambiguous-path", false},
		{"backslash", get("/shop/%5c..%5cx"), 400, "ambiguous-path", false},
		{"encoded NUL", get("/shop/%00"), 400, "ambiguous-path", false},
		{"no route", get("/none"), 404, "no-route", false},
		{"bad timeout", "GET /shop/x HTTP/1.1\r\nHost: a\r\nRequest-Timeout: soon\r\n\r\n", 400, "bad-timeout", false},
		{"two idempotency keys", post("Idempotency-Key: a\r\nIdempotency-Key: b\r\nContent-Length: 0\r\n", ""), 400, "ambiguous-idempotency-key", false},
		{"two keys", "GET /shop/x?api_key=one-long-key HTTP/1.1\r\nHost: a\r\nX-Api-Key: other-long-key\r\n\r\n", 400, "ambiguous-key", false},
		{"key in path", "GET /shop/my-long-%6bey HTTP/1.1\r\nHost: a\r\nX-Api-Key: my-long-key\r\n\r\n", 400, "key-in-target", false},
		{"key in host", "GET /shop/x HTTP/1.1\r\nHost: my-long-key.a\r\nX-Api-Key: my-long-key\r\n\r\n", 400, "key-in-target", false},
		{"no key", get("/team/x"), 401, "unauthorized", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			responses, closed := f.rawExchange(t, c.text, 1)
			require.Len(t, responses, 1)
			require.Equal(t, c.status, responses[0].status, responses[0].body)
			require.Equal(t, c.closed, closed)
			if c.code != "" {
				requireProblem(t, responses[0], c.status, verdict.NotRun, c.code)
			}
		})
	}
	require.Zero(t, b.count.Load(), "a refused request ran")
}

// TestRequestSmuggling checks for request smuggling: bytes after a request
// with two framings, or with a framing that HTTP/1.0 does not define, must not
// run as a second request.
func TestRequestSmuggling(t *testing.T) {
	hidden := "GET /shop/hidden HTTP/1.1\r\nHost: a\r\n\r\n"
	for name, text := range map[string]string{
		"length before chunked": "POST /shop/x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden,
		"chunked before length": "POST /shop/x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 400\r\n\r\n1\r\na\r\n0\r\n\r\n" + hidden,
		"chunked in HTTP/1.0":   "POST /shop/x HTTP/1.0\r\nHost: a\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n" + hidden,
		"refused with body":     "POST /none HTTP/1.1\r\nHost: a\r\nContent-Length: 99999\r\n\r\n" + hidden,
		"upgrade with chunks":   "POST /shop/x HTTP/1.1\r\nHost: a\r\nUpgrade: h2c\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden,
	} {
		t.Run(name, func(t *testing.T) {
			b := newRawBackend(t, respondOK)
			f := newFleet(t, b.address)
			responses, closed := f.rawExchange(t, text, 2)
			require.Len(t, responses, 1)
			require.True(t, closed)
			require.LessOrEqual(t, b.count.Load(), int64(1))
			for _, r := range b.requests {
				require.Equal(t, "/shop/x", r.URL.Path)
				require.Empty(t, r.TransferEncoding, "the request is forwarded with a Content-Length")
				require.GreaterOrEqual(t, r.ContentLength, int64(0))
			}
		})
	}
}

// TestConnectionReuse checks that pipelined and repeated requests on one
// connection are not lost.
func TestConnectionReuse(t *testing.T) {
	b := newRawBackend(t, respondOK)
	f := newFleet(t, b.address)
	one := "POST /shop/x HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi"
	responses, closed := f.rawExchange(t, one+one+"GET http://b.example/shop/y HTTP/1.1\r\nHost: a\r\n\r\n", 3)
	require.False(t, closed)
	for _, r := range responses {
		require.Equal(t, 200, r.status, r.body)
	}
	require.Equal(t, "b.example", b.last().Host, "the absolute form determines the host")
}

// TestSlowAndEndlessCallers checks that slow headers, slow bodies and endless
// bodies do not hold a connection indefinitely.
func TestSlowAndEndlessCallers(t *testing.T) {
	b := newRawBackend(t, respondOK)
	f := newFleet(t, b.address)
	responses, closed := f.rawExchange(t, "GET /shop/x HTTP/1.1\r\nHost:", 1)
	require.Empty(t, responses, "net/http closes without a response")
	require.True(t, closed)

	responses, closed = f.rawExchange(t, "POST /brief/x HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc", 1)
	require.True(t, closed || len(responses) == 1)
	requireProblem(t, responses[0], 408, verdict.NotRun, "body-too-slow")

	endless := strings.Repeat("8000\r\n"+strings.Repeat("x", 0x8000)+"\r\n", 600)
	responses, closed = f.rawExchange(t, "POST /shop/x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"+endless, 1)
	require.True(t, closed)
	if len(responses) == 1 { // Closing with unread input may reset the connection before the response is read.
		requireProblem(t, responses[0], 413, verdict.MayHaveRun, "body-too-large")
	}
	require.Zero(t, b.count.Load())
}

const testKey = "tdk_0123456789abcdefghijklmnopqrstuvwxyz"

// TestKeyAndForgedFieldsAreStripped checks that the key is not forwarded to a
// backend server in any form, and that reserved fields cannot be forged.
func TestKeyAndForgedFieldsAreStripped(t *testing.T) {
	b := newRawBackend(t, respondOK)
	f := newFleet(t, b.address)
	forEachProtocol(t, func(t *testing.T, c *http.Client) {
		h2 := !c.Transport.(*http.Transport).Protocols.HTTP1()
		fields := []string{
			"Authorization", "Bearer " + testKey, "x-aPi-kEy", testKey, "Cookie", "a=b; k=" + testKey,
			"X-Other", "v:" + testKey, "X-Escaped", "tdk%5f0123456789abcdefghijklmnopqrstuvwxyz", "X-" + testKey, "1",
			"Proxy-Authorization", "Token " + testKey, "Team", "boss", "Request-Id", "forged",
			verdict.Header, "completed", verdict.RefusedHeader, "shed", "Idempotency-Key", "order-1", "X-Kept", "yes",
		}
		if !h2 {
			fields = append(fields, "Connection", "X-Hop, Keep-Alive", "X-Hop", "1", "Keep-Alive", "9", "Te", "trailers", "Proxy-Connection", "x")
		}
		r, err := f.send(c, http.MethodPost, "/shop/x?a=1&Api_Key="+testKey+"&x="+testKey+"&api%5Fkey=other&b=2;API_KEY=q&c=%20", strings.NewReader("body"), fields...)
		require.NoError(t, err)
		requireProblem(t, r, 400, verdict.NotRun, "ambiguous-key")

		r, err = f.send(c, http.MethodPost, "/shop/x?a=1&Api_Key="+testKey+"&x="+testKey+"&b=2;API_KEY=q&c=%20", trailerBody{strings.NewReader("body")}, fields...)
		require.NoError(t, err)
		require.Equal(t, 200, r.status, r.body)
		require.Equal(t, []string{"completed"}, r.header.Values(verdict.Header))
		require.Equal(t, []string{r.header.Get("Request-Id")}, r.header.Values("Request-Id"))
		got := b.last()
		require.NotContains(t, strings.ToLower(fmt.Sprint(got.Header, got.Trailer, got.RequestURI, got.Host)), testKey)
		require.Equal(t, "/shop/x?a=1&c=%20", got.RequestURI)
		require.Equal(t, "order-1", got.Header.Get("Idempotency-Key"))
		require.Equal(t, "yes", got.Header.Get("X-Kept"))
		require.NotEmpty(t, got.Header.Get("Request-Timeout"))
		require.NotEqual(t, "forged", got.Header.Get("Request-Id"))
		for _, name := range []string{"Team", verdict.Header, verdict.RefusedHeader, "X-Hop", "Keep-Alive", "Te", "Trailer", "Proxy-Connection", "Cookie", "X-Other", "X-Escaped"} {
			require.Empty(t, got.Header.Values(name), name)
		}
	})
}

// trailerBody hides the body length, so that the body is sent in chunks.
type trailerBody struct{ io.Reader }

// TestRequestTrailersAreDropped checks that request trailers do not carry the
// key to a backend server.
func TestRequestTrailersAreDropped(t *testing.T) {
	b := newRawBackend(t, respondOK)
	f := newFleet(t, b.address)
	responses, _ := f.rawExchange(t, "POST /shop/x HTTP/1.1\r\nHost: a\r\nConnection: close, X-Hop\r\nX-Hop: 1\r\nX-Api-Key: "+testKey+"\r\nTrailer: X-Late\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nX-Late: "+testKey+"\r\n\r\n", 1)
	require.Equal(t, 200, responses[0].status, responses[0].body)
	require.NotContains(t, fmt.Sprint(b.last().Header, b.last().Trailer), testKey)
	require.Empty(t, b.last().Header.Values("X-Hop"))
}

// TestTrafficTLS checks that TLS callers can use HTTP/2 and HTTP/1.1.
func TestTrafficTLS(t *testing.T) {
	b := newRawBackend(t, respondOK)
	f := newFleet(t, b.address)
	cert := httptest.NewUnstartedServer(nil)
	cert.StartTLS()
	defer cert.Close()
	ln := listen(t)
	srv := f.entry.trafficServer()
	defer srv.Close()
	go func() { _ = srv.Serve(tls.NewListener(ln, trafficTLS(cert.TLS))) }()
	for _, h2 := range []bool{false, true} {
		p := new(http.Protocols)
		p.SetHTTP1(!h2)
		p.SetHTTP2(h2)
		tr := &http.Transport{Protocols: p, TLSClientConfig: cert.Client().Transport.(*http.Transport).TLSClientConfig}
		resp, err := (&http.Client{Transport: tr}).Get("https://" + ln.Addr().String() + "/shop/x")
		require.NoError(t, err)
		resp.Body.Close()
		tr.CloseIdleConnections()
		require.Equal(t, 200, resp.StatusCode)
		require.Equal(t, map[bool]int{false: 1, true: 2}[h2], resp.ProtoMajor)
	}
}
