package fleet

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"trefoildock.example/mesh/clock"
	"trefoildock.example/platform"
	"trefoildock.example/routing"
)

const (
	// confirmWait is how long a watch of the operator's table stays open. Its
	// answer confirms the configuration; a shorter wait costs more calls, a longer
	// one delays the discovery that the store cannot be reached.
	confirmWait = time.Second
	// otherConfirmWait replaces it at nodes that are no readers of their zone, since
	// nobody follows them. It is below askAfter.
	otherConfirmWait = 1800 * time.Millisecond
	// startPause is the time after the first view of the operator's table before it
	// is watched. A starting node usually follows a reader by then.
	startPause = 700 * time.Millisecond
	// memberWait is the same for the table of members, which needs no confirmation.
	memberWait = 15 * time.Second
	// memberPause joins changes of members that come close together, as when all
	// nodes start, into one answer.
	memberPause = 700 * time.Millisecond
	// minRetry and maxRetry bound the time between two tries to reach the store.
	minRetry = 100 * time.Millisecond
	maxRetry = 800 * time.Millisecond
	// maxOtherRetry replaces maxRetry at nodes that know the members and are no
	// readers of their zone. While the store is away, they learn of its return from
	// the readers.
	maxOtherRetry = 4 * time.Second
	// publishTimeout bounds one write of the own row.
	publishTimeout = 1700 * time.Millisecond
)

// Table is a table of the store with its feed of changes.
type Table interface {
	Read(ctx context.Context) (platform.Changes, error)
	Watch(ctx context.Context, after uint64, wait time.Duration) (platform.Changes, error)
	Write(ctx context.Context, key string, value []byte, expected uint64) (platform.Written, error)
	Delete(ctx context.Context, key string, expected uint64) (platform.Written, error)
}

// Config describes the node and its sources.
type Config struct {
	// Self is the member record without a backend server.
	Self Member
	// Operator is the operator's table; Members is that of the nodes.
	Operator, Members Table
	// Backend returns the backend server to publish, or nil if there is none. It
	// returns false while that is not known, and the own row then stays as it is.
	Backend func() (*Backend, bool)
	// AskPeer asks another node for what it knows.
	AskPeer func(ctx context.Context, address string, known Known) (Knowledge, error)
	// OnHome is told which node gives out the rates; LostHome returns the address of
	// one that this node could not reach, and OnLostHome is told of one that
	// another node could not reach.
	OnHome     func(Home)
	LostHome   func() string
	OnLostHome func(address string)
	// OnView is told of each new view.
	OnView func(*View)
	Logger log.Logger
}

// State keeps the beliefs of a node.
type State struct {
	cfg       Config
	view      atomic.Pointer[View]
	confirmed atomic.Int64 // clock.Instant; 0 before the first confirmation
	// changed is closed and replaced with each new view.
	changed   atomic.Pointer[chan struct{}]
	storeTime storeClock
	// storeLost is set while the last call about the operator's table failed.
	storeLost atomic.Bool
	// known is set once the members were read.
	known atomic.Bool
	// gate is closed while the node follows another one in place of the store.
	gate gate

	events  chan func()
	publish chan struct{}
	// stopped is closed when the control goroutine has ended.
	stopped chan struct{}

	// The fields below belong to the control goroutine.
	config     *routing.Config
	document   []byte
	zonesOut   map[string]bool
	operatorAt uint64
	table      rowTable
	members    map[string]*Member
	crashes    map[string]crashRecord
	home       Home
}

// New returns a state that knows nothing.
func New(cfg Config) *State {
	s := &State{
		cfg: cfg, events: make(chan func(), 64), publish: make(chan struct{}, 1), stopped: make(chan struct{}),
		zonesOut: make(map[string]bool), members: make(map[string]*Member), crashes: make(map[string]crashRecord),
	}
	s.view.Store(emptyView())
	changed := make(chan struct{})
	s.changed.Store(&changed)
	return s
}

// View returns the current beliefs.
func (s *State) View() *View { return s.view.Load() }

// Age returns the time since the configuration was known to be the newest one.
// It returns false if that was never the case.
func (s *State) Age() (time.Duration, bool) {
	at := s.confirmed.Load()
	if at == 0 {
		return 0, false
	}
	return clock.Now().Sub(clock.Instant(at)), true
}

// StoreNow estimates the store's clock. The estimate is at most the true value.
func (s *State) StoreNow() (time.Duration, bool) { return s.storeTime.now() }

// SetHome records which node gives out the rates, so that other nodes can be told.
func (s *State) SetHome(ctx context.Context, h Home) {
	s.post(ctx, func() {
		if s.home != h {
			s.home = h
			s.publishView()
		}
	})
}

