package load

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"trefoildock.example/standin/backend"
	"trefoildock.example/verdict"
)

// config returns the configuration of a run of n requests, about half of them orders.
func config(n int, entries ...string) Config {
	return Config{
		Entries: entries,
		Teams:   []Team{{Rate: 2000}},
		Kinds: []RequestKind{
			{Method: http.MethodGet, Path: "/catalogue/oak", Share: 1, ResponsePadding: 1000},
			{Method: http.MethodPost, Path: "/orders", Share: 1, BodyPadding: 100},
		},
		Duration: time.Minute, MaxRequests: n, ResendDelay: time.Millisecond, KeepOrders: true, Seed: 7,
	}
}

func startBackend(t *testing.T) *backend.Server {
	t.Helper()
	s, err := backend.New(backend.Config{Name: "b", Service: "s", Slots: 100, ServiceTime: time.Millisecond, Seed: 7})
	require.NoError(t, err)
	require.NoError(t, s.Start())
	t.Cleanup(s.Kill)
	return s
}

// Guards against reporting correct answers as wrong, and against orders that the
// backend server does not record under their key.
func TestRunAgainstHealthyServer(t *testing.T) {
	s := startBackend(t)
	r, err := Run(t.Context(), config(100, s.Addr()))
	require.NoError(t, err)
	require.Equal(t, uint64(100), r.Total.Counts.Answered, r.Findings)
	require.Equal(t, int64(100), r.Total.Latency.Count)
	require.NotEmpty(t, r.Orders)
	keys := s.Executions().Keys
	require.Len(t, keys, len(r.Orders))
	require.Empty(t, CheckExecutions(r.Orders, keys))
	var table bytes.Buffer
	require.NoError(t, r.WriteTable(&table))
	require.Contains(t, table.String(), "total")
}

// Guards against counting a faulty answer as correct.
func TestRunDetectsFaults(t *testing.T) {
	cases := []struct {
		name   string
		faults backend.Faults
		count  func(Counts) uint64
	}{
		{"wrong", backend.Faults{WrongShare: 1, WrongDigestMatches: true}, func(c Counts) uint64 { return c.Wrong }},
		{"crossed", backend.Faults{MismatchedShare: 1}, func(c Counts) uint64 { return c.Wrong }},
		{"cut", backend.Faults{TruncatedShare: 1}, func(c Counts) uint64 { return c.Truncated }},
		{"failed", backend.Faults{ErrorShare: 1}, func(c Counts) uint64 { return c.Failed }},
		{"refused", backend.Faults{RefuseConnections: true}, func(c Counts) uint64 { return c.NotSent }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := startBackend(t)
			require.NoError(t, s.SetFaults(c.faults))
			r, err := Run(t.Context(), config(20, s.Addr()))
			require.NoError(t, err)
			require.Equal(t, uint64(20), c.count(r.Total.Counts), "%+v", r.Total.Counts)
			require.NotEmpty(t, r.Findings)
		})
	}
}

// Guards against a resend with another key or body, and against a missing resend.
func TestResendsUnansweredOrderUnchanged(t *testing.T) {
	var mu sync.Mutex
	bodiesByKey := make(map[string][]string) // by idempotency key
	entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		key := r.Header.Get(verdict.IdempotencyKeyHeader)
		mu.Lock()
		bodiesByKey[key] = append(bodiesByKey[key], string(body))
		n := len(bodiesByKey[key])
		mu.Unlock()
		switch n {
		case 1:
			panic(http.ErrAbortHandler)
		case 2:
			w.WriteHeader(http.StatusConflict) // The first attempt is still executing.
		default:
			verdict.NewNotRun("test", "no more", 0).Write(w, "r")
		}
	}))
	defer entry.Close()
	c := config(5, entry.URL)
	c.Kinds = c.Kinds[1:]
	c.Resends = 4
	r, err := Run(t.Context(), c)
	require.NoError(t, err)
	require.Equal(t, uint64(5), r.Total.Counts.NotRun, r.Findings)
	require.Equal(t, uint64(10), r.Total.Counts.Resent)
	require.Len(t, bodiesByKey, 5)
	for key, bodies := range bodiesByKey {
		require.Equal(t, uuid.Version(7), uuid.MustParse(key).Version())
		require.Equal(t, []string{bodies[0], bodies[0], bodies[0]}, bodies)
	}
}

