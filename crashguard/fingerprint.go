package crashguard

import (
	"crypto/sha256"
	"encoding/binary"
)

// Fingerprint identifies requests with the same content.
type Fingerprint [16]byte

// NewFingerprint returns the fingerprint of a request. bodyDigest is a digest
// of the complete body. Each part is hashed with its length, so that different
// parts do not result in the same input.
func NewFingerprint(route, method string, bodyDigest []byte, idempotencyKey string) Fingerprint {
	var buffer []byte
	for _, part := range []string{route, method, string(bodyDigest), idempotencyKey} {
		buffer = binary.AppendUvarint(buffer, uint64(len(part)))
		buffer = append(buffer, part...)
	}
	sum := sha256.Sum256(buffer)
	return Fingerprint(sum[:16])
}
