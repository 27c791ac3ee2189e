package measures

import (
	"context"
	"runtime"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// row is an entry and the experiment that fills it in.
type row struct {
	entry   Entry
	measure func(ctx context.Context, e *Entry) error
	// untilEnd marks an experiment that uses the time left after all others.
	untilEnd bool
}

// Run measures every row and returns the entries in the order of the design page.
func Run(ctx context.Context, o Options) []Entry {
	end := time.Now().Add(o.Time)
	moves := startZoneMoves(ctx, o, end)
	var rows []row
	for _, w := range Workloads() {
		rows = append(rows, detectionRows(w, o)...)
		rows = append(rows, falseEjectionRows(w, o, end)...)
		rows = append(rows, worstTeamRows(w, o)...)
		rows = append(rows, refusalRows(w, o)...)
		rows = append(rows, overspendRows(w, o)...)
		rows = append(rows, zoneMoveRows(w, o, moves)...)
	}
	entries := make([]Entry, len(rows))
	for _, untilEnd := range []bool{false, true} {
		var wg sync.WaitGroup
		limit := make(chan struct{}, max(len(rows), runtime.GOMAXPROCS(0)))
		if !untilEnd {
			limit = make(chan struct{}, runtime.GOMAXPROCS(0))
		}
		for i, r := range rows {
			if r.untilEnd != untilEnd {
				continue
			}
			wg.Go(func() {
				limit <- struct{}{}
				defer func() { <-limit }()
				entries[i] = r.run(ctx)
			})
		}
		wg.Wait()
	}
	return entries
}

// run measures one row. A panic of an experiment becomes the note of its entry.
func (r row) run(ctx context.Context) (e Entry) {
	e = r.entry
	defer func() {
		if p := recover(); p != nil {
			e = r.entry.failed(errors.Newf("experiment panicked: %v", p))
		}
	}()
	if err := r.measure(ctx, &e); err != nil {
		return r.entry.failed(err)
	}
	return e
}
