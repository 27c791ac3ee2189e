package owner

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

	"github.com/go-kit/log"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"trefoildock.example/crashguard"
	"trefoildock.example/link"
	"trefoildock.example/platform"
	"trefoildock.example/routing"
	"trefoildock.example/verdict"
	"trefoildock.example/wire"
)

// testBackend is a backend server whose responses are set by the test.
type testBackend struct {
	address  string
	listener net.Listener
	requests atomic.Int32
	// respond writes the complete response; it may close the connection.
	respond func(conn net.Conn, r *http.Request)
	// limitSocketBuffers limits the bytes that are sent and not yet read to about socketBytes.
	limitSocketBuffers bool
}

const socketBytes = 64 << 10

func newTestBackend(t *testing.T, respond func(net.Conn, *http.Request)) *testBackend {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	s := &testBackend{address: ln.Addr().String(), listener: ln, respond: respond}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			if s.limitSocketBuffers {
				_ = conn.(*net.TCPConn).SetWriteBuffer(socketBytes / 2)
			}
			go s.serve(conn)
		}
	}()
	return s
}

func (s *testBackend) serve(conn net.Conn) {
	defer conn.Close()
	br := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		s.requests.Add(1)
		s.respond(conn, r)
	}
}

func writeResponse(conn net.Conn, id string, status int, fields, body string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nRequest-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, id, fields, len(body), body)
}

func respondOK(conn net.Conn, r *http.Request) {
	writeResponse(conn, r.Header.Get("Request-Id"), 200, "Server-Seal: s\r\n", "hello")
}

func newOwner(t *testing.T, crashed chan<- int) *Owner {
	t.Helper()
	return New(Config{
		Bounds:      platform.Bounds{ColdStartRateFactor: 1.5, ColdStartRateSlack: 5},
		Heartbeat:   time.Second,
		Service:     func(string) *routing.Service { return &routing.Service{ColdStartRate: 4} },
		RouteName:   func(_, target string) string { return target },
		AllowResend: func(context.Context, string) bool { return false },
		OnChange:    func() {}, OnNotice: func(n crashguard.Notice) {
			if n.Kind == crashguard.Crashed {
				crashed <- len(n.Requests)
			}
		},
		Logger: log.NewNopLogger(), Metrics: NewMetrics(metrics.NewRegistry()),
	})
}

func announcement(s *testBackend) platform.Announcement {
	return platform.Announcement{ID: "i-1", Service: "orders", Address: s.address, Slots: 3, Sequence: 1, StartedAt: time.UnixMilli(1000)}
}

// sendOffer sends one request through the owner and returns its response or failure.
func sendOffer(o *Owner, offer *wire.Offer) (*wire.Head, string, *verdict.Error) {
	entryEnd, ownerEnd := link.NewLocalExchange()
	if offer.TimeoutUs == 0 {
		offer.TimeoutUs = (2 * time.Second).Microseconds()
	}
	go o.Serve(ownerEnd, offer)
	defer entryEnd.Close()
	m, err := entryEnd.Recv()
	if err != nil || m.GetAbort() != nil {
		return nil, "", failureOf(m, err)
	}
	if err := entryEnd.Send(wire.CommitEnvelope(), wire.ChunkEnvelope(nil, true)); err != nil {
		return nil, "", verdict.FromError(err)
	}
	m, err = entryEnd.Recv()
	if err != nil || m.GetAbort() != nil {
		return nil, "", failureOf(m, err)
	}
	head, body := m.GetHead(), ""
	for {
		m, err := entryEnd.Recv()
		if err != nil {
			return nil, "", verdict.FromError(err)
		}
		if m.GetEnd() != nil {
			return head, body, nil
		}
		body += string(m.GetChunk().GetData())
	}
}

func failureOf(m *wire.Envelope, err error) *verdict.Error {
	if err != nil {
		return verdict.FromError(err)
	}
	return wire.AbortError(m.GetAbort())
}

func newOffer(id string) *wire.Offer {
	return &wire.Offer{
		RequestId: id, Service: "orders", Method: "GET", Target: "/a", Host: "shop", Idempotent: true, NoWait: true,
		Fields: []*wire.Field{{Name: "Request-Id", Value: id}},
	}
}

func TestRequestRuns(t *testing.T) {
	s := newTestBackend(t, func(conn net.Conn, r *http.Request) {
		require.Equal(t, "i-1", r.Header.Get("Target-Instance"))
		require.Equal(t, "shopfront", r.Header.Get("Caller-Service"))
		require.Equal(t, "blue", r.Header.Get("Tenant"))
		respondOK(conn, r)
	})
	o := newOwner(t, nil)
	require.NoError(t, o.Announce(announcement(s)))
	offer := newOffer("r1")
	offer.CallerService, offer.Team = "shopfront", "blue"
	head, body, failure := sendOffer(o, offer)
	require.Nil(t, failure)
	require.EqualValues(t, 200, head.GetStatus())
	require.Equal(t, "hello", body)
}

