// Package wire defines the protobuf messages that nodes exchange and their
// framing: each message is an Envelope that is prefixed with its length as a
// varint.
package wire

import (
	"bufio"
	"encoding/binary"
	"io"
	"slices"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"trefoildock.example/verdict"
)

const (
	// MaxMessageBytes is the maximum size of one message on a stream.
	MaxMessageBytes = 1 << 20
	// ChunkBytes is the maximum payload of one body chunk.
	ChunkBytes = 32 << 10
	// readBufferBytes is the buffer size of a Reader; a typical offer fits. Each
	// request has two readers, so a larger buffer costs more in garbage
	// collection than it saves in copies.
	readBufferBytes = 1 << 10
)

// Reader reads framed envelopes from a stream.
type Reader struct {
	br   *bufio.Reader
	opts protodelim.UnmarshalOptions
}

// NewReader returns a Reader that reads from r.
func NewReader(r io.Reader) *Reader {
	return &Reader{
		br:   bufio.NewReaderSize(r, readBufferBytes),
		opts: protodelim.UnmarshalOptions{MaxSize: MaxMessageBytes},
	}
}

// Read returns the next envelope. It returns io.EOF at the end of the stream
// and an error for a malformed or oversized message.
func (r *Reader) Read() (*Envelope, error) {
	e := new(Envelope)
	if err := r.opts.UnmarshalFrom(r.br, e); err != nil {
		return nil, err
	}
	return e, nil
}

// Append appends the framed envelope to buf.
func Append(buf []byte, e *Envelope) ([]byte, error) {
	var err error
	size := proto.Size(e)
	buf = slices.Grow(buf, binary.MaxVarintLen32+size)
	buf = binary.AppendUvarint(buf, uint64(size))
	buf, err = proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(buf, e)
	return buf, err
}

// VerdictToProto converts a verdict to its protobuf value.
func VerdictToProto(v verdict.Verdict) Verdict {
	switch v {
	case verdict.NotRun:
		return Verdict_VERDICT_NOT_RUN
	case verdict.Completed:
		return Verdict_VERDICT_COMPLETED
	case verdict.MayHaveRun:
		return Verdict_VERDICT_MAY_HAVE_RUN
	default:
		return Verdict_VERDICT_MAY_HAVE_RUN
	}
}

// VerdictFromProto converts a protobuf verdict. An unknown value becomes MayHaveRun.
func VerdictFromProto(v Verdict) verdict.Verdict {
	switch v {
	case Verdict_VERDICT_NOT_RUN:
		return verdict.NotRun
	case Verdict_VERDICT_COMPLETED:
		return verdict.Completed
	case Verdict_VERDICT_MAY_HAVE_RUN:
		return verdict.MayHaveRun
	default:
		return verdict.MayHaveRun
	}
}
