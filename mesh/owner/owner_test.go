package owner

import (
	"bufio"
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

	"trefoildock.example/link"
	"trefoildock.example/platform"
	"trefoildock.example/verdict"
	"trefoildock.example/wire"
)

// server is a backend server whose answers a test decides.
type server struct {
	address string
	got     atomic.Int32
	// answer writes the whole answer; it may close the connection.
	answer func(conn net.Conn, r *http.Request)
}

func newServer(t *testing.T, answer func(net.Conn, *http.Request)) *server {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	s := &server{address: ln.Addr().String(), answer: answer}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

func (s *server) serve(conn net.Conn) {
	defer conn.Close()
	br := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		s.got.Add(1)
		s.answer(conn, r)
	}
}

func reply(conn net.Conn, id string, status int, fields, body string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nRequest-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, id, fields, len(body), body)
}

func ok(conn net.Conn, r *http.Request) {
	reply(conn, r.Header.Get("Request-Id"), 200, "Server-Seal: s\r\n", "hello")
}

func newOwner(t *testing.T, crashed chan<- int) *Owner {
	t.Helper()
	return New(Config{
		Bounds:    platform.Bounds{ColdOver: 1.5, ColdSlack: 5},
		Heartbeat: time.Second,
		Cold:      func(string) (time.Duration, float64) { return 3 * time.Second, 4 },
		Route:     func(_, target string) string { return target },
		OnChange:  func() {}, OnCrash: func(_ string, f [][]byte) { crashed <- len(f) },
		Logger: log.NewNopLogger(), Metrics: NewMetrics(metrics.NewRegistry()),
	})
}

func announcement(s *server) platform.Announcement {
	return platform.Announcement{ID: "i-1", Service: "orders", Address: s.address, Slots: 3, Sequence: 1, Born: time.UnixMilli(1000)}
}

// offer sends one request through the owner and returns the answer or the failure.
func offer(o *Owner, of *wire.Offer) (*wire.Head, string, *verdict.Error) {
	near, far := link.NewLocalExchange()
	if of.TimeoutUs == 0 {
		of.TimeoutUs = (2 * time.Second).Microseconds()
	}
	go o.Serve(far, of)
	defer near.Close()
	m, err := near.Recv()
	if err != nil || m.GetAbort() != nil {
		return nil, "", failureOf(m, err)
	}
	if err := near.Send(wire.CommitEnvelope(), wire.ChunkEnvelope(nil, true)); err != nil {
		return nil, "", verdict.From(err)
	}
	m, err = near.Recv()
	if err != nil || m.GetAbort() != nil {
		return nil, "", failureOf(m, err)
	}
	head, body := m.GetHead(), ""
	for {
		m, err := near.Recv()
		if err != nil {
			return nil, "", verdict.From(err)
		}
		if m.GetEnd() != nil {
			return head, body, nil
		}
		body += string(m.GetChunk().GetData())
	}
}

func failureOf(m *wire.Envelope, err error) *verdict.Error {
	if err != nil {
		return verdict.From(err)
	}
	return wire.AbortError(m.GetAbort())
}

func request(id string) *wire.Offer {
	return &wire.Offer{
		RequestId: id, Service: "orders", Method: "GET", Target: "/a", Host: "shop", Idempotent: true, NoWait: true,
		Fields: []*wire.Field{{Name: "Request-Id", Value: id}},
	}
}

func TestRequestRuns(t *testing.T) {
	s := newServer(t, func(conn net.Conn, r *http.Request) {
		require.Equal(t, "i-1", r.Header.Get("Target-Instance"))
		require.Equal(t, "shopfront", r.Header.Get("Caller-Service"))
		require.Equal(t, "blue", r.Header.Get("Tenant"))
		ok(conn, r)
	})
	o := newOwner(t, nil)
	require.NoError(t, o.Announce(announcement(s)))
	of := request("r1")
	of.CallerService, of.Team = "shopfront", "blue"
	head, body, failure := offer(o, of)
	require.Nil(t, failure)
	require.EqualValues(t, 200, head.GetStatus())
	require.Equal(t, "hello", body)
}

