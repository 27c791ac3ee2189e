package node

import (
	"bytes"
	"io"
	"time"

	"github.com/cockroachdb/errors"

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

// offer returns the wire form of the request with the time left until deadline.
func (r *request) offer(deadline time.Time) *wire.Offer {
	return &wire.Offer{
		RequestId: r.id, Service: r.service, Team: r.team, TeamWeight: r.teamWeight,
		Method: r.method, Target: r.target, Host: r.host, Fields: r.fields,
		TimeoutUs: time.Until(deadline).Microseconds(), Idempotent: r.idempotent,
		TwoPhase: !r.idempotent, ContentLength: r.body.length,
		Fingerprint: r.fingerprint, IdempotencyKey: r.idempotencyKey,
	}
}

// requestBody is the body of a request: the buffered prefix and, if the body is
// longer, the rest that can be read only once.
type requestBody struct {
	prefix []byte
	// rest is nil if prefix is the whole body.
	rest io.Reader
	// length is the declared length in bytes; -1 if unknown.
	length int64
	// consumed is set once rest has been read from.
	consumed bool
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
func (b *requestBody) replayable() bool { return b.rest == nil || !b.consumed }

// send writes the body as chunks. first is sent together with the first chunk.
func (b *requestBody) send(x exchange, first ...*wire.Envelope) error {
	if b.length == 0 {
		return sendAll(x, first)
	}
	whole := b.rest == nil
	if len(b.prefix) <= wire.ChunkBytes {
		if err := x.Send(append(first, chunkEnvelope(b.prefix, whole))...); err != nil {
			return err
		}
	} else if err := b.sendPrefix(x, first); err != nil {
		return err
	}
	if whole {
		return nil
	}
	b.consumed = true
	return sendRest(x, b.rest)
}

func sendAll(x exchange, es []*wire.Envelope) error {
	if len(es) == 0 {
		return nil
	}
	return x.Send(es...)
}

func (b *requestBody) sendPrefix(x exchange, first []*wire.Envelope) error {
	if err := sendAll(x, first); err != nil {
		return err
	}
	for data := b.prefix; len(data) > 0; {
		n := min(len(data), wire.ChunkBytes)
		last := n == len(data) && b.rest == nil
		if err := x.Send(chunkEnvelope(data[:n], last)); err != nil {
			return err
		}
		data = data[n:]
	}
	return nil
}

// sendRest streams the part of a body that is not buffered. The end of the body
// is announced only after the caller has sent all of it.
func sendRest(x exchange, rest io.Reader) error {
	for {
		buf := make([]byte, wire.ChunkBytes) // Not reused: an in-process exchange keeps it.
		n, err := readChunk(rest, buf, true)
		if errors.Is(err, io.EOF) {
			return x.Send(chunkEnvelope(buf[:n], true))
		}
		if err != nil {
			return err
		}
		if err := x.Send(chunkEnvelope(buf[:n], false)); err != nil {
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
}

// replyReader reads the body of a reply. It returns io.EOF only after the owner
// has confirmed the end of the body and its length.
type replyReader struct {
	x       exchange
	load    func(*wire.Load)
	pending []byte
	count   int64
	done    bool
}

// Read implements io.Reader. Every error but io.EOF is a *verdict.Error.
func (r *replyReader) Read(p []byte) (int, error) {
	for len(r.pending) == 0 {
		if r.done {
			return 0, io.EOF
		}
		if err := r.next(); err != nil {
			return 0, err
		}
	}
	n := copy(p, r.pending)
	r.pending = r.pending[n:]
	return n, nil
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
		if m.End.GetBodyBytes() != r.count {
			return verdict.Lost("answer-cut", "the answer is shorter than the owner sent it", nil)
		}
		r.done = true
		return nil
	case *wire.Envelope_Abort:
		r.load(m.Abort.GetLoad())
		return abortError(m.Abort)
	default:
		return verdict.Lost("protocol", "unexpected message in an answer", nil)
	}
}

func abortError(a *wire.Abort) *verdict.Error {
	return &verdict.Error{
		Verdict: wire.VerdictFrom(a.GetVerdict()), Status: int(a.GetStatus()), Code: a.GetCode(),
		Detail: a.GetDetail(), RetryAfter: time.Duration(a.GetRetryAfterUs()) * time.Microsecond,
	}
}
