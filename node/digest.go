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

// bodyDigest verifies a response body against its Content-Digest (RFC 9530). A
// nil *bodyDigest accepts every body.
type bodyDigest struct {
	hash hash.Hash
	want []byte
}

// newBodyDigest returns nil if the header has no digest with a supported
// algorithm. A malformed value of a supported algorithm matches no body.
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
			value, _, _ = strings.Cut(value, ";") // Parameters are ignored.
			value = strings.TrimSuffix(strings.TrimPrefix(strings.TrimSpace(value), ":"), ":")
			d.want, _ = base64.StdEncoding.DecodeString(value)
			return d
		}
	}
	return nil
}

func (d *bodyDigest) write(p []byte) {
	if d != nil {
		_, _ = d.hash.Write(p) // hash.Hash never returns an error.
	}
}

// matches reports whether the written data has the expected digest.
func (d *bodyDigest) matches() bool {
	return d == nil || bytes.Equal(d.hash.Sum(nil), d.want)
}
