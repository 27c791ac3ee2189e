package owner

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoildock.example/mesh/bodymem"
	"trefoildock.example/verdict"
)

// Guards against faulty responses without end that are each within the limit of a response, but
// together exhaust the memory of the process and with it end the requests of other callers.
func TestResponsesWithoutEndStayWithinTheMemoryTogether(t *testing.T) {
	const (
		slots  = 24
		budget = 8 << 20
		// most is the budget, a buffer that is copied while it grows, and the buffers of the
		// sockets, which the kernel counts for the process.
		most = 3*budget/2 + slots*socketBytes
	)
	var mu sync.Mutex
	var held, mostHeld int
	s := newTestBackend(t, func(conn net.Conn, r *http.Request) {
		if r.URL.Path == "/small" {
			respondOK(conn, r)
			return
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 X\r\nRequest-Id: %s\r\nServer-Seal: s\r\n\r\n", r.Header.Get("Request-Id"))
		block, sent := []byte(strings.Repeat("x", 16<<10)), 0
		for {
			n, err := conn.Write(block)
			mu.Lock()
			held, sent = held+n, sent+n
			mostHeld = max(mostHeld, held)
			mu.Unlock()
			if err != nil {
				break
			}
		}
		mu.Lock()
		held -= sent
		mu.Unlock()
	})
	s.limitSocketBuffers = true
	o := newOwner(t, nil)
	o.cfg.Bodies, o.cfg.MaxResponseBytes = bodymem.New(budget), 2<<20
	a := announcement(s)
	a.Slots = 2 * slots
	require.NoError(t, o.Announce(a))
	var sends sync.WaitGroup
	for i := range slots {
		sends.Go(func() {
			offer := newOffer(fmt.Sprint("endless", i))
			offer.LastResort = true
			_, _, failure := sendOffer(o, offer)
			require.NotNil(t, failure)
			require.Equal(t, verdict.MayHaveRun, failure.Verdict)
		})
	}
	sends.Wait()
	require.Less(t, mostHeld, most)
	require.Zero(t, o.cfg.Bodies.Used())
	small := newOffer("small")
	small.Target, small.LastResort = "/small", true
	_, _, failure := sendOffer(o, small)
	require.Nil(t, failure)
}

// Guards against the suspicion of a healthy backend server because other responses take the
// memory for its own.
func TestNoMemoryForAResponseIsNoFailureOfTheBackendServer(t *testing.T) {
	const size = 3 << 20
	s := newTestBackend(t, func(conn net.Conn, r *http.Request) {
		writeResponse(conn, r.Header.Get("Request-Id"), 200, "Server-Seal: s\r\n", strings.Repeat("x", size))
	})
	o := newOwner(t, nil)
	o.cfg.Bodies = bodymem.New(2 * size)
	require.NoError(t, o.Announce(announcement(s)))
	_, _, failure := sendOffer(o, newOffer("before"))
	require.Nil(t, failure)
	others := o.cfg.Bodies.Reserve()
	require.NoError(t, others.Take(t.Context(), size))
	for i := range consecutiveFailureThreshold {
		offer := newOffer(fmt.Sprint("r", i))
		offer.TimeoutUs = (minSlowLatency + 100*time.Millisecond).Microseconds()
		_, _, failure := sendOffer(o, offer)
		require.NotNil(t, failure)
		require.Equal(t, verdict.MayHaveRun, failure.Verdict)
	}
	others.Release()
	_, body, failure := sendOffer(o, newOffer("after"))
	require.Nil(t, failure)
	require.Len(t, body, size)
}
