package settings

import (
	"fmt"
	"strings"
)

// maxShownValue bounds a value in an error message, in bytes.
const maxShownValue = 64

// Error is one fault of the settings.
type Error struct {
	Key      string // path of the key, such as "operators[1].name"; empty for a syntax error
	Value    string // offending value, shortened; empty if it is missing or secret
	Expected string // what was expected
}

// Error returns the key, the value and what was expected.
func (e *Error) Error() string {
	switch {
	case e.Key == "":
		return "expected " + e.Expected
	case e.Value == "":
		return fmt.Sprintf("%s: expected %s", e.Key, e.Expected)
	}
	return fmt.Sprintf("%s: found %q, expected %s", e.Key, e.Value, e.Expected)
}

// ErrorList holds all faults of the settings.
type ErrorList []*Error //nolint:errname // named like the list of package rules

// Error returns one line per fault.
func (l ErrorList) Error() string {
	lines := make([]string, len(l))
	for i, e := range l {
		lines[i] = e.Error()
	}
	return strings.Join(lines, "\n")
}

// syntax reports whether the list holds a syntax error.
func (l ErrorList) syntax() bool {
	return len(l) > 0 && l[0].Key == ""
}

// covers reports whether the list has an error for the key or a table around it.
func (l ErrorList) covers(key string) bool {
	for _, e := range l {
		if rest, found := strings.CutPrefix(key, e.Key); found && (rest == "" || rest[0] == '.' || rest[0] == '[') {
			return true
		}
	}
	return false
}

// shorten limits a value for use in an error message.
func shorten(value string) string {
	if len(value) <= maxShownValue {
		return value
	}
	return strings.ToValidUTF8(value[:maxShownValue], "") + "..."
}
