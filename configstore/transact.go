package configstore

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"trefoildock.example/platform"
)

// maxAttempts bounds the attempts of a write whose outcome is unknown.
const maxAttempts = 4

// transact applies the transaction and reports whether it took effect, in this
// call or before. Repeating it is safe, because it checks the head row. After an
// unknown outcome, landed tells whether it took effect; if it did not, the first
// write may still be on its way, and only a repeated write settles the matter.
func (s *Store) transact(ctx context.Context, tx platform.Transaction, landed func(context.Context) (bool, error)) (bool, error) {
	delay := s.options.RetryDelay
	uncertain := false
	var err error
	for attempt := range maxAttempts {
		if attempt > 0 && !sleep(ctx, delay<<(attempt-1)) {
			break
		}
		_, err = s.table.Transact(ctx, tx)
		var conflict *platform.ConflictError
		switch {
		case err == nil:
			return true, nil
		case errors.As(err, &conflict):
			found, readErr := landed(ctx)
			if readErr == nil {
				return found, nil
			}
			err = readErr
			if !uncertain && !errors.Is(readErr, platform.ErrUnavailable) {
				return false, readErr
			}
		case errors.Is(err, platform.ErrOutcomeUnknown):
			uncertain = true
			if found, readErr := landed(ctx); readErr == nil && found {
				return true, nil
			}
		case !uncertain:
			return false, err
		}
	}
	if uncertain {
		// The last error must not match ErrUnavailable, which means "no effect".
		return false, errors.Wrapf(platform.ErrOutcomeUnknown, "commit, last error: %v", err)
	}
	return false, err
}

// sleep waits and reports whether the context is still alive.
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
