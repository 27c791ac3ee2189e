package process

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"trefoildock.example/platform"
)

const (
	// batchDelay is how long the first row of a batch waits for others. All nodes of a zone
	// write their rows within some hundred milliseconds when the fleet restarts.
	batchDelay = 25 * time.Millisecond
	// batchWriteTimeout bounds the write of a row in a batch. The store responds within
	// 12 ms, and within 0.9 s when it is slow.
	batchWriteTimeout = 1100 * time.Millisecond
	// maxBatchAttempts bounds the transactions for one batch. Each failed one removes the
	// rows that are not at their expected revision.
	maxBatchAttempts = 3
)

// rowBatch gathers writes of rows and writes them in few transactions.
type rowBatch struct {
	write func(ctx context.Context, writes []platform.RowWrite) (platform.WriteResult, error)

	mu      sync.Mutex
	pending []*pendingRow
}

type pendingRow struct {
	platform.RowWrite
	result chan rowResult
}

type rowResult struct {
	written platform.WriteResult
	err     error
}

// Write writes a row together with others. Its errors are those of platform.Rows.Write; if
// ctx ends first, the outcome is unknown.
func (b *rowBatch) Write(ctx context.Context, w platform.RowWrite) (platform.WriteResult, error) {
	p := &pendingRow{RowWrite: w, result: make(chan rowResult, 1)}
	b.add(p)
	select {
	case r := <-p.result:
		return r.written, r.err
	case <-ctx.Done():
		return platform.WriteResult{}, errors.Mark(ctx.Err(), platform.ErrOutcomeUnknown)
	}
}

func (b *rowBatch) add(p *pendingRow) {
	b.mu.Lock()
	defer b.mu.Unlock()
	// A transaction holds a key once; the second write of a key belongs to the next batch.
	if len(b.pending) == platform.MaxBatchRows || slices.ContainsFunc(b.pending, func(o *pendingRow) bool { return o.Key == p.Key }) {
		go b.flush(b.pending)
		b.pending = nil
	}
	b.pending = append(b.pending, p)
	if len(b.pending) == 1 {
		time.AfterFunc(batchDelay, b.flushPending)
	}
}

func (b *rowBatch) flushPending() {
	b.mu.Lock()
	rows := b.pending
	b.pending = nil
	b.mu.Unlock()
	b.flush(rows)
}

// flush writes the rows. Rows that are not at their expected revision are left out of the
// next attempt.
func (b *rowBatch) flush(rows []*pendingRow) {
	ctx, cancel := context.WithTimeout(context.Background(), batchWriteTimeout)
	defer cancel()
	result := rowResult{err: errors.Wrap(platform.ErrUnavailable, "rows of the batch conflict repeatedly")}
	for range maxBatchAttempts {
		if len(rows) == 0 {
			return
		}
		writes := make([]platform.RowWrite, 0, len(rows))
		for _, p := range rows {
			writes = append(writes, p.RowWrite)
		}
		written, err := b.write(ctx, writes)
		var conflict *platform.ConflictError
		if !errors.As(err, &conflict) {
			result = rowResult{written, err}
			break
		}
		rows = slices.DeleteFunc(rows, func(p *pendingRow) bool {
			conflicts := slices.Contains(conflict.Keys, p.Key)
			if conflicts {
				p.result <- rowResult{err: &platform.ConflictError{Key: p.Key}}
			}
			return conflicts
		})
	}
	for _, p := range rows {
		p.result <- result
	}
}
