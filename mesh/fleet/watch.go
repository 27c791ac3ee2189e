package fleet

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"trefoildock.example/mesh/clock"
	"trefoildock.example/platform"
)

// watchOperator watches the operator's table. After a failure it cancels the pending
// watch of watchMembers, because its connection may have failed without an error.
func (s *State) watchOperator(ctx context.Context, refreshMembers chan<- struct{}, refreshOperator <-chan struct{}) {
	var after uint64
	var respondedAt clock.Instant // 0 before the first response
	reload := true
	s.retryWhileOpen(ctx, "operator", func(ctx context.Context) error {
		callCtx, cancel := cancelOn(ctx, refreshOperator)
		defer cancel()
		// The longer this node has had no confirmation, the sooner the store must respond: at
		// once after an outage or when the node begins to read the store.
		age, _ := s.ConfirmationAge()
		wait := max(0, operatorWatchWait-min(age, s.cfg.Clock().Sub(respondedAt)))
		changes, err := s.readOrWatch(callCtx, s.cfg.Operator, &reload, after, wait)
		if err != nil && callCtx.Err() != nil {
			return nil // Canceled by watchMembers or because this node follows another one.
		}
		if err != nil {
			s.storeUnavailable.Store(true)
			signal(refreshMembers)
			return err
		}
		full := reload
		if after != 0 && platform.Generation(changes.Revision) != platform.Generation(after) {
			signal(refreshMembers) // The pending watch may wait in the history before a restoration.
		}
		after, reload = changes.Revision, false
		s.storeUnavailable.Store(false)
		respondedAt = s.cfg.Clock()
		at := s.storeClock.observe(changes.Revision, changes.StoreTime)
		s.confirmedByStore.Store(int64(at))
		s.runAndWait(ctx, func() { s.applyOperator(changes, full); s.confirm(at) })
		return nil
	})
}

// cancelOn returns a context that ends on the next signal. It ignores a signal that is
// pending, because the call that follows is newer than its cause.
func cancelOn(ctx context.Context, signals <-chan struct{}) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	select {
	case <-signals:
	default:
	}
	go func() {
		select {
		case <-signals:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// signal sends without blocking. A signal that is already pending covers this one.
func signal(signals chan<- struct{}) {
	select {
	case signals <- struct{}{}:
	default:
	}
}

// errOperatorWatchFailed delays the watch of the members table until a call for the
// operator's table succeeds.
var errOperatorWatchFailed = errors.New("the last call for the operator's table failed")

// watchMembers reads the members table once and then watches it while the store gate is
// open. After a failure it restarts the watch of the operator's table, so that one loop
// detects and retries a store that is unavailable.
func (s *State) watchMembers(ctx context.Context, refreshMembers <-chan struct{}, refreshOperator chan<- struct{}) {
	if s.cfg.FirstStart {
		clock.Sleep(ctx, firstStartDelay)
	}
	var after uint64
	s.retry(ctx, "members", func(ctx context.Context) error {
		changes, err := s.cfg.Members.Read(ctx)
		if err == nil {
			after = changes.Revision
			s.storeClock.observe(changes.Revision, changes.StoreTime)
			s.runAndWait(ctx, func() { s.applyMembers(changes, true) })
			s.membersLoaded.Store(true)
		}
		return err
	})
	reload := false
	s.retryWhileOpen(ctx, "members", func(ctx context.Context) error {
		if s.storeUnavailable.Load() {
			return errOperatorWatchFailed
		}
		callCtx, cancel := cancelOn(ctx, refreshMembers)
		defer cancel()
		changes, err := s.readOrWatch(callCtx, s.cfg.Members, &reload, after, memberWatchWait)
		if err != nil && callCtx.Err() != nil {
			return errOperatorWatchFailed // Canceled by watchOperator or because this node follows another one.
		}
		if err != nil {
			signal(refreshOperator)
			return err
		}
		full := reload
		after, reload = changes.Revision, false
		s.storeClock.observe(changes.Revision, changes.StoreTime)
		s.enqueue(ctx, func() { s.applyMembers(changes, full) })
		if len(changes.Rows) > 0 || full {
			clock.Sleep(ctx, memberCoalesceDelay)
		}
		return nil
	})
}

// readOrWatch reads the full table if *reload is set, and otherwise waits for its next
// changes. It sets *reload if the store has discarded the history.
func (s *State) readOrWatch(ctx context.Context, t Table, reload *bool, after uint64, wait time.Duration) (platform.Changes, error) {
	if *reload {
		return t.Read(ctx)
	}
	changes, err := t.Watch(ctx, after, wait)
	if errors.Is(err, platform.ErrHistoryCompacted) {
		*reload = true
		return t.Read(ctx)
	}
	return changes, err
}

// retryWhileOpen calls f while the store gate is open, with exponential backoff after
// failures, and logs when the store becomes unreachable and reachable again.
func (s *State) retryWhileOpen(ctx context.Context, table string, f func(context.Context) error) {
	b := storeBackoff{state: s, table: table}
	for ctx.Err() == nil {
		s.storeGate.wait(ctx)
		callCtx, cancel := s.storeGate.whileOpen(ctx)
		err := errPanic
		s.cfg.Recovery.Do("table "+table, "", func() { err = f(callCtx) })
		closed := callCtx.Err() != nil
		cancel()
		if !closed { // Otherwise this node follows another one, or ctx has ended.
			b.after(ctx, err)
		}
	}
}

// retry calls f until it succeeds or ctx ends, with the backoff of retryWhileOpen.
func (s *State) retry(ctx context.Context, table string, f func(context.Context) error) {
	b := storeBackoff{state: s, table: table}
	for ctx.Err() == nil {
		err := errPanic
		s.cfg.Recovery.Do("table "+table, "", func() { err = f(ctx) })
		if err == nil {
			return
		}
		b.after(ctx, err)
	}
}

// errPanic is the result of a call whose handling has panicked.
var errPanic = errors.New("panic while a response of the store was handled")

// storeBackoff is the exponential backoff of the calls for one table.
type storeBackoff struct {
	state  *State
	table  string
	delay  time.Duration
	lostAt time.Time
}

// after logs a change of the state of the table and waits if the last call failed.
func (b *storeBackoff) after(ctx context.Context, err error) {
	logger := b.state.cfg.Logger
	if err == nil {
		if !b.lostAt.IsZero() {
			logger.Log("event", "store regained", "table", b.table, "after", time.Since(b.lostAt))
		}
		b.delay, b.lostAt = 0, time.Time{}
		return
	}
	if ctx.Err() != nil {
		return
	}
	if b.lostAt.IsZero() {
		b.lostAt = time.Now()
		logger.Log("event", "store lost", "table", b.table, "err", err)
	}
	limit := maxRetryDelay
	if b.state.membersLoaded.Load() && !b.state.isReader() {
		limit = maxNonReaderRetryDelay
	}
	b.delay = min(max(2*b.delay, minRetryDelay), limit)
	clock.Sleep(ctx, b.delay)
}