// Guards against a not-run verdict for a request that may have run, and the reverse.
func TestVerdicts(t *testing.T) {
	cases := []struct {
		name          string
		respond       func(net.Conn, *http.Request)
		nonIdempotent bool
		code          string
		want          verdict.Verdict
	}{
		{"shed", func(c net.Conn, r *http.Request) {
			writeResponse(c, r.Header.Get("Request-Id"), 503, "Not-Executed: 1\r\n", "")
		}, true, CodeShed, verdict.NotRun},
		{"other instance", func(c net.Conn, r *http.Request) {
			writeResponse(c, r.Header.Get("Request-Id"), 421, "Instance-Id: i-2\r\n", "")
		}, true, CodeShed, verdict.NotRun},
		{"refusal without the header field", func(c net.Conn, r *http.Request) { writeResponse(c, r.Header.Get("Request-Id"), 503, "", "") }, true, CodeBadResponse, verdict.MayHaveRun},
		{"closed", func(c net.Conn, _ *http.Request) { c.Close() }, true, CodeBackendLost, verdict.MayHaveRun},
		{"cut", func(c net.Conn, r *http.Request) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: 9\r\n\r\nhal", r.Header.Get("Request-Id"))
			c.Close()
		}, true, CodeBadResponse, verdict.MayHaveRun},
		{"not HTTP", func(c net.Conn, _ *http.Request) { _, _ = fmt.Fprint(c, "\x00\x01rubbish\r\n\r\n"); c.Close() }, true, CodeBadResponse, verdict.MayHaveRun},
		{"no signature", func(c net.Conn, r *http.Request) { writeResponse(c, r.Header.Get("Request-Id"), 200, "", "x") }, true, CodeBadResponse, verdict.MayHaveRun},
		{"encoded", func(c net.Conn, r *http.Request) {
			writeResponse(c, r.Header.Get("Request-Id"), 200, "Server-Seal: s\r\nContent-Encoding: gzip\r\n", "x")
		}, true, CodeBadResponse, verdict.MayHaveRun},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			o := newOwner(t, nil)
			require.NoError(t, o.Announce(announcement(newTestBackend(t, c.respond))))
			offer := newOffer("r1")
			offer.Idempotent = !c.nonIdempotent
			_, _, failure := sendOffer(o, offer)
			require.NotNil(t, failure)
			require.Equal(t, c.code, failure.Code)
			require.Equal(t, c.want, failure.Verdict)
		})
	}
}

// Guards against requests to a backend server that has announced that it leaves.
func TestLeavingBackendGetsNoRequests(t *testing.T) {
	leave := map[string]func(*Owner, platform.Announcement){
		"draining": func(o *Owner, a platform.Announcement) {
			a.Draining, a.Sequence = true, 2
			require.NoError(t, o.Announce(a))
			a.Draining, a.Sequence = false, 3 // A late or wrong heartbeat does not cancel the drain.
			require.NoError(t, o.Announce(a))
		},
		"leave without draining": func(o *Owner, a platform.Announcement) { require.NoError(t, o.Leave(a.ID)) },
		"zone evacuated":         func(o *Owner, _ platform.Announcement) { o.SetEvacuated(true) },
		"process stops":          func(o *Owner, _ platform.Announcement) { o.Stop() },
		"left before a restart": func(o *Owner, a platform.Announcement) {
			o.RestoreLeaving(a.ID, a.StartedAt)
		},
	}
	for name, f := range leave {
		t.Run(name, func(t *testing.T) {
			s := newTestBackend(t, respondOK)
			o := newOwner(t, nil)
			require.NoError(t, o.Announce(announcement(s)))
			f(o, announcement(s))
			_, _, failure := sendOffer(o, newOffer("r1"))
			require.NotNil(t, failure)
			require.Equal(t, verdict.NotRun, failure.Verdict)
			require.Zero(t, s.requests.Load())
		})
	}
}

// Guards against a heartbeat that was delayed by a network partition and replaces
// the backend server that has registered at the same address since.
func TestLateHeartbeatOfEarlierIncarnationIsIgnored(t *testing.T) {
	s := newTestBackend(t, respondOK)
	o := newOwner(t, make(chan int, 1))
	newer := announcement(s)
	newer.ID, newer.StartedAt = "i-2", time.UnixMilli(2000)
	require.NoError(t, o.Announce(newer))
	require.NoError(t, o.Announce(announcement(s)))
	status, known := o.Status()
	require.True(t, known)
	require.Equal(t, "i-2", status.ID)
}

