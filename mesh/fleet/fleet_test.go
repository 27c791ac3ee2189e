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

	"trefoildock.example/crashguard"
	"trefoildock.example/platform"
	"trefoildock.example/standin/rowstore"
)

const waitTimeout = 10 * time.Second

// testFleet holds the states of the nodes of a test deployment, which call each other
// directly.
type testFleet struct {
	t     *testing.T
	store *rowstore.Store
	url   string

	mu        sync.Mutex
	states    map[string]*State
	crashes   map[string]*crashguard.Registry
	stopFuncs map[string]func()
	cutOff    map[string]bool
}

func newTestFleet(t *testing.T) *testFleet {
	t.Helper()
	f := &testFleet{t: t, store: rowstore.New(), states: make(map[string]*State), crashes: make(map[string]*crashguard.Registry), stopFuncs: make(map[string]func()), cutOff: make(map[string]bool)}
	srv := httptest.NewServer(f.store)
	t.Cleanup(srv.Close)
	t.Cleanup(srv.CloseClientConnections)
	f.url = srv.URL
	return f
}

// add starts the state of a node with its own client of the store, which setCutOff
// disconnects.
func (f *testFleet) add(name string) *State {
	client, err := platform.NewClient(platform.ClientConfig{URL: f.url, Timeout: time.Second})
	require.NoError(f.t, err)
	crashes := crashguard.NewRegistry()
	s := New(Config{
		OnCrash:  func(n crashguard.Notice) { crashes.Observe(time.Now(), n) },
		Self:     Member{Node: name, Zone: "z", Address: name, Incarnation: name + "-1"},
		Operator: &partitionedTable{client.Rows(platform.OperatorTable), f, name}, Members: &partitionedTable{client.Rows("members"), f, name},
		Backend: func() (*Backend, bool) {
			return &Backend{ID: "i-" + name, Service: "orders", Slots: 3, Serving: true}, true
		},
		QueryPeer: f.queryPeer, OnView: func(*View) {}, OnCoordinator: func(Peer) {}, UnreachableAddress: func() string { return "" }, OnCoordinatorUnreachable: func(string) {}, Logger: log.NewNopLogger(),
	})
	f.mu.Lock()
	f.states[name], f.crashes[name] = s, crashes
	f.mu.Unlock()
	ctx, cancel := context.WithCancel(f.t.Context())
	done := make(chan struct{})
	go func() { defer close(done); s.Run(ctx) }()
	f.stopFuncs[name] = func() { cancel(); <-done }
	f.t.Cleanup(func() { cancel(); <-done; client.Close() })
	return s
}

// stop ends the event loop of a node.
func (f *testFleet) stop(name string) { f.stopFuncs[name]() }

func (f *testFleet) queryPeer(ctx context.Context, address string, req FollowRequest) (FollowResponse, error) {
	f.mu.Lock()
	s := f.states[address]
	f.mu.Unlock()
	response, ok := s.HandleFollow(ctx, req)
	if !ok {
		return response, errors.New("never confirmed")
	}
	return response, nil
}

func (f *testFleet) setCutOff(name string, cutOff bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cutOff[name] = cutOff
}

// partitionedTable is the table of one node that fails while the node is cut off.
type partitionedTable struct {
	*platform.Rows
	fleet *testFleet
	node  string
}

var errCutOff = errors.New("cut off from the store")

func (t *partitionedTable) reachable() bool {
	t.fleet.mu.Lock()
	defer t.fleet.mu.Unlock()
	return !t.fleet.cutOff[t.node]
}

// Read implements Table.
func (t *partitionedTable) Read(ctx context.Context) (platform.Changes, error) {
	if !t.reachable() {
		return platform.Changes{}, errCutOff
	}
	return t.Rows.Read(ctx)
}

// Watch implements Table.
func (t *partitionedTable) Watch(ctx context.Context, after uint64, wait time.Duration) (platform.Changes, error) {
	if !t.reachable() {
		return platform.Changes{}, errCutOff
	}
	c, err := t.Rows.Watch(ctx, after, wait)
	if !t.reachable() {
		return platform.Changes{}, errCutOff
	}
	return c, err
}

func configDocument(version int, key string) []byte {
	return fmt.Appendf(nil, `{"version":"r%d","routes":{"columns":["name","host","prefix","type","service"],"rows":[["r","shop","/","safe","orders"]]},`+
		`"services":{"columns":["name"],"rows":[["orders"]]},"tenants":{"columns":["name","api-keys"],"rows":[["blue",["%s"]]]},"limits":{}}`, version, key)
}

