package fleet

import (
	"context"
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"trefoildock.example/platform"
	"trefoildock.example/standin/rowstore"
)

const patience = 10 * time.Second

// nodes are the states of a test deployment, which ask each other directly.
type nodes struct {
	t     *testing.T
	store *rowstore.Store
	url   string

	mu     sync.Mutex
	states map[string]*State
	stops  map[string]func()
	cut    map[string]bool
}

func newNodes(t *testing.T) *nodes {
	t.Helper()
	n := &nodes{t: t, store: rowstore.New(), states: make(map[string]*State), stops: make(map[string]func()), cut: make(map[string]bool)}
	srv := httptest.NewServer(n.store)
	t.Cleanup(srv.Close)
	t.Cleanup(srv.CloseClientConnections)
	n.url = srv.URL
	return n
}

// add starts the state of a node. Its way to the store leads through a client of
// its own, which cut closes.
func (n *nodes) add(name string) *State {
	client, err := platform.NewClient(platform.ClientConfig{URL: n.url, Timeout: time.Second})
	require.NoError(n.t, err)
	s := New(Config{
		Self:     Member{Node: name, Zone: "z", Address: name, Incarnation: name + "-1"},
		Operator: &table{client.Rows(platform.OperatorTable), n, name}, Members: &table{client.Rows("members"), n, name},
		Backend: func() (*Backend, bool) {
			return &Backend{ID: "i-" + name, Service: "orders", Slots: 3, Serving: true}, true
		},
		AskPeer: n.ask, OnView: func(*View) {}, OnHome: func(Home) {}, LostHome: func() string { return "" }, OnLostHome: func(string) {}, Logger: log.NewNopLogger(),
	})
	n.mu.Lock()
	n.states[name] = s
	n.mu.Unlock()
	ctx, cancel := context.WithCancel(n.t.Context())
	done := make(chan struct{})
	go func() { defer close(done); s.Run(ctx) }()
	n.stops[name] = func() { cancel(); <-done }
	n.t.Cleanup(func() { cancel(); <-done; client.Close() })
	return s
}

// stop ends the control goroutine of a node.
func (n *nodes) stop(name string) { n.stops[name]() }

func (n *nodes) ask(ctx context.Context, address string, known Known) (Knowledge, error) {
	n.mu.Lock()
	s := n.states[address]
	n.mu.Unlock()
	k, ok := s.Answer(ctx, known)
	if !ok {
		return k, errors.New("never confirmed")
	}
	return k, nil
}

func (n *nodes) setCut(name string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[name] = cut
}

// table is a table that one node cannot reach while it is cut off.
type table struct {
	*platform.Rows
	nodes *nodes
	node  string
}

var errCut = errors.New("cut off from the store")

func (t *table) reachable() bool {
	t.nodes.mu.Lock()
	defer t.nodes.mu.Unlock()
	return !t.nodes.cut[t.node]
}

// Read implements Table.
func (t *table) Read(ctx context.Context) (platform.Changes, error) {
	if !t.reachable() {
		return platform.Changes{}, errCut
	}
	return t.Rows.Read(ctx)
}

// Watch implements Table.
func (t *table) Watch(ctx context.Context, after uint64, wait time.Duration) (platform.Changes, error) {
	c, err := t.Rows.Watch(ctx, after, wait)
	if !t.reachable() {
		return platform.Changes{}, errCut
	}
	return c, err
}

func config(version int, key string) []byte {
	return fmt.Appendf(nil, `{"version":"r%d","routes":{"columns":["name","host","prefix","type","service"],"rows":[["r","shop","/","safe","orders"]]},`+
		`"services":{"columns":["name"],"rows":[["orders"]]},"tenants":{"columns":["name","api-keys"],"rows":[["blue",["%s"]]]},"limits":{}}`, version, key)
}

func version(s *State) uint64 {
	if c := s.View().Config; c != nil {
		return c.Version
	}
	return 0
}

func eventually(t *testing.T, f func() bool, what string) {
	t.Helper()
	require.Eventually(t, f, patience, 2*time.Millisecond, what)
}

func TestNodesFindEachOtherAndTheConfiguration(t *testing.T) {
	n := newNodes(t)
	a, b := n.add("a"), n.add("b")
	n.store.Put(platform.OperatorTable, "config", config(3, "k"))
	for _, s := range []*State{a, b} {
		eventually(t, func() bool { return version(s) == 3 && len(s.View().Owners["orders"]) == 2 }, "view")
	}
	require.NotNil(t, a.View().Config.TeamOfKey("k"))
	n.store.Put(platform.OperatorTable, "config", config(5, "other"))
	eventually(t, func() bool { return version(a) == 5 && version(b) == 5 }, "new version")
	require.Nil(t, a.View().Config.TeamOfKey("k"), "a withdrawn key")
}

