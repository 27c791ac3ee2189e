package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"trefoildock.example/admission"
	"trefoildock.example/link"
	"trefoildock.example/mesh/bodymem"
	"trefoildock.example/mesh/fleet"
	"trefoildock.example/mesh/h1"
	"trefoildock.example/mesh/owner"
	"trefoildock.example/verdict"
	"trefoildock.example/wire"
)

const (
	// offerTimeout bounds the wait for the reply to an offer that is not queued. A
	// healthy owner replies within one round trip, 3 ms between zones; an owner whose
	// process hangs or that is partitioned does not reply.
	offerTimeout = 250 * time.Millisecond
	// codeOfferLost, codeUnreachable and codeLinkLost are the codes of failures of
	// the link. After the first two the request has not run.
	codeOfferLost   = "offer-lost"
	codeUnreachable = "owner-unreachable"
	codeLinkLost    = "link-lost"
)

// reservation is an offer that an owner has accepted.
type reservation struct {
	member *fleet.Member
	stream link.Exchange
}

// offer sends an offer to an owner and waits for a reservation until the deadline.
// After an error the request has not run there.
func (e *Entry) offer(ctx context.Context, m *fleet.Member, o *wire.Offer, deadline time.Time) (*reservation, error) {
	offerCtx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	o.NamedLimit = e.peers.namedLimit(m.Node)
	stream, err := e.openStream(offerCtx, m, o)
	if err != nil {
		return nil, e.unreachableError(ctx, m, codeUnreachable, err)
	}
	stop := context.AfterFunc(offerCtx, func() { stream.Close() })
	reply, err := stream.Recv()
	if !stop() && err == nil {
		err = context.DeadlineExceeded
	}
	if err != nil {
		stream.Close()
		if !o.GetNoWait() && offerCtx.Err() != nil {
			return nil, notStartedError(err)
		}
		return nil, e.unreachableError(ctx, m, codeOfferLost, err)
	}
	now := time.Now()
	switch b := reply.GetBody().(type) {
	case *wire.Envelope_Admitted:
		e.peers.updateLoad(m.Node, b.Admitted.GetLoad(), now)
		return &reservation{member: m, stream: stream}, nil
	case *wire.Envelope_Abort:
		stream.Close()
		e.peers.updateLoad(m.Node, b.Abort.GetLoad(), now)
		refusal := wire.AbortError(b.Abort)
		switch refusal.Code {
		case admission.CodeBusy, admission.CodeDeadline:
		case owner.CodeLimited:
			e.peers.recordRefusal(m.Node, now, min(refusal.RetryAfter, maxLimitedBackoff))
		default:
			e.peers.recordRefusal(m.Node, now, refusalBackoff)
		}
		return nil, refusal
	default:
		stream.Close()
		return nil, e.unreachableError(ctx, m, codeOfferLost, errors.New("unexpected message"))
	}
}

// openStream opens a stream to the owner and sends the offer.
func (e *Entry) openStream(ctx context.Context, m *fleet.Member, o *wire.Offer) (link.Exchange, error) {
	if m.Node == e.cfg.Node {
		entryEnd, ownerEnd := link.NewLocalExchange()
		go e.cfg.Owner.Serve(ownerEnd, o)
		return entryEnd, nil
	}
	stream, _, err := e.cfg.Links.Open(ctx, m.Address)
	if err != nil {
		return nil, err
	}
	if err := stream.Send(wire.OfferEnvelope(o)); err != nil {
		stream.Close()
		return nil, err
	}
	return stream, nil
}

// unreachableError returns the error for an owner that did not reply to an offer.
// Without a commit the owner does not run the request.
func (e *Entry) unreachableError(ctx context.Context, m *fleet.Member, code string, cause error) error {
	if ctx.Err() == nil {
		e.peers.recordUnreachable(m.Node, time.Now())
		e.cfg.Metrics.Unreachable.Inc(1)
		e.cfg.Links.CheckSilence(m.Address, time.Now().Add(-offerTimeout))
	}
	err := verdict.NewNotRun(code, "the owner on node "+m.Node+" did not answer", time.Second)
	err.Cause = cause
	return err
}