// Guards against a cold backend server that is overloaded by its full share of the load.
func TestColdBackendIsRateLimited(t *testing.T) {
	s := newTestBackend(t, respondOK)
	o := newOwner(t, nil)
	a := announcement(s)
	a.ColdStartRemaining = 3 * time.Second
	require.NoError(t, o.Announce(a))
	refused := 0
	started := time.Now()
	for i := range 20 {
		if _, _, failure := sendOffer(o, newOffer(fmt.Sprint(i))); failure != nil {
			require.Equal(t, CodeCold, failure.Code)
			refused++
		}
	}
	tolerated := 4 * (1 + int(time.Since(started)/time.Second)) // 4 requests in each started second
	require.LessOrEqual(t, int(s.requests.Load()), tolerated)
	require.Equal(t, 20, refused+int(s.requests.Load()))
	require.GreaterOrEqual(t, int(s.requests.Load()), 4)
}

// Guards against requests that crash several backend servers without being detected.
func TestCrashIsReported(t *testing.T) {
	crashed := make(chan int, 1)
	s := newTestBackend(t, func(conn net.Conn, _ *http.Request) { conn.Close() })
	o := newOwner(t, crashed)
	a := announcement(s)
	require.NoError(t, o.Announce(a))
	offer := newOffer("r1")
	offer.Idempotent, offer.Fingerprint = false, []byte("fingerprint")
	_, _, failure := sendOffer(o, offer)
	require.Equal(t, CodeBackendLost, failure.Code)
	a.ID, a.StartedAt = "i-2", time.UnixMilli(2000)
	require.NoError(t, o.Announce(a))
	require.Equal(t, 1, <-crashed)
}

// Guards against a request that occupies a slot after its caller has canceled it.
func TestCanceledRequestClosesBackendConnection(t *testing.T) {
	closed := make(chan struct{})
	started := make(chan struct{})
	s := newTestBackend(t, func(conn net.Conn, _ *http.Request) {
		close(started)
		_, _ = conn.Read(make([]byte, 1)) // Returns when the owner closes the connection.
		close(closed)
	})
	o := newOwner(t, nil)
	require.NoError(t, o.Announce(announcement(s)))
	entryEnd, ownerEnd := link.NewLocalExchange()
	offer := newOffer("r1")
	offer.TimeoutUs = time.Minute.Microseconds()
	go o.Serve(ownerEnd, offer)
	_, err := entryEnd.Recv()
	require.NoError(t, err)
	require.NoError(t, entryEnd.Send(wire.CommitEnvelope(), wire.ChunkEnvelope(nil, true)))
	<-started
	entryEnd.Close()
	<-closed
}

// Guards against the suspicion of a backend server because the requests of one
// route take much longer than those of another route on the same host.
func TestLatencyBaselinesArePerRoute(t *testing.T) {
	s := newTestBackend(t, func(conn net.Conn, r *http.Request) {
		if r.URL.Path == "/slow" {
			time.Sleep(minSlowLatency + 100*time.Millisecond)
		}
		respondOK(conn, r)
	})
	o := newOwner(t, nil)
	require.NoError(t, o.Announce(announcement(s)))
	for i := range 20 {
		_, _, failure := sendOffer(o, newOffer(fmt.Sprint("fast", i)))
		require.Nil(t, failure)
	}
	for i := range consecutiveFailureThreshold + 1 {
		slow := newOffer(fmt.Sprint("slow", i))
		slow.Target = "/slow"
		_, _, failure := sendOffer(o, slow)
		require.Nil(t, failure)
	}
	require.False(t, o.backend.health.suspected)
}

// Guards against a healthy backend server that gets no requests while its node
// restarts, and against a new process that sends requests to a backend server that
// has left.
func TestHandedOverBackendIsUsedUntilItsHeartbeatIsDue(t *testing.T) {
	s := newTestBackend(t, respondOK)
	o := newOwner(t, nil)
	handedOver := announcement(s)
	handedOver.Sequence = 0 // The row of the earlier process does not contain it.
	o.TakeOver(handedOver)
	_, _, failure := sendOffer(o, newOffer("r1"))
	require.Nil(t, failure)
	o.backend.takeoverDeadline = time.Now()
	_, _, failure = sendOffer(o, newOffer("r2"))
	require.NotNil(t, failure)
	require.Equal(t, verdict.NotRun, failure.Verdict)
	_, known := o.Status()
	require.False(t, known)
	require.NoError(t, o.Announce(announcement(s)))
	_, _, failure = sendOffer(o, newOffer("r3"))
	require.Nil(t, failure, "a heartbeat puts the backend server back into use")
}