// Guards against verdicts that promise too much or too little about a request.
func TestVerdicts(t *testing.T) {
	cases := []struct {
		name   string
		answer func(net.Conn, *http.Request)
		once   bool
		code   string
		want   verdict.Verdict
	}{
		{"shed", func(c net.Conn, r *http.Request) {
			reply(c, r.Header.Get("Request-Id"), 503, "Not-Executed: 1\r\n", "")
		}, true, CodeShed, verdict.NotRun},
		{"other instance", func(c net.Conn, r *http.Request) {
			reply(c, r.Header.Get("Request-Id"), 421, "Instance-Id: i-2\r\n", "")
		}, true, CodeShed, verdict.NotRun},
		{"refusal that does not say so", func(c net.Conn, r *http.Request) { reply(c, r.Header.Get("Request-Id"), 503, "", "") }, true, CodeBadAnswer, verdict.MayHaveRun},
		{"closed", func(c net.Conn, _ *http.Request) { c.Close() }, true, CodeBackendLost, verdict.MayHaveRun},
		{"cut", func(c net.Conn, r *http.Request) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: 9\r\n\r\nhal", r.Header.Get("Request-Id"))
			c.Close()
		}, true, CodeBadAnswer, verdict.MayHaveRun},
		{"not HTTP", func(c net.Conn, _ *http.Request) { _, _ = fmt.Fprint(c, "\x00\x01rubbish\r\n\r\n"); c.Close() }, true, CodeBadAnswer, verdict.MayHaveRun},
		{"no signature", func(c net.Conn, r *http.Request) { reply(c, r.Header.Get("Request-Id"), 200, "", "x") }, true, CodeBadAnswer, verdict.MayHaveRun},
		{"encoded", func(c net.Conn, r *http.Request) {
			reply(c, r.Header.Get("Request-Id"), 200, "Server-Seal: s\r\nContent-Encoding: gzip\r\n", "x")
		}, true, CodeBadAnswer, verdict.MayHaveRun},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			o := newOwner(t, nil)
			require.NoError(t, o.Announce(announcement(newServer(t, c.answer))))
			of := request("r1")
			of.Idempotent = !c.once
			_, _, failure := offer(o, of)
			require.NotNil(t, failure)
			require.Equal(t, c.code, failure.Code)
			require.Equal(t, c.want, failure.Verdict)
		})
	}
}

// Guards against work that reaches a backend server after it said that it leaves.
func TestLeavingBackendGetsNothing(t *testing.T) {
	leave := map[string]func(*Owner, platform.Announcement){
		"draining": func(o *Owner, a platform.Announcement) {
			a.Draining, a.Sequence = true, 2
			require.NoError(t, o.Announce(a))
			a.Draining, a.Sequence = false, 3 // A late or wrong heartbeat does not bring it back.
			require.NoError(t, o.Announce(a))
		},
		"leave without draining": func(o *Owner, a platform.Announcement) { require.NoError(t, o.Leave(a.ID)) },
		"zone evacuated":         func(o *Owner, _ platform.Announcement) { o.SetEvacuated(true) },
		"process stops":          func(o *Owner, _ platform.Announcement) { o.Stop() },
		"left before a restart": func(o *Owner, a platform.Announcement) {
			o.RememberLeaving(a.ID)
		},
	}
	for name, f := range leave {
		t.Run(name, func(t *testing.T) {
			s := newServer(t, ok)
			o := newOwner(t, nil)
			require.NoError(t, o.Announce(announcement(s)))
			f(o, announcement(s))
			_, _, failure := offer(o, request("r1"))
			require.NotNil(t, failure)
			require.Equal(t, verdict.NotRun, failure.Verdict)
			require.Zero(t, s.got.Load())
		})
	}
}

// Guards against a heartbeat that was held up by a partition and replaces the
// backend server that has registered at the same address since.
func TestLateHeartbeatOfEarlierStart(t *testing.T) {
	s := newServer(t, ok)
	o := newOwner(t, make(chan int, 1))
	newer := announcement(s)
	newer.ID, newer.Born = "i-2", time.UnixMilli(2000)
	require.NoError(t, o.Announce(newer))
	require.NoError(t, o.Announce(announcement(s)))
	status, known := o.Status()
	require.True(t, known)
	require.Equal(t, "i-2", status.ID)
}

// Guards against a cold backend server that is crushed by its share of the load.
func TestColdBackendGetsItsRate(t *testing.T) {
	s := newServer(t, ok)
	o := newOwner(t, nil)
	a := announcement(s)
	a.ColdFor = 3 * time.Second
	require.NoError(t, o.Announce(a))
	refused := 0
	started := time.Now()
	for i := range 20 {
		if _, _, failure := offer(o, request(fmt.Sprint(i))); failure != nil {
			require.Equal(t, CodeCold, failure.Code)
			refused++
		}
	}
	tolerated := 4 * (1 + int(time.Since(started)/time.Second)) // 4 requests in each second that has begun
	require.LessOrEqual(t, int(s.got.Load()), tolerated)
	require.Equal(t, 20, refused+int(s.got.Load()))
	require.GreaterOrEqual(t, int(s.got.Load()), 4)
}

