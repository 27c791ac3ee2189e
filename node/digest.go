package node

import (
	"bytes"
	"crypto/sha256"
	"crypto/sha512"
	"encoding/base64"
	"hash"
	"net/http"
	"strings"
)

// bodyDigest checks the body of an answer against its Content-Digest (RFC 9530).
// A nil *bodyDigest accepts every body.
type bodyDigest struct {
	hash hash.Hash
	want []byte
}

// newBodyDigest returns nil if the header has no digest with a known algorithm.
// A malformed value of a known algorithm matches no body.
func newBodyDigest(h http.Header) *bodyDigest {
	for _, field := range h["Content-Digest"] {
		for member := range strings.SplitSeq(field, ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(member), "=")
			d := &bodyDigest{}
			switch name {
			case "sha-256":
				d.hash = sha256.New()
			case "sha-512":
				d.hash = sha512.New()
			default:
				continue
			}
			value, _, _ = strings.Cut(value, ";") // Parameters have no meaning here.
			value = strings.TrimSuffix(strings.TrimPrefix(strings.TrimSpace(value), ":"), ":")
			d.want, _ = base64.StdEncoding.DecodeString(value)
			return d
		}
	}
	return nil
}

func (d *bodyDigest) write(p []byte) {
	if d != nil {
		_, _ = d.hash.Write(p) // Never fails.
	}
}

// matches reports whether everything written is what the digest was made of.
func (d *bodyDigest) matches() bool {
	return d == nil || bytes.Equal(d.hash.Sum(nil), d.want)
}
