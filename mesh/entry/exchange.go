package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"trefoildock.example/admission"
	"trefoildock.example/link"
	"trefoildock.example/mesh/fleet"
	"trefoildock.example/mesh/h1"
	"trefoildock.example/mesh/owner"
	"trefoildock.example/verdict"
	"trefoildock.example/wire"
)

const (
	// offerTimeout bounds the wait for the answer to an offer that does not queue.
	// A healthy owner answers within one round trip, 3 ms between zones; one that
	// is frozen or cut off does not answer.
	offerTimeout = 250 * time.Millisecond
	// codeOfferLost and codeUnreachable are refusals by which nothing ran.
	codeOfferLost   = "offer-lost"
	codeUnreachable = "owner-unreachable"
	codeLinkLost    = "link-lost"
)

// reservation is an accepted offer.
type reservation struct {
	member *fleet.Member
	x      link.Exchange
	stop   func() bool
}

// offer asks an owner to reserve a slot by a certain time. Its error means that
// nothing ran there.
func (e *Entry) offer(ctx context.Context, m *fleet.Member, o *wire.Offer, by time.Time) (*reservation, error) {
	wait, cancel := context.WithDeadline(ctx, by)
	defer cancel()
	x, err := e.open(wait, m, o)
	if err != nil {
		return nil, e.unreachable(ctx, m, codeUnreachable, err)
	}
	unblock := context.AfterFunc(wait, func() { x.Close() })
	reply, err := x.Recv()
	if !unblock() && err == nil {
		err = context.DeadlineExceeded
	}
	if err != nil {
		x.Close()
		if !o.GetNoWait() && wait.Err() != nil {
			return nil, notStarted(err)
		}
		return nil, e.unreachable(ctx, m, codeOfferLost, err)
	}
	now := time.Now()
	switch b := reply.GetBody().(type) {
	case *wire.Envelope_Admitted:
		e.peers.update(m.Node, b.Admitted.GetLoad(), now)
		return &reservation{member: m, x: x, stop: context.AfterFunc(ctx, func() { x.Close() })}, nil
	case *wire.Envelope_Abort:
		x.Close()
		e.peers.update(m.Node, b.Abort.GetLoad(), now)
		refusal := wire.AbortError(b.Abort)
		if refusal.Code != admission.CodeBusy && refusal.Code != admission.CodeDeadline {
			e.peers.refused(m.Node, now)
		}
		return nil, refusal
	default:
		x.Close()
		return nil, e.unreachable(ctx, m, codeOfferLost, errors.New("unexpected message"))
	}
}

// open opens a stream to the owner and sends the offer.
func (e *Entry) open(ctx context.Context, m *fleet.Member, o *wire.Offer) (link.Exchange, error) {
	if m.Node == e.cfg.Node {
		near, far := link.NewLocalExchange()
		go e.cfg.Owner.Serve(far, o)
		return near, nil
	}
	st, _, err := e.cfg.Links.Open(ctx, m.Address)
	if err != nil {
		return nil, err
	}
	if err := st.Send(wire.OfferEnvelope(o)); err != nil {
		st.Close()
		return nil, err
	}
	return st, nil
}

// unreachable is the error of an owner that did not answer an offer. Without a
// commit it runs nothing.
func (e *Entry) unreachable(ctx context.Context, m *fleet.Member, code string, cause error) error {
	if ctx.Err() == nil {
		e.peers.unreachable(m.Node, time.Now())
		e.cfg.Metrics.Unreachable.Inc(1)
	}
	err := verdict.Refuse(code, "the owner on node "+m.Node+" did not answer", time.Second)
	err.Cause = cause
	return err
}

// commit lets the owner run the request and reads the answer.
func (e *Entry) commit(ctx context.Context, r *reservation, o *wire.Offer, body []byte) (*h1.Answer, error) {
	defer r.x.Close()
	defer r.stop()
	e.peers.begin(r.member.Node)
	defer e.peers.end(r.member.Node)
	if err := r.x.Send(commitMessages(o, body)...); err != nil {
		return nil, e.linkLost(ctx, r.member, err)
	}
	head, err := e.receive(ctx, r)
	if err != nil {
		return nil, err
	}
	if head.GetHead() == nil || head.GetHead().GetRequestId() != o.GetRequestId() {
		return nil, verdict.Lost("protocol", "unexpected message from the owner", nil)
	}
	return e.readBody(ctx, r, head.GetHead())
}

func commitMessages(o *wire.Offer, body []byte) []*wire.Envelope {
	out := []*wire.Envelope{wire.DetailsEnvelope(o)}
	for len(body) > wire.ChunkBytes {
		out = append(out, wire.ChunkEnvelope(body[:wire.ChunkBytes], false))
		body = body[wire.ChunkBytes:]
	}
	return append(out, wire.ChunkEnvelope(body, true))
}

// receive reads the next message; a failure that the owner reports is an error.
func (e *Entry) receive(ctx context.Context, r *reservation) (*wire.Envelope, error) {
	m, err := r.x.Recv()
	if err != nil {
		return nil, e.linkLost(ctx, r.member, err)
	}
	if a := m.GetAbort(); a != nil {
		e.peers.update(r.member.Node, a.GetLoad(), time.Now())
		return nil, wire.AbortError(a)
	}
	return m, nil
}

// linkLost is the error of a request whose owner can no longer be heard.
func (e *Entry) linkLost(ctx context.Context, m *fleet.Member, cause error) error {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		err := verdict.Lost(owner.CodeTimeout, "the request was not answered in time", cause)
		err.Status = http.StatusGatewayTimeout
		return err
	case ctx.Err() != nil:
		return verdict.Lost(owner.CodeCanceled, "the caller left", cause)
	}
	e.peers.unreachable(m.Node, time.Now())
	return verdict.Lost(codeLinkLost, "the link to the owner broke", cause)
}

// readBody reads the rest of an answer; it counts only when it is whole.
func (e *Entry) readBody(ctx context.Context, r *reservation, head *wire.Head) (*h1.Answer, error) {
	a := &h1.Answer{Status: int(head.GetStatus()), Header: wire.HeaderOf(head.GetFields())}
	for {
		m, err := e.receive(ctx, r)
		if err != nil {
			return nil, err
		}
		switch b := m.GetBody().(type) {
		case *wire.Envelope_Chunk:
			a.Body = append(a.Body, b.Chunk.GetData()...)
		case *wire.Envelope_End:
			e.peers.update(r.member.Node, b.End.GetLoad(), time.Now())
			if b.End.GetBodyBytes() != int64(len(a.Body)) {
				return nil, verdict.Lost("answer-cut", "the answer is shorter than the owner sent it", nil)
			}
			return a, nil
		default:
			return nil, verdict.Lost("protocol", "unexpected message in an answer", nil)
		}
	}
}
