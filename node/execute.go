package node

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"trefoildock.example/admission"
	"trefoildock.example/link"
	"trefoildock.example/verdict"
	"trefoildock.example/wire"
)

// abortGrace is the time for reporting an expired deadline to the entry before
// the stream is closed.
const abortGrace = time.Second

// execute dispatches an admitted request and streams the response to the entry.
// finish frees the slot as soon as the backend server has completed the
// request, so that the load report sent with the end of the response is
// current.
func (o *owner) execute(ctx context.Context, x link.Exchange, b *backend, tracked *trackedRequest, offer *wire.Offer, in *requestStream, finish func(admission.Result)) (result admission.Result, err error) {
	o.metrics.dispatched.Inc(1)
	defer func() {
		if err != nil && verdict.FromError(err).Code == codeInvalidResponse {
			o.metrics.invalidResponses.Inc(1)
		}
	}()
	resp, err := b.dispatch.roundTrip(ctx, offer, in)
	if err != nil {
		return admissionResult(ctx, err), err
	}
	defer resp.Body.Close()
	tracked.headReceived(time.Now(), resp.StatusCode, resp.ContentLength)
	defer closeWhenDone(ctx, x)()
	if err := o.relay(ctx, x, resp, offer, finish); err != nil {
		return admissionResult(ctx, err), err
	}
	return resultOfStatus(resp.StatusCode), nil
}

// closeWhenDone closes the exchange if the request ends early, so that a
// blocked write to an entry that has stopped reading does not hold the slot.
// After an expired deadline the exchange stays open for abortGrace, in which
// the deadline is reported.
func closeWhenDone(ctx context.Context, x link.Exchange) (stop func() bool) {
	return context.AfterFunc(ctx, func() {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			time.AfterFunc(abortGrace, func() { x.Close() })
			return
		}
		x.Close()
	})
}

func resultOfStatus(status int) admission.Result {
	if status >= http.StatusInternalServerError {
		return admission.Failure
	}
	return admission.Success
}

// relay sends the head, the body and the end of the response. A short response
// is sent in one write.
func (o *owner) relay(ctx context.Context, x link.Exchange, resp *http.Response, offer *wire.Offer, finish func(admission.Result)) error {
	pending := []*wire.Envelope{wire.HeadEnvelope(&wire.Head{
		Status: uint32(resp.StatusCode), RequestId: offer.GetRequestId(),
		Fields: responseFields(resp.Header), ContentLength: resp.ContentLength,
	})}
	var digest *bodyDigest
	if hasBody(offer.GetMethod(), resp.StatusCode) {
		digest = newBodyDigest(resp.Header)
	}
	var sent int64
	for {
		buf := make([]byte, chunkSize(resp.ContentLength-sent)) // Not reused, because an in-process exchange retains it.
		n, err := readChunk(resp.Body, buf, resp.ContentLength >= 0)
		sent += int64(n)
		digest.write(buf[:n])
		if n > 0 {
			pending = append(pending, wire.ChunkEnvelope(buf[:n], false))
		}
		if errors.Is(err, io.EOF) {
			if !digest.matches() {
				return invalidResponseError("the body does not match its Content-Digest")
			}
			finish(resultOfStatus(resp.StatusCode))
			end := wire.EndEnvelope(&wire.End{BodyBytes: sent, Load: o.load(offer.GetService())})
			return send(x, append(pending, end))
		}
		if err != nil {
			return o.truncationError(ctx, err)
		}
		if err := send(x, pending); err != nil {
			return err
		}
		pending = nil
	}
}

// readChunk reads from a body. If fill is set, it reads until buf is full;
// otherwise it returns the bytes that are available, so that a slow stream is
// forwarded without delay. io.EOF means that the body is complete; net/http
// reports a truncated body by another error.
func readChunk(body io.Reader, buf []byte, fill bool) (int, error) {
	n, err := body.Read(buf)
	for fill && err == nil && n < len(buf) {
		var m int
		m, err = body.Read(buf[n:])
		n += m
	}
	return n, err
}

func (o *owner) truncationError(ctx context.Context, err error) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return timeoutError(err)
	}
	o.metrics.truncatedResponses.Inc(1)
	return verdict.NewMayHaveRun("answer-cut", "the backend server's answer ended early", err)
}

func send(x link.Exchange, es []*wire.Envelope) error {
	if err := x.Send(es...); err != nil {
		return verdict.NewMayHaveRun("entry-gone", "the entry closed the stream", err)
	}
	return nil
}

// chunkSize returns the buffer size for the next read of a body with left bytes
// remaining; a negative value means an unknown length.
func chunkSize(left int64) int {
	if left < 0 || left > wire.ChunkBytes {
		return wire.ChunkBytes
	}
	return int(left) + 1 // The extra byte lets the same read return io.EOF.
}
