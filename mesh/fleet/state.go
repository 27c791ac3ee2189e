package fleet

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	metrics "github.com/rcrowley/go-metrics"

	"trefoildock.example/crashguard"
	"trefoildock.example/mesh/clock"
	"trefoildock.example/mesh/recovery"
	"trefoildock.example/platform"
	"trefoildock.example/routing"
)

const (
	// operatorWatchWait is how long a watch of the operator's table stays open. The
	// response confirms the configuration. A shorter wait causes more calls; a longer
	// one delays the detection of an unreachable store.
	operatorWatchWait = time.Second
	// firstStartDelay is the time from the first start of the deployment until a node
	// reads the members. The nodes start together and write their rows at the first
	// heartbeat of their backend servers, so that one read then returns nearly all rows.
	firstStartDelay = 1800 * time.Millisecond
	// memberWatchWait is how long a watch of the members table stays open. It is longer,
	// because this table needs no regular confirmation.
	memberWatchWait = 15 * time.Second
	// memberCoalesceDelay delays the next watch of the members table after a change,
	// so that changes in quick succession, as when all nodes start, arrive in one
	// response.
	memberCoalesceDelay = 700 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the backoff of calls to the store.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond
	// maxNonReaderRetryDelay replaces maxRetryDelay on nodes that have loaded the
	// members and are not readers of their zone. After an outage of the store, they
	// receive its changes from the readers.
	maxNonReaderRetryDelay = 4 * time.Second
	// publishTimeout bounds one write to the members table.
	publishTimeout = 1700 * time.Millisecond
)

// Table is a table of the store with its change feed.
type Table interface {
	Read(ctx context.Context) (platform.Changes, error)
	Watch(ctx context.Context, after uint64, wait time.Duration) (platform.Changes, error)
	Write(ctx context.Context, key string, value []byte, expected uint64) (platform.WriteResult, error)
	Delete(ctx context.Context, key string, expected uint64) (platform.WriteResult, error)
}

// Config describes the node and its data sources.
type Config struct {
	// Self is the member record without a backend server.
	Self Member
	// FirstStart means that all nodes of the deployment start for the first time.
	FirstStart bool
	// Operator is the operator's table and Members the table of the nodes.
	Operator, Members Table
	// Backend returns the backend server to publish, or nil if there is none. While its
	// second result is false, the state of the backend server is unknown and the row of
	// this node stays unchanged.
	Backend func() (*Backend, bool)
	// QueryPeer sends a follow request to another node.
	QueryPeer func(ctx context.Context, address string, req FollowRequest) (FollowResponse, error)
	// OnCoordinator is called with the coordinator of the rate limits that another
	// node reported.
	// UnreachableAddress returns the address of a coordinator that this node could
	// not reach, or "". OnCoordinatorUnreachable is called with the address of the
	// current coordinator when another node reports that it could not reach it.
	OnCoordinator            func(Peer)
	UnreachableAddress       func() string
	OnCoordinatorUnreachable func(address string)
	// OnCrash is called with the crashes of backend servers that are in the store; it may
	// be nil.
	OnCrash func(crashguard.Notice)
	// OnView is called with each new view.
	OnView func(*View)
	Logger log.Logger
	// Recovery records panics; nil means that they are recovered without a record.
	Recovery *recovery.Recorder
	// Metrics may be nil.
	Metrics *Metrics
	// Clock replaces the boot-time clock; nil means clock.Now.
	Clock func() clock.Instant
}

// State is the copy of the fleet state that a node maintains.
type State struct {
	cfg       Config
	view      atomic.Pointer[View]
	confirmed atomic.Int64 // clock.Instant; 0 before the first confirmation
	// confirmedByStore is the last confirmation that this node received from the store
	// itself.
	confirmedByStore atomic.Int64
	// changed is closed and replaced when a new view is published or the configuration
	// is confirmed.
	changed    atomic.Pointer[chan struct{}]
	storeClock storeClock
	// storeUnavailable is set if the last call for the operator's table failed.
	storeUnavailable atomic.Bool
	// membersLoaded is set once the members were read.
	membersLoaded atomic.Bool
	// refuseSteps is set after steps of the configuration did not match, until the next
	// configuration is applied.
	refuseSteps atomic.Bool
	// fetching is set while a node without a configuration asks a polled node for it.
	fetching atomic.Bool
	// storeGate is closed while this node follows another node instead of the store.
	storeGate gate

	tasks         chan func()
	publishSignal chan struct{}
	// publishing holds an element while the row of this node is written.
	publishing chan struct{}
	// stopped is closed when the event loop has ended.
	stopped chan struct{}

	// followed is the node that this node follows; nil while it reads the store.
	followed atomic.Pointer[Peer]
	// hint is a node of the zone that this node should follow next; nil if there is none.
	hint atomic.Pointer[Member]

	// Only the event loop accesses the fields below.
	config           *routing.Config
	documents        configHistory
	zones            zoneSet
	operatorRevision uint64
	table            rowTable
	// heldUntil is when state that is missing from a restored store is dropped.
	heldUntil clock.Instant
	// ownCrashes holds the rows of the crashes that this node has reported.
	ownCrashes  []ownCrash
	members     map[string]*Member
	coordinator Peer
}

