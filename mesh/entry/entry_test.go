package entry

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"trefoildock.example/link"
	"trefoildock.example/mesh/fleet"
	"trefoildock.example/mesh/h1"
	"trefoildock.example/mesh/owner"
	"trefoildock.example/mesh/quota"
	"trefoildock.example/platform"
	"trefoildock.example/routing"
	"trefoildock.example/standin/rowstore"
)

// machine is an entry with the owner of one backend server, whose answers a
// test decides.
type machine struct {
	entry  *Entry
	owner  *owner.Owner
	store  *rowstore.Store
	state  *fleet.State
	runs   atomic.Int32
	answer atomic.Pointer[func(w http.ResponseWriter, r *http.Request)]
	// deadline is the time in milliseconds that the caller waits.
	deadline string
}

const configuration = `{"version":"r1","routes":{"columns":["name","host","prefix","type","timeout-ms","target-latency-ms","max-attempts","public","service"],"rows":[
["read","shop","/","safe",9000,100,2,true,"orders"],["order","shop","/order/","unsafe",9000,100,2,true,"orders"],["away","shop","/away/","safe",9000,100,2,true,"none"]]},
"services":{"columns":["name"],"rows":[["orders"]]},"tenants":{"columns":["name"],"rows":[]},"limits":{}}`

func newMachine(t *testing.T) *machine {
	t.Helper()
	m := &machine{deadline: "9000"}
	m.set(func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, "ok") })
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		m.runs.Add(1)
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Server-Seal", "s")
		(*m.answer.Load())(w, r)
	}))
	t.Cleanup(backend.Close)
	store := rowstore.New()
	srv := httptest.NewServer(store)
	t.Cleanup(srv.Close)
	t.Cleanup(srv.CloseClientConnections)
	client, err := platform.NewClient(platform.ClientConfig{URL: srv.URL})
	require.NoError(t, err)
	registry := metrics.NewRegistry()
	bounds := platform.Bounds{RetryRatio: 0.2, RetrySlack: 60, RetryWindow: 10 * time.Second, RevokeWithin: 5 * time.Second}
	m.owner = owner.New(owner.Config{
		Bounds: bounds, Heartbeat: time.Second, Logger: log.NewNopLogger(), Metrics: owner.NewMetrics(registry),
		Cold:  func(string) (time.Duration, float64) { return 0, 0 },
		Route: func(_, target string) string { return target }, OnChange: func() {}, OnCrash: func(string, [][]byte) {},
	})
	require.NoError(t, m.owner.Announce(platform.Announcement{
		ID: "i-1", Service: "orders", Address: strings.TrimPrefix(backend.URL, "http://"), Slots: 1, Sequence: 1, Born: time.UnixMilli(1),
	}))
	state := fleet.New(fleet.Config{
		Self: fleet.Member{Node: "n", Zone: "z", Address: "n:1"}, Operator: client.Rows(platform.OperatorTable), Members: client.Rows("members"),
		Backend: func() (*fleet.Backend, bool) {
			return &fleet.Backend{ID: "i-1", Service: "orders", Slots: 1, Serving: true}, true
		},
		AskPeer: func(context.Context, string, fleet.Known) (fleet.Knowledge, error) {
			return fleet.Knowledge{}, errors.New("alone")
		},
		OnView: func(*fleet.View) {}, OnHome: func(fleet.Home) {}, LostHome: func() string { return "" }, OnLostHome: func(string) {}, Logger: log.NewNopLogger(),
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); state.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	store.Put(platform.OperatorTable, "config", []byte(configuration))
	require.Eventually(t, func() bool { return len(state.View().Owners["orders"]) == 1 && state.View().Config != nil }, 10*time.Second, time.Millisecond)
	keeper := &quota.Keeper{Self: quota.Home{Node: "n", Address: "n:1"}, Logger: log.NewNopLogger()}
	keeper.Init()
	m.store, m.state = store, state
	m.entry = New(Config{
		Links: &link.Pool{Plain: true, Dial: func(context.Context, string) (net.Conn, error) { return nil, errors.New("no route") }},
		Node:  "n", Zone: "z", Service: "shopfront", Bounds: bounds, Fleet: state, Owner: m.owner, Logger: log.NewNopLogger(),
		Metrics: NewMetrics(registry), Rates: &quota.Rates{
			Keeper: keeper, Deputies: func(string) []quota.Home { return nil },
			RetryLimit: func(service string) *routing.Team { return quota.RetryLimit(service, 60, 10*time.Second, 1) },
		},
	})
	return m
}

func (m *machine) set(f func(w http.ResponseWriter, r *http.Request)) { m.answer.Store(&f) }

func (m *machine) send(t *testing.T, method, path, id string) *h1.Answer {
	t.Helper()
	r := httptest.NewRequest(method, "http://shop"+path, nil)
	r.Header.Set("Request-Id", id)
	r.Header.Set("Request-Deadline", m.deadline)
	return m.entry.Handle(t.Context(), &h1.Request{Request: r, Received: time.Now()})
}

