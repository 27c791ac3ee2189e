package idempotency

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// MaxKeyLength is the largest length of a key in bytes.
const MaxKeyLength = 255

// canonicalUUIDLength is the length of a UUID in canonical form, in bytes.
// uuid.Parse also accepts other forms, which are not documented for callers.
const canonicalUUIDLength = 36

// KeyTime returns the creation time in a UUIDv7 key; ok is false for any other
// key.
func KeyTime(key string) (created time.Time, ok bool) {
	if len(key) != canonicalUUIDLength {
		return time.Time{}, false
	}
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return time.Time{}, false
	}
	ms := int64(binary.BigEndian.Uint64(id[:8]) >> 16)
	return time.UnixMilli(ms), true
}

// Digest identifies a key of a team. It is the first half of a SHA-256 hash, so
// that a caller cannot construct keys that collide.
type Digest [16]byte

// digestOf hashes the length of the team before the team and the key, so that
// the keys of two teams never have the same input.
func digestOf(team, key string) Digest {
	b := make([]byte, 0, 8+len(team)+len(key))
	b = binary.BigEndian.AppendUint64(b, uint64(len(team)))
	b = append(append(b, team...), key...)
	sum := sha256.Sum256(b)
	return Digest(sum[:16])
}

func fingerprintOf(b []byte) uint64 { return xxhash.Sum64(b) }

func requestHashOf(id string) uint64 { return xxhash.Sum64String(id) }
