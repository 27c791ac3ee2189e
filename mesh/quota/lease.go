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
	// leaseTime is how long a home may act after it has written its lease.
	leaseTime = 4500 * time.Millisecond
	// renewInterval leaves time for two tries before the lease ends.
	renewInterval = 1500 * time.Millisecond
	// leaseMargin is the time before its end at which a home stops. It covers the
	// error of the estimate of the store's clock.
	leaseMargin = 500 * time.Millisecond
	// leaseTimeout bounds one call about the lease, which other nodes may have to
	// repeat on behalf of this one.
	leaseTimeout = 1700 * time.Millisecond
	// searchInterval is the time between two looks for a home.
	searchInterval = 500 * time.Millisecond
	// maxSearchInterval bounds it while the store does not answer.
	maxSearchInterval = 2 * time.Second
	// learnWait is how long a node that follows others waits to learn of the home
	// before it looks for it itself.
	learnWait = 3 * time.Second
	// lostTime is how long a home that could not be reached is not learned again.
	lostTime = 1500 * time.Millisecond
	// startSpread spreads the first claims of all nodes.
	startSpread = 400 * time.Millisecond
)

// Table is the table that holds the lease.
type Table interface {
	Read(ctx context.Context) (platform.Changes, error)
	Write(ctx context.Context, key string, value []byte, expected uint64) (platform.Written, error)
}

// leaseRecord is the value of the lease row.
type leaseRecord struct {
	Holder      string `json:"holder"`
	Address     string `json:"address"`
	Incarnation string `json:"incarnation"`
	// UntilMillis is the store's clock at which the lease ends, in milliseconds.
	UntilMillis int64 `json:"until_ms"`
}

// Home is the node that gives out requests, as another node sees it.
type Home struct {
	Node, Address string
}

// Keeper holds the lease or knows who does.
type Keeper struct {
	// Self is the record of this node, without an end.
	Self   Home
	Table  Table
	Logger log.Logger
	// Incarnation changes with each start of the process.
	Incarnation string
	// StoreNow estimates the store's clock; the estimate is at most its true value.
	StoreNow func() (time.Duration, bool)
	// MayLook reports whether this node reads the store itself; the others learn of
	// the home from those that do. Nil means that it does.
	MayLook func() bool
	// MayClaim reports whether this node may hold the lease; nil means that it may.
	MayClaim func() bool
	// OnHome is told of each change of the home; nil ignores it.
	OnHome func(Home)

	mu       sync.Mutex
	home     Home
	revision uint64
	ledger   *Ledger
	// until is the end of the own lease on the local clock.
	until   clock.Instant
	search  chan struct{}
	stopped bool
	// lost is a home that could not be reached, since lostAt.
	lost   Home
	lostAt time.Time
}

// Init prepares the keeper; call it before Run.
func (k *Keeper) Init() { k.search = make(chan struct{}, 1) }

// Home returns the home, or false if none is known.
func (k *Keeper) Home() (Home, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.home, k.home.Node != ""
}

// Ledger returns the ledger while this node is the home.
func (k *Keeper) Ledger() *Ledger {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.ledger == nil || clock.Now() >= k.until {
		return nil
	}
	return k.ledger
}

// Lost reports that a home did not answer or is none any more.
func (k *Keeper) Lost(h Home) {
	k.mu.Lock()
	if k.home == h && h != (Home{}) {
		k.lost, k.lostAt = h, time.Now()
		k.home = Home{}
	}
	k.mu.Unlock()
	select {
	case k.search <- struct{}{}:
	default:
	}
}

// LostAddress returns the address of a home that could not be reached a moment
// ago, or "".
func (k *Keeper) LostAddress() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	if time.Since(k.lostAt) > lostTime {
		return ""
	}
	return k.lost.Address
}

// Learn takes over the home that another node knows.
func (k *Keeper) Learn(h Home) {
	k.mu.Lock()
	usable := k.ledger == nil && h != k.Self && (h != k.lost || time.Since(k.lostAt) > lostTime)
	k.mu.Unlock()
	if usable {
		k.found(h)
	}
}

// Run keeps the lease if this node holds it and looks for the home otherwise.
func (k *Keeper) Run(ctx context.Context) {
	clock.Sleep(ctx, rand.N(startSpread))
	wait := searchInterval
	for ctx.Err() == nil {
		if k.holding() {
			if !k.mayClaim() {
				k.giveUp(ctx)
				continue
			}
			k.renew(ctx)
			k.sleepOrSearch(ctx, renewInterval, false)
			continue
		}
		if _, known := k.Home(); known {
			k.sleepOrSearch(ctx, time.Hour, true)
			continue
		}
		if k.mayLearn() {
			clock.Sleep(ctx, searchInterval/2)
			continue
		}
		if err := k.look(ctx); err != nil {
			k.Logger.Log("event", "home of the rates not found", "err", err)
			wait = min(2*wait, maxSearchInterval)
		} else {
			wait = searchInterval
		}
		clock.Sleep(ctx, wait+rand.N(wait/2))
	}
}

// mayLearn reports whether the node should wait for others to tell of the home.
func (k *Keeper) mayLearn() bool {
	if k.MayLook == nil || k.MayLook() {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return time.Since(k.lostAt) < learnWait
}

func (k *Keeper) sleepOrSearch(ctx context.Context, d time.Duration, search bool) {
	t := time.NewTimer(d)
	defer t.Stop()
	var wake <-chan struct{}
	if search {
		wake = k.search
	}
	select {
	case <-t.C:
	case <-wake:
	case <-ctx.Done():
	}
}

func (k *Keeper) holding() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.ledger != nil && clock.Now() >= k.until {
		k.ledger, k.home = nil, Home{}
		k.Logger.Log("event", "lease of the rates ended")
	}
	return k.ledger != nil
}

