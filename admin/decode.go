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

// minCommitIDLength makes it unlikely that two clients choose the same id; the
// upper bound is rules.MaxNameLength.
const minCommitIDLength = 8

// maxDepth bounds the nesting of a JSON body; no request needs more than 4 levels.
const maxDepth = 16

// decodeBody reads a JSON body of limited size. Unknown and repeated members,
// data behind the value, and text that is not UTF-8 are refused, because each of
// them could make two readers of one request disagree about its meaning.
func decodeBody(ctx iris.Context, limit int64, into any) error {
	r := ctx.Request()
	if mediaType, _, err := mime.ParseMediaType(r.Header.Get("Content-Type")); err != nil || mediaType != "application/json" {
		return newProblem(http.StatusUnsupportedMediaType, CodeUnsupportedMedia, "the body must have Content-Type application/json")
	}
	// The announced length avoids growing the buffer step by step.
	body := bytes.NewBuffer(make([]byte, 0, min(max(r.ContentLength, 0), limit)+bytes.MinRead))
	if _, err := body.ReadFrom(http.MaxBytesReader(ctx.ResponseWriter(), r.Body, limit)); err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return newProblem(http.StatusRequestEntityTooLarge, CodeBodyTooLarge, "the body must have at most %d bytes", limit)
		}
		return badRequest("the body could not be read to its end")
	}
	return decodeStrict(body.Bytes(), into)
}

func decodeStrict(body []byte, into any) error {
	if !utf8.Valid(body) {
		return badRequest("the body is not valid UTF-8")
	}
	if err := checkMembers(body); err != nil {
		return err
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return badRequest("invalid JSON body: %s", strings.TrimPrefix(err.Error(), "json: "))
	}
	return nil
}

// checkMembers refuses repeated members, deep nesting and trailing data. Names
// are compared without regard to case, as encoding/json does for fields.
func checkMembers(body []byte) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.UseNumber()
	var open []objectNames
	for {
		token, err := decoder.Token()
		if err != nil {
			return badRequest("invalid JSON body: %v", err)
		}
		if delim, ok := token.(json.Delim); ok && (delim == '}' || delim == ']') {
			open = open[:len(open)-1]
		} else {
			if repeated := noteName(open, token); repeated != "" {
				return badRequest("invalid JSON body: member %q is repeated", repeated)
			}
			if ok {
				open = append(open, newObjectNames(delim))
			}
		}
		if len(open) == 0 {
			break
		}
		if len(open) > maxDepth {
			return badRequest("invalid JSON body: nested too deeply")
		}
	}
	if _, err := decoder.Token(); err != io.EOF {
		return badRequest("invalid JSON body: data behind the value")
	}
	return nil
}

// objectNames holds the member names of an open object; an array has none.
type objectNames struct {
	seen      map[string]bool // nil for an array
	wantValue bool            // the last token was a name
}

func newObjectNames(delim json.Delim) objectNames {
	if delim == '[' {
		return objectNames{}
	}
	return objectNames{seen: map[string]bool{}}
}

// noteName records the token if it is a member name of the innermost object, and
// returns the name if the object has it already.
func noteName(open []objectNames, token json.Token) (repeated string) {
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

// validate checks the commit id and the comment of a change.
func (c *Change) validate() error {
	if !validCommitID(c.CommitID) {
		return badRequest("commit_id: expected 8 to 63 letters, digits, '.', '_' and '-'")
	}
	comment, ok := NormaliseComment(c.Comment)
	if !ok {
		return badRequest(`comment: expected "requester: reason" of at most %d bytes`, maxCommentLength)
	}
	c.Comment = comment
	return nil
}

// validCommitID bounds the length of an id and keeps it usable in a row key.
func validCommitID(id string) bool {
	return len(id) >= minCommitIDLength && rules.ValidName(id)
}

// NormaliseComment returns the comment in the canonical form "requester: reason".
func NormaliseComment(text string) (comment string, ok bool) {
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
