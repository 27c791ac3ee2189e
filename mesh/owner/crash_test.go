package owner

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoildock.example/crashguard"
	"trefoildock.example/verdict"
	"trefoildock.example/wire"
)

// newCrashOwner returns an owner whose notices are sent to a channel.
func newCrashOwner(t *testing.T) (*Owner, chan crashguard.Notice) {
	t.Helper()
	notices := make(chan crashguard.Notice, 16)
	o := newOwner(t, nil)
	o.cfg.OnNotice = func(n crashguard.Notice) { notices <- n }
	return o, notices
}

func newSuspectOffer(id string, fingerprint byte) *wire.Offer {
	offer := newOffer(id)
	offer.Fingerprint = crashFingerprint(fingerprint)
	return offer
}

func crashFingerprint(first byte) []byte {
	f := crashguard.Fingerprint{first}
	return f[:]
}

// crashes closes the listener and the connection, like a process that ends.
func (s *testBackend) crash(conn net.Conn, _ *http.Request) {
	s.listener.Close()
	conn.Close()
}

// Guards against a crash that is reported only when the backend server returns, and against
// one without the other requests that it ran.
func TestCrashIsReportedWhileTheBackendServerIsAway(t *testing.T) {
	slow := make(chan struct{})
	var s *testBackend
	s = newTestBackend(t, func(conn net.Conn, r *http.Request) {
		if r.Header.Get("Request-Id") == "slow" {
			close(slow)
			time.Sleep(100 * time.Millisecond)
			conn.Close()
			return
		}
		s.crash(conn, r)
	})
	o, notices := newCrashOwner(t)
	require.NoError(t, o.Announce(announcement(s)))
	other := make(chan *verdict.Error, 1)
	go func() { _, _, failure := sendOffer(o, newSuspectOffer("slow", 2)); other <- failure }()
	<-slow
	_, _, failure := sendOffer(o, newSuspectOffer("r1", 1))
	require.Equal(t, CodeBackendCrashed, failure.Code)
	require.Equal(t, verdict.MayHaveRun, failure.Verdict)
	n := <-notices
	require.Equal(t, crashguard.Crashed, n.Kind)
	require.Equal(t, "orders", n.Service)
	require.Len(t, n.Requests, 2)
	require.Equal(t, CodeBackendCrashed, (<-other).Code)
	a := announcement(s)
	a.ID, a.StartedAt = "i-2", time.UnixMilli(2000)
	require.NoError(t, o.Announce(a))
	require.Empty(t, notices, "one crash is reported once")
}

// Guards against a crash that is inferred from a connection that a live backend server
// closes, and from the end of one that leaves as planned.
func TestLostConnectionsOfLiveOrLeavingBackendServersAreNoCrash(t *testing.T) {
	o, notices := newCrashOwner(t)
	require.NoError(t, o.Announce(announcement(newTestBackend(t, func(conn net.Conn, _ *http.Request) { conn.Close() }))))
	_, _, failure := sendOffer(o, newSuspectOffer("r1", 1))
	require.Equal(t, CodeBackendLost, failure.Code)
	require.Empty(t, notices)

	o, notices = newCrashOwner(t)
	var s *testBackend
	s = newTestBackend(t, func(conn net.Conn, r *http.Request) {
		require.NoError(t, o.Leave("i-1"))
		s.crash(conn, r)
	})
	require.NoError(t, o.Announce(announcement(s)))
	_, _, failure = sendOffer(o, newSuspectOffer("r1", 1))
	require.Equal(t, CodeBackendLost, failure.Code)
	require.Empty(t, notices)
}

// Guards against the block of a suspect that a live backend server has dropped and that ends
// later for another reason.
func TestLaterEndOfTheBackendServerIsNotBlamedOnATrial(t *testing.T) {
	s := newTestBackend(t, func(conn net.Conn, _ *http.Request) { conn.Close() })
	o, notices := newCrashOwner(t)
	require.NoError(t, o.Announce(announcement(s)))
	offer := newSuspectOffer("r1", 1)
	offer.CrashSuspect = true
	_, _, failure := sendOffer(o, offer)
	require.Equal(t, CodeBackendLost, failure.Code)
	for range 2 {
		require.NotEqual(t, crashguard.Crashed, (<-notices).Kind)
	}
	a := announcement(s)
	a.ID, a.StartedAt = "i-2", time.UnixMilli(2000)
	require.NoError(t, o.Announce(a))
	n := <-notices
	require.Equal(t, crashguard.Crashed, n.Kind)
	require.Equal(t, []crashguard.Involved{{Fingerprint: crashguard.Fingerprint{1}}}, n.Requests)
}

// Guards against a request that is blocked but runs, because it arrived before it was, and
// against two suspects at once on a backend server, of which either could be the cause of
// a crash.
func TestSuspectsRunOneAtATimeAndBlockedRequestsNever(t *testing.T) {
	running, finish := make(chan struct{}), make(chan struct{})
	s := newTestBackend(t, func(conn net.Conn, r *http.Request) {
		close(running)
		<-finish
		respondOK(conn, r)
	})
	o, notices := newCrashOwner(t)
	require.NoError(t, o.Announce(announcement(s)))
	for i, kind := range []crashguard.Involved{{}, {}, {Trial: true, Blocked: true}} {
		kind.Fingerprint = crashguard.Fingerprint{byte(i + 1)}
		o.cfg.Crashes.Observe(time.Now(), crashguard.Notice{Kind: crashguard.Crashed, Event: string(rune('a' + i)), Requests: []crashguard.Involved{kind}})
	}
	first := make(chan *verdict.Error, 1)
	go func() { _, _, failure := sendOffer(o, newSuspectOffer("r1", 1)); first <- failure }()
	<-running
	require.Equal(t, crashguard.TrialStarted, (<-notices).Kind)
	for id, want := range map[byte]string{1: CodeSuspectWaits, 2: CodeSuspectWaits, 3: CodeCrashing} {
		_, _, failure := sendOffer(o, newSuspectOffer("r2", id))
		require.Equal(t, want, failure.Code)
		require.Equal(t, verdict.NotRun, failure.Verdict)
		require.Positive(t, failure.RetryAfter)
	}
	close(finish)
	require.Nil(t, <-first)
	require.Equal(t, crashguard.Completed, (<-notices).Kind)
	state, _ := o.cfg.Crashes.State(time.Now(), crashguard.Fingerprint{1})
	require.Equal(t, crashguard.Unknown, state)
	require.EqualValues(t, 1, s.requests.Load())
}

// Guards against a suspect that blocks its other copies after its caller has left.
func TestTrialEndsWithoutAnswer(t *testing.T) {
	s := newTestBackend(t, func(conn net.Conn, r *http.Request) {
		writeResponse(conn, r.Header.Get("Request-Id"), 500, "Server-Seal: s\r\n", "")
	})
	o, notices := newCrashOwner(t)
	require.NoError(t, o.Announce(announcement(s)))
	offer := newSuspectOffer("r1", 1)
	offer.CrashSuspect = true // The entry knows of a crash, the owner does not yet.
	_, _, failure := sendOffer(o, offer)
	require.Nil(t, failure)
	kinds := map[crashguard.NoticeKind]bool{(<-notices).Kind: true, (<-notices).Kind: true}
	require.Equal(t, map[crashguard.NoticeKind]bool{crashguard.TrialStarted: true, crashguard.TrialEnded: true}, kinds)
	state, _ := o.cfg.Crashes.State(time.Now(), crashguard.Fingerprint{1})
	require.Equal(t, crashguard.Suspect, state, "a failure does not show that the request is harmless")
}
