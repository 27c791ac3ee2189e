package measures

import (
	"context"
	"runtime"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// row is an entry and the experiment that measures its values.
type row struct {
	entry   Entry
	measure func(ctx context.Context, e *Entry) error
	// usesRemainingTime marks an experiment that starts after all others and uses
	// the time that remains until the deadline.
	usesRemainingTime bool
}

// Run measures every row and returns the entries in the order of the design page.
func Run(ctx context.Context, o Options) []Entry {
	deadline := time.Now().Add(o.TimeLimit)
	moves := startZoneMoves(ctx, o, deadline)
	var rows []row
	for _, w := range Workloads() {
		rows = append(rows, detectionRows(w, o)...)
		rows = append(rows, falseEjectionRows(w, o, deadline)...)
		rows = append(rows, worstTeamRows(w, o)...)
		rows = append(rows, refusalRows(w, o)...)
		rows = append(rows, overspendRows(w, o)...)
		rows = append(rows, zoneMoveRows(w, o, moves)...)
	}
	entries := make([]Entry, len(rows))
	for _, usesRemainingTime := range []bool{false, true} {
		var wg sync.WaitGroup
		semaphore := make(chan struct{}, max(len(rows), runtime.GOMAXPROCS(0)))
		if !usesRemainingTime {
			semaphore = make(chan struct{}, runtime.GOMAXPROCS(0))
		}
		for i, r := range rows {
			if r.usesRemainingTime != usesRemainingTime {
				continue
			}
			wg.Go(func() {
				semaphore <- struct{}{}
				defer func() { <-semaphore }()
				entries[i] = r.run(ctx)
			})
		}
		wg.Wait()
	}
	return entries
}

// run measures one row. An error or a panic of the experiment is recorded in the
// note of the entry.
func (r row) run(ctx context.Context) (e Entry) {
	e = r.entry
	defer func() {
		if p := recover(); p != nil {
			e = r.entry.withError(errors.Newf("experiment panicked: %v", p))
		}
	}()
	if err := r.measure(ctx, &e); err != nil {
		return r.entry.withError(err)
	}
	return e
}
