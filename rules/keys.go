package rules

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"strings"

	"github.com/cockroachdb/errors"
)

const (
	digestPrefix = "sha256:"
	// keyPrefix makes leaked keys detectable by secret scanners.
	keyPrefix      = "tdk_"
	keyRandomBytes = 32
	// maxKeyLength bounds the length of a key sent by a caller, in bytes, and with it
	// the cost of hashing the key.
	maxKeyLength = 512
)

// KeyDigest is the SHA-256 digest of a plaintext key.
type KeyDigest [sha256.Size]byte

// String returns the digest in the format of the rules file.
func (d KeyDigest) String() string {
	return digestPrefix + hex.EncodeToString(d[:])
}

// Equal compares two digests in constant time.
func (d KeyDigest) Equal(other KeyDigest) bool {
	return subtle.ConstantTimeCompare(d[:], other[:]) == 1
}

// NewKey generates a key with 256 random bits. The plaintext must be shown only
// once; only the digest is stored.
func NewKey() (plaintext string, digest KeyDigest, err error) {
	var random [keyRandomBytes]byte
	if _, err := rand.Read(random[:]); err != nil {
		return "", KeyDigest{}, errors.Wrap(err, "generate key")
	}
	plaintext = keyPrefix + base64.RawURLEncoding.EncodeToString(random[:])
	return plaintext, DigestKey(plaintext), nil
}

// DigestKey returns the digest of a plaintext key.
func DigestKey(plaintext string) KeyDigest {
	return sha256.Sum256([]byte(plaintext))
}

// ParseKeyDigest parses a digest of the form "sha256:<64 hex digits>".
func ParseKeyDigest(text string) (KeyDigest, bool) {
	var digest KeyDigest
	digits, found := strings.CutPrefix(text, digestPrefix)
	if !found || len(digits) != hex.EncodedLen(len(digest)) {
		return KeyDigest{}, false
	}
	for i := range digest {
		high, ok1 := parseHexDigit(digits[2*i])
		low, ok2 := parseHexDigit(digits[2*i+1])
		if !ok1 || !ok2 {
			return KeyDigest{}, false
		}
		digest[i] = high<<4 | low
	}
	return digest, true
}

func parseHexDigit(c byte) (byte, bool) {
	switch {
	case c >= '0' && c <= '9':
		return c - '0', true
	case c >= 'a' && c <= 'f':
		return c - 'a' + 10, true
	case c >= 'A' && c <= 'F':
		return c - 'A' + 10, true
	}
	return 0, false
}

// KeyIndex maps keys to teams. It is safe for concurrent use.
type KeyIndex struct {
	keys map[KeyDigest]Key
}

// NewKeyIndex returns the index of the keys of a configuration.
func NewKeyIndex(c *Config) *KeyIndex {
	return &KeyIndex{keys: c.Keys}
}

// TeamByKey returns the team of a plaintext key. The lookup is by digest, so its
// timing depends only on the digest and reveals nothing about valid keys.
func (x *KeyIndex) TeamByKey(plaintext string) (team string, ok bool) {
	if plaintext == "" || len(plaintext) > maxKeyLength {
		return "", false
	}
	return x.TeamByDigest(DigestKey(plaintext))
}

// TeamByDigest returns the team of the key with the digest.
func (x *KeyIndex) TeamByDigest(digest KeyDigest) (team string, ok bool) {
	key, found := x.keys[digest]
	if !found || !key.Digest.Equal(digest) {
		return "", false
	}
	return key.Team, true
}