// commit commits the reservation, sends the request and reads the response.
func (e *Entry) commit(ctx context.Context, r *reservation, o *wire.Offer, body []byte, memory *bodymem.Reservation) (*h1.Response, error) {
	defer r.stream.Close()
	defer context.AfterFunc(ctx, func() { r.stream.Close() })()
	e.peers.beginRequest(r.member.Node)
	defer e.peers.endRequest(r.member.Node)
	if err := link.SendBody(r.stream, wire.CommitWithDetailsEnvelope(o), body, nil); err != nil {
		return nil, e.linkLostError(ctx, r.member, err)
	}
	head, err := e.receive(ctx, r)
	if err != nil {
		return nil, err
	}
	if head.GetHead() == nil || head.GetHead().GetRequestId() != o.GetRequestId() {
		return nil, verdict.NewMayHaveRun("protocol", "unexpected message from the owner", nil)
	}
	return e.readBody(ctx, r, head.GetHead(), memory)
}

// receive reads the next message. An abort by the owner is returned as an error.
func (e *Entry) receive(ctx context.Context, r *reservation) (*wire.Envelope, error) {
	m, err := r.stream.Recv()
	if err != nil {
		return nil, e.linkLostError(ctx, r.member, err)
	}
	if a := m.GetAbort(); a != nil {
		e.peers.updateLoad(r.member.Node, a.GetLoad(), time.Now())
		return nil, wire.AbortError(a)
	}
	return m, nil
}

// linkLostError returns the error for a request whose link to the owner failed after
// the commit.
func (e *Entry) linkLostError(ctx context.Context, m *fleet.Member, cause error) error {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		err := verdict.NewMayHaveRun(owner.CodeTimeout, "the request was not answered in time", cause)
		err.Status = http.StatusGatewayTimeout
		return err
	case ctx.Err() != nil:
		return verdict.NewMayHaveRun(owner.CodeCanceled, "the caller left", cause)
	}
	e.peers.recordUnreachable(m.Node, time.Now())
	return verdict.NewMayHaveRun(codeLinkLost, "the link to the owner broke", cause)
}

// readBody reads the rest of a response. A truncated response is an error. The owner sends it
// only once it has received the whole response.
func (e *Entry) readBody(ctx context.Context, r *reservation, head *wire.Head, memory *bodymem.Reservation) (*h1.Response, error) {
	resp := &h1.Response{Status: int(head.GetStatus()), Header: wire.HeaderFromFields(head.GetFields())}
	if err := memory.Take(ctx, head.GetContentLength()); err != nil {
		return nil, verdict.NewMayHaveRun(owner.CodeNoMemory, "this node has no memory for the answer of the backend server", err)
	}
	for {
		m, err := e.receive(ctx, r)
		if err != nil {
			return nil, err
		}
		switch b := m.GetBody().(type) {
		case *wire.Envelope_Chunk:
			if data := b.Chunk.GetData(); resp.Body == nil && int64(len(data)) == head.GetContentLength() {
				resp.Body = data
				continue
			}
			if int64(len(resp.Body)+len(b.Chunk.GetData())) > head.GetContentLength() {
				return nil, verdict.NewMayHaveRun("protocol", "an answer is longer than its head states", nil)
			}
			if resp.Body == nil {
				resp.Body = make([]byte, 0, head.GetContentLength())
			}
			resp.Body = append(resp.Body, b.Chunk.GetData()...)
		case *wire.Envelope_End:
			e.peers.updateLoad(r.member.Node, b.End.GetLoad(), time.Now())
			if b.End.GetBodyBytes() != int64(len(resp.Body)) {
				return nil, verdict.NewMayHaveRun("answer-cut", "the answer is shorter than the owner sent it", nil)
			}
			if rate, _, err := e.headers.RateLimit(resp.Header); err == nil { // The owner logs a malformed limit.
				e.peers.setNamedLimit(r.member.Node, rate)
			}
			return resp, nil
		default:
			return nil, verdict.NewMayHaveRun("protocol", "unexpected message in an answer", nil)
		}
	}
}