func configVersion(s *State) uint64 {
	if c := s.View().Config; c != nil {
		return c.Version
	}
	return 0
}

func eventually(t *testing.T, f func() bool, message string) {
	t.Helper()
	require.Eventually(t, f, waitTimeout, 2*time.Millisecond, message)
}

func TestNodesReceiveMembersAndConfiguration(t *testing.T) {
	fleet := newTestFleet(t)
	a, b := fleet.add("a"), fleet.add("b")
	fleet.store.Put(platform.OperatorTable, "config", configDocument(3, "k"))
	for _, s := range []*State{a, b} {
		eventually(t, func() bool { return configVersion(s) == 3 && len(s.View().Owners["orders"]) == 2 }, "view")
	}
	require.NotNil(t, a.View().Config.TeamByKey("k"))
	fleet.store.Put(platform.OperatorTable, "config", configDocument(5, "other"))
	eventually(t, func() bool { return configVersion(a) == 5 && configVersion(b) == 5 }, "new version")
	require.Nil(t, a.View().Config.TeamByKey("k"), "the key was withdrawn")
}

// Guards against replacing a configuration by an older or malformed one.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	fleet := newTestFleet(t)
	a := fleet.add("a")
	fleet.store.Put(platform.OperatorTable, "config", configDocument(9, "k"))
	eventually(t, func() bool { return configVersion(a) == 9 }, "first version")
	fleet.store.Put(platform.OperatorTable, "config", configDocument(8, "k"))
	fleet.store.Put(platform.OperatorTable, "config", []byte("{"))
	fleet.store.Put(platform.OperatorTable, "evacuate/z", []byte("{}"))
	eventually(t, func() bool { return a.View().EvacuatedZones["z"] }, "later change")
	require.EqualValues(t, 9, configVersion(a))
	require.Empty(t, a.View().Owners["orders"], "owners of an evacuated zone")
	fleet.store.Delete(platform.OperatorTable, "evacuate/z")
	eventually(t, func() bool { return len(a.View().Owners["orders"]) == 1 }, "zone no longer evacuated")
}

// Guards against a node that stays outdated after the store has dropped its history.
func TestWatchAfterHistoryDropped(t *testing.T) {
	fleet := newTestFleet(t)
	a := fleet.add("a")
	fleet.store.Put(platform.OperatorTable, "config", configDocument(1, "k"))
	eventually(t, func() bool { return configVersion(a) == 1 }, "first version")
	fleet.store.CompactHistory()
	fleet.store.Put(platform.OperatorTable, "config", configDocument(2, "k"))
	eventually(t, func() bool { return configVersion(a) == 2 }, "version after the dropped history")
}

// Guards against all nodes watching the store, and against followers that miss
// changes.
func TestFollowersDoNotWatchTheStore(t *testing.T) {
	fleet := newTestFleet(t)
	var states []*State
	for i := range 8 {
		states = append(states, fleet.add(fmt.Sprint("n", i)))
	}
	fleet.store.Put(platform.OperatorTable, "config", configDocument(1, "k"))
	followers := func() int {
		count := 0
		for _, s := range states {
			s.storeGate.mu.Lock()
			if s.storeGate.isClosed {
				count++
			}
			s.storeGate.mu.Unlock()
		}
		return count
	}
	eventually(t, func() bool { return followers() == len(states)-readersPerZone }, "followers")
	fleet.store.Put(platform.OperatorTable, "config", configDocument(2, "k"))
	for _, s := range states {
		eventually(t, func() bool { return configVersion(s) == 2 }, "new version")
	}
}

// Guards against followers that stay with a reader that is cut off from the store.
func TestReaderCutOffFromStoreIsReplaced(t *testing.T) {
	fleet := newTestFleet(t)
	var states []*State
	for i := range 4 {
		states = append(states, fleet.add(fmt.Sprint("n", i)))
	}
	fleet.store.Put(platform.OperatorTable, "config", configDocument(1, "k"))
	for _, s := range states {
		eventually(t, func() bool { return configVersion(s) == 1 && len(s.View().Nodes) == 4 }, "view")
	}
	reader := states[0].rankInZone()[0].Node
	fleet.setCutOff(reader, true)
	fleet.store.Put(platform.OperatorTable, "config", configDocument(2, "k"))
	for _, s := range states {
		eventually(t, func() bool { return configVersion(s) == 2 }, "new version, also on the node that is cut off")
	}
	require.Eventually(t, func() bool {
		age, ok := fleet.states[reader].ConfirmationAge()
		return ok && age < peerPollAge+peerPollInterval+time.Second
	}, waitTimeout, 10*time.Millisecond, "other nodes confirm the configuration of the node that is cut off")
}

