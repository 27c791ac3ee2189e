package node

import (
	"bytes"
	"crypto/sha256"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"trefoildock.example/crashguard"
	"trefoildock.example/link"
	"trefoildock.example/verdict"
	"trefoildock.example/wire"
)

// bufferBytes is the number of body bytes that a node buffers. A request body
// up to this size can be resent; a response up to this size is passed to the
// caller only once it is complete.
const bufferBytes = 64 << 10

// request is a caller's request that is forwarded to an owner.
type request struct {
	id         string
	route      string
	service    string
	team       string
	teamWeight uint32
	method     string
	target     string
	host       string
	fields     []*wire.Field
	idempotent bool
	// idempotencyKey is empty if the caller sent none.
	idempotencyKey string
	fingerprint    []byte
	body           *requestBody
}

// requestFingerprint identifies requests with equal content. It includes the
// target, because a route covers many resources and only one of them may crash
// backend servers.
func requestFingerprint(r *request) []byte {
	digest := sha256.Sum256(r.body.prefix)
	f := crashguard.NewFingerprint(r.route+"\x00"+r.target, r.method, digest[:], r.idempotencyKey)
	return f[:]
}

// offer returns the wire form of the request, with the time remaining until
// deadline.
func (r *request) offer(deadline time.Time) *wire.Offer {
	return &wire.Offer{
		RequestId: r.id, Service: r.service, Team: r.team, TeamWeight: r.teamWeight,
		Method: r.method, Target: r.target, Host: r.host, Fields: r.fields,
		TimeoutUs: time.Until(deadline).Microseconds(), Idempotent: r.idempotent,
		TwoPhase: r.twoPhase(), ContentLength: r.body.length,
		Fingerprint: r.fingerprint, IdempotencyKey: r.idempotencyKey,
	}
}

// twoPhase reports whether the request needs a reservation before it is sent.
// This includes a body that can be read only once, so that a refusal does not
// consume it.
func (r *request) twoPhase() bool { return !r.idempotent || r.body.remainder != nil }

// requestBody is a request body: a buffered prefix and, for longer bodies, a
// remainder that can be read only once.
type requestBody struct {
	prefix []byte
	// remainder is nil if prefix is the complete body.
	remainder io.Reader
	// length is the declared length in bytes, or -1 if unknown.
	length int64

	mu sync.Mutex
	// consumed is set once reading remainder has started.
	consumed bool
	// failure is set if reading remainder failed.
	failure *verdict.Error
}

// readBody buffers the start of a body. An error means that the body is
// incomplete or too large; no part of the request has been sent at this point.
func readBody(body io.Reader, length int64) (*requestBody, error) {
	b := &requestBody{length: length}
	if length == 0 || body == nil {
		b.length = 0
		return b, nil
	}
	var buf bytes.Buffer
	if length > 0 && length <= bufferBytes {
		buf.Grow(int(length) + bytes.MinRead)
	}
	n, err := io.Copy(&buf, io.LimitReader(body, bufferBytes+1))
	if err != nil {
		return nil, err
	}
	b.prefix = buf.Bytes()
	if n > bufferBytes {
		b.remainder = body
	} else {
		b.length = n
	}
	return b, nil
}

// replayable reports whether the body can be resent from its start.
func (b *requestBody) replayable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.remainder == nil || !b.consumed
}

// readError returns the error from reading the rest of the body, or nil. The
// request may already have been sent.
func (b *requestBody) readError() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failure == nil {
		return nil
	}
	return b.failure
}

func (b *requestBody) setReadError(err error) {
	e := bodyError(err)
	e.Verdict = verdict.MayHaveRun
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failure = e
}

// bodySender sends the body within one attempt.
type bodySender struct {
	*requestBody
	revoked bool // guarded by mu
}

// revoke prevents the attempt from reading remainder, which remains available
// to a later attempt.
func (s *bodySender) revoke() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revoked = true
}

func (s *bodySender) acquireRemainder() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.revoked || s.consumed {
		return false
	}
	s.consumed = true
	return true
}

