// Package answer defines the response body of a simulated backend server, called the
// answer. It repeats the properties of the request, so that a caller can verify that
// the answer is complete and matches its request.
package answer

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// DigestHeader is the header with the digest of the response body (RFC 9530).
const DigestHeader = "Content-Digest"

// Answer is the JSON body of a response.
type Answer struct {
	// Server is the name of the backend server.
	Server string `json:"server"`
	// Service is the service of the backend server.
	Service string `json:"service"`
	// RequestID repeats the Request-Id header.
	RequestID string `json:"request_id"`
	// Team repeats the Team header.
	Team string `json:"team"`
	// Method is the HTTP method.
	Method string `json:"method"`
	// Path is the path of the request.
	Path string `json:"path"`
	// Query is the undecoded query of the request.
	Query string `json:"query,omitempty"`
	// BodyLength is the length of the request body in bytes.
	BodyLength int `json:"body_length"`
	// BodyDigest is the SHA-256 digest of the request body in hexadecimal.
	BodyDigest string `json:"body_digest"`
	// Padding is as many bytes of padding as the request asks for with ?size=.
	Padding string `json:"padding,omitempty"`
}

// BodyDigest returns the value of Answer.BodyDigest for a request body.
func BodyDigest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// ContentDigest returns the value of DigestHeader for an answer body.
func ContentDigest(body []byte) string {
	sum := sha256.Sum256(body)
	return "sha-256=:" + base64.StdEncoding.EncodeToString(sum[:]) + ":"
}

// Request holds the properties of a request that its answer must repeat.
type Request struct {
	// Method is the HTTP method.
	Method string
	// Path is the path of the request.
	Path string
	// Query is the undecoded query.
	Query string
	// Team is the team of the API key in the request; an empty value is not compared.
	Team string
	// Body is the request body.
	Body []byte
	// Padding is the number of padding bytes requested with ?size=.
	Padding int
}

// Verify returns an error unless body is the complete answer to r. requestID is the
// Request-Id header of the response, and digest its Content-Digest header, which is
// checked if present.
func (r Request) Verify(body []byte, requestID, digest string) error {
	if digest != "" && digest != ContentDigest(body) {
		return errors.New("body does not match its Content-Digest")
	}
	var a Answer
	if err := json.Unmarshal(body, &a); err != nil {
		return errors.Wrap(err, "malformed answer")
	}
	switch {
	case requestID == "" || a.RequestID != requestID:
		return errors.Newf("answer is for request %q, its Request-Id header is %q", a.RequestID, requestID)
	case a.Method != r.Method || a.Path != r.Path || a.Query != r.Query:
		return errors.Newf("answer is for %s %s?%s", a.Method, a.Path, a.Query)
	case r.Team != "" && a.Team != r.Team:
		return errors.Newf("answer is for team %q instead of %q", a.Team, r.Team)
	case a.BodyLength != len(r.Body) || a.BodyDigest != BodyDigest(r.Body):
		return errors.Newf("answer is for another body of %d bytes", a.BodyLength)
	case len(a.Padding) != r.Padding:
		return errors.Newf("answer has %d bytes of padding instead of %d", len(a.Padding), r.Padding)
	}
	return nil
}
