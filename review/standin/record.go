package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the record of a run: what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(name string) (*record, error) {
	f, err := os.Create(name)
	if err != nil {
		return nil, err
	}
	return &record{file: f, started: time.Now()}, nil
}

// write writes one line with the time in seconds since the start.
func (r *record) write(at time.Time, event, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f %-8s %s\n", at.Sub(r.started).Seconds(), event, fmt.Sprintf(format, args...))
}

// note writes a line to the record and to standard output.
func (r *record) note(format string, args ...any) {
	r.write(time.Now(), "note", format, args...)
	fmt.Printf(format+"\n", args...)
}
