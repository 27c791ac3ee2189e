package quota

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"trefoildock.example/mesh/clock"
	"trefoildock.example/platform"
)

const (
	leaseKey = "rates"
	// leaseDuration is the time from the write of a lease to its expiry.
	leaseDuration = 4500 * time.Millisecond
	// renewInterval leaves time for two attempts before the lease expires.
	renewInterval = 1500 * time.Millisecond
	// leaseMargin is the time before expiry at which the coordinator stops granting.
	// It covers the error of the estimate of the store's clock.
	leaseMargin = 500 * time.Millisecond
	// leaseCallTimeout bounds one read or write of the lease, including a relay of
	// the write through other nodes.
	leaseCallTimeout = 1700 * time.Millisecond
	// acquireInterval is the time between two attempts to find or become the coordinator.
	acquireInterval = 500 * time.Millisecond
	// maxAcquireInterval bounds the backoff of acquireInterval while the store does not respond.
	maxAcquireInterval = 2 * time.Second
	// peerReportWait is how long after its start, or after the loss of the coordinator, a
	// node that does not read the store waits for other nodes to report the coordinator
	// before it reads the lease itself.
	peerReportWait = 3 * time.Second
	// peerReportPollInterval is the time between two checks whether this node must still
	// wait for reports of other nodes.
	peerReportPollInterval = 100 * time.Millisecond
	// reclaimPollInterval is the time between two checks for the lease that a restarted
	// coordinator takes back.
	reclaimPollInterval = 5 * time.Millisecond
	// unreachablePeriod is how long reports of a coordinator that could not be reached are ignored.
	unreachablePeriod = 1500 * time.Millisecond
	// startJitter bounds the random delay that spreads the first claims of all nodes.
	startJitter = 400 * time.Millisecond
)

// Table is the table that holds the lease.
type Table interface {
	Read(ctx context.Context) (platform.Changes, error)
	Write(ctx context.Context, key string, value []byte, expected uint64) (platform.WriteResult, error)
}

// leaseRecord is the value of the lease row.
type leaseRecord struct {
	Holder      string `json:"holder"`
	Address     string `json:"address"`
	Incarnation string `json:"incarnation"`
	// UntilMillis is the time of the store's clock at which the lease expires, in milliseconds.
	UntilMillis int64 `json:"until_ms"`
	// Generation is the generation of the store in which the lease was written.
	Generation uint64 `json:"generation,omitempty"`
}

// leaseRow is the row of the lease as read from the store.
type leaseRow struct {
	leaseRecord
	// revision is 0 if there is no row.
	revision, generation uint64
	// restored means that the store has been restored at some time.
	restored bool
	// readAt is the time of the store's clock.
	readAt time.Duration
}

// fromCopy reports whether the row was brought back, or lost, by a restoration of the store
// from an older copy. The lease may then be held by another node than it names.
func (r leaseRow) fromCopy() bool { return r.restored && r.Generation != r.generation }

// Peer identifies a node, such as the coordinator, and the address of its link server.
type Peer struct {
	Node, Address string
}

// LeaseManager acquires and renews the coordinator lease, or tracks the node
// that holds it.
type LeaseManager struct {
	// Self identifies this node.
	Self   Peer
	Table  Table
	Logger log.Logger
	// Incarnation changes with each start of the process.
	Incarnation string
	// StoreNow returns an estimate of the store's clock that is never ahead of it.
	StoreNow func() (time.Duration, bool)
	// ReadsStore reports whether this node reads the store itself; the other nodes
	// receive the coordinator from those that do. Nil means that it does.
	ReadsStore func() bool
	// MayAcquire reports whether this node may acquire the lease; nil means that it may.
	MayAcquire func() bool
	// ObserveStore is called with the store's clock in its responses, unless it is nil.
	ObserveStore func(revision uint64, storeTime time.Duration)
	// OnCoordinator is called after each change of the coordinator, unless it is nil.
	OnCoordinator func(Peer)

	mu          sync.Mutex
	coordinator Peer
	revision    uint64
	buckets     *BucketSet
	// leaseEnd is when this node stops granting under its own lease, on the local clock.
	leaseEnd clock.Instant
	wake     chan struct{}
	stopped  bool
	// unreachable is the last coordinator that could not be reached, at unreachableAt.
	unreachable   Peer
	unreachableAt time.Time
	startedAt     time.Time
	// generation is the newest generation of the store that this node has read, first at
	// generationSeen.
	generation     uint64
	generationSeen clock.Instant
	// reportedAsCoordinator is set when another node reports this node as the coordinator
	// although it holds no lease, as after a restart of its process.
	reportedAsCoordinator bool
}

