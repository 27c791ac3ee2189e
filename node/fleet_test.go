package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"trefoildock.example/admission"
	"trefoildock.example/configstore"
	"trefoildock.example/platform/memory"
	"trefoildock.example/rules"
	"trefoildock.example/settings"
	"trefoildock.example/verdict"
)

const fleetRules = `
service shop floor 1 probe /health # test: shop
route ANY /shop/* service shop access open repeat idempotent timeout 5s # test: browsing
route ANY /once/* service shop access open repeat once timeout 5s       # test: orders
route ANY /brief/* service shop access open repeat idempotent timeout 200ms # test: deadline
route GET /team/* service shop access team repeat idempotent timeout 5s # test: keys
`

// fleet is an entry node and owner nodes connected by links on loopback,
// without control loop and platform.
type fleet struct {
	t       testing.TB
	entry   *Node
	owners  []*Node
	address string
}

// newFleet starts one owner node for each backend server address.
func newFleet(t testing.TB, backends ...string) *fleet {
	t.Helper()
	usedRealClock.Store(true)
	f := &fleet{t: t, entry: newIdleNode(t, "entry")}
	members := make(map[string]configstore.Member)
	for i, address := range backends {
		name := fmt.Sprintf("owner-%d", i)
		n := newIdleNode(t, name)
		ln := listen(t)
		go func() { _ = n.linkServer.Serve(ln) }()
		t.Cleanup(func() { ln.Close(); n.linkServer.Close() })
		require.NoError(t, n.owner.announce("shop-0", announcement{
			Service: "shop", Address: address, Slots: 100, Connections: 100, Incarnation: "1", State: "serving",
		}, time.Now()))
		f.owners = append(f.owners, n)
		members[name] = configstore.Member{Node: name, Zone: "z", LinkAddress: ln.Addr().String(), Services: []string{"shop"}}
	}
	c, err := rules.Parse("fleet.rules", strings.NewReader(fleetRules))
	require.NoError(t, err)
	f.entry.snapshot.Store(newSnapshot(c, rules.NewRouter(c), 1, members, 1))
	f.entry.setFreshUntil(time.Now().Add(time.Hour))
	ln := listen(t)
	f.address = ln.Addr().String()
	srv := f.entry.trafficServer()
	go func() { _ = srv.Serve(ln) }()
	t.Cleanup(func() { srv.Close(); f.entry.pool.Close() })
	return f
}

func newIdleNode(t testing.TB, name string) *Node {
	t.Helper()
	s := settings.Default()
	s.Node = settings.Node{Name: name, VM: name, Zone: "z", Region: "r", Cluster: "test"}
	s.Limits.HeaderReadTimeout = settings.Duration(300 * time.Millisecond)
	s.Limits.MaxHeaderBytes = 8 << 10
	s.Limits.MaxBodyBytes = 16 << 20
	store := memory.New()
	n := New(s, Dependencies{
		Store:  configstore.New(store.Table(), store.Objects(), configstore.Options{}),
		Logger: log.NewNopLogger(), Registry: metrics.NewRegistry(),
	})
	n.owner.backendState = func(string, string) admission.State { return admission.Serving }
	t.Cleanup(n.cancel)
	return n
}

func listen(t testing.TB) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return ln
}

// client returns a client that uses only HTTP/1.1 or only HTTP/2 without TLS.
func client(t testing.TB, http2 bool) *http.Client {
	p := new(http.Protocols)
	p.SetHTTP1(!http2)
	p.SetUnencryptedHTTP2(http2)
	tr := &http.Transport{Protocols: p, DisableCompression: true}
	t.Cleanup(tr.CloseIdleConnections)
	return &http.Client{Transport: tr}
}

// forEachProtocol runs a test over HTTP/1.1 and HTTP/2.
func forEachProtocol(t *testing.T, f func(t *testing.T, c *http.Client)) {
	for _, h2 := range []bool{false, true} {
		t.Run(fmt.Sprintf("http2=%v", h2), func(t *testing.T) { f(t, client(t, h2)) })
	}
}

