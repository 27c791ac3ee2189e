package wire

import (
	"bytes"
	"io"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
)

// Guards against envelopes that are altered by framing and encoding.
func TestRoundTrip(t *testing.T) {
	in := []*Envelope{
		{Body: &Envelope_Offer{Offer: &Offer{RequestId: "r1", Service: "orders", TwoPhase: true}}},
		{Body: &Envelope_Chunk{Chunk: &Chunk{Data: bytes.Repeat([]byte("x"), ChunkBytes), Last: true}}},
		{Body: &Envelope_Commit{Commit: &Commit{}}},
	}
	var buf []byte
	for _, e := range in {
		var err error
		buf, err = Append(buf, e)
		require.NoError(t, err)
	}
	r := NewReader(bytes.NewReader(buf))
	for _, want := range in {
		got, err := r.Read()
		require.NoError(t, err)
		require.True(t, proto.Equal(want, got))
	}
	_, err := r.Read()
	require.ErrorIs(t, err, io.EOF)
}

// Guards against a peer that makes the reader allocate a message of unlimited size.
func TestOversizedMessageIsRejected(t *testing.T) {
	_, err := NewReader(bytes.NewReader([]byte{0xff, 0xff, 0xff, 0x7f, 0})).Read()
	require.Error(t, err)
}

// Guards against a panic and against an accepted message that cannot be encoded.
func FuzzRead(f *testing.F) {
	seed, err := Append(nil, &Envelope{Body: &Envelope_Call{Call: &Call{Body: &Call_Ping{Ping: &Ping{Target: "n1"}}}}})
	require.NoError(f, err)
	f.Add(seed)
	f.Add([]byte{0})
	f.Add([]byte{0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 0x01})
	f.Fuzz(func(t *testing.T, data []byte) {
		r := NewReader(bytes.NewReader(data))
		for {
			e, err := r.Read()
			if err != nil {
				return
			}
			_, err = Append(nil, e)
			require.NoError(t, err)
		}
	})
}