// Init initializes the manager. It must be called before Run.
func (m *LeaseManager) Init() {
	m.wake = make(chan struct{}, 1)
	m.startedAt = time.Now()
}

// Coordinator returns the coordinator, or false if it is unknown.
func (m *LeaseManager) Coordinator() (Peer, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.coordinator, m.coordinator.Node != ""
}

// Buckets returns the token buckets while this node is the coordinator, and nil otherwise.
func (m *LeaseManager) Buckets() *BucketSet {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.buckets == nil || clock.Now() >= m.leaseEnd {
		return nil
	}
	return m.buckets
}

// MarkUnreachable drops a coordinator that did not respond or has lost its lease, and
// wakes Run to find its successor.
func (m *LeaseManager) MarkUnreachable(p Peer) {
	m.mu.Lock()
	if m.coordinator == p && p != (Peer{}) {
		m.unreachable, m.unreachableAt = p, time.Now()
		m.coordinator = Peer{}
	}
	m.mu.Unlock()
	m.wakeUp()
}

func (m *LeaseManager) wakeUp() {
	select {
	case m.wake <- struct{}{}:
	default: // A wake-up is already pending.
	}
}

// UnreachableAddress returns the address of a coordinator that could not be reached
// within the last unreachablePeriod, or "".
func (m *LeaseManager) UnreachableAddress() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if time.Since(m.unreachableAt) > unreachablePeriod {
		return ""
	}
	return m.unreachable.Address
}

// ObserveCoordinator records the coordinator that another node reported.
func (m *LeaseManager) ObserveCoordinator(p Peer) {
	m.mu.Lock()
	reclaims := p == m.Self && m.buckets == nil
	m.reportedAsCoordinator = m.reportedAsCoordinator || reclaims
	usable := m.buckets == nil && p != m.Self && (p != m.unreachable || time.Since(m.unreachableAt) > unreachablePeriod)
	m.mu.Unlock()
	if reclaims {
		m.wakeUp()
	}
	if usable {
		m.setCoordinator(p)
	}
}

// Reclaim returns the token buckets once a restarted coordinator has taken its lease
// back, or nil if it does not before ctx ends. It is called when another node takes a
// token from this node, which shows that its lease may still be valid.
func (m *LeaseManager) Reclaim(ctx context.Context) *BucketSet {
	m.mu.Lock()
	mayHoldLease := !m.stopped && time.Since(m.startedAt) < leaseDuration
	m.mu.Unlock()
	if !mayHoldLease {
		return nil
	}
	m.ObserveCoordinator(m.Self)
	for ctx.Err() == nil {
		if b := m.Buckets(); b != nil {
			return b
		}
		clock.Sleep(ctx, reclaimPollInterval)
	}
	return nil
}

// Run renews the lease while this node holds it, and otherwise finds or replaces the coordinator.
func (m *LeaseManager) Run(ctx context.Context) {
	m.sleepOrWake(ctx, rand.N(startJitter), true)
	wait := acquireInterval
	for ctx.Err() == nil {
		if m.holdsLease() {
			if !m.mayAcquire() {
				m.release(ctx)
				continue
			}
			m.renew(ctx)
			m.sleepOrWake(ctx, renewInterval, false)
			continue
		}
		if _, known := m.Coordinator(); known {
			m.sleepOrWake(ctx, time.Hour, true)
			continue
		}
		if m.waitsForPeers() {
			m.sleepOrWake(ctx, peerReportPollInterval, true)
			continue
		}
		if err := m.tryAcquire(ctx); err != nil {
			m.Logger.Log("event", "home of the rates not found", "err", err)
			wait = min(2*wait, maxAcquireInterval)
		} else {
			wait = acquireInterval
		}
		clock.Sleep(ctx, wait+rand.N(wait/2))
	}
}

