package backend

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"trefoildock.example/standin/answer"
	"trefoildock.example/verdict"
)

func newServer(t *testing.T, c Config) *Server {
	t.Helper()
	c.Name, c.Service = "orders-1", "orders"
	s, err := New(c)
	require.NoError(t, err)
	t.Cleanup(s.Kill)
	return s
}

// serve passes one request to the handler without a network connection.
func serve(ctx context.Context, s *Server, header http.Header) *httptest.ResponseRecorder {
	rec := httptest.NewRecorder()
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/orders", strings.NewReader(`{"order_id":"o1"}`))
	for name, values := range header {
		r.Header[name] = values
	}
	defer func() { _ = recover() }() // The handler panics to abort a response.
	s.ServeHTTP(rec, r)
	return rec
}

// Guards against executing a request beyond the slots, and against counting a refused
// request as an execution.
func TestShedsRequestsBeyondSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServer(t, Config{Slots: 2})
		var wg sync.WaitGroup
		for range 2 {
			wg.Go(func() { serve(t.Context(), s, nil) })
		}
		synctest.Wait()
		rec := serve(t.Context(), s, nil)
		require.Equal(t, http.StatusServiceUnavailable, rec.Code)
		require.Equal(t, refusedShed, rec.Header().Get(verdict.RefusedHeader))
		wg.Wait()
		require.Equal(t, 2, s.Executions().Orders["o1"])
		require.Equal(t, map[string]int{"o1": 2}, s.Executions().Repeated().Orders)
		require.Equal(t, uint64(1), s.Stats().Shed)
	})
}

// Guards against a cold start that a concurrent request does not restart, and against
// a cold start that never ends.
func TestConcurrentRequestRestartsColdStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := Config{ServiceTime: time.Second, ColdRequests: 2, ColdFactor: 2, CollapseFactor: 3}
		s := newServer(t, c)
		started := time.Now()
		var wg sync.WaitGroup
		for range 2 {
			wg.Go(func() { serve(t.Context(), s, nil) })
		}
		wg.Wait()
		require.Equal(t, 6*time.Second, time.Since(started)) // Synctest time: 1 s x 2 x 3.
		require.Equal(t, uint64(1), s.Stats().Collapses)
		require.False(t, s.Stats().Cold)
		require.NoError(t, s.SetFaults(Faults{ColdRestart: true}))
		require.True(t, s.Stats().Cold)
	})
}

// Guards against an execution that continues after its caller cancels or its timeout
// passes, and against leaking its slot.
func TestCancellationAndTimeoutStopExecution(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServer(t, Config{ServiceTime: time.Hour})
		rec := serve(t.Context(), s, http.Header{verdict.TimeoutHeader: {"0.5"}})
		require.Equal(t, http.StatusGatewayTimeout, rec.Code)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		serve(ctx, s, nil)
		st := s.Stats()
		require.Equal(t, [3]uint64{1, 1, 0}, [3]uint64{st.TimedOut, st.Cancelled, st.Completed})
		require.Zero(t, st.InFlight)
	})
}

// Guards against a draining server that executes requests, and against health and load
// reports without the configured lag.
func TestDrainingAndLaggingReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServer(t, Config{})
		probe := func(path string) *httptest.ResponseRecorder {
			rec := httptest.NewRecorder()
			s.ServeHTTP(rec, httptest.NewRequestWithContext(t.Context(), http.MethodGet, path, nil))
			return rec
		}
		require.NoError(t, s.SetFaults(Faults{ReportLagMillis: 2000, LoadReport: LoadFull}))
		time.Sleep(time.Second)
		s.SetDraining(true)
		require.Equal(t, refusedDraining, serve(t.Context(), s, nil).Header().Get(verdict.RefusedHeader))
		require.Equal(t, http.StatusOK, probe("/health").Code)
		require.JSONEq(t, `{"in_flight":3,"slots":3,"state":"serving"}`, probe("/load").Body.String())
		time.Sleep(2 * time.Second)
		require.Equal(t, http.StatusServiceUnavailable, probe("/health").Code)
		require.Zero(t, s.Executions().Total)
	})
}

// Guards against faults that depend on more than the seed and the number of the
// execution, because a failing run would not be reproducible.
func TestExecutionPlansAreDeterministic(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := Config{Seed: rapid.Uint64().Draw(rt, "seed"), ServiceTime: time.Millisecond, Spread: 0.7}
		n := rapid.Uint64().Draw(rt, "n")
		f := Faults{WrongShare: rapid.Float64Range(0, 1).Draw(rt, "wrong")}
		p := planExecution(&c, &f, n)
		require.Equal(rt, p, planExecution(&c, &f, n))
		f.SlowFactor = 2
		require.InDelta(rt, 2*float64(p.serviceTime), float64(planExecution(&c, &f, n).serviceTime), 2)
		f.TruncatedShare = 1
		require.Equal(rt, outcomeTruncated, planExecution(&c, &f, n).outcome)
	})
}