// Guards against the overload of a cold backend server after a restart of its
// node: the new process has no heartbeat that states whether it is cold.
func TestHandedOverBackendIsRateLimited(t *testing.T) {
	s := newTestBackend(t, respondOK)
	o := newOwner(t, nil)
	o.TakeOver(announcement(s))
	for i := range 20 {
		_, _, _ = sendOffer(o, newOffer(fmt.Sprint(i))) // Requests above the rate limit are refused.
	}
	require.EqualValues(t, 4*1.5+5-coldRateMargin, s.requests.Load())
}

// Guards against the suspicion of a backend server because of slow outbound calls.
func TestOutboundCallTimeIsExcludedFromLatency(t *testing.T) {
	var o *Owner
	s := newTestBackend(t, func(conn net.Conn, r *http.Request) {
		if r.URL.Path == "/a" && strings.HasPrefix(r.Header.Get("Request-Id"), "slow") {
			o.BeginOutboundCall()
			time.Sleep(minSlowLatency + 100*time.Millisecond)
			o.EndOutboundCall(false)
		}
		respondOK(conn, r)
	})
	o = newOwner(t, nil)
	require.NoError(t, o.Announce(announcement(s)))
	for i := range 20 {
		_, _, failure := sendOffer(o, newOffer(fmt.Sprint("fast", i)))
		require.Nil(t, failure)
	}
	for i := range consecutiveFailureThreshold + 1 {
		_, _, failure := sendOffer(o, newOffer(fmt.Sprint("slow", i)))
		require.Nil(t, failure)
	}
	require.False(t, o.backend.health.suspected)
}

// Guards against a backend server that sends bodies without end and exhausts the memory of
// the process, and against such a request that ends without a verdict or delays others.
func TestEndlessBodyIsBounded(t *testing.T) {
	var sent atomic.Int64
	backend := newTestBackend(t, func(conn net.Conn, r *http.Request) {
		if r.URL.Path != "/endless" {
			respondOK(conn, r)
			return
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Seal: s\r\n\r\n", r.Header.Get("Request-Id"))
		block := make([]byte, 64<<10)
		for {
			n, err := conn.Write(block)
			if sent.Add(int64(n)); err != nil {
				return
			}
		}
	})
	o := newOwner(t, nil)
	o.cfg.MaxResponseBytes = 1 << 20
	require.NoError(t, o.Announce(announcement(backend)))
	began := time.Now()
	endless := newOffer("a")
	endless.Target = "/endless"
	_, _, err := sendOffer(o, endless)
	require.NotNil(t, err)
	require.Equal(t, CodeBadResponse, err.Code)
	require.Equal(t, verdict.MayHaveRun, err.Verdict)
	require.Less(t, time.Since(began), time.Second, "the request waited for its deadline")
	require.Less(t, sent.Load(), int64(16<<20), "1 MiB and the buffers of the sockets")
	head, body, err := sendOffer(o, newOffer("b"))
	require.Nil(t, err)
	require.EqualValues(t, 200, head.GetStatus())
	require.Equal(t, "hello", body)
}

// Guards against resends on a new connection that the retry budget of the fleet does not
// know: the backend server may count each as a further arrival.
func TestResendOnNewConnectionTakesFromRetryBudget(t *testing.T) {
	for name, allowed := range map[string]bool{"allowed": true, "used up": false} {
		t.Run(name, func(t *testing.T) {
			var n atomic.Int32
			s := newTestBackend(t, func(conn net.Conn, r *http.Request) {
				if n.Add(1) == 2 {
					conn.Close() // The connection that was reused.
					return
				}
				respondOK(conn, r)
			})
			o := newOwner(t, nil)
			asked := 0
			o.cfg.AllowResend = func(_ context.Context, service string) bool {
				require.Equal(t, "orders", service)
				asked++
				return allowed
			}
			require.NoError(t, o.Announce(announcement(s)))
			_, _, err := sendOffer(o, newOffer("a"))
			require.Nil(t, err)
			_, _, err = sendOffer(o, newOffer("b"))
			require.Equal(t, allowed, err == nil)
			require.Equal(t, 1, asked)
			if !allowed {
				require.Equal(t, CodeBackendLost, err.Code)
				require.EqualValues(t, 2, s.requests.Load())
			}
		})
	}
}

// Guards against an announcement of another writer that makes all later ones seem to be late.
func TestAnnouncementFromTheFutureIsRefused(t *testing.T) {
	o := newOwner(t, nil)
	a := announcement(newTestBackend(t, respondOK))
	odd := a
	odd.ID, odd.StartedAt = "i-odd", time.Now().AddDate(50, 0, 0)
	require.Error(t, o.Announce(odd))
	a.StartedAt = time.Now()
	require.NoError(t, o.Announce(a))
	status, ok := o.Status()
	require.True(t, ok)
	require.Equal(t, a.ID, status.ID)
}
