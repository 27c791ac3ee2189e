package fleet

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"trefoildock.example/mesh/clock"
	"trefoildock.example/platform"
)

// simulation runs the states of a deployment in virtual time, on links of limited
// bandwidth, and checks that nodes in touch have each configuration in force in time.
type simulation struct {
	t      *testing.T
	rand   *rand.Rand
	began  time.Time
	states map[string]*State

	mu    sync.Mutex
	store simulatedStore
	nodes map[string]*simulatedNode
	// disturbed is the time until which the store is or was disturbed.
	disturbed time.Time
	// versions holds the time of the acknowledgment of each configuration, by version.
	versions []time.Time
}

// simulatedNode is the network of one VM.
type simulatedNode struct {
	// bytesPerSecond is the bandwidth of the link in each direction.
	bytesPerSecond float64
	// sendFree and receiveFree are when the link has transferred what was sent so far.
	sendFree, receiveFree time.Time
	// frozenUntil is the end of a freeze, cutUntil that of a silent partition from the
	// store, and isolatedUntil that of one from all other nodes.
	frozenUntil, cutUntil, isolatedUntil time.Time
}

func (n *simulatedNode) disturbed() time.Time {
	return slices.MaxFunc([]time.Time{n.frozenUntil, n.cutUntil, n.isolatedUntil}, time.Time.Compare)
}

// simulatedStore is the store with its tables and the end of its outages.
type simulatedStore struct {
	revision    uint64
	rows        map[string]map[string]platform.Change
	changed     chan struct{}
	silentUntil time.Time
}

const (
	// The smallest bounds of the deployments: a configuration must be in force
	// simulatedDeadline after its acknowledgment at nodes that have been without
	// disruption for simulatedContact.
	simulatedDeadline = 2 * time.Second
	simulatedContact  = 3 * time.Second
	// storeLatency is the time of a call of the store, peerLatency that of a message
	// between nodes and maxProcessing the longest time that a node takes to handle one.
	storeLatency  = 4 * time.Millisecond
	peerLatency   = time.Millisecond
	maxProcessing = 20 * time.Millisecond
	// messageBytes is the size of a message without its content.
	messageBytes = 200
)

// simulate runs script on a deployment of zones of nodesPerZone nodes each.
func simulate(t *testing.T, seed uint64, zones, nodesPerZone int, bytesPerSecond float64, script func(*simulation)) {
	synctest.Test(t, func(t *testing.T) {
		s := &simulation{
			t: t, rand: rand.New(rand.NewPCG(seed, 0)), began: time.Now(), states: make(map[string]*State), nodes: make(map[string]*simulatedNode),
			store: simulatedStore{rows: make(map[string]map[string]platform.Change), changed: make(chan struct{})},
		}
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		for i := range zones * nodesPerZone {
			s.add(fmt.Sprintf("zone-%d-%d", i%zones, i/zones), fmt.Sprint("zone-", i%zones), bytesPerSecond)
		}
		for _, name := range slices.Sorted(maps.Keys(s.states)) {
			running.Go(func() { s.states[name].Run(ctx) })
		}
		defer running.Wait()
		defer cancel()
		s.publish(nil)
		time.Sleep(8 * time.Second)
		script(s)
	})
}

func (s *simulation) add(name, zone string, bytesPerSecond float64) {
	s.nodes[name] = &simulatedNode{bytesPerSecond: bytesPerSecond}
	s.states[name] = New(Config{
		Self: Member{Node: name, Zone: zone, Address: name, Incarnation: name + "-1"}, FirstStart: true,
		Operator: &simulatedTable{s, platform.OperatorTable, name}, Members: &simulatedTable{s, "members", name},
		Backend: func() (*Backend, bool) {
			return &Backend{ID: "i-" + name, Service: "orders", Slots: 3, Serving: true}, true
		},
		QueryPeer: func(ctx context.Context, address string, req FollowRequest) (FollowResponse, error) {
			return s.queryPeer(ctx, name, address, req)
		},
		Clock:  func() clock.Instant { return clock.Instant(time.Since(s.began) + time.Second) },
		OnView: func(*View) {}, OnCoordinator: func(Peer) {}, UnreachableAddress: func() string { return "" }, OnCoordinatorUnreachable: func(string) {},
		Logger: log.NewNopLogger(),
	})
}