func TestServed(t *testing.T) {
	m := newMachine(t)
	a := m.send(t, "GET", "/a", "1")
	require.Equal(t, 200, a.Status)
	require.Equal(t, "ok", string(a.Body))
	require.Equal(t, "s", a.Header.Get("Server-Seal"))
}

// Guards against an order that is sent again after it may have run.
func TestRepetition(t *testing.T) {
	fail := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }
	shed := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	cut := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	cases := []struct {
		name, method, path string
		answer             func(http.ResponseWriter, *http.Request)
		runs               int
		status             int
	}{
		{"failed order", "POST", "/order/1", fail, 1, 500},
		{"cut order", "POST", "/order/1", cut, 1, 502},
		{"order that did not run", "POST", "/order/1", shed, 2, 503},
		{"failed lookup without another server", "GET", "/a", fail, 1, 500},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := newMachine(t)
			m.set(c.answer)
			a := m.send(t, c.method, c.path, "1")
			require.Equal(t, c.status, a.Status)
			require.GreaterOrEqual(t, int(m.runs.Load()), c.runs)
			if c.answer != nil && c.path == "/order/1" && c.status != 503 {
				require.Equal(t, c.runs, int(m.runs.Load()))
			}
		})
	}
}

// Guards against a request without an owner that ends without an error, which
// once ended the process, and against one that is held until its deadline.
func TestNoOwner(t *testing.T) {
	m := newMachine(t)
	started := time.Now()
	a := m.send(t, "GET", "/away/1", "1")
	require.Equal(t, 503, a.Status)
	require.NotEmpty(t, a.Header.Get("Retry-After"))
	require.Equal(t, "1", a.Header.Get("Request-Id"))
	require.Less(t, time.Since(started), 5*time.Second)
}

// Guards against sound servers that get nothing while requests are refused: in a
// large fleet the owners that are known as suspected come after those that are asked.
func TestSuspectedOwnerServesWhenNoOtherCan(t *testing.T) {
	m := newMachine(t)
	for i := range 2 * maxProbedOwners {
		name := fmt.Sprint("x", i)
		m.store.Put("members", "member/"+name, fmt.Appendf(nil,
			`{"node":%q,"zone":"z","address":"%s:1","backend":{"id":"i-%s","service":"orders","slots":3,"serving":true}}`, name, name, name))
	}
	require.Eventually(t, func() bool { return len(m.state.View().Owners["orders"]) == 1+2*maxProbedOwners }, 10*time.Second, time.Millisecond)
	m.set(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) })
	for m.runs.Load() < 2 { // Two failures make the owner suspect its backend server.
		m.entry.peers.byID = make(map[string]*peer)
		m.send(t, "GET", "/a", fmt.Sprint("fail", m.runs.Load()))
	}
	m.set(func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, "ok") })
	m.entry.peers.suspected("n", time.Now().Add(time.Hour))
	for i := range 3 {
		require.Equal(t, 200, m.send(t, "POST", "/order/1", fmt.Sprint(i)).Status)
	}
}

// Guards against requests that are answered as not run while their backend
// server still works on them.
func TestTimeoutIsNoRefusal(t *testing.T) {
	m := newMachine(t)
	m.set(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	m.deadline = "300"
	a := m.send(t, "POST", "/order/1", "1")
	require.Equal(t, 504, a.Status)
	require.Empty(t, a.Header.Get("Retry-After"))
}

// Guards against a busy service that holds its callers in place of telling them.
func TestBusyServiceRefuses(t *testing.T) {
	m := newMachine(t)
	release := make(chan struct{})
	m.set(func(w http.ResponseWriter, _ *http.Request) { <-release; _, _ = fmt.Fprint(w, "ok") })
	var answers [4]*h1.Answer
	done := make(chan int, len(answers))
	for i := range answers {
		go func() { answers[i] = m.send(t, "POST", "/order/1", fmt.Sprint(i)); done <- i }()
	}
	for range len(answers) - 1 {
		<-done
	}
	close(release)
	<-done
	refused := 0
	for _, a := range answers {
		if a.Status == 503 {
			refused++
		}
	}
	require.GreaterOrEqual(t, refused, len(answers)-1)
	require.EqualValues(t, 1, m.runs.Load())
}

// Guards against a promise that a request has not run when that is not known.
func TestRefusalNeverOverstates(t *testing.T) {
	for _, status := range []int{408, 421, 429, 503} {
		require.True(t, owner.ImpliesNotRun(status))
	}
	m := newMachine(t)
	m.entry.Stop()
	require.Equal(t, 200, m.send(t, "GET", "/a", "1").Status, "calls of the backend server go on during a stop")
}
