package crashguard

import (
	"crypto/sha256"
	"encoding/binary"
)

// Fingerprint identifies equal requests.
type Fingerprint [16]byte

// NewFingerprint hashes the parts of a request. bodyDigest is a digest of the
// whole body. Each part is preceded by its length, so that parts cannot merge.
func NewFingerprint(route, method string, bodyDigest []byte, idempotencyKey string) Fingerprint {
	var buffer []byte
	for _, part := range []string{route, method, string(bodyDigest), idempotencyKey} {
		buffer = binary.AppendUvarint(buffer, uint64(len(part)))
		buffer = append(buffer, part...)
	}
	sum := sha256.Sum256(buffer)
	return Fingerprint(sum[:16])
}
