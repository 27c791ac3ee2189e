package link

import (
	"io"
	"sync"

	"trefoildock.example/wire"
)

// Exchange is one request stream between an entry and an owner. *Stream
// implements it; NewLocalExchange does for an owner in the same process.
type Exchange interface {
	// Send passes the envelopes to the other end.
	Send(es ...*wire.Envelope) error
	// Recv returns the next envelope, or io.EOF when the other end is closed.
	Recv() (*wire.Envelope, error)
	// Close ends both directions for this end.
	Close() error
}

// localBuffer bounds the envelopes in flight inside one process. With chunks
// of 32 KiB it holds at most 128 KiB in each direction.
const localBuffer = 4

// LocalExchange is one end of an in-process exchange.
type LocalExchange struct {
	out, in  chan *wire.Envelope
	closed   chan struct{}
	peerDone chan struct{}
	once     *sync.Once
}

// NewLocalExchange returns the two ends of an in-process exchange.
func NewLocalExchange() (entry, owner *LocalExchange) {
	there, back := make(chan *wire.Envelope, localBuffer), make(chan *wire.Envelope, localBuffer)
	entryDone, ownerDone := make(chan struct{}), make(chan struct{})
	entry = &LocalExchange{out: there, in: back, closed: entryDone, peerDone: ownerDone, once: new(sync.Once)}
	owner = &LocalExchange{out: back, in: there, closed: ownerDone, peerDone: entryDone, once: new(sync.Once)}
	return entry, owner
}

// Send passes the envelopes to the other end.
func (x *LocalExchange) Send(es ...*wire.Envelope) error {
	for _, e := range es {
		select {
		case <-x.peerDone:
			return io.ErrClosedPipe
		case <-x.closed:
			return io.ErrClosedPipe
		case x.out <- e:
		}
	}
	return nil
}

// Recv returns the next envelope, or io.EOF once the other end is closed and
// everything it sent has been read.
func (x *LocalExchange) Recv() (*wire.Envelope, error) {
	select {
	case e := <-x.in:
		return e, nil
	default:
	}
	select {
	case e := <-x.in:
		return e, nil
	case <-x.closed:
		return nil, io.ErrClosedPipe
	case <-x.peerDone:
	}
	select {
	case e := <-x.in:
		return e, nil
	default:
		return nil, io.EOF
	}
}

// Close ends both directions for this end.
func (x *LocalExchange) Close() error {
	x.once.Do(func() { close(x.closed) })
	return nil
}
