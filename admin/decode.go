package admin

import (
	"bytes"
	"encoding/json"
	"io"
	"mime"
	"net/http"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
	"github.com/kataras/iris/v12"

	"trefoildock.example/rules"
)

// minCommitIDLength is the minimum length of a commit id in bytes. It makes id
// collisions between clients unlikely. The maximum is rules.MaxNameLength.
const minCommitIDLength = 8

// maxJSONDepth limits the nesting of a JSON body, in levels. No request needs more
// than 4.
const maxJSONDepth = 16

// decodeBody decodes a JSON body of limited size into dst. It rejects unknown and
// repeated members, trailing data and invalid UTF-8, because different JSON parsers
// can interpret each of them differently.
func decodeBody(ctx iris.Context, limit int64, dst any) error {
	r := ctx.Request()
	if mediaType, _, err := mime.ParseMediaType(r.Header.Get("Content-Type")); err != nil || mediaType != "application/json" {
		return newProblem(http.StatusUnsupportedMediaType, CodeUnsupportedMedia, "the body must have Content-Type application/json")
	}
	// The buffer is preallocated from Content-Length to avoid repeated growth.
	body := bytes.NewBuffer(make([]byte, 0, min(max(r.ContentLength, 0), limit)+bytes.MinRead))
	if _, err := body.ReadFrom(http.MaxBytesReader(ctx.ResponseWriter(), r.Body, limit)); err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return newProblem(http.StatusRequestEntityTooLarge, CodeBodyTooLarge, "the body must have at most %d bytes", limit)
		}
		return badRequestProblem("the body could not be read to its end")
	}
	return decodeStrict(body.Bytes(), dst)
}

func decodeStrict(body []byte, dst any) error {
	if !utf8.Valid(body) {
		return badRequestProblem("the body is not valid UTF-8")
	}
	if err := checkJSONMembers(body); err != nil {
		return err
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(dst); err != nil {
		return badRequestProblem("invalid JSON body: %s", strings.TrimPrefix(err.Error(), "json: "))
	}
	return nil
}

// checkJSONMembers rejects repeated members, deep nesting and trailing data. Member names
// are compared case-insensitively, as encoding/json matches struct fields.
func checkJSONMembers(body []byte) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.UseNumber()
	var open []jsonObject
	for {
		token, err := decoder.Token()
		if err != nil {
			return badRequestProblem("invalid JSON body: %v", err)
		}
		if delim, ok := token.(json.Delim); ok && (delim == '}' || delim == ']') {
			open = open[:len(open)-1]
		} else {
			if repeated := recordMemberName(open, token); repeated != "" {
				return badRequestProblem("invalid JSON body: member %q is repeated", repeated)
			}
			if ok {
				open = append(open, newJSONObject(delim))
			}
		}
		if len(open) == 0 {
			break
		}
		if len(open) > maxJSONDepth {
			return badRequestProblem("invalid JSON body: nested too deeply")
		}
	}
	if _, err := decoder.Token(); err != io.EOF {
		return badRequestProblem("invalid JSON body: data behind the value")
	}
	return nil
}

// jsonObject contains the member names seen in an open object. It is also used for
// open arrays, which have no member names.
type jsonObject struct {
	seen      map[string]bool // nil for an array
	wantValue bool            // the last token was a member name
}

func newJSONObject(delim json.Delim) jsonObject {
	if delim == '[' {
		return jsonObject{}
	}
	return jsonObject{seen: map[string]bool{}}
}

// recordMemberName records the token if it is a member name of the innermost object. It
// returns the name if the object already contains it.
func recordMemberName(open []jsonObject, token json.Token) (repeated string) {
	if len(open) == 0 || open[len(open)-1].seen == nil {
		return ""
	}
	object := &open[len(open)-1]
	if object.wantValue {
		object.wantValue = false
		return ""
	}
	name, _ := token.(string)
	folded := strings.ToLower(name)
	if object.seen[folded] {
		return name
	}
	object.seen[folded] = true
	object.wantValue = true
	return ""
}

// validate checks the commit id and the comment of a change and normalizes the
// comment.
func (c *Change) validate() error {
	if !validCommitID(c.CommitID) {
		return badRequestProblem("commit_id: expected 8 to 63 letters, digits, '.', '_' and '-'")
	}
	comment, ok := NormalizeComment(c.Comment)
	if !ok {
		return badRequestProblem(`comment: expected "requester: reason" of at most %d bytes`, maxCommentLength)
	}
	c.Comment = comment
	return nil
}

// validCommitID reports whether an id has a valid length and contains only
// characters that are allowed in a row key.
func validCommitID(id string) bool {
	return len(id) >= minCommitIDLength && rules.ValidName(id)
}

// NormalizeComment returns the comment in the canonical form "requester: reason".
// It reports false if the comment is invalid.
func NormalizeComment(text string) (comment string, ok bool) {
	requester, reason, found := strings.Cut(text, ":")
	requester, reason = strings.TrimSpace(requester), strings.TrimSpace(reason)
	if !found || requester == "" || reason == "" || len(text) > maxCommentLength || !utf8.ValidString(text) {
		return "", false
	}
	if strings.ContainsFunc(text, unicode.IsControl) {
		return "", false
	}
	return requester + ": " + reason, true
}
