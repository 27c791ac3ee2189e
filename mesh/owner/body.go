package owner

import (
	"context"
	"time"

	"trefoildock.example/link"
	"trefoildock.example/verdict"
)

const (
	// bodyMemoryWait bounds the wait for the memory of a large body, because a slot of the
	// backend server is reserved meanwhile.
	bodyMemoryWait = 400 * time.Millisecond
	// noMemoryRetryAfter is the Retry-After time of a request whose body gets no memory. A
	// large body is transferred within that time.
	noMemoryRetryAfter = time.Second
)

// NoMemoryError returns the refusal of a request whose body gets no memory.
func NoMemoryError(cause error) *verdict.Error {
	e := verdict.NewNotRun(CodeNoMemory, "other bodies take the memory of this node", noMemoryRetryAfter)
	e.Cause = cause
	return e
}

// bodyBuffer receives the body of a request. err is the reason why it is not received.
type bodyBuffer struct {
	data []byte
	err  error
}

// allocate reserves the memory for a body. The entry of the same process passes its own buffer
// on, which it has reserved.
func (b *bodyBuffer) allocate(r *activeRequest, size int64) {
	if _, local := r.stream.(*link.LocalExchange); local || size <= 0 {
		return
	}
	ctx, cancel := context.WithTimeout(r.ctx, bodyMemoryWait)
	defer cancel()
	if err := r.memory.Take(ctx, size); err != nil {
		b.err = NoMemoryError(err)
		return
	}
	b.data = make([]byte, 0, size)
}

// add adds a part of the body. A body without allocated memory has one part.
func (b *bodyBuffer) add(part []byte) {
	switch {
	case b.err != nil:
	case b.data == nil:
		b.data = part
	case len(b.data)+len(part) > cap(b.data):
		b.err = verdict.NewNotRun("protocol", "the body is longer than the entry stated", 0)
	default:
		b.data = append(b.data, part...)
	}
}
