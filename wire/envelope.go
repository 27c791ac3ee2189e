package wire

import (
	"time"

	"trefoildock.example/verdict"
)

// OfferEnvelope opens a request stream.
func OfferEnvelope(o *Offer) *Envelope {
	return &Envelope{Body: &Envelope_Offer{Offer: o}}
}

// ChunkEnvelope carries body bytes; last marks the end of a request body.
func ChunkEnvelope(data []byte, last bool) *Envelope {
	return &Envelope{Body: &Envelope_Chunk{Chunk: &Chunk{Data: data, Last: last}}}
}

// AdmittedEnvelope tells the entry that a slot is reserved.
func AdmittedEnvelope(load *Load) *Envelope {
	return &Envelope{Body: &Envelope_Admitted{Admitted: &Admitted{Load: load}}}
}

// CommitEnvelope allows the owner to dispatch.
func CommitEnvelope() *Envelope {
	return &Envelope{Body: &Envelope_Commit{Commit: &Commit{}}}
}

// DetailsEnvelope allows the owner to dispatch and completes a short offer.
func DetailsEnvelope(o *Offer) *Envelope {
	return &Envelope{Body: &Envelope_Commit{Commit: &Commit{Details: o}}}
}

// HeadEnvelope carries the head of an answer.
func HeadEnvelope(h *Head) *Envelope {
	return &Envelope{Body: &Envelope_Head{Head: h}}
}

// EndEnvelope confirms that an answer is whole.
func EndEnvelope(e *End) *Envelope {
	return &Envelope{Body: &Envelope_End{End: e}}
}

// AnswerEnvelope answers a call.
func AnswerEnvelope(a *Answer) *Envelope {
	return &Envelope{Body: &Envelope_Answer{Answer: a}}
}

// AbortEnvelope ends a request stream with a failure.
func AbortEnvelope(e *verdict.Error, load *Load) *Envelope {
	return &Envelope{Body: &Envelope_Abort{Abort: &Abort{
		Verdict:      VerdictTo(e.Verdict),
		Status:       uint32(e.Status),
		Code:         e.Code,
		Detail:       e.Detail,
		RetryAfterUs: e.RetryAfter.Microseconds(),
		Load:         load,
	}}}
}

// AbortError returns the failure that the other end reported.
func AbortError(a *Abort) *verdict.Error {
	return &verdict.Error{
		Verdict: VerdictFrom(a.GetVerdict()), Status: int(a.GetStatus()), Code: a.GetCode(),
		Detail: a.GetDetail(), RetryAfter: time.Duration(a.GetRetryAfterUs()) * time.Microsecond,
	}
}
