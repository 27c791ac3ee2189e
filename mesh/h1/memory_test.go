package h1

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoildock.example/mesh/bodymem"
)

const largeBody = 3 << 20

// startServerWithMemory runs a server with memory for one large body. It returns its address.
func startServerWithMemory(t *testing.T, handle func(*Request)) (address string, bodies *bodymem.Budget) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	bodies = bodymem.New(2 * largeBody)
	s := &Server{
		Bodies: bodies, Limits: func() Limits { return Limits{BodyBytes: 2 * largeBody} },
		Handler: handlerFunc(func(_ context.Context, r *Request) *Response {
			handle(r)
			return &Response{Status: http.StatusOK, Body: []byte(fmt.Sprint(len(r.Payload)))}
		}),
		Refuse: func(status int, reason string) *Response { return &Response{Status: status, Body: []byte(reason)} },
	}
	go func() { _ = s.Serve(ln) }()
	t.Cleanup(func() { ln.Close(); s.Close() })
	return ln.Addr().String(), bodies
}

// upload sends a body on a new connection and returns the status of the response.
func upload(t *testing.T, address string, size int) int {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	go func() {
		_, _ = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size))
	}()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	resp.Body.Close()
	return resp.StatusCode
}

// Guards against bodies that are each within the limit but together exhaust the memory of the
// process.
func TestLargeBodiesShareTheMemory(t *testing.T) {
	var mu sync.Mutex
	held, most := 0, 0
	address, bodies := startServerWithMemory(t, func(r *Request) {
		mu.Lock()
		held += len(r.Payload)
		most = max(most, held)
		mu.Unlock()
		time.Sleep(20 * time.Millisecond)
		mu.Lock()
		held -= len(r.Payload)
		mu.Unlock()
	})
	var sends sync.WaitGroup
	for range 6 {
		sends.Go(func() { require.Equal(t, http.StatusOK, upload(t, address, largeBody)) })
	}
	sends.Wait()
	require.LessOrEqual(t, most, 2*largeBody)
	require.Eventually(t, func() bool { return bodies.Used() == 0 }, 5*time.Second, time.Millisecond)
}

// Guards against a caller that gets no refusal because its body has no memory, and against small
// bodies that wait for large ones.
func TestBodyWithoutMemoryIsRefusedAsNotRun(t *testing.T) {
	release := make(chan struct{})
	started := make(chan struct{}, 1)
	address, _ := startServerWithMemory(t, func(r *Request) {
		if len(r.Payload) == largeBody {
			started <- struct{}{}
			<-release
		}
	})
	var sends sync.WaitGroup
	sends.Go(func() { require.Equal(t, http.StatusOK, upload(t, address, largeBody)) })
	<-started
	require.Equal(t, http.StatusOK, upload(t, address, 1000))
	require.Equal(t, http.StatusServiceUnavailable, upload(t, address, largeBody))
	close(release)
	sends.Wait()
}