// waitsForPeers reports whether this node waits for other nodes to report the coordinator.
func (m *LeaseManager) waitsForPeers() bool {
	if m.ReadsStore == nil || m.ReadsStore() {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.reportedAsCoordinator {
		m.reportedAsCoordinator = false
		return false
	}
	return time.Since(m.unreachableAt) < peerReportWait || time.Since(m.startedAt) < peerReportWait
}

func (m *LeaseManager) sleepOrWake(ctx context.Context, d time.Duration, wakeable bool) {
	t := time.NewTimer(d)
	defer t.Stop()
	var wake <-chan struct{}
	if wakeable {
		wake = m.wake
	}
	select {
	case <-t.C:
	case <-wake:
	case <-ctx.Done():
	}
}

// holdsLease reports whether this node holds the lease. It drops an expired lease.
func (m *LeaseManager) holdsLease() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.buckets != nil && clock.Now() >= m.leaseEnd {
		m.buckets, m.coordinator = nil, Peer{}
		m.Logger.Log("event", "lease of the rates ended")
	}
	return m.buckets != nil
}

// tryAcquire reads the lease and claims it if it does not exist, has expired or names
// this node. Otherwise it records the holder as the coordinator. After a restoration of the
// store it waits until a lease that the copy lacks has expired or was taken back.
func (m *LeaseManager) tryAcquire(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, leaseCallTimeout)
	defer cancel()
	row, err := m.readLease(ctx)
	if err != nil {
		return err
	}
	if row.fromCopy() {
		m.mu.Lock()
		wait := clock.Now() < m.generationSeen.Add(leaseDuration)
		m.mu.Unlock()
		if wait {
			return nil
		}
	}
	own := row.Holder == m.Self.Node // Held by this process, or by an earlier one on this VM that has ended.
	if row.revision != 0 && !own && row.readAt < time.Duration(row.UntilMillis)*time.Millisecond {
		m.setCoordinator(Peer{Node: row.Holder, Address: row.Address})
		return nil
	}
	if !m.mayAcquire() {
		return nil
	}
	return m.writeLease(ctx, row.revision, row.generation, row.revision == 0 && !row.fromCopy())
}

func (m *LeaseManager) mayAcquire() bool { return m.MayAcquire == nil || m.MayAcquire() }

func (m *LeaseManager) setCoordinator(p Peer) {
	m.mu.Lock()
	changed := m.coordinator != p
	m.coordinator = p
	m.mu.Unlock()
	if changed {
		m.Logger.Log("event", "home of the rates found", "home", p.Node)
		m.notify(p)
	}
}

func (m *LeaseManager) notify(p Peer) {
	if m.OnCoordinator != nil {
		m.OnCoordinator(p)
	}
}

// renew extends the lease of this node.
func (m *LeaseManager) renew(ctx context.Context) {
	m.mu.Lock()
	revision, stopped := m.revision, m.stopped
	m.mu.Unlock()
	if stopped {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, leaseCallTimeout)
	defer cancel()
	if err := m.writeLease(ctx, revision, platform.Generation(revision), false); err != nil {
		m.Logger.Log("event", "lease of the rates not renewed", "err", err)
	}
}

// writeLease claims or renews the lease. first means that no node has held it before. If the
// store was restored meanwhile, a node that holds the lease takes it back.
func (m *LeaseManager) writeLease(ctx context.Context, expected, generation uint64, first bool) error {
	err := m.writeLeaseOnce(ctx, expected, generation, first)
	var conflict *platform.ConflictError
	if !errors.As(err, &conflict) {
		return errors.Wrap(err, "write the lease")
	}
	row, readErr := m.readLease(ctx)
	if readErr != nil {
		return errors.Wrap(errors.CombineErrors(err, readErr), "write the lease")
	}
	if row.fromCopy() && m.holdsLease() {
		m.Logger.Log("event", "lease of the rates taken back after a restoration", "copy_holder", row.Holder, "revision", row.revision)
		return errors.Wrap(m.writeLeaseOnce(ctx, row.revision, row.generation, false), "take the lease back")
	}
	return m.handleConflict(row, err)
}

