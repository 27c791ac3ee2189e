// Package logsink writes log lines in the background, so that a slow log output
// never delays a request.
package logsink

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxPendingBytes bounds the buffer of pending lines. Lines that do not fit are
	// dropped and counted.
	maxPendingBytes = 256 << 10
	// flushInterval is the time for which lines are batched into one write.
	flushInterval = 100 * time.Millisecond
)

// Sink is an io.Writer that never blocks. Each call of Write passes one line.
type Sink struct {
	out    io.Writer
	done   chan struct{}
	wakeup chan struct{}

	mu      sync.Mutex
	pending []byte
	dropped int
	closed  bool
}

// New returns a sink that writes to out until Close is called.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, done: make(chan struct{}), wakeup: make(chan struct{}, 1)}
	go s.run()
	return s
}

// Write buffers a copy of a line. It never fails and never blocks.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	if s.closed || len(s.pending)+len(line) > maxPendingBytes {
		s.dropped++
	} else {
		s.pending = append(s.pending, line...)
	}
	s.mu.Unlock()
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Close writes the pending lines and stops the sink.
func (s *Sink) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
	<-s.done
}

func (s *Sink) run() {
	defer close(s.done)
	for range s.wakeup {
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

// flush writes the pending lines and reports whether the sink is closed.
func (s *Sink) flush() (closed bool) {
	s.mu.Lock()
	batch, dropped := s.pending, s.dropped
	s.pending, s.dropped, closed = nil, 0, s.closed
	s.mu.Unlock()
	if dropped > 0 {
		batch = fmt.Appendf(batch, "event=\"log lines dropped\" count=%d\n", dropped)
	}
	if len(batch) > 0 {
		_, _ = s.out.Write(batch) // A failed write of the log cannot be reported anywhere else.
	}
	return closed
}