// publish writes the next configuration, whose document is a version and content.
func (s *simulation) publish(content []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versions = append(s.versions, time.Now())
	s.put(platform.OperatorTable, "config", document(len(s.versions), content))
}

func document(version int, content []byte) []byte {
	return fmt.Appendf(nil, `{"version":"r%d","routes":{"columns":["name","host","prefix","type","service"],"rows":[["r","shop","/","safe","orders"]%s]},`+
		`"services":{"columns":["name"],"rows":[["orders"]]},"limits":{}}`, version, content)
}

// routes returns the rows of n routes with random names.
func (s *simulation) routes(n int) []byte {
	var rows []byte
	for range n {
		rows = fmt.Appendf(rows, `,["r-%07x","%06x.example","/%07x/%04x/","unsafe","orders"]`, s.rand.Uint32N(1<<28), s.rand.Uint32N(1<<24), s.rand.Uint32N(1<<28), s.rand.Uint32N(1<<16))
	}
	return rows
}

func (s *simulation) put(table, key string, value []byte) {
	st := &s.store
	st.revision++
	if st.rows[table] == nil {
		st.rows[table] = make(map[string]platform.Change)
	}
	st.rows[table][key] = platform.Change{Row: platform.Row{Key: key, Value: value, Revision: st.revision}, Removed: value == nil}
	close(st.changed)
	st.changed = make(chan struct{})
}

// requireInForce checks that each node in touch has in force what was acknowledged
// simulatedDeadline ago.
func (s *simulation) requireInForce() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	required := 0
	for i, acknowledged := range s.versions {
		if now.Sub(acknowledged) > simulatedDeadline {
			required = i + 1
		}
	}
	if now.Sub(s.disturbed) < simulatedContact {
		return
	}
	for name, state := range s.states {
		if version := configVersion(state); now.Sub(s.nodes[name].disturbed()) >= simulatedContact {
			age, _ := state.ConfirmationAge()
			require.GreaterOrEqual(s.t, int(version), required, "%s: version %d is in force at %s, confirmed %s ago", now.Sub(s.began), version, name, age)
		}
	}
}

// runFor checks every 20 ms for a time.
func (s *simulation) runFor(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		s.requireInForce()
	}
}

// transfer waits until a message of the given size has passed from one node to another.
// An empty name stands for the store, whose link is not limited.
func (s *simulation) transfer(ctx context.Context, from, to string, bytes int) error {
	s.mu.Lock()
	latency := peerLatency
	arrival := time.Now()
	if from == "" || to == "" {
		latency = storeLatency / 2
	}
	if n := s.nodes[from]; n != nil {
		n.sendFree = later(n.sendFree, arrival).Add(n.duration(bytes))
		arrival = n.sendFree
	}
	if n := s.nodes[to]; n != nil {
		n.receiveFree = later(n.receiveFree.Add(n.duration(bytes)), arrival)
		arrival = n.receiveFree
	}
	processing := time.Duration(s.rand.Int64N(int64(maxProcessing)))
	s.mu.Unlock()
	clock.Sleep(ctx, time.Until(arrival)+latency+processing)
	for ctx.Err() == nil {
		s.mu.Lock()
		resume, lost := s.obstacle(from, to)
		s.mu.Unlock()
		if lost {
			<-ctx.Done()
		}
		if resume <= 0 {
			return nil
		}
		clock.Sleep(ctx, resume)
	}
	return ctx.Err()
}

// obstacle returns how long a frozen end delays a message, and whether the message is lost.
func (s *simulation) obstacle(from, to string) (delay time.Duration, lost bool) {
	now := time.Now()
	withStore := from == "" || to == ""
	for _, name := range []string{from, to} {
		n := s.nodes[name]
		if n == nil {
			lost = lost || s.store.silentUntil.After(now)
			continue
		}
		lost = lost || withStore && n.cutUntil.After(now) || !withStore && n.isolatedUntil.After(now)
		delay = max(delay, n.frozenUntil.Sub(now))
	}
	return delay, lost
}

