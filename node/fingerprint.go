package node

import (
	"crypto/sha256"
	"encoding/binary"
)

// fingerprintOf identifies a request by route, method, body and idempotency key.
func fingerprintOf(route, method, key string, body []byte) []byte {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(route), []byte(method), []byte(key), body} {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(part)))
		h.Write(n[:])
		h.Write(part)
	}
	return h.Sum(nil)[:16]
}
