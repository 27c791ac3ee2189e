package node

import (
	"context"
	"io"
	"sync"

	"github.com/cockroachdb/errors"

	"trefoildock.example/link"
	"trefoildock.example/wire"
)

// requestStream reads the entry's side of a request stream at the owner: the
// commit, the body chunks, and the end of the stream, which cancels the
// request.
type requestStream struct {
	x          link.Exchange
	ctx        context.Context
	cancel     func()
	committed  chan struct{}
	commitOnce sync.Once
	chunks     chan *wire.Chunk
	unread     []byte
	lastChunk  bool
}

// errBodyTruncated is returned for a request body that ended before its last
// chunk, so that the backend server receives an aborted request and not a
// truncated one that appears complete.
var errBodyTruncated = errors.New("request body ended before its last chunk")

func newRequestStream(ctx context.Context, x link.Exchange, cancel func()) *requestStream {
	return &requestStream{x: x, ctx: ctx, cancel: cancel, committed: make(chan struct{}), chunks: make(chan *wire.Chunk, 1)}
}

// readLoop reads the stream until it ends and then cancels the request. The
// cancellation has no effect once the owner has responded.
func (in *requestStream) readLoop() {
	defer in.cancel()
	defer close(in.chunks)
	for {
		e, err := in.x.Recv()
		if err != nil {
			return
		}
		switch m := e.GetBody().(type) {
		case *wire.Envelope_Commit:
			in.commitOnce.Do(func() { close(in.committed) })
		case *wire.Envelope_Chunk:
			select {
			case in.chunks <- m.Chunk:
			case <-in.ctx.Done():
				return
			}
		default:
			return
		}
	}
}

// Read implements io.Reader over the body chunks.
func (in *requestStream) Read(p []byte) (int, error) {
	for len(in.unread) == 0 {
		if in.lastChunk {
			return 0, io.EOF
		}
		c, ok := <-in.chunks
		if !ok {
			return 0, errBodyTruncated
		}
		in.unread, in.lastChunk = c.GetData(), c.GetLast()
	}
	n := copy(p, in.unread)
	in.unread = in.unread[n:]
	return n, nil
}
