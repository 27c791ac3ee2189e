package link

import (
	"io"
	"sync"

	"trefoildock.example/wire"
)

// Exchange is one request stream between an entry node and an owner node. *Stream
// implements it over the network, *LocalExchange within one process.
type Exchange interface {
	// Send sends the envelopes to the other end.
	Send(es ...*wire.Envelope) error
	// Recv returns the next envelope, or io.EOF if the other end is closed.
	Recv() (*wire.Envelope, error)
	// Close closes both directions of this end.
	Close() error
}

// localBufferEnvelopes is the number of envelopes that are buffered in each
// direction of an in-process exchange. With chunks of 32 KiB, this is at most 128 KiB.
const localBufferEnvelopes = 4

// LocalExchange is one end of an in-process exchange.
type LocalExchange struct {
	out, in    chan *wire.Envelope
	closed     chan struct{}
	peerClosed chan struct{}
	once       *sync.Once
}

// NewLocalExchange returns the two connected ends of an in-process exchange.
func NewLocalExchange() (entry, owner *LocalExchange) {
	toOwner, toEntry := make(chan *wire.Envelope, localBufferEnvelopes), make(chan *wire.Envelope, localBufferEnvelopes)
	entryClosed, ownerClosed := make(chan struct{}), make(chan struct{})
	entry = &LocalExchange{out: toOwner, in: toEntry, closed: entryClosed, peerClosed: ownerClosed, once: new(sync.Once)}
	owner = &LocalExchange{out: toEntry, in: toOwner, closed: ownerClosed, peerClosed: entryClosed, once: new(sync.Once)}
	return entry, owner
}

// Send sends the envelopes to the other end. It blocks while the buffer is full
// and returns io.ErrClosedPipe if either end is closed.
func (x *LocalExchange) Send(es ...*wire.Envelope) error {
	for _, e := range es {
		select {
		case <-x.peerClosed:
			return io.ErrClosedPipe
		case <-x.closed:
			return io.ErrClosedPipe
		case x.out <- e:
		}
	}
	return nil
}

// Recv returns the next envelope. It returns io.EOF if the other end is closed
// and all envelopes that it sent have been received.
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
	case <-x.peerClosed:
	}
	select {
	case e := <-x.in:
		return e, nil
	default:
		return nil, io.EOF
	}
}

// Close closes both directions of this end. It is safe to call more than once.
func (x *LocalExchange) Close() error {
	x.once.Do(func() { close(x.closed) })
	return nil
}
