package owner

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoildock.example/verdict"
)

// Guards against a backend server that gets more requests than the limit that it names in
// its answers allows: one and a half times the limit plus 5 in any 4 s.
func TestNamedLimitHoldsForAllRequests(t *testing.T) {
	t.Parallel()
	const limit, period = 2, 4 * time.Second
	s := newTestBackend(t, func(conn net.Conn, r *http.Request) {
		writeResponse(conn, r.Header.Get("Request-Id"), 200, fmt.Sprintf("Server-Seal: s\r\nServer-Limit: %d.0\r\n", limit), "")
	})
	o := newOwner(t, nil)
	require.NoError(t, o.Announce(announcement(s)))
	_, _, err := sendOffer(o, newOffer("first"))
	require.Nil(t, err)
	s.requests.Store(0)
	refused := 0
	for end := time.Now().Add(period); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if _, _, err := sendOffer(o, newOffer("next")); err != nil {
			require.Equal(t, verdict.NotRun, err.Verdict)
			require.Positive(t, err.RetryAfter)
			refused++
		}
	}
	require.LessOrEqual(t, int(s.requests.Load()), int(1.5*limit*period.Seconds())+5)
	require.GreaterOrEqual(t, int(s.requests.Load()), limit*int(period.Seconds())-1, "what the backend server takes is sent")
	require.Positive(t, refused)
}

// Guards against an owner that forgets the limit of its backend server when its process
// restarts, while entries have passed on answers that name it.
func TestRestartedOwnerUsesLimitThatEntriesReport(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	s := newTestBackend(t, func(conn net.Conn, r *http.Request) {
		<-release
		respondOK(conn, r)
	})
	t.Cleanup(func() { close(release) })
	o := newOwner(t, nil)
	require.NoError(t, o.Announce(announcement(s)))
	offer := newOffer("r")
	offer.NamedLimit = 0.5
	_, _, err := sendOffer(o, offer)
	require.NotNil(t, err)
	require.Equal(t, CodeLimited, err.Code)
	require.InDelta(t, 2*time.Second, err.RetryAfter, float64(50*time.Millisecond))
	_, _, err = sendOffer(o, newOffer("of an entry that knows no limit"))
	require.NotNil(t, err)
	require.Equal(t, CodeLimited, err.Code)
	require.Zero(t, s.requests.Load())
}

// Guards against a limit that outlives the need of the backend server.
func TestAnswerWithoutLimitEndsIt(t *testing.T) {
	limit := "Server-Limit: 1000\r\n"
	s := newTestBackend(t, func(conn net.Conn, r *http.Request) {
		writeResponse(conn, r.Header.Get("Request-Id"), 200, "Server-Seal: s\r\n"+limit, "")
	})
	o := newOwner(t, nil)
	require.NoError(t, o.Announce(announcement(s)))
	rate := func() float64 {
		o.mu.Lock()
		defer o.mu.Unlock()
		return o.backend.namedLimit.rate
	}
	for _, c := range []struct {
		fields string
		rate   float64
	}{{"Server-Limit: 1000\r\n", 1000}, {"Server-Limit: many\r\n", 1000}, {"Server-Limit: 1000\r\n", 1000}, {"", 0}} {
		limit = c.fields
		require.Eventually(t, func() bool { _, _, err := sendOffer(o, newOffer("r")); return err == nil }, 5*time.Second, time.Millisecond)
		require.InDelta(t, c.rate, rate(), 0)
	}
}

// Guards against a backend server that gets new requests although its answers say that it
// leaves. It may announce its departure late, or not at all.
func TestAnswerThatSaysLeavingEndsService(t *testing.T) {
	fields := ""
	s := newTestBackend(t, func(conn net.Conn, r *http.Request) {
		writeResponse(conn, r.Header.Get("Request-Id"), 200, "Server-Seal: s\r\n"+fields, "")
	})
	o := newOwner(t, nil)
	changes := 0
	o.cfg.OnChange = func() { changes++ }
	require.NoError(t, o.Announce(announcement(s)))
	for _, f := range []string{"", "Server-Leaving: 0\r\n", "Server-Leaving: 1\r\n"} {
		fields = f
		_, _, err := sendOffer(o, newOffer("r"))
		require.Nil(t, err, f)
	}
	status, _ := o.Status()
	require.True(t, status.Leaving, "the row of the node tells it to the next process")
	require.Equal(t, 2, changes)
	_, _, err := sendOffer(o, newOffer("late"))
	require.NotNil(t, err)
	require.Equal(t, verdict.NotRun, err.Verdict)
	require.EqualValues(t, 3, s.requests.Load())
}