// Guards against faulty answers that a caller cannot distinguish from correct ones.
func TestFaultyAnswersAreDetectable(t *testing.T) {
	s := newServer(t, Config{ServiceTime: time.Millisecond})
	require.NoError(t, s.Start())
	get := func(ref string) error {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+s.Addr()+"/a?size=100&ref="+ref, nil)
		require.NoError(t, err)
		req.Header.Set(verdict.RequestIDHeader, ref)
		resp, err := http.DefaultClient.Do(req)
		require.NoError(t, err)
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			return err
		}
		want := answer.Request{Method: http.MethodGet, Path: "/a", Query: "size=100&ref=" + ref, Padding: 100}
		return want.Verify(body, resp.Header.Get(verdict.RequestIDHeader), resp.Header.Get(answer.DigestHeader))
	}
	require.NoError(t, get("1"))
	require.NoError(t, s.SetFaults(Faults{WrongShare: 1}))
	require.ErrorContains(t, get("2"), "Content-Digest")
	require.NoError(t, s.SetFaults(Faults{WrongShare: 1, WrongDigestMatches: true}))
	require.ErrorContains(t, get("3"), "another body")
	require.NoError(t, s.SetFaults(Faults{MismatchedShare: 1}))
	require.ErrorContains(t, get("4"), "ref=3")
	require.NoError(t, s.SetFaults(Faults{TruncatedShare: 1}))
	require.ErrorIs(t, get("5"), io.ErrUnexpectedEOF)
	require.NoError(t, s.SetFaults(Faults{}))
	require.NoError(t, get("6"))
	require.Error(t, s.SetFaults(Faults{WrongShare: 1.5}))
}

// Guards against closing open connections when new ones are refused, and against a
// listener that does not reopen on the same port.
func TestRefusesNewConnections(t *testing.T) {
	s := newServer(t, Config{ServiceTime: time.Millisecond, Control: "127.0.0.1:0"})
	require.NoError(t, s.Start())
	keepAlive := &http.Client{Transport: &http.Transport{}}
	noKeepAlive := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	t.Cleanup(keepAlive.CloseIdleConnections)
	get := func(c *http.Client, addr string) error {
		resp, err := c.Get("http://" + addr + "/stats")
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body)
		return err
	}
	require.NoError(t, get(keepAlive, s.Addr()))
	require.NoError(t, s.SetFaults(Faults{RefuseConnections: true}))
	require.Error(t, get(noKeepAlive, s.Addr()))
	require.NoError(t, get(keepAlive, s.Addr()))
	require.NoError(t, get(noKeepAlive, s.ControlAddr()))
	require.NoError(t, s.SetFaults(Faults{}))
	require.NoError(t, get(noKeepAlive, s.Addr()))
}

// Guards against a response to a request that crashes the server, and against an
// execution that the next process does not count.
func TestJournalSurvivesCrash(t *testing.T) {
	journal := filepath.Join(t.TempDir(), "journal")
	s := newServer(t, Config{Journal: journal})
	require.NoError(t, s.Start())
	require.NoError(t, s.SetFaults(Faults{CrashMarker: "poison"}))
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+s.Addr()+"/orders?order_id=o2", nil)
	require.NoError(t, err)
	req.Header.Set(verdict.IdempotencyKeyHeader, "poison-1")
	resp, err := http.DefaultClient.Do(req)
	if err == nil {
		resp.Body.Close()
	}
	require.Error(t, err)
	<-s.Done()
	f, err := os.OpenFile(journal, os.O_APPEND|os.O_WRONLY, 0)
	require.NoError(t, err)
	_, err = f.WriteString(`{"key":"to`) // A line that the crash truncated.
	require.NoError(t, err)
	require.NoError(t, f.Close())
	next := newServer(t, Config{Journal: journal})
	require.Equal(t, Executions{Total: 1, Keys: map[string]int{"poison-1": 1}, Orders: map[string]int{"o2": 1}}, next.Executions())
	serve(t.Context(), next, nil)
	next.Kill()
	require.Equal(t, map[string]int{"o1": 1, "o2": 1}, newServer(t, Config{Journal: journal}).Executions().Orders)
}

// Guards against a shutdown that is not announced to the node.
func TestShutdownAnnouncesDraining(t *testing.T) {
	bodies := make(chan string, 100)
	node := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		bodies <- r.Method + " " + r.URL.Path + " " + string(body)
	}))
	defer node.Close()
	s := newServer(t, Config{Announce: node.URL, DrainTime: 50 * time.Millisecond})
	require.NoError(t, s.Start())
	first := <-bodies
	require.Contains(t, first, "PUT /v1/backend-servers/orders-1 ")
	require.Contains(t, first, `"address":"`+s.Addr()+`","slots":3,"connections":400,"incarnation":"`+s.Incarnation()+`","state":"serving"`)
	shutdownErr := make(chan error)
	go func() { shutdownErr <- s.Shutdown(t.Context()) }()
	for !strings.Contains(<-bodies, `"state":"draining"`) {
	}
	require.NoError(t, <-shutdownErr)
}

// Guards against exceeding the connection limit, and against a closed connection that
// still counts towards it.
func TestConnectionLimit(t *testing.T) {
	s := newServer(t, Config{Connections: 1})
	require.NoError(t, s.Start())
	clients := [2]*http.Client{{Transport: &http.Transport{}}, {Transport: &http.Transport{}}}
	get := func(c *http.Client) error {
		resp, err := c.Get("http://" + s.Addr() + "/stats")
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
		return err
	}
	require.NoError(t, get(clients[0]))
	require.Error(t, get(clients[1]))
	require.Positive(t, s.Stats().RejectedConnections)
	clients[0].CloseIdleConnections()
	require.Eventually(t, func() bool { return get(clients[1]) == nil }, time.Minute, time.Millisecond)
	clients[1].CloseIdleConnections()
}

// Guards against not recording a secret in a request, against counting its record as an
// execution, and against a journal that cannot be read after the server has stopped.
func TestSecretsAreRecorded(t *testing.T) {
	journal := filepath.Join(t.TempDir(), "journal")
	s := newServer(t, Config{Journal: journal, Secrets: []string{"tdk_secret"}})
	serve(t.Context(), s, http.Header{"X-Hidden": {"prefix tdk_secret"}})
	s.Kill()
	e, err := ReadJournal(journal)
	require.NoError(t, err)
	require.Equal(t, map[string]int{"header X-Hidden": 1}, e.Secrets)
	require.EqualValues(t, 1, e.Total)
}