// Guards against classifying a refusal as not run without that verdict.
func TestClassifyResponseFollowsVerdict(t *testing.T) {
	cases := []struct {
		code    int
		verdict string
		refused string
		want    Outcome
	}{
		{503, "not-run", "", NotRun},
		{502, "may-have-run", "", MayHaveRun},
		{503, "", "shed", NotRun},
		{503, "completed", "shed", Failed},
		{503, "", "", Failed},
		{200, "", "", Wrong}, // An empty body.
	}
	team, kind := &Team{}, &RequestKind{Method: http.MethodGet, Path: "/"}
	req, err := newRequest(team, kind, "1")
	require.NoError(t, err)
	for _, c := range cases {
		h := http.Header{verdict.Header: {c.verdict}, verdict.RefusedHeader: {c.refused}}
		require.Equal(t, c.want, classifyResponse(&http.Response{StatusCode: c.code, Header: h}, nil, req).outcome, "%+v", c)
	}
}

// Guards against violations that the comparison does not report.
func TestCheckExecutionsFindsViolations(t *testing.T) {
	orders := []Order{
		{ID: "ok", Key: "1", Attempts: 1, Outcome: Answered},
		{ID: "doubled", Key: "2", Attempts: 2, Outcome: Answered},
		{ID: "lost", Key: "3", Attempts: 1, Outcome: Answered},
		{ID: "false refusal", Key: "4", Attempts: 1, Outcome: NotRun},
		{ID: "unknown", Key: "5", Attempts: 2, Outcome: NotRun, MayHaveExecuted: true},
		{ID: "cut", Key: "6", Attempts: 1, Outcome: Truncated, MayHaveExecuted: true},
		{ID: "false refusals", Key: "7", Attempts: 2, Outcome: NotRun},
	}
	violations := CheckExecutions(orders, map[string]int{"1": 1, "2": 2, "4": 1, "5": 1, "7": 1})
	require.Equal(t, []string{
		"order doubled ran 2 times",
		"order lost was answered and did not run",
		"order false refusal was refused as not run and ran",
		"order false refusals was refused as not run and ran",
	}, violations)
}

// Guards against arrivals that deviate from the rate or the shares, or that are not
// reproducible from a seed.
func TestArrivalsFollowRateAndShares(t *testing.T) {
	c := config(0, "a", "b")
	c.Teams[0].Rate = 50
	c.Kinds[0].Share = 3
	first, second := newArrivalProcess(&c, 0), newArrivalProcess(&c, 0)
	const n = 20_000
	firstKind := 0
	var last arrival
	for range n {
		last = first.next()
		require.Equal(t, last, second.next())
		if last.kind == 0 {
			firstKind++
		}
	}
	require.InEpsilon(t, n/50, last.at.Seconds(), 0.05)
	require.InEpsilon(t, n*3/4, firstKind, 0.05)
}

// Guards against an unbounded run because of a missing value, and against reporting
// only the first error.
func TestConfigReportsAllErrors(t *testing.T) {
	_, err := Run(t.Context(), Config{Teams: []Team{{Name: "x"}}})
	for _, want := range []string{"entry", "rate", "kinds", "duration"} {
		require.ErrorContains(t, err, want)
	}
}

// Guards against retries of an order by net/http, which retries requests with an
// Idempotency-Key on a reused connection, and against uncounted retries of reads.
func TestTransportDoesNotRetryOrders(t *testing.T) {
	var posts, gets atomic.Int32
	entry := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			posts.Add(1)
			panic(http.ErrAbortHandler)
		}
		if gets.Add(1) == 3 {
			panic(http.ErrAbortHandler)
		}
	}))
	defer entry.Close()
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	attempt := func(method string) result {
		req, err := newRequest(&Team{}, &RequestKind{Method: method, Path: "/"}, "1")
		require.NoError(t, err)
		return send(t.Context(), client, entry.URL, req, time.Minute)
	}
	attempt(http.MethodGet)
	require.Equal(t, NoResponse, attempt(http.MethodPost).outcome)
	require.Equal(t, int32(1), posts.Load())
	attempt(http.MethodGet)
	require.Equal(t, uint64(1), attempt(http.MethodGet).transportRetries)
}

// Guards against a request that fails because its first entry is down, and against
// HTTP/2 runs that fall back to HTTP/1.1.
func TestFailoverAndHTTP2(t *testing.T) {
	var protocols sync.Map
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		protocols.Store(r.Proto, true)
		w.WriteHeader(http.StatusTeapot)
	})
	srv := httptest.NewUnstartedServer(h)
	srv.Config.Protocols = new(http.Protocols)
	srv.Config.Protocols.SetUnencryptedHTTP2(true)
	srv.Start()
	defer srv.Close()
	down := httptest.NewServer(h)
	down.Close()
	c := config(40, down.URL, srv.URL)
	c.HTTP2, c.Failover, c.KeepAttempts = true, true, true
	r, err := Run(t.Context(), c)
	require.NoError(t, err)
	require.Zero(t, r.Total.Counts.NotSent)
	require.Positive(t, r.Total.Counts.Failovers)
	require.Len(t, r.Attempts, 40)
	_, http1 := protocols.Load("HTTP/1.1")
	require.False(t, http1)
}
