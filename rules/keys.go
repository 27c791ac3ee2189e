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
	// keyPrefix makes a leaked key recognisable to secret scanners.
	keyPrefix = "tdk_"
	keyBytes  = 32
	// maxKeyLength bounds the work of hashing a key sent by a caller, in bytes.
	maxKeyLength = 512
)

// KeyDigest is the SHA-256 digest of a key in clear.
type KeyDigest [sha256.Size]byte

// String returns the form used in the rules file.
func (d KeyDigest) String() string {
	return digestPrefix + hex.EncodeToString(d[:])
}

// Equal compares two digests in constant time.
func (d KeyDigest) Equal(other KeyDigest) bool {
	return subtle.ConstantTimeCompare(d[:], other[:]) == 1
}

// NewKey generates a key with 256 random bits. The clear text is to be shown
// once; only the digest is stored.
func NewKey() (clearText string, digest KeyDigest, err error) {
	var random [keyBytes]byte
	if _, err := rand.Read(random[:]); err != nil {
		return "", KeyDigest{}, errors.Wrap(err, "generate key")
	}
	clearText = keyPrefix + base64.RawURLEncoding.EncodeToString(random[:])
	return clearText, DigestKey(clearText), nil
}

// DigestKey returns the digest of a key in clear.
func DigestKey(clearText string) KeyDigest {
	return sha256.Sum256([]byte(clearText))
}

// ParseKeyDigest reads the form "sha256:<64 hex digits>".
func ParseKeyDigest(text string) (KeyDigest, bool) {
	var digest KeyDigest
	digits, found := strings.CutPrefix(text, digestPrefix)
	if !found || len(digits) != hex.EncodedLen(len(digest)) {
		return KeyDigest{}, false
	}
	for i := range digest {
		high, ok1 := hexDigit(digits[2*i])
		low, ok2 := hexDigit(digits[2*i+1])
		if !ok1 || !ok2 {
			return KeyDigest{}, false
		}
		digest[i] = high<<4 | low
	}
	return digest, true
}

func hexDigit(c byte) (byte, bool) {
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

// KeyIndex finds the team of a key. It is safe for concurrent use.
type KeyIndex struct {
	keys map[KeyDigest]Key
}

// NewKeyIndex returns the index of the keys of a configuration.
func NewKeyIndex(c *Config) *KeyIndex {
	return &KeyIndex{keys: c.Keys}
}

// Team returns the team of a key in clear. The table is searched by digest, so
// its timing depends only on the digest and reveals nothing about a valid key.
func (x *KeyIndex) Team(clearText string) (team string, ok bool) {
	if clearText == "" || len(clearText) > maxKeyLength {
		return "", false
	}
	return x.TeamOfDigest(DigestKey(clearText))
}

// TeamOfDigest returns the team of the key with the digest.
func (x *KeyIndex) TeamOfDigest(digest KeyDigest) (team string, ok bool) {
	key, found := x.keys[digest]
	if !found || !key.Digest.Equal(digest) {
		return "", false
	}
	return key.Team, true
}
