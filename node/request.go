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

// bufferBytes is the part of a request or response body that a node holds in
// memory. A body up to this size can be sent again; a response up to this size
// reaches the caller only when it is complete.
const bufferBytes = 64 << 10

// request is one request of a caller on its way to an owner.
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

// requestFingerprint identifies equal requests. The target belongs to it, because
// a route covers many resources and only one of them may crash backend servers.
func requestFingerprint(r *request) []byte {
	digest := sha256.Sum256(r.body.prefix)
	f := crashguard.NewFingerprint(r.route+"\x00"+r.target, r.method, digest[:], r.idempotencyKey)
	return f[:]
}

// offer returns the wire form of the request with the time left until deadline.
func (r *request) offer(deadline time.Time) *wire.Offer {
	return &wire.Offer{
		RequestId: r.id, Service: r.service, Team: r.team, TeamWeight: r.teamWeight,
		Method: r.method, Target: r.target, Host: r.host, Fields: r.fields,
		TimeoutUs: time.Until(deadline).Microseconds(), Idempotent: r.idempotent,
		TwoPhase: r.twoPhase(), ContentLength: r.body.length,
		Fingerprint: r.fingerprint, IdempotencyKey: r.idempotencyKey,
	}
}

// twoPhase reports whether the request is offered before it is sent. A body that
// can be sent only once is offered as well, so that a refusal does not use it up.
func (r *request) twoPhase() bool { return !r.idempotent || r.body.rest != nil }

// requestBody is the body of a request: the buffered prefix and, if the body is
// longer, the rest that can be read only once.
type requestBody struct {
	prefix []byte
	// rest is nil if prefix is the whole body.
	rest io.Reader
	// length is the declared length in bytes; -1 if unknown.
	length int64

	mu sync.Mutex
	// consumed is set once rest has been read from.
	consumed bool
	// failure is set when rest could not be read to its end.
	failure *verdict.Error
}

// readBody buffers the start of a body. A read error means that the caller's
// body is incomplete or too large, and nothing has been sent anywhere.
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
		b.rest = body
	} else {
		b.length = n
	}
	return b, nil
}

// replayable reports whether the body can be sent again from its start.
func (b *requestBody) replayable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rest == nil || !b.consumed
}

// failed returns why the rest of the body could not be read, or nil. The request
// has been sent by then.
func (b *requestBody) failed() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failure == nil {
		return nil
	}
	return b.failure
}

func (b *requestBody) fail(err error) {
	e := bodyError(err)
	e.Verdict = verdict.MayHaveRun
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failure = e
}

// bodySender sends a body in one attempt.
type bodySender struct {
	*requestBody
	revoked bool // guarded by mu
}

// revoke keeps the attempt from reading rest, which is left to a later attempt.
func (s *bodySender) revoke() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revoked = true
}

func (s *bodySender) claimRest() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.revoked || s.consumed {
		return false
	}
	s.consumed = true
	return true
}

// errBodyUsed reports a body whose rest belongs to another attempt.
var errBodyUsed = errors.New("the body was sent by another attempt")

// send writes the body as chunks. first is sent together with the first chunk.
func (s *bodySender) send(x link.Exchange, first ...*wire.Envelope) error {
	if s.length == 0 {
		return sendAll(x, first)
	}
	whole := s.rest == nil
	if len(s.prefix) <= wire.ChunkBytes {
		if err := x.Send(append(first, wire.ChunkEnvelope(s.prefix, whole))...); err != nil {
			return err
		}
	} else if err := s.sendPrefix(x, first); err != nil {
		return err
	}
	if whole {
		return nil
	}
	if !s.claimRest() {
		return errBodyUsed
	}
	return s.sendRest(x)
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
		last := n == len(data) && s.rest == nil
		if err := x.Send(wire.ChunkEnvelope(data[:n], last)); err != nil {
			return err
		}
		data = data[n:]
	}
	return nil
}

// sendRest streams the part of a body that is not buffered. The end of the body
// is announced only after the caller has sent all of it.
func (s *bodySender) sendRest(x link.Exchange) error {
	for {
		buf := make([]byte, wire.ChunkBytes) // Not reused: an in-process exchange keeps it.
		n, err := readChunk(s.rest, buf, true)
		if errors.Is(err, io.EOF) {
			return x.Send(wire.ChunkEnvelope(buf[:n], true))
		}
		if err != nil {
			s.fail(err)
			return err
		}
		if err := x.Send(wire.ChunkEnvelope(buf[:n], false)); err != nil {
			return err
		}
	}
}

// answer is the response of an owner. Up to bufferBytes of the body are held
// in prefix; if whole is false the rest follows on the exchange.
type answer struct {
	head   *wire.Head
	prefix []byte
	whole  bool
	rest   *replyReader
	// release ends the attempt that the answer belongs to; nil if nothing is held.
	release func()
}

// replyReader reads the body of a reply. It is done only after the owner has
// confirmed the end of the body and its length.
type replyReader struct {
	x    link.Exchange
	load func(*wire.Load)
	// declared is the length of the body by its head; -1 if unknown.
	declared int64
	pending  []byte
	count    int64
	done     bool
}

// writeTo passes the rest of the body on. An error is a *verdict.Error or that
// of w.
func (r *replyReader) writeTo(w io.Writer) error {
	for {
		if len(r.pending) > 0 {
			if _, err := w.Write(r.pending); err != nil {
				return err
			}
			r.pending = nil
		}
		if r.done {
			return nil
		}
		if err := r.next(); err != nil {
			return err
		}
	}
}

func (r *replyReader) next() error {
	e, err := r.x.Recv()
	if err != nil {
		return verdict.Lost("link-lost", "the link to the owner failed before the answer was complete", err)
	}
	switch m := e.GetBody().(type) {
	case *wire.Envelope_Chunk:
		r.pending = m.Chunk.GetData()
		r.count += int64(len(r.pending))
		return nil
	case *wire.Envelope_End:
		r.load(m.End.GetLoad())
		if m.End.GetBodyBytes() != r.count || r.declared >= 0 && r.declared != r.count {
			return verdict.Lost("answer-cut", "the answer is shorter than the owner sent it", nil)
		}
		r.done = true
		return nil
	case *wire.Envelope_Abort:
		r.load(m.Abort.GetLoad())
		return wire.AbortError(m.Abort)
	default:
		return verdict.Lost("protocol", "unexpected message in an answer", nil)
	}
}