// send returns the response, or the error that occurred while sending the
// request or reading the response.
func (f *fleet) send(c *http.Client, method, path string, body io.Reader, fields ...string) (callerResponse, error) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+f.address+path, body)
	require.NoError(f.t, err)
	for i := 0; i+1 < len(fields); i += 2 {
		req.Header.Add(fields[i], fields[i+1])
	}
	resp, err := c.Do(req)
	if err != nil {
		return callerResponse{}, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return callerResponse{status: resp.StatusCode, header: resp.Header, body: string(data)}, err
}

// requireProblem checks the status, verdict and code of an error response.
func requireProblem(t testing.TB, r callerResponse, status int, v verdict.Verdict, code string) {
	t.Helper()
	require.Equal(t, status, r.status, r.body)
	require.Equal(t, v.String(), r.header.Get(verdict.Header))
	require.Contains(t, r.body, `"urn:trefoildock:problem:`+code+`"`)
	require.Equal(t, "application/problem+json", r.header.Get("Content-Type"))
	require.NotEmpty(t, r.header.Get(verdict.RequestIDHeader))
}

// rawBackend is a backend server with full control over the bytes of its
// responses. It counts the requests that it has read.
type rawBackend struct {
	address string
	count   atomic.Int64
	conns   atomic.Int64

	mu       sync.Mutex
	requests []*http.Request
}

// newRawBackend starts a backend server. respond writes the response to the
// n-th request, counted from 1, and returns false to close the connection.
func newRawBackend(t testing.TB, respond func(w io.Writer, r *http.Request, n int64) bool) *rawBackend {
	t.Helper()
	b := &rawBackend{}
	ln := listen(t)
	b.address = ln.Addr().String()
	var wg sync.WaitGroup
	open := make(chan net.Conn, 1000)
	wg.Go(func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			b.conns.Add(1)
			open <- conn
			wg.Go(func() { b.serve(conn, respond) })
		}
	})
	t.Cleanup(func() {
		ln.Close()
		for len(open) > 0 {
			(<-open).Close()
		}
		wg.Wait()
	})
	return b
}

func (b *rawBackend) serve(conn net.Conn, respond func(io.Writer, *http.Request, int64) bool) {
	defer conn.Close()
	br := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		b.mu.Lock()
		b.requests = append(b.requests, r)
		b.mu.Unlock()
		if !respond(conn, r, b.count.Add(1)) {
			return
		}
	}
}

func (b *rawBackend) last() *http.Request {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.requests[len(b.requests)-1]
}

// respondOK responds with status 200 and a short body.
func respondOK(w io.Writer, r *http.Request, _ int64) bool {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: 3\r\n\r\nok\n", r.Header.Get(verdict.RequestIDHeader))
	return true
}

// respondWith returns a function that writes a status line and the request ID,
// followed by the given header fields and body.
func respondWith(head, body string, keepOpen bool) func(io.Writer, *http.Request, int64) bool {
	return func(w io.Writer, r *http.Request, _ int64) bool {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n%s\r\n%s", r.Header.Get(verdict.RequestIDHeader), head, body)
		return keepOpen
	}
}

// eventually waits for a condition. The timeout only ends a hanging test.
func eventually(t testing.TB, condition func() bool, what string) {
	t.Helper()
	require.Eventually(t, condition, 30*time.Second, 2*time.Millisecond, what)
}

// newEchoBackend starts a backend server that streams the request body back.
func newEchoBackend(t testing.TB) string {
	t.Helper()
	return newHandlerBackend(t, func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).EnableFullDuplex()
		w.Header().Set(verdict.RequestIDHeader, r.Header.Get(verdict.RequestIDHeader))
		_, _ = io.Copy(w, r.Body)
	})
}

// newHandlerBackend starts a backend server with an HTTP handler.
func newHandlerBackend(t testing.TB, h http.HandlerFunc) string {
	t.Helper()
	ln := listen(t)
	srv := &http.Server{Handler: h}
	go func() { _ = srv.Serve(ln) }()
	t.Cleanup(func() { srv.Close() })
	return ln.Addr().String()
}