// Guards against a configuration that goes back, whoever brings the older one.
func TestConfigurationNeverGoesBack(t *testing.T) {
	n := newNodes(t)
	a := n.add("a")
	n.store.Put(platform.OperatorTable, "config", config(9, "k"))
	eventually(t, func() bool { return version(a) == 9 }, "first version")
	n.store.Put(platform.OperatorTable, "config", config(8, "k"))
	n.store.Put(platform.OperatorTable, "config", []byte("{"))
	n.store.Put(platform.OperatorTable, "evacuate/z", []byte("{}"))
	eventually(t, func() bool { return a.View().ZonesOut["z"] }, "later change")
	require.EqualValues(t, 9, version(a))
	require.Empty(t, a.View().Owners["orders"], "owners of an evacuated zone")
	n.store.Delete(platform.OperatorTable, "evacuate/z")
	eventually(t, func() bool { return len(a.View().Owners["orders"]) == 1 }, "zone taken back")
}

// Guards against a node that stays outdated after the history was dropped.
func TestHistoryGone(t *testing.T) {
	n := newNodes(t)
	a := n.add("a")
	n.store.Put(platform.OperatorTable, "config", config(1, "k"))
	eventually(t, func() bool { return version(a) == 1 }, "first version")
	n.store.DropHistory()
	n.store.Put(platform.OperatorTable, "config", config(2, "k"))
	eventually(t, func() bool { return version(a) == 2 }, "version after the loss")
}

// Guards against nodes that all watch the store, and against followers that do
// not learn of changes.
func TestFollowersLeaveTheStoreAlone(t *testing.T) {
	n := newNodes(t)
	var states []*State
	for i := range 8 {
		states = append(states, n.add(fmt.Sprint("n", i)))
	}
	n.store.Put(platform.OperatorTable, "config", config(1, "k"))
	shut := func() int {
		count := 0
		for _, s := range states {
			s.gate.mu.Lock()
			if s.gate.shut {
				count++
			}
			s.gate.mu.Unlock()
		}
		return count
	}
	eventually(t, func() bool { return shut() == len(states)-readersPerZone }, "followers")
	n.store.Put(platform.OperatorTable, "config", config(2, "k"))
	for _, s := range states {
		eventually(t, func() bool { return version(s) == 2 }, "new version")
	}
}

// Guards against followers of a reader that is cut off from the store.
func TestReaderThatLosesTheStoreIsLeft(t *testing.T) {
	n := newNodes(t)
	var states []*State
	for i := range 4 {
		states = append(states, n.add(fmt.Sprint("n", i)))
	}
	n.store.Put(platform.OperatorTable, "config", config(1, "k"))
	for _, s := range states {
		eventually(t, func() bool { return version(s) == 1 && len(s.View().Nodes) == 4 }, "view")
	}
	first := states[0].rankInZone()[0].Node
	n.setCut(first, true)
	n.store.Put(platform.OperatorTable, "config", config(2, "k"))
	for _, s := range states {
		eventually(t, func() bool { return version(s) == 2 }, "new version, also at the node that is cut off")
	}
	require.Eventually(t, func() bool {
		age, ok := n.states[first].Age()
		return ok && age < askAfter+askInterval+time.Second
	}, patience, 10*time.Millisecond, "others confirm the configuration of the node that is cut off")
}

// Guards against a write that the store performs late and that undoes a newer one.
func TestOwnRowIsPublishedAgain(t *testing.T) {
	n := newNodes(t)
	n.store.SetFaults(rowstore.Faults{LoseAnswers: true})
	a := n.add("a")
	eventually(t, func() bool { _, ok := n.store.Value("members", "member/a"); return ok }, "write without an answer")
	n.store.SetFaults(rowstore.Faults{})
	eventually(t, func() bool { return a.View().Nodes["a"] != nil }, "own row")
	n.store.Delete("members", "member/a")
	eventually(t, func() bool { _, ok := n.store.Value("members", "member/a"); return ok }, "row that someone removed")
}

// Guards against a confirmation that looks newer than it is.
func TestStoreAwayAgesTheConfirmation(t *testing.T) {
	n := newNodes(t)
	a := n.add("a")
	n.store.Put(platform.OperatorTable, "config", config(1, "k"))
	eventually(t, func() bool { return version(a) == 1 }, "first version")
	n.store.SetFaults(rowstore.Faults{Busy: true})
	eventually(t, func() bool { age, _ := a.Age(); return age > confirmWait+500*time.Millisecond }, "age")
	n.store.SetFaults(rowstore.Faults{})
	eventually(t, func() bool { age, _ := a.Age(); return age < confirmWait }, "store regained")
}

