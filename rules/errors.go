package rules

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"unicode/utf8"
)

// maxQuotedWord bounds an offending word in an error message, in bytes.
const maxQuotedWord = 64

// Error is one fault of a rules text.
type Error struct {
	File     string // name given to Parse, or "removed" or "added" for a delta
	Line     int    // counted from 1
	Column   int    // counted from 1 in characters
	Word     string // offending word, shortened; empty at the end of a rule
	Expected string // what was expected instead
}

// Error returns the position, the offending word and what was expected.
func (e *Error) Error() string {
	found := "end of rule"
	if e.Word != "" {
		found = fmt.Sprintf("%q", e.Word)
	}
	return fmt.Sprintf("%s:%d:%d: found %s, expected %s", e.File, e.Line, e.Column, found, e.Expected)
}

// ErrorList holds all faults of a rules text, sorted by position.
type ErrorList []*Error //nolint:errname // the interface in docs/design.md names it ErrorList

// Error returns one line per fault.
func (l ErrorList) Error() string {
	lines := make([]string, len(l))
	for i, e := range l {
		lines[i] = e.Error()
	}
	return strings.Join(lines, "\n")
}

// sortErrors orders the errors by position; errors of one position keep their order.
func sortErrors(list ErrorList) {
	slices.SortStableFunc(list, func(a, b *Error) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
}

// shorten limits a word for use in an error message.
func shorten(word string) string {
	if len(word) <= maxQuotedWord {
		return word
	}
	cut := maxQuotedWord
	for cut > 0 && !utf8.RuneStart(word[cut]) {
		cut--
	}
	return word[:cut] + "..."
}