// Guards against a delayed write that undoes a newer one, and against a row that stays
// removed.
func TestOwnRowIsRepublished(t *testing.T) {
	fleet := newTestFleet(t)
	fleet.store.SetFaults(rowstore.Faults{LoseResponses: true})
	a := fleet.add("a")
	eventually(t, func() bool { _, ok := fleet.store.Value("members", "member/a"); return ok }, "write without a response")
	fleet.store.SetFaults(rowstore.Faults{})
	eventually(t, func() bool { return a.View().Nodes["a"] != nil }, "own row")
	fleet.store.Delete("members", "member/a")
	eventually(t, func() bool { _, ok := fleet.store.Value("members", "member/a"); return ok }, "row removed by another client")
}

// Guards against a confirmation that appears newer than it is.
func TestConfirmationAgesWhileStoreIsUnavailable(t *testing.T) {
	fleet := newTestFleet(t)
	a := fleet.add("a")
	fleet.store.Put(platform.OperatorTable, "config", configDocument(1, "k"))
	eventually(t, func() bool { return configVersion(a) == 1 }, "first version")
	fleet.store.SetFaults(rowstore.Faults{Busy: true})
	eventually(t, func() bool { age, _ := a.ConfirmationAge(); return age > operatorWatchWait+500*time.Millisecond }, "age")
	fleet.store.SetFaults(rowstore.Faults{})
	eventually(t, func() bool { age, _ := a.ConfirmationAge(); return age < operatorWatchWait }, "store regained")
}

// Guards against a crashing request that a node which starts later, or only when the store
// is back, does not know.
func TestRepeatedCrashesBlockRequest(t *testing.T) {
	fleet := newTestFleet(t)
	a, b := fleet.add("a"), fleet.add("b")
	eventually(t, func() bool { _, ok := a.StoreNow(); return ok }, "estimate of the store's clock")
	eventually(t, func() bool { return len(b.View().Nodes) == 2 }, "members")
	fingerprint := crashguard.Fingerprint{1, 2}
	state := func(node string) crashguard.State {
		state, _ := fleet.crashes[node].State(time.Now(), fingerprint)
		return state
	}
	a.RecordCrash(t.Context(), crashguard.Notice{Kind: crashguard.Crashed, Event: "i-0", Requests: []crashguard.Involved{{Fingerprint: fingerprint}}})
	eventually(t, func() bool { return state("b") == crashguard.Suspect }, "suspect")
	fleet.store.SetFaults(rowstore.Faults{Busy: true})
	go a.RecordCrash(t.Context(), crashguard.Notice{Kind: crashguard.Crashed, Event: "i-1", Requests: []crashguard.Involved{{Fingerprint: fingerprint, Trial: true, Blocked: true}}})
	eventually(t, func() bool { return fleet.store.RequestCount("/v1/rows-tx") > 4 }, "refused writes")
	require.Equal(t, crashguard.Suspect, state("b"))
	fleet.store.SetFaults(rowstore.Faults{})
	eventually(t, func() bool { return state("b") == crashguard.Blocked }, "blocked fingerprint")
	fleet.add("c")
	eventually(t, func() bool { return state("c") == crashguard.Blocked }, "blocked fingerprint at a new node")
}

// Guards against a node that receives steps that it cannot apply: one that runs an earlier
// program, or one whose document does not match them.
func TestNodeThatAcceptsNoStepsReceivesDocument(t *testing.T) {
	fleet := newTestFleet(t)
	a := fleet.add("a")
	for version := 1; version <= 2; version++ {
		fleet.store.Put(platform.OperatorTable, "config", configDocument(version, "k"))
		eventually(t, func() bool { return configVersion(a) == uint64(version) }, "version")
	}
	response, ok := a.HandleFollow(t.Context(), FollowRequest{ConfigVersion: 1})
	require.True(t, ok)
	require.Equal(t, string(configDocument(2, "k")), string(response.Document))
	require.Empty(t, response.Steps)
	response, ok = a.HandleFollow(t.Context(), FollowRequest{ConfigVersion: 1, AcceptsSteps: true})
	require.True(t, ok)
	require.Empty(t, response.Document)
	require.Len(t, response.Steps, 1)

	b := New(Config{Logger: log.NewNopLogger(), UnreachableAddress: func() string { return "" }})
	other := configDocument(1, "another key")
	b.documents.add(1, other)
	require.Nil(t, b.documentOf(response, "a"))
	require.False(t, b.followRequest().AcceptsSteps, "the next response contains the document")
	b.documents.add(3, other)
	b.refuseSteps.Store(false)
	require.Nil(t, b.documentOf(response, "a"))
	require.True(t, b.followRequest().AcceptsSteps, "the version has only changed since the request")
}

