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

// canonicalUUID is the length of a UUID in its usual form; uuid.Parse accepts
// other forms, which no caller is told to use.
const canonicalUUID = 36

// KeyTime returns the creation time carried by a UUIDv7 key; ok is false for
// any other key.
func KeyTime(key string) (created time.Time, ok bool) {
	if len(key) != canonicalUUID {
		return time.Time{}, false
	}
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return time.Time{}, false
	}
	ms := int64(binary.BigEndian.Uint64(id[:8]) >> 16)
	return time.UnixMilli(ms), true
}

// Digest identifies the key of a team. It is the first half of a SHA-256 sum,
// so that a caller cannot choose keys that collide.
type Digest [16]byte

// digestOf separates the team from the key by the team's length, so that two
// teams never share a digest.
func digestOf(team, key string) Digest {
	b := make([]byte, 0, 8+len(team)+len(key))
	b = binary.BigEndian.AppendUint64(b, uint64(len(team)))
	b = append(append(b, team...), key...)
	sum := sha256.Sum256(b)
	return Digest(sum[:16])
}

func fingerprintOf(b []byte) uint64 { return xxhash.Sum64(b) }

func requestOf(id string) uint64 { return xxhash.Sum64String(id) }
