package rules

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"unicode/utf8"
)

// maxQuotedWordBytes bounds the length of a word quoted in an error message.
const maxQuotedWordBytes = 64

// Error is a parse or validation error in a rules file or a delta.
type Error struct {
	File     string // file name passed to Parse, or "removed" or "added" for a delta
	Line     int    // starts at 1
	Column   int    // starts at 1, in characters
	Word     string // offending word, truncated; empty at the end of a rule
	Expected string // description of the expected input
}

// Error returns the position, the offending word and the expected input.
func (e *Error) Error() string {
	found := "end of rule"
	if e.Word != "" {
		found = fmt.Sprintf("%q", e.Word)
	}
	return fmt.Sprintf("%s:%d:%d: found %s, expected %s", e.File, e.Line, e.Column, found, e.Expected)
}

// ErrorList contains all errors of a rules file or a delta, sorted by position.
type ErrorList []*Error //nolint:errname // the interface in docs/design.md names it ErrorList

// Error returns one line per error.
func (l ErrorList) Error() string {
	lines := make([]string, len(l))
	for i, e := range l {
		lines[i] = e.Error()
	}
	return strings.Join(lines, "\n")
}

// sortErrors sorts the errors by position; the sort is stable.
func sortErrors(list ErrorList) {
	slices.SortStableFunc(list, func(a, b *Error) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
}

// truncateWord truncates a word to maxQuotedWordBytes at a character boundary.
func truncateWord(word string) string {
	if len(word) <= maxQuotedWordBytes {
		return word
	}
	end := maxQuotedWordBytes
	for end > 0 && !utf8.RuneStart(word[end]) {
		end--
	}
	return word[:end] + "..."
}
