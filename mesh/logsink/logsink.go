// Package logsink writes log lines in the background, so that a slow reader of
// the log never delays a request.
package logsink

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxPending bounds the lines that wait, in bytes. Lines beyond are dropped
	// and counted.
	maxPending = 256 << 10
	// flushInterval joins lines into one write.
	flushInterval = 100 * time.Millisecond
)

// Sink is an io.Writer that never blocks. Each Write is one line.
type Sink struct {
	out  io.Writer
	done chan struct{}
	wake chan struct{}

	mu      sync.Mutex
	pending []byte
	dropped int
	closed  bool
}

// New returns a sink that writes to out until Close.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, done: make(chan struct{}), wake: make(chan struct{}, 1)}
	go s.run()
	return s
}

// Write takes a copy of a line. It never fails and never waits.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	if s.closed || len(s.pending)+len(line) > maxPending {
		s.dropped++
	} else {
		s.pending = append(s.pending, line...)
	}
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Close writes what is left and ends the sink.
func (s *Sink) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
	<-s.done
}

func (s *Sink) run() {
	defer close(s.done)
	for range s.wake {
		s.mu.Lock()
		closed := s.closed
		s.mu.Unlock()
		if !closed {
			time.Sleep(flushInterval)
		}
		if s.flush() {
			return
		}
	}
}

// flush writes the waiting lines and reports whether the sink is closed.
func (s *Sink) flush() (closed bool) {
	s.mu.Lock()
	batch, dropped := s.pending, s.dropped
	s.pending, s.dropped, closed = nil, 0, s.closed
	s.mu.Unlock()
	if dropped > 0 {
		batch = fmt.Appendf(batch, "event=\"log lines dropped\" count=%d\n", dropped)
	}
	if len(batch) > 0 {
		_, _ = s.out.Write(batch) // There is no other place to report a failed log.
	}
	return closed
}