func (n *simulatedNode) duration(bytes int) time.Duration {
	return time.Duration(float64(bytes) / n.bytesPerSecond * float64(time.Second))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (s *simulation) queryPeer(ctx context.Context, from, to string, req FollowRequest) (FollowResponse, error) {
	if err := s.transfer(ctx, from, to, messageBytes); err != nil {
		return FollowResponse{}, err
	}
	response, ok := s.states[to].HandleFollow(ctx, req)
	size := messageBytes + len(response.Document) + stepBytes(response.Steps)
	for _, row := range response.Members.Rows {
		size += len(row.Key) + len(row.Value)
	}
	if err := s.transfer(ctx, to, from, size); err != nil {
		return FollowResponse{}, err
	}
	if !ok {
		return response, errors.New("never confirmed")
	}
	return response, nil
}

// simulatedTable is one table of the store as a node sees it.
type simulatedTable struct {
	simulation *simulation
	name, node string
}

func (t *simulatedTable) since(revision uint64) (platform.Changes, <-chan struct{}) {
	s := t.simulation
	s.mu.Lock()
	defer s.mu.Unlock()
	c := platform.Changes{Revision: s.store.revision, StoreTime: time.Since(s.began)}
	for _, key := range slices.Sorted(maps.Keys(s.store.rows[t.name])) {
		if row := s.store.rows[t.name][key]; row.Revision > revision {
			c.Rows = append(c.Rows, row)
		}
	}
	return c, s.store.changed
}

// call runs f between the transfers of a request and of its response.
func (t *simulatedTable) call(ctx context.Context, timeout time.Duration, f func(ctx context.Context) (platform.Changes, error)) (platform.Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := t.simulation.transfer(ctx, t.node, "", messageBytes); err != nil {
		return platform.Changes{}, errors.Mark(err, platform.ErrUnavailable)
	}
	changes, err := f(ctx)
	if err != nil {
		return changes, err
	}
	size := messageBytes
	for _, row := range changes.Rows {
		size += messageBytes + len(row.Value)*4/3 // Values are encoded in base64.
	}
	return changes, t.simulation.transfer(ctx, "", t.node, size)
}

// Read implements Table.
func (t *simulatedTable) Read(ctx context.Context) (platform.Changes, error) {
	return t.call(ctx, 1200*time.Millisecond, func(context.Context) (platform.Changes, error) {
		changes, _ := t.since(0)
		changes.Rows = slices.DeleteFunc(changes.Rows, func(c platform.Change) bool { return c.Removed })
		return changes, nil
	})
}

// Watch implements Table.
func (t *simulatedTable) Watch(ctx context.Context, after uint64, wait time.Duration) (platform.Changes, error) {
	return t.call(ctx, wait+1500*time.Millisecond, func(ctx context.Context) (platform.Changes, error) {
		end := time.After(wait)
		for {
			changes, changed := t.since(after)
			if len(changes.Rows) > 0 {
				return changes, nil
			}
			select {
			case <-changed:
			case <-end:
				changes, _ := t.since(after)
				return changes, nil
			case <-ctx.Done():
				return changes, ctx.Err()
			}
		}
	})
}

// Write implements Table.
func (t *simulatedTable) Write(ctx context.Context, key string, value []byte, expected uint64) (platform.WriteResult, error) {
	changes, err := t.call(ctx, 1200*time.Millisecond, func(context.Context) (platform.Changes, error) {
		s := t.simulation
		s.mu.Lock()
		defer s.mu.Unlock()
		current := s.store.rows[t.name][key]
		if held := current.Revision; !current.Removed && held != expected {
			return platform.Changes{}, &platform.ConflictError{Key: key, Keys: []string{key}}
		}
		s.put(t.name, key, value)
		return platform.Changes{Revision: s.store.revision, StoreTime: time.Since(s.began)}, nil
	})
	return platform.WriteResult{Revision: changes.Revision, StoreTime: changes.StoreTime}, err
}

// Delete implements Table.
func (t *simulatedTable) Delete(ctx context.Context, key string, expected uint64) (platform.WriteResult, error) {
	return t.Write(ctx, key, nil, expected)
}