func TestCrashesConvict(t *testing.T) {
	n := newNodes(t)
	a, b := n.add("a"), n.add("b")
	eventually(t, func() bool { _, ok := a.StoreNow(); return ok }, "clock of the store")
	for i := range convictAfter {
		require.Empty(t, b.View().Convicted)
		a.ReportCrash(t.Context(), fmt.Sprint("i-", i), [][]byte{{1, 2}})
	}
	eventually(t, func() bool { return b.View().Convicted[FingerprintKey([]byte{1, 2})] }, "conviction")
}

// Guards against a question of another node that is never answered, so that the
// process does not end.
func TestAnswerAfterTheEnd(t *testing.T) {
	n := newNodes(t)
	a := n.add("a")
	eventually(t, func() bool { _, ok := a.Age(); return ok }, "confirmation")
	n.stop("a")
	_, ok := a.Answer(context.Background(), Known{})
	require.True(t, ok)
}

// Guards against a restarted process that removes its row before the first
// heartbeat of its backend server, and writes it again a moment later.
func TestRowOfEarlierProcessStays(t *testing.T) {
	n := newNodes(t)
	n.store.Put("members", "member/a", []byte(`{"node":"a","zone":"z","address":"a","incarnation":"a-0"}`))
	client, err := platform.NewClient(platform.ClientConfig{URL: n.url, Timeout: time.Second})
	require.NoError(t, err)
	t.Cleanup(client.Close)
	known := false
	s := New(Config{
		Self: Member{Node: "a", Zone: "z", Address: "a", Incarnation: "a-1"}, Operator: client.Rows("op"), Members: client.Rows("members"),
		Backend: func() (*Backend, bool) { return nil, known }, Logger: log.NewNopLogger(),
	})
	s.members["a"], s.table.known = &Member{Node: "a", Zone: "z", Incarnation: "a-0", Backend: &Backend{ID: "i"}, revision: 1}, true
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() {
		for {
			select {
			case f := <-s.events:
				f()
			case <-ctx.Done():
				return
			}
		}
	}()
	require.NoError(t, s.publishOnce(ctx))
	_, present := n.store.Value("members", "member/a")
	require.True(t, present)
	known = true
	s.cfg.OnView = func(*View) {}
	require.NoError(t, s.publishOnce(ctx))
	_, present = n.store.Value("members", "member/a")
	require.False(t, present, "no backend server lives on the machine")
}

// Guards against all nodes of a fleet that knock at a store that is away.
func TestFollowersSpareAStoreThatIsAway(t *testing.T) {
	n := newNodes(t)
	var states []*State
	for i := range 12 {
		states = append(states, n.add(fmt.Sprint("n", i)))
	}
	n.store.Put(platform.OperatorTable, "config", config(1, "k"))
	for _, s := range states {
		eventually(t, func() bool { return version(s) == 1 && len(s.View().Nodes) == len(states) }, "view")
	}
	calls := func() int { return n.store.Calls("/v1/rows-feed") + n.store.Calls("/v1/rows-get") }
	before := calls()
	n.store.SetFaults(rowstore.Faults{Busy: true})
	const away = 5 * time.Second
	time.Sleep(away)
	// A reader tries the operator's table at most 4 times while its pause grows and
	// then once a pause; another node doubles its pause up to the length of the outage.
	readers := readersPerZone * (4 + int(away/maxRetry))
	others := (len(states) - readersPerZone) * 6
	watches := 2 * len(states) // Those that were open when the outage began.
	require.LessOrEqual(t, calls()-before, readers+others+watches)
	n.store.SetFaults(rowstore.Faults{})
	n.store.Put(platform.OperatorTable, "config", config(2, "k"))
	for _, s := range states {
		eventually(t, func() bool { return version(s) == 2 }, "new version")
	}
}

// Guards against a node that was started while the store is away and that looks
// for it as rarely as one that can ask others.
func TestNewNodeLooksForTheStoreOften(t *testing.T) {
	n := newNodes(t)
	n.store.SetFaults(rowstore.Faults{Busy: true})
	n.add("a")
	time.Sleep(6 * time.Second)
	// Reads of the operator's table at 0, 0.1, 0.3, 0.7 and 1.5 s and then every 0.8 s;
	// with maxOtherRetry there are 6.
	require.GreaterOrEqual(t, n.store.Calls("/v1/rows-get"), 9)
}
