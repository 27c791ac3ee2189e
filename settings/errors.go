package settings

import (
	"fmt"
	"strings"
)

// maxErrorValueBytes is the maximum length of a value in an error message, in bytes.
const maxErrorValueBytes = 64

// Error describes one invalid, missing or unknown setting.
type Error struct {
	Key      string // path of the key, such as "operators[1].name"; empty for a TOML syntax error
	Value    string // invalid value, truncated; empty if it is missing or secret
	Expected string // description of a valid value
}

// Error returns a message with the key, the value and the expected form.
func (e *Error) Error() string {
	switch {
	case e.Key == "":
		return "expected " + e.Expected
	case e.Value == "":
		return fmt.Sprintf("%s: expected %s", e.Key, e.Expected)
	}
	return fmt.Sprintf("%s: found %q, expected %s", e.Key, e.Value, e.Expected)
}

// ErrorList holds all errors of a settings file.
type ErrorList []*Error //nolint:errname // same name as the list type of package rules

// Error returns one line for each error.
func (l ErrorList) Error() string {
	lines := make([]string, len(l))
	for i, e := range l {
		lines[i] = e.Error()
	}
	return strings.Join(lines, "\n")
}

// hasSyntaxError reports whether the list contains a syntax error.
func (l ErrorList) hasSyntaxError() bool {
	return len(l) > 0 && l[0].Key == ""
}

// covers reports whether the list contains an error for the key or for a table or
// array that encloses it.
func (l ErrorList) covers(key string) bool {
	for _, e := range l {
		if rest, found := strings.CutPrefix(key, e.Key); found && (rest == "" || rest[0] == '.' || rest[0] == '[') {
			return true
		}
	}
	return false
}

// truncate truncates a value for use in an error message.
func truncate(value string) string {
	if len(value) <= maxErrorValueBytes {
		return value
	}
	return strings.ToValidUTF8(value[:maxErrorValueBytes], "") + "..."
}