// New returns an empty state.
func New(cfg Config) *State {
	if cfg.Metrics == nil {
		cfg.Metrics = NewMetrics(metrics.NewRegistry())
	}
	if cfg.OnCrash == nil {
		cfg.OnCrash = func(crashguard.Notice) {}
	}
	if cfg.Clock == nil {
		cfg.Clock = clock.Now
	}
	s := &State{
		cfg: cfg, storeClock: storeClock{clock: cfg.Clock}, tasks: make(chan func(), 64), publishSignal: make(chan struct{}, 1), publishing: make(chan struct{}, 1), stopped: make(chan struct{}),
		table: rowTable{ownKey: memberPrefix + cfg.Self.Node}, members: make(map[string]*Member),
	}
	s.storeGate.close() // Until the node finds that it must read the store itself.
	s.view.Store(emptyView())
	changed := make(chan struct{})
	s.changed.Store(&changed)
	return s
}

// View returns the current view.
func (s *State) View() *View { return s.view.Load() }

// AwaitConfig returns the current view, after waiting for the first configuration for up
// to maxWait.
func (s *State) AwaitConfig(ctx context.Context, maxWait time.Duration) *View {
	ctx, cancel := context.WithTimeout(ctx, maxWait)
	defer cancel()
	for {
		changed := *s.changed.Load()
		v := s.View()
		if v.Config != nil {
			return v
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return v
		}
	}
}

// ConfirmationAge returns the time since the configuration was last confirmed to
// be the newest one. It returns false if it was never confirmed.
func (s *State) ConfirmationAge() (time.Duration, bool) {
	at := s.confirmed.Load()
	if at == 0 {
		return 0, false
	}
	return s.cfg.Clock().Sub(clock.Instant(at)), true
}

// StoreNow returns an estimate of the store's clock that is never ahead of it.
func (s *State) StoreNow() (time.Duration, bool) { return s.storeClock.now() }

// ObserveStore records the store's clock in a response with a revision.
func (s *State) ObserveStore(revision uint64, storeTime time.Duration) {
	s.storeClock.observe(revision, storeTime)
}

// SetCoordinator records the coordinator of the rate limits, which is reported to
// followers.
func (s *State) SetCoordinator(ctx context.Context, p Peer) {
	s.enqueue(ctx, func() {
		if s.coordinator != p {
			s.coordinator = p
			s.publishView()
		}
	})
}

// ReadsStore reports whether this node reads the store itself.
func (s *State) ReadsStore() bool { return s.storeGate.isOpen() }

// Publish signals that the backend server to publish has changed.
func (s *State) Publish() {
	select {
	case s.publishSignal <- struct{}{}:
	default: // A publication is already pending.
	}
}

// Run maintains the state until ctx ends. It runs the event loop.
func (s *State) Run(ctx context.Context) {
	defer close(s.stopped)
	refreshOperator, refreshMembers := make(chan struct{}, 1), make(chan struct{}, 1)
	go s.watchOperator(ctx, refreshMembers, refreshOperator)
	go s.watchMembers(ctx, refreshMembers, refreshOperator)
	go s.publishLoop(ctx)
	go s.followLoop(ctx)
	go s.pollPeersWhileStale(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case task := <-s.tasks:
			s.cfg.Recovery.Do("fleet state", "", task)
		}
	}
}

func (s *State) enqueue(ctx context.Context, f func()) {
	select {
	case s.tasks <- f:
	case <-s.stopped:
	case <-ctx.Done():
	}
}

// runAndWait runs f on the event loop and waits until it returns, the event loop has
// ended or ctx ends.
func (s *State) runAndWait(ctx context.Context, f func()) {
	done := make(chan struct{})
	s.enqueue(ctx, func() { defer close(done); f() })
	select {
	case <-done:
	case <-s.stopped:
	case <-ctx.Done():
	}
}

// confirm records that the configuration was the newest one at the given instant.
func (s *State) confirm(at clock.Instant) {
	for {
		previous := s.confirmed.Load()
		if int64(at) <= previous {
			return
		}
		if s.confirmed.CompareAndSwap(previous, int64(at)) {
			s.signalChange()
			return
		}
	}
}

