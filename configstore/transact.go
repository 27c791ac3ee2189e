package configstore

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"trefoildock.example/platform"
)

// maxTransactAttempts bounds the attempts to write a transaction whose outcome is
// unknown.
const maxTransactAttempts = 4

// transact executes the transaction and reports whether it took effect, in this
// call or an earlier one. The transaction checks the head row, so retries are safe.
// After an unknown outcome, isCommitted reports whether the transaction took effect.
// If it did not, the earlier write may still be in flight; a retry determines the
// outcome, because at most one of the two writes passes the check.
func (s *Store) transact(ctx context.Context, tx platform.Transaction, isCommitted func(context.Context) (bool, error)) (bool, error) {
	delay := s.options.RetryDelay
	outcomeUnknown := false
	var err error
	for attempt := range maxTransactAttempts {
		if attempt > 0 && !sleep(ctx, delay<<(attempt-1)) {
			break
		}
		_, err = s.table.Transact(ctx, tx)
		var conflict *platform.ConflictError
		switch {
		case err == nil:
			return true, nil
		case errors.As(err, &conflict):
			found, readErr := isCommitted(ctx)
			if readErr == nil {
				return found, nil
			}
			err = readErr
			if !outcomeUnknown && !errors.Is(readErr, platform.ErrUnavailable) {
				return false, readErr
			}
		case errors.Is(err, platform.ErrOutcomeUnknown):
			outcomeUnknown = true
			if found, readErr := isCommitted(ctx); readErr == nil && found {
				return true, nil
			}
		case !outcomeUnknown:
			return false, err
		}
	}
	if outcomeUnknown {
		// The last error is formatted, not wrapped: it must not match ErrUnavailable,
		// which means that nothing was written.
		return false, errors.Wrapf(platform.ErrOutcomeUnknown, "commit (last error: %v)", err)
	}
	return false, err
}

// sleep waits for the duration. It returns false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