// errBodyConsumed is returned if another attempt has already consumed the rest
// of the body.
var errBodyConsumed = errors.New("the request body was consumed by another attempt")

// send writes the body as chunks. The envelopes in first are sent together with
// the first chunk.
func (s *bodySender) send(x link.Exchange, first ...*wire.Envelope) error {
	if s.length == 0 {
		return sendAll(x, first)
	}
	complete := s.remainder == nil
	if len(s.prefix) <= wire.ChunkBytes {
		if err := x.Send(append(first, wire.ChunkEnvelope(s.prefix, complete))...); err != nil {
			return err
		}
	} else if err := s.sendPrefix(x, first); err != nil {
		return err
	}
	if complete {
		return nil
	}
	if !s.acquireRemainder() {
		return errBodyConsumed
	}
	return s.sendRemainder(x)
}

func sendAll(x link.Exchange, es []*wire.Envelope) error {
	if len(es) == 0 {
		return nil
	}
	return x.Send(es...)
}

func (s *bodySender) sendPrefix(x link.Exchange, first []*wire.Envelope) error {
	if err := sendAll(x, first); err != nil {
		return err
	}
	for data := s.prefix; len(data) > 0; {
		n := min(len(data), wire.ChunkBytes)
		last := n == len(data) && s.remainder == nil
		if err := x.Send(wire.ChunkEnvelope(data[:n], last)); err != nil {
			return err
		}
		data = data[n:]
	}
	return nil
}

// sendRemainder streams the unbuffered part of the body. The last chunk is sent
// only after the caller has sent the complete body.
func (s *bodySender) sendRemainder(x link.Exchange) error {
	for {
		buf := make([]byte, wire.ChunkBytes) // Not reused, because an in-process exchange retains it.
		n, err := readChunk(s.remainder, buf, true)
		if errors.Is(err, io.EOF) {
			return x.Send(wire.ChunkEnvelope(buf[:n], true))
		}
		if err != nil {
			s.setReadError(err)
			return err
		}
		if err := x.Send(wire.ChunkEnvelope(buf[:n], false)); err != nil {
			return err
		}
	}
}

// response is the response of an owner. If complete is set, prefix holds the
// whole body; otherwise it holds the start of the body, and remainder reads the
// rest from the exchange.
type response struct {
	head      *wire.Head
	prefix    []byte
	complete  bool
	remainder *responseReader
	// release releases the context of the attempt that produced the response; it
	// may be nil.
	release func()
}

// responseReader reads a response body. The body is complete only after the
// owner has confirmed its end and its length.
type responseReader struct {
	x          link.Exchange
	updateLoad func(*wire.Load)
	// declared is the body length given in the head, or -1 if unknown.
	declared int64
	pending  []byte
	received int64
	complete bool
}

// copyTo copies the rest of the body to w. It returns a *verdict.Error or an
// error from w.
func (r *responseReader) copyTo(w io.Writer) error {
	for {
		if len(r.pending) > 0 {
			if _, err := w.Write(r.pending); err != nil {
				return err
			}
			r.pending = nil
		}
		if r.complete {
			return nil
		}
		if err := r.next(); err != nil {
			return err
		}
	}
}

func (r *responseReader) next() error {
	e, err := r.x.Recv()
	if err != nil {
		return verdict.NewMayHaveRun("link-lost", "the link to the owner failed before the answer was complete", err)
	}
	switch m := e.GetBody().(type) {
	case *wire.Envelope_Chunk:
		r.pending = m.Chunk.GetData()
		r.received += int64(len(r.pending))
		return nil
	case *wire.Envelope_End:
		r.updateLoad(m.End.GetLoad())
		if m.End.GetBodyBytes() != r.received || r.declared >= 0 && r.declared != r.received {
			return verdict.NewMayHaveRun("answer-cut", "the answer is shorter than the owner sent it", nil)
		}
		r.complete = true
		return nil
	case *wire.Envelope_Abort:
		r.updateLoad(m.Abort.GetLoad())
		return wire.AbortError(m.Abort)
	default:
		return verdict.NewMayHaveRun("protocol", "unexpected message in an answer", nil)
	}
}