func (m *LeaseManager) writeLeaseOnce(ctx context.Context, expected, generation uint64, first bool) error {
	storeNow, known := m.StoreNow()
	if !known {
		return errors.New("no estimate of the store's clock is available yet")
	}
	started := clock.Now()
	record := leaseRecord{
		Holder: m.Self.Node, Address: m.Self.Address, Incarnation: m.Incarnation,
		UntilMillis: (storeNow + leaseDuration).Milliseconds(), Generation: generation,
	}
	value, err := json.Marshal(record)
	if err != nil {
		return errors.Wrap(err, "encode the lease")
	}
	written, err := m.Table.Write(ctx, leaseKey, value, expected)
	if err != nil {
		return err
	}
	m.observeStore(written.Revision, written.StoreTime)
	m.mu.Lock()
	m.revision, m.leaseEnd = written.Revision, started.Add(leaseDuration-leaseMargin)
	acquired := m.buckets == nil
	if acquired {
		m.buckets, m.coordinator = NewBucketSet(time.Now(), first), m.Self
	}
	m.mu.Unlock()
	if acquired {
		m.Logger.Log("event", "lease of the rates taken", "revision", written.Revision, "first", first)
		m.notify(m.Self)
	}
	return nil
}

// handleConflict handles a write that conflicts with a row, which names the holder: an
// earlier write of this node whose response was lost may have taken effect.
func (m *LeaseManager) handleConflict(row leaseRow, err error) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if row.Holder == m.Self.Node && row.Incarnation == m.Incarnation {
		m.revision = row.revision
		m.Logger.Log("event", "lease of the rates kept after a lost answer", "revision", row.revision)
		return nil
	}
	if m.buckets != nil {
		m.Logger.Log("event", "lease of the rates lost", "holder", row.Holder, "revision", row.revision)
	}
	m.buckets, m.coordinator = nil, Peer{}
	return errors.Wrap(err, "write the lease")
}

// readLease reads the row of the lease.
func (m *LeaseManager) readLease(ctx context.Context) (leaseRow, error) {
	changes, err := m.Table.Read(ctx)
	if err != nil {
		return leaseRow{}, errors.Wrap(err, "read the lease")
	}
	m.observeStore(changes.Revision, changes.StoreTime)
	out := leaseRow{generation: platform.Generation(changes.Revision), restored: platform.WasRestored(changes.Revision), readAt: changes.StoreTime}
	for _, row := range changes.Rows {
		if row.Key != leaseKey {
			continue
		}
		out.revision = row.Revision
		if err := json.Unmarshal(row.Value, &out.leaseRecord); err != nil {
			m.Logger.Log("event", "lease row refused", "err", err)
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if out.generation > m.generation {
		m.generation, m.generationSeen = out.generation, clock.Now()
	}
	return out, nil
}

func (m *LeaseManager) observeStore(revision uint64, storeTime time.Duration) {
	if m.ObserveStore != nil {
		m.ObserveStore(revision, storeTime)
	}
}

// Stop releases the lease permanently, so that another node becomes coordinator at once.
func (m *LeaseManager) Stop(ctx context.Context) {
	m.mu.Lock()
	m.stopped = true
	m.mu.Unlock()
	m.release(ctx)
}

// release ends the lease if this node holds it. It overwrites the row instead of
// deleting it: without the row, the next coordinator would grant the full burst again.
func (m *LeaseManager) release(ctx context.Context) {
	m.mu.Lock()
	held, revision := m.buckets != nil, m.revision
	m.buckets, m.coordinator = nil, Peer{}
	m.mu.Unlock()
	if !held {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, leaseCallTimeout)
	defer cancel()
	m.Logger.Log("event", "lease of the rates given up", "revision", revision)
	value, err := json.Marshal(leaseRecord{Holder: m.Self.Node, Address: m.Self.Address, Incarnation: m.Incarnation, Generation: platform.Generation(revision)})
	if err == nil {
		_, err = m.Table.Write(ctx, leaseKey, value, revision)
	}
	if err != nil {
		m.Logger.Log("event", "lease of the rates not given up", "err", err)
	}
}