// Guards against requests that crash one backend server after the other unnoticed.
func TestCrashIsReported(t *testing.T) {
	crashed := make(chan int, 1)
	s := newServer(t, func(conn net.Conn, _ *http.Request) { conn.Close() })
	o := newOwner(t, crashed)
	a := announcement(s)
	require.NoError(t, o.Announce(a))
	of := request("r1")
	of.Idempotent, of.Fingerprint = false, []byte("fingerprint")
	_, _, failure := offer(o, of)
	require.Equal(t, CodeBackendLost, failure.Code)
	a.ID, a.Born = "i-2", time.UnixMilli(2000)
	require.NoError(t, o.Announce(a))
	require.Equal(t, 1, <-crashed)
}

// Guards against a caller that left while its request still occupies a slot.
func TestCancelClosesTheBackendConnection(t *testing.T) {
	closed := make(chan struct{})
	began := make(chan struct{})
	s := newServer(t, func(conn net.Conn, _ *http.Request) {
		close(began)
		_, _ = conn.Read(make([]byte, 1)) // Ends when the owner closes the connection.
		close(closed)
	})
	o := newOwner(t, nil)
	require.NoError(t, o.Announce(announcement(s)))
	near, far := link.NewLocalExchange()
	of := request("r1")
	of.TimeoutUs = time.Minute.Microseconds()
	go o.Serve(far, of)
	_, err := near.Recv()
	require.NoError(t, err)
	require.NoError(t, near.Send(wire.CommitEnvelope(), wire.ChunkEnvelope(nil, true)))
	<-began
	near.Close()
	<-closed
}

// Guards against the suspicion of a backend server whose requests of one route
// take much longer than those of another one on the same host.
func TestLatenciesOfRoutesAreNotCompared(t *testing.T) {
	s := newServer(t, func(conn net.Conn, r *http.Request) {
		if r.URL.Path == "/slow" {
			time.Sleep(slowFloor + 100*time.Millisecond)
		}
		ok(conn, r)
	})
	o := newOwner(t, nil)
	require.NoError(t, o.Announce(announcement(s)))
	for i := range 20 {
		_, _, failure := offer(o, request(fmt.Sprint("fast", i)))
		require.Nil(t, failure)
	}
	for i := range suspectAfter + 1 {
		slow := request(fmt.Sprint("slow", i))
		slow.Target = "/slow"
		_, _, failure := offer(o, slow)
		require.Nil(t, failure)
	}
	require.False(t, o.backend.health.suspected)
}

// Guards against a sound backend server that is unused while its node restarts,
// and against one that a new process goes on using after it has left.
func TestHandedOverBackendIsUsedUntilItsHeartbeatIsDue(t *testing.T) {
	s := newServer(t, ok)
	o := newOwner(t, nil)
	adopted := announcement(s)
	adopted.Sequence = 0 // The row of the earlier process does not tell it.
	o.Adopt(adopted)
	_, _, failure := offer(o, request("r1"))
	require.Nil(t, failure)
	o.backend.adoptedUntil = time.Now()
	_, _, failure = offer(o, request("r2"))
	require.NotNil(t, failure)
	require.Equal(t, verdict.NotRun, failure.Verdict)
	_, known := o.Status()
	require.False(t, known)
	require.NoError(t, o.Announce(announcement(s)))
	_, _, failure = offer(o, request("r3"))
	require.Nil(t, failure, "its heartbeat makes it known")
}

// Guards against a backend server that is crushed because a new process does not
// know whether it is cold.
func TestHandedOverBackendMayBeCold(t *testing.T) {
	s := newServer(t, ok)
	o := newOwner(t, nil)
	o.Adopt(announcement(s))
	for i := range 20 {
		_, _, _ = offer(o, request(fmt.Sprint(i))) // Those beyond the rate are refused.
	}
	require.EqualValues(t, 4*1.5+5-rateMargin, s.got.Load())
}

// Guards against the suspicion of a backend server whose requests wait long for
// calls that other servers answer late.
func TestTimeOfCallsIsNotItsOwn(t *testing.T) {
	var o *Owner
	s := newServer(t, func(conn net.Conn, r *http.Request) {
		if r.URL.Path == "/a" && strings.HasPrefix(r.Header.Get("Request-Id"), "slow") {
			o.BeginCall()
			time.Sleep(slowFloor + 100*time.Millisecond)
			o.EndCall(false)
		}
		ok(conn, r)
	})
	o = newOwner(t, nil)
	require.NoError(t, o.Announce(announcement(s)))
	for i := range 20 {
		_, _, failure := offer(o, request(fmt.Sprint("fast", i)))
		require.Nil(t, failure)
	}
	for i := range suspectAfter + 1 {
		_, _, failure := offer(o, request(fmt.Sprint("slow", i)))
		require.Nil(t, failure)
	}
	require.False(t, o.backend.health.suspected)
}
