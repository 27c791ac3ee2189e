package link

import (
	"net"
	"sync"
	"time"
)

const (
	// maxBatchBytes is the amount of unwritten data at which Write blocks, so that
	// yamux sees a connection that takes nothing.
	maxBatchBytes = 128 << 10
	// closeFlushTimeout bounds the time to write what is left when a connection closes.
	closeFlushTimeout = 100 * time.Millisecond
)

// batchConn writes in the background and joins writes that arrive meanwhile.
// yamux writes header and body of each frame separately and waits for both,
// which costs two system calls per frame. An error of the connection is returned
// by a later Write; yamux reads the same connection and meets it there too.
type batchConn struct {
	net.Conn
	done chan struct{}

	mu      sync.Mutex
	changed sync.Cond
	pending []byte
	writing bool
	closed  bool
	err     error
}

func newBatchConn(c net.Conn) *batchConn {
	b := &batchConn{Conn: c, done: make(chan struct{})}
	b.changed.L = &b.mu
	go b.run()
	return b
}

// Write takes a copy of p.
func (b *batchConn) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.pending) > maxBatchBytes && b.err == nil && !b.closed {
		b.changed.Wait()
	}
	if b.err != nil {
		return 0, b.err
	}
	if b.closed {
		return 0, net.ErrClosed
	}
	b.pending = append(b.pending, p...)
	if !b.writing {
		b.changed.Broadcast()
	}
	return len(p), nil
}

// Close writes what is left, for a short time, and closes the connection.
func (b *batchConn) Close() error {
	b.mu.Lock()
	b.closed = true
	b.changed.Broadcast()
	b.mu.Unlock()
	_ = b.SetWriteDeadline(time.Now().Add(closeFlushTimeout))
	<-b.done
	return b.Conn.Close()
}

// run writes until the connection fails or is closed.
func (b *batchConn) run() {
	defer close(b.done)
	var spare []byte
	for {
		b.mu.Lock()
		for len(b.pending) == 0 && !b.closed {
			b.changed.Wait()
		}
		batch := b.pending
		b.pending, b.writing = spare[:0], true
		b.mu.Unlock()
		if len(batch) == 0 {
			return
		}
		_, err := b.Conn.Write(batch)
		b.mu.Lock()
		b.writing, b.err = false, err
		b.changed.Broadcast()
		b.mu.Unlock()
		if err != nil {
			return
		}
		if spare = batch; cap(spare) > 2*maxBatchBytes {
			spare = nil
		}
	}
}