// Guards against a follow request that blocks after the event loop has ended, which
// would prevent the process from ending.
func TestHandleFollowAfterStop(t *testing.T) {
	fleet := newTestFleet(t)
	a := fleet.add("a")
	eventually(t, func() bool { _, ok := a.ConfirmationAge(); return ok }, "confirmation")
	fleet.stop("a")
	_, ok := a.HandleFollow(context.Background(), FollowRequest{})
	require.True(t, ok)
}

// Guards against a restarted process that deletes its row before the first
// heartbeat of its backend server, and then writes it again.
func TestRowOfEarlierProcessIsKept(t *testing.T) {
	fleet := newTestFleet(t)
	fleet.store.Put("members", "member/a", []byte(`{"node":"a","zone":"z","address":"a","incarnation":"a-0"}`))
	client, err := platform.NewClient(platform.ClientConfig{URL: fleet.url, Timeout: time.Second})
	require.NoError(t, err)
	t.Cleanup(client.Close)
	known := false
	s := New(Config{
		Self: Member{Node: "a", Zone: "z", Address: "a", Incarnation: "a-1"}, Operator: client.Rows("op"), Members: client.Rows("members"),
		Backend: func() (*Backend, bool) { return nil, known }, Logger: log.NewNopLogger(),
	})
	s.members["a"], s.table.loaded = &Member{Node: "a", Zone: "z", Incarnation: "a-0", Backend: &Backend{ID: "i"}, revision: 1}, true
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() {
		for {
			select {
			case task := <-s.tasks:
				task()
			case <-ctx.Done():
				return
			}
		}
	}()
	require.ErrorIs(t, s.publishOwnRow(ctx), errOwnRowUnknown)
	_, present := fleet.store.Value("members", "member/a")
	require.True(t, present)
	known = true
	s.cfg.OnView = func(*View) {}
	require.NoError(t, s.publishOwnRow(ctx))
	_, present = fleet.store.Value("members", "member/a")
	require.False(t, present, "no backend server runs on the VM")
}

// Guards against all nodes of a fleet retrying at a high rate during an outage of the
// store.
func TestRetriesDuringStoreOutageAreBounded(t *testing.T) {
	fleet := newTestFleet(t)
	var states []*State
	for i := range 12 {
		states = append(states, fleet.add(fmt.Sprint("n", i)))
	}
	fleet.store.Put(platform.OperatorTable, "config", configDocument(1, "k"))
	for _, s := range states {
		eventually(t, func() bool { return configVersion(s) == 1 && len(s.View().Nodes) == len(states) }, "view")
	}
	calls := func() int {
		return fleet.store.RequestCount("/v1/rows-feed") + fleet.store.RequestCount("/v1/rows-get")
	}
	before := calls()
	fleet.store.SetFaults(rowstore.Faults{Busy: true})
	const outage = 5 * time.Second
	time.Sleep(outage)
	// A reader calls the operator's table at most 4 times while its backoff grows and
	// then once per maxRetryDelay; other nodes double their backoff up to the length of
	// the outage.
	readers := readersPerZone * (4 + int(outage/maxRetryDelay))
	nonReaders := (len(states) - readersPerZone) * 6
	watches := 2 * len(states) // The watches that were open when the outage began.
	require.LessOrEqual(t, calls()-before, readers+nonReaders+watches)
	fleet.store.SetFaults(rowstore.Faults{})
	fleet.store.Put(platform.OperatorTable, "config", configDocument(2, "k"))
	for _, s := range states {
		eventually(t, func() bool { return configVersion(s) == 2 }, "new version")
	}
}

// Guards against a node that starts during an outage of the store and retries as
// rarely as a node that has other nodes to follow.
func TestStartingNodeUsesShortRetryDelay(t *testing.T) {
	fleet := newTestFleet(t)
	fleet.store.SetFaults(rowstore.Faults{Busy: true})
	fleet.add("a")
	time.Sleep(6 * time.Second)
	// Reads of the operator's table at 0, 0.1, 0.3, 0.7 and 1.5 s and then every 0.8 s;
	// with maxNonReaderRetryDelay there are 6.
	require.GreaterOrEqual(t, fleet.store.RequestCount("/v1/rows-get"), 9)
}