// applyOperator applies rows of the operator's table.
func (s *State) applyOperator(c platform.Changes, full bool) {
	changed := s.operatorRevision == 0
	if c.Revision < s.operatorRevision {
		return // A newer revision was received from another node.
	}
	restored := s.isRestored(s.operatorRevision, c.Revision)
	s.operatorRevision = c.Revision
	if full {
		var zones []string
		for _, row := range c.Rows {
			if zone, ok := platform.EvacuatedZone(row.Key); ok && !row.Removed {
				zones = append(zones, zone)
			}
		}
		changed = s.replaceEvacuatedZones(zones, restored) || changed
	}
	for _, row := range c.Rows {
		if zone, ok := platform.EvacuatedZone(row.Key); ok && !full && s.zones.set(zone, !row.Removed) {
			changed = true
			s.cfg.Logger.Log("event", "availability zone evacuated", "zone", zone, "out", !row.Removed)
		}
		if platform.IsConfig(row.Key) && !row.Removed {
			changed = s.applyConfig(row.Value, "store") || changed
		}
	}
	if changed {
		s.publishView()
	}
}

// applyConfig applies a configuration if it is newer than the current one, and
// reports whether it did. source names the node that sent it, or the store.
func (s *State) applyConfig(document []byte, source string) bool {
	next, err := platform.DecodeConfig(document)
	if err != nil {
		s.cfg.Logger.Log("event", "configuration refused", "err", err)
		return false
	}
	if s.config != nil && next.Version <= s.config.Version {
		if next.Version < s.config.Version {
			s.cfg.Logger.Log("event", "older configuration ignored", "version", next.Version, "held", s.config.Version)
		}
		return false
	}
	s.config = next
	s.documents.add(next.Version, document)
	s.refuseSteps.Store(false)
	s.cfg.Metrics.ConfigVersion.Update(int64(next.Version))
	s.cfg.Logger.Log("event", "configuration in force", "version", next.Version, "bytes", len(document), "source", source)
	return true
}

// applyMembers applies rows read from the members table.
func (s *State) applyMembers(c platform.Changes, full bool) {
	s.mergeRows(c, full)
	s.publishView()
}

// mergeRows applies rows of the members table, and reports whether there were any.
func (s *State) mergeRows(c platform.Changes, full bool) bool {
	if full && s.isRestored(s.table.revision, c.Revision) {
		s.holdMissingState(c.Revision)
	}
	newer, resurrected := s.table.merge(c, full)
	s.applyRows(newer)
	s.removeAgain(resurrected)
	return len(newer) > 0
}

// applyRows applies changed rows of the members table.
func (s *State) applyRows(rows []platform.Change) {
	for _, row := range rows {
		switch {
		case strings.HasPrefix(row.Key, memberPrefix):
			s.applyMember(row)
		case strings.HasPrefix(row.Key, crashPrefix):
			s.applyCrash(row)
		}
	}
	s.Publish() // The row of this node may be missing or outdated.
}

func (s *State) applyMember(row platform.Change) {
	name := strings.TrimPrefix(row.Key, memberPrefix)
	if row.Removed {
		delete(s.members, name)
		s.cfg.Logger.Log("event", "member gone", "member", name, "revision", row.Revision)
		return
	}
	m, err := decodeMember(row.Value, row.Revision)
	if err != nil || m.Node != name {
		s.cfg.Logger.Log("event", "member row refused", "member", name, "err", err)
		return
	}
	s.members[name] = m
	s.cfg.Logger.Log("event", "member seen", "member", name, "zone", m.Zone, "incarnation", m.Incarnation,
		"backend", m.BackendID(), "serving", m.serving(), "revision", row.Revision)
}

// BackendID returns the ID of the backend server, or "".
func (m *Member) BackendID() string {
	if m.Backend == nil {
		return ""
	}
	return m.Backend.ID
}

func (m *Member) serving() bool { return m.Backend != nil && m.Backend.Serving }

// publishView builds a new view and makes it visible to other goroutines.
func (s *State) publishView() {
	v := &View{
		Config: s.config, EvacuatedZones: s.zones.effective(), Nodes: maps.Clone(s.members),
		Owners: make(map[string][]*Member), Revision: s.table.revision, operatorRevision: s.operatorRevision, Coordinator: s.coordinator,
	}
	for _, name := range slices.Sorted(maps.Keys(s.members)) {
		m := s.members[name]
		if m.serving() && !v.EvacuatedZones[m.Zone] {
			v.Owners[m.Backend.Service] = append(v.Owners[m.Backend.Service], m)
		}
	}
	s.view.Store(v)
	s.signalChange()
	s.cfg.OnView(v)
}

func (s *State) signalChange() {
	next := make(chan struct{})
	close(*s.changed.Swap(&next))
}
