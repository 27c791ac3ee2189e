package node

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"trefoildock.example/verdict"
)

// Guards against unintended changes of the interface to callers: status,
// verdict, header fields and problem bodies of a whole session.
func TestCallerSession(t *testing.T) {
	good := newRawBackend(t, respondWith("Content-Type: text/plain\r\nServer: shop\r\nContent-Length: 3\r\n", "ok\n", true))
	shed := newRawBackend(t, rawResponse("HTTP/1.1 503 Busy\r\nBackend-Refused: shed\r\nRetry-After: 7\r\nContent-Length: 0\r\n\r\n"))
	cut := newRawBackend(t, rawResponse(okHead+"Content-Length: 10\r\n\r\nabc"))
	hang := make(chan struct{})
	silent := newRawBackend(t, func(io.Writer, *http.Request, int64) bool { <-hang; return false })
	t.Cleanup(func() { close(hang) })
	steps := []struct {
		backend            *rawBackend
		method, path, body string
		fields             []string
	}{
		{good, "GET", "/shop/sticks?size=3", "", nil},
		{good, "HEAD", "/shop/sticks", "", nil},
		{good, "POST", "/once/orders", "one stick", []string{"X-Api-Key", testKey}},
		{good, "GET", "/nothing", "", nil},
		{good, "GET", "/team/sticks", "", nil},
		{good, "GET", "/shop/../team/sticks", "", nil},
		{good, "GET", "/shop/x", "", []string{"Request-Timeout", "never"}},
		{good, "GET", "/shop/x", "", []string{"X-Api-Key", testKey, "Authorization", "Bearer other"}},
		{shed, "POST", "/once/orders", "one stick", nil},
		{cut, "POST", "/once/orders", "one stick", nil},
		{silent, "POST", "/brief/orders", "one stick", nil},
		{nil, "POST", "/once/orders", "one stick", nil},
	}
	var out strings.Builder
	for _, s := range steps {
		var addresses []string
		if s.backend != nil {
			addresses = []string{s.backend.address}
		}
		f := newFleet(t, addresses...)
		var body io.Reader
		if s.body != "" {
			body = strings.NewReader(s.body)
		}
		r, err := f.send(client(t, false), s.method, s.path, body, s.fields...)
		require.NoError(t, err)
		writeTranscript(&out, s.method+" "+s.path, r)
	}
	goldie.New(t).Assert(t, "caller_session", []byte(out.String()))
}

// writeTranscript writes a response with its request ID replaced.
func writeTranscript(out *strings.Builder, request string, r callerResponse) {
	id := r.header.Get(verdict.RequestIDHeader)
	_, _ = fmt.Fprintf(out, "> %s\n< %d\n", request, r.status)
	for _, name := range []string{verdict.Header, "Retry-After", "Content-Type", "Content-Length", "Cache-Control", "Www-Authenticate", "Server", verdict.RequestIDHeader} {
		if v := r.header.Get(name); v != "" {
			_, _ = fmt.Fprintf(out, "< %s: %s\n", name, strings.ReplaceAll(v, id, "<id>"))
		}
	}
	_, _ = fmt.Fprintf(out, "%s\n\n", strings.TrimSpace(strings.ReplaceAll(r.body, id, "<id>")))
}