// ReadsStore reports whether this node reads the store itself.
func (s *State) ReadsStore() bool { return s.gate.isOpen() }

// isReader reports whether this node watches the store for its zone.
func (s *State) isReader() bool {
	return s.known.Load() && s.ownRank(s.rankInZone()) < readersPerZone
}

// Publish tells the state that the backend server to publish has changed.
func (s *State) Publish() {
	select {
	case s.publish <- struct{}{}:
	default: // A publication is already due.
	}
}

// Run keeps the beliefs until ctx ends.
func (s *State) Run(ctx context.Context) {
	defer close(s.stopped)
	refresh := make(chan struct{}, 1)
	go s.watchOperator(ctx, refresh)
	go s.watchMembers(ctx, refresh)
	go s.publishLoop(ctx)
	go s.followLoop(ctx)
	go s.askAround(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-s.events:
			f()
		}
	}
}

func (s *State) post(ctx context.Context, f func()) {
	select {
	case s.events <- f:
	case <-s.stopped:
	case <-ctx.Done():
	}
}

// ask runs f on the control goroutine and waits for it.
func (s *State) ask(ctx context.Context, f func()) {
	done := make(chan struct{})
	s.post(ctx, func() { f(); close(done) })
	select {
	case <-done:
	case <-s.stopped:
	case <-ctx.Done():
	}
}

// confirm records that the configuration was the newest one at an instant.
func (s *State) confirm(at clock.Instant) {
	for {
		old := s.confirmed.Load()
		if int64(at) <= old || s.confirmed.CompareAndSwap(old, int64(at)) {
			return
		}
	}
}

// watchOperator follows the operator's table. It wakes watchMembers after a
// failure, because the other connection may have failed unnoticed.
func (s *State) watchOperator(ctx context.Context, refresh chan<- struct{}) {
	var after uint64
	read := true
	s.readWhileOpen(ctx, "operator", func(ctx context.Context) error {
		wait := confirmWait
		if !s.isReader() {
			wait = otherConfirmWait
		}
		changes, err := s.next(ctx, s.cfg.Operator, &read, after, wait)
		if err != nil {
			s.storeLost.Store(true)
			select {
			case refresh <- struct{}{}:
			default:
			}
			return err
		}
		whole := read
		after, read = changes.Revision, false
		s.storeLost.Store(false)
		at := s.storeTime.observe(changes.StoreTime)
		s.ask(ctx, func() { s.applyOperator(changes, whole); s.confirm(at) })
		if whole && !s.isReader() {
			clock.Sleep(ctx, startPause)
		}
		return nil
	})
}

// errStoreLost delays the watch of the members until that of the operator's table
// has reached the store.
var errStoreLost = errors.New("the store was not reached for the operator's table")

// watchMembers follows the table of members.
func (s *State) watchMembers(ctx context.Context, refresh <-chan struct{}) {
	var after uint64
	read := true
	s.readWhileOpen(ctx, "members", func(ctx context.Context) error {
		if s.storeLost.Load() {
			return errStoreLost
		}
		call, cancel := context.WithCancel(ctx)
		defer cancel()
		go func() {
			select {
			case <-refresh:
				cancel()
			case <-call.Done():
			}
		}()
		changes, err := s.next(call, s.cfg.Members, &read, after, memberWait)
		if err != nil {
			return err
		}
		whole := read
		after, read = changes.Revision, false
		s.storeTime.observe(changes.StoreTime)
		s.post(ctx, func() { s.applyMembers(changes, whole); s.known.Store(true) })
		if len(changes.Rows) > 0 || whole {
			clock.Sleep(ctx, memberPause)
		}
		return nil
	})
}

// next reads the table or waits for its next changes.
func (s *State) next(ctx context.Context, t Table, read *bool, after uint64, wait time.Duration) (platform.Changes, error) {
	if *read {
		return t.Read(ctx)
	}
	changes, err := t.Watch(ctx, after, wait)
	if errors.Is(err, platform.ErrHistoryGone) {
		*read = true
		return t.Read(ctx)
	}
	return changes, err
}

// readWhileOpen calls f while the gate is open, with a growing pause after failures,
// and logs when the store is lost and regained.
func (s *State) readWhileOpen(ctx context.Context, name string, f func(context.Context) error) {
	wait := minRetry
	var lostAt time.Time
	for ctx.Err() == nil {
		s.gate.wait(ctx)
		call, cancel := s.gate.whileOpen(ctx)
		err := f(call)
		closed := call.Err() != nil
		cancel()
		switch {
		case closed && ctx.Err() == nil:
			continue // Another node is followed from now on.
		case err == nil:
			if !lostAt.IsZero() {
				s.cfg.Logger.Log("event", "store regained", "table", name, "after", time.Since(lostAt))
			}
			wait, lostAt = minRetry, time.Time{}
			continue
		case ctx.Err() != nil:
			return
		case lostAt.IsZero():
			lostAt = time.Now()
			s.cfg.Logger.Log("event", "store lost", "table", name, "err", err)
		}
		clock.Sleep(ctx, wait)
		limit := maxRetry
		if s.known.Load() && !s.isReader() {
			limit = maxOtherRetry
		}
		wait = min(2*wait, limit)
	}
}

