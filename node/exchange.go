package node

import (
	"io"
	"sync"

	"trefoildock.example/verdict"
	"trefoildock.example/wire"
)

// exchange is one request stream between an entry and an owner. *link.Stream
// implements it; localExchange does for an owner in the same process.
type exchange interface {
	Send(es ...*wire.Envelope) error
	Recv() (*wire.Envelope, error)
	Close() error
}

// localBuffer bounds the envelopes in flight inside one process. With chunks
// of 32 KiB it holds at most 128 KiB in each direction.
const localBuffer = 4

// localExchange is one end of an in-process exchange.
type localExchange struct {
	out, in  chan *wire.Envelope
	closed   chan struct{}
	peerDone chan struct{}
	once     *sync.Once
}

// newLocalExchange returns the two ends of an in-process exchange.
func newLocalExchange() (entry, owner *localExchange) {
	there, back := make(chan *wire.Envelope, localBuffer), make(chan *wire.Envelope, localBuffer)
	entryDone, ownerDone := make(chan struct{}), make(chan struct{})
	entry = &localExchange{out: there, in: back, closed: entryDone, peerDone: ownerDone, once: new(sync.Once)}
	owner = &localExchange{out: back, in: there, closed: ownerDone, peerDone: entryDone, once: new(sync.Once)}
	return entry, owner
}

// Send passes the envelopes to the other end.
func (x *localExchange) Send(es ...*wire.Envelope) error {
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
func (x *localExchange) Recv() (*wire.Envelope, error) {
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
func (x *localExchange) Close() error {
	x.once.Do(func() { close(x.closed) })
	return nil
}

func offerEnvelope(o *wire.Offer) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_Offer{Offer: o}}
}

func chunkEnvelope(data []byte, last bool) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_Chunk{Chunk: &wire.Chunk{Data: data, Last: last}}}
}

func admittedEnvelope(load *wire.Load) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_Admitted{Admitted: &wire.Admitted{Load: load}}}
}

func commitEnvelope() *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_Commit{Commit: &wire.Commit{}}}
}

func headEnvelope(h *wire.Head) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_Head{Head: h}}
}

func endEnvelope(e *wire.End) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_End{End: e}}
}

func answerEnvelope(a *wire.Answer) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_Answer{Answer: a}}
}

func abortEnvelope(e *verdict.Error, load *wire.Load) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_Abort{Abort: &wire.Abort{
		Verdict:      wire.VerdictTo(e.Verdict),
		Status:       uint32(e.Status),
		Code:         e.Code,
		Detail:       e.Detail,
		RetryAfterUs: e.RetryAfter.Microseconds(),
		Load:         load,
	}}}
}
