package link

import "trefoildock.example/wire"

// maxSendBytes bounds the part of a body that is encoded at once. The encoded form of a whole
// body would take as much memory again.
const maxSendBytes = 8 * wire.ChunkBytes

// SendBody sends an envelope, a body in chunks, the last of which is marked, and an optional
// last envelope. Within a process the body is passed on in one piece without a copy.
func SendBody(x Exchange, first *wire.Envelope, body []byte, last *wire.Envelope) error {
	chunkBytes := wire.ChunkBytes
	if _, local := x.(*LocalExchange); local {
		chunkBytes = max(len(body), 1)
	}
	batch, batched := []*wire.Envelope{first}, 0
	for len(body) > chunkBytes {
		batch = append(batch, wire.ChunkEnvelope(body[:chunkBytes], false))
		body = body[chunkBytes:]
		if batched += chunkBytes; batched >= maxSendBytes {
			if err := x.Send(batch...); err != nil {
				return err
			}
			batch, batched = batch[:0], 0
		}
	}
	batch = append(batch, wire.ChunkEnvelope(body, true))
	if last != nil {
		batch = append(batch, last)
	}
	return x.Send(batch...)
}
