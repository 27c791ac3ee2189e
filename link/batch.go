package link

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxBatchBytes is the amount of pending data above which Write blocks, so that
	// the write timeout of yamux detects a stalled connection.
	maxBatchBytes = 128 << 10
	// closeFlushTimeout bounds the time to flush pending data when a connection closes.
	closeFlushTimeout = 100 * time.Millisecond
)

// batchConn is a net.Conn that writes in a background goroutine and combines the
// data of Write calls that arrive during a write. It avoids the two system calls
// per frame of yamux, which writes the header and the body of a frame separately
// and waits for both. A write error of the connection is returned by a later
// Write; yamux also gets an error from its reads of the same connection.
type batchConn struct {
	net.Conn
	done chan struct{}
	// lastRead is the time of the last byte that was read, in Unix nanoseconds.
	lastRead atomic.Int64

	mu           sync.Mutex
	stateChanged sync.Cond
	pending      []byte
	writing      bool
	closed       bool
	err          error
}

func newBatchConn(c net.Conn) *batchConn {
	b := &batchConn{Conn: c, done: make(chan struct{})}
	b.stateChanged.L = &b.mu
	go b.writeLoop()
	return b
}

// Read reads from the connection.
func (b *batchConn) Read(p []byte) (int, error) {
	n, err := b.Conn.Read(p)
	if n > 0 {
		b.lastRead.Store(time.Now().UnixNano())
	}
	return n, err
}

// Write copies p to the pending data and returns without waiting for the
// connection, unless too much data is pending.
func (b *batchConn) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.pending) > maxBatchBytes && b.err == nil && !b.closed {
		b.stateChanged.Wait()
	}
	if b.err != nil {
		return 0, b.err
	}
	if b.closed {
		return 0, net.ErrClosed
	}
	b.pending = append(b.pending, p...)
	if !b.writing {
		b.stateChanged.Broadcast()
	}
	return len(p), nil
}

// Close flushes the pending data, for at most closeFlushTimeout, and closes the
// connection.
func (b *batchConn) Close() error {
	b.mu.Lock()
	b.closed = true
	b.stateChanged.Broadcast()
	b.mu.Unlock()
	_ = b.SetWriteDeadline(time.Now().Add(closeFlushTimeout))
	<-b.done
	return b.Conn.Close()
}

// writeLoop writes the pending data until a write fails or the connection is closed.
func (b *batchConn) writeLoop() {
	defer close(b.done)
	var spare []byte
	for {
		b.mu.Lock()
		for len(b.pending) == 0 && !b.closed {
			b.stateChanged.Wait()
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
		b.stateChanged.Broadcast()
		b.mu.Unlock()
		if err != nil {
			return
		}
		if spare = batch; cap(spare) > 2*maxBatchBytes {
			spare = nil
		}
	}
}