// applyOperator takes over rows of the operator's table.
func (s *State) applyOperator(c platform.Changes, whole bool) {
	changed := s.operatorAt == 0
	if c.Revision < s.operatorAt {
		return // Another node told of a newer state.
	}
	s.operatorAt = c.Revision
	if whole {
		out := make(map[string]bool)
		for _, row := range c.Rows {
			if zone, ok := platform.EvacuatedZone(row.Key); ok && !row.Removed {
				out[zone] = true
			}
		}
		if !maps.Equal(out, s.zonesOut) {
			s.zonesOut, changed = out, true
		}
	}
	for _, row := range c.Rows {
		if zone, ok := platform.EvacuatedZone(row.Key); ok {
			s.setZone(zone, !row.Removed, &changed)
		}
		if platform.IsConfig(row.Key) && !row.Removed {
			changed = s.applyConfig(row.Value) || changed
		}
	}
	if changed {
		s.publishView()
	}
}

func (s *State) setZone(zone string, out bool, changed *bool) {
	if s.zonesOut[zone] == out {
		return
	}
	s.zonesOut = maps.Clone(s.zonesOut)
	if out {
		s.zonesOut[zone] = true
	} else {
		delete(s.zonesOut, zone)
	}
	*changed = true
	s.cfg.Logger.Log("event", "availability zone evacuated", "zone", zone, "out", out)
}

// applyConfig takes over a configuration unless it is older than the one in
// force. It reports whether it changed anything.
func (s *State) applyConfig(document []byte) bool {
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
	s.document = document
	s.cfg.Logger.Log("event", "configuration in force", "version", next.Version)
	return true
}

// applyMembers takes over rows of the table of members.
func (s *State) applyMembers(c platform.Changes, whole bool) {
	s.applyRows(s.table.merge(c, whole))
	s.publishView()
}

// applyRows takes over changed rows of the table of members.
func (s *State) applyRows(rows []platform.Change) {
	for _, row := range rows {
		switch {
		case strings.HasPrefix(row.Key, memberPrefix):
			s.applyMember(row)
		case strings.HasPrefix(row.Key, crashPrefix):
			s.applyCrash(row)
		}
	}
	s.Publish() // The own row may be missing or differ.
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

// BackendID returns the id of the backend server, or "".
func (m *Member) BackendID() string {
	if m.Backend == nil {
		return ""
	}
	return m.Backend.ID
}

func (m *Member) serving() bool { return m.Backend != nil && m.Backend.Serving }

func (s *State) applyCrash(row platform.Change) {
	if row.Removed {
		delete(s.crashes, row.Key)
		return
	}
	var r crashRecord
	if err := json.Unmarshal(row.Value, &r); err != nil || r.Fingerprint == "" {
		s.cfg.Logger.Log("event", "crash row refused", "key", row.Key, "err", err)
		return
	}
	s.crashes[row.Key] = r
	s.cfg.Logger.Log("event", "crash recorded", "fingerprint", r.Fingerprint, "revision", row.Revision)
}

// publishView gives traffic goroutines a new view.
func (s *State) publishView() {
	v := &View{
		Config: s.config, ZonesOut: s.zonesOut, Nodes: maps.Clone(s.members),
		Owners: make(map[string][]*Member), Convicted: make(map[string]bool), Revision: s.table.revision, operatorAt: s.operatorAt, Home: s.home,
	}
	for _, name := range slices.Sorted(maps.Keys(s.members)) {
		m := s.members[name]
		if m.serving() && !s.zonesOut[m.Zone] {
			v.Owners[m.Backend.Service] = append(v.Owners[m.Backend.Service], m)
		}
	}
	counts := make(map[string]int)
	now, known := s.storeTime.now()
	for _, r := range s.crashes {
		if known && now-time.Duration(r.StoreMillis)*time.Millisecond > crashExpiry {
			continue
		}
		if counts[r.Fingerprint]++; counts[r.Fingerprint] >= convictAfter {
			v.Convicted[r.Fingerprint] = true
		}
	}
	s.view.Store(v)
	next := make(chan struct{})
	close(*s.changed.Swap(&next))
	s.cfg.OnView(v)
}
