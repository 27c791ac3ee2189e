package wire

import (
	"time"

	"trefoildock.example/verdict"
)

// OfferEnvelope returns the first envelope of a request stream.
func OfferEnvelope(o *Offer) *Envelope {
	return &Envelope{Body: &Envelope_Offer{Offer: o}}
}

// ChunkEnvelope returns an envelope with body bytes; last marks the end of a
// request body.
func ChunkEnvelope(data []byte, last bool) *Envelope {
	return &Envelope{Body: &Envelope_Chunk{Chunk: &Chunk{Data: data, Last: last}}}
}

// AdmittedEnvelope returns the response to an offer for which a slot is reserved.
func AdmittedEnvelope(load *Load) *Envelope {
	return &Envelope{Body: &Envelope_Admitted{Admitted: &Admitted{Load: load}}}
}

// CommitEnvelope returns the message that permits the owner to dispatch an
// admitted request.
func CommitEnvelope() *Envelope {
	return &Envelope{Body: &Envelope_Commit{Commit: &Commit{}}}
}

// CommitWithDetailsEnvelope returns a commit that also carries the full offer, for
// a request whose initial offer contained only the fields that admission needs.
func CommitWithDetailsEnvelope(o *Offer) *Envelope {
	return &Envelope{Body: &Envelope_Commit{Commit: &Commit{Details: o}}}
}

// HeadEnvelope returns an envelope with the status and header of a response.
func HeadEnvelope(h *Head) *Envelope {
	return &Envelope{Body: &Envelope_Head{Head: h}}
}

// EndEnvelope returns the message that marks a complete response.
func EndEnvelope(e *End) *Envelope {
	return &Envelope{Body: &Envelope_End{End: e}}
}

// AnswerEnvelope returns the response to a call.
func AnswerEnvelope(a *Answer) *Envelope {
	return &Envelope{Body: &Envelope_Answer{Answer: a}}
}

// AbortEnvelope returns the message that ends a request stream with a failure.
func AbortEnvelope(e *verdict.Error, load *Load) *Envelope {
	return &Envelope{Body: &Envelope_Abort{Abort: &Abort{
		Verdict:      VerdictToProto(e.Verdict),
		Status:       uint32(e.Status),
		Code:         e.Code,
		Detail:       e.Detail,
		RetryAfterUs: e.RetryAfter.Microseconds(),
		Load:         load,
	}}}
}

// AbortError converts a received Abort message to an error.
func AbortError(a *Abort) *verdict.Error {
	return &verdict.Error{
		Verdict: VerdictFromProto(a.GetVerdict()), Status: int(a.GetStatus()), Code: a.GetCode(),
		Detail: a.GetDetail(), RetryAfter: time.Duration(a.GetRetryAfterUs()) * time.Microsecond,
	}
}