// look reads the lease and claims it if it has ended.
func (k *Keeper) look(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	held, revision, now, err := k.read(ctx)
	if err != nil {
		return err
	}
	own := held.Holder == k.Self.Node // Of this process, or of an earlier one on this machine, which is gone.
	if revision != 0 && !own && now < time.Duration(held.UntilMillis)*time.Millisecond {
		k.found(Home{Node: held.Holder, Address: held.Address})
		return nil
	}
	if !k.mayClaim() {
		return nil
	}
	return k.write(ctx, revision, revision == 0)
}

func (k *Keeper) mayClaim() bool { return k.MayClaim == nil || k.MayClaim() }

func (k *Keeper) found(h Home) {
	k.mu.Lock()
	changed := k.home != h
	k.home = h
	k.mu.Unlock()
	if changed {
		k.Logger.Log("event", "home of the rates found", "home", h.Node)
		k.tell(h)
	}
}

func (k *Keeper) tell(h Home) {
	if k.OnHome != nil {
		k.OnHome(h)
	}
}

// renew extends the own lease.
func (k *Keeper) renew(ctx context.Context) {
	k.mu.Lock()
	revision, stopped := k.revision, k.stopped
	k.mu.Unlock()
	if stopped {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	if err := k.write(ctx, revision, false); err != nil {
		k.Logger.Log("event", "lease of the rates not renewed", "err", err)
	}
}

// write claims or renews the lease. first means that there was no home before.
func (k *Keeper) write(ctx context.Context, expected uint64, first bool) error {
	storeNow, known := k.StoreNow()
	if !known {
		return errors.New("the store's clock is not known")
	}
	started := clock.Now()
	record := leaseRecord{
		Holder: k.Self.Node, Address: k.Self.Address, Incarnation: k.Incarnation,
		UntilMillis: (storeNow + leaseTime).Milliseconds(),
	}
	value, err := json.Marshal(record)
	if err != nil {
		return errors.Wrap(err, "encode the lease")
	}
	written, err := k.Table.Write(ctx, leaseKey, value, expected)
	if err != nil {
		return k.writeFailed(ctx, err)
	}
	k.mu.Lock()
	k.revision, k.until = written.Revision, started.Add(leaseTime-leaseMargin)
	taken := k.ledger == nil
	if taken {
		k.ledger, k.home = NewLedger(time.Now(), first), k.Self
	}
	k.mu.Unlock()
	if taken {
		k.Logger.Log("event", "lease of the rates taken", "revision", written.Revision, "first", first)
		k.tell(k.Self)
	}
	return nil
}

// writeFailed handles a write that failed. A conflict usually means that an
// earlier write without an answer took effect, so the row tells who holds the
// lease. Without an answer to that the lease lasts until its end, because no other
// node claims it before.
func (k *Keeper) writeFailed(ctx context.Context, err error) error {
	var conflict *platform.ConflictError
	if !errors.As(err, &conflict) {
		return errors.Wrap(err, "write the lease")
	}
	held, revision, _, readErr := k.read(ctx)
	if readErr != nil {
		return errors.Wrap(errors.CombineErrors(err, readErr), "write the lease")
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if held.Holder == k.Self.Node && held.Incarnation == k.Incarnation {
		k.revision = revision
		k.Logger.Log("event", "lease of the rates kept after a lost answer", "revision", revision)
		return nil
	}
	if k.ledger != nil {
		k.Logger.Log("event", "lease of the rates lost", "holder", held.Holder, "revision", revision)
	}
	k.ledger, k.home = nil, Home{}
	return errors.Wrap(err, "write the lease")
}

// read returns the lease, the revision of its row and the store's time.
func (k *Keeper) read(ctx context.Context) (held leaseRecord, revision uint64, now time.Duration, err error) {
	changes, err := k.Table.Read(ctx)
	if err != nil {
		return held, 0, 0, errors.Wrap(err, "read the lease")
	}
	for _, row := range changes.Rows {
		if row.Key != leaseKey {
			continue
		}
		revision = row.Revision
		if err := json.Unmarshal(row.Value, &held); err != nil {
			k.Logger.Log("event", "lease row refused", "err", err)
		}
	}
	return held, revision, changes.StoreTime, nil
}

// Stop ends the lease for good, so that another node becomes home at once.
func (k *Keeper) Stop(ctx context.Context) {
	k.mu.Lock()
	k.stopped = true
	k.mu.Unlock()
	k.giveUp(ctx)
}

// giveUp ends the lease if this node holds it. The row stays: without it the next
// home would give out the whole burst again.
func (k *Keeper) giveUp(ctx context.Context) {
	k.mu.Lock()
	held, revision := k.ledger != nil, k.revision
	k.ledger, k.home = nil, Home{}
	k.mu.Unlock()
	if !held {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	k.Logger.Log("event", "lease of the rates given up", "revision", revision)
	value, err := json.Marshal(leaseRecord{Holder: k.Self.Node, Address: k.Self.Address, Incarnation: k.Incarnation})
	if err == nil {
		_, err = k.Table.Write(ctx, leaseKey, value, revision)
	}
	if err != nil {
		k.Logger.Log("event", "lease of the rates not given up", "err", err)
	}
}
