package rules

import (
	"io"
	"strings"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
)

// word is a word of a line with its byte offset in the line.
type word struct {
	text   string
	offset int
}

// parsedRule is a rule with the position of its identity and of the name that it
// references.
type parsedRule[T any] struct {
	rule            T
	line            int32
	column          int32 // column of the word that identifies the rule
	referenceColumn int32 // column of the service of a route or the team of a key
}

// parser collects the rules and errors of a rules file or of one side of a delta.
type parser struct {
	file     string
	line     int
	text     string // current line
	words    []word // words of the current line; the slice is reused
	errs     ErrorList
	interner *stringInterner // nil if rules may reference the memory of the lines

	services       []parsedRule[Service]
	routes         []parsedRule[Route]
	teams          []parsedRule[Team]
	keys           []parsedRule[Key]
	zones          []parsedRule[Zone]
	backendServers []parsedRule[BackendServer]
}

// Parse parses a rules file. The error is an ErrorList with all errors of the file,
// or the error of the reader.
func Parse(fileName string, src io.Reader) (*Config, error) {
	p := &parser{file: fileName, interner: &stringInterner{}}
	if err := p.read(src); err != nil {
		return nil, errors.Wrapf(err, "read rules %s", fileName)
	}
	config := p.buildConfig()
	if len(p.errs) > 0 {
		sortErrors(p.errs)
		return nil, p.errs
	}
	return config, nil
}

// parseText parses every line of a text.
func (p *parser) parseText(text string) {
	for len(text) > 0 {
		line, rest, _ := strings.Cut(text, "\n")
		p.parseLine(strings.TrimSuffix(line, "\r"))
		text = rest
	}
}

// parseLines parses lines that are already split.
func (p *parser) parseLines(lines []string) {
	for _, line := range lines {
		p.parseLine(line)
	}
}

func (p *parser) parseLine(line string) {
	p.line++
	p.text = line
	if len(line) > MaxLineLength {
		p.addError(word{line[MaxLineLength:], MaxLineLength}, "a line of at most 8192 bytes")
		return
	}
	commentOffset := p.splitWords()
	if len(p.words) == 0 {
		return
	}
	comment := p.parseComment(commentOffset)
	kind, rest := p.words[0], p.words[1:]
	switch kind.text {
	case "service":
		p.parseService(rest, comment)
	case "route":
		p.parseRoute(rest, comment)
	case "team":
		p.parseTeam(rest, comment)
	case "key":
		p.parseKey(rest, comment)
	case "zone":
		p.parseZone(rest, comment)
	case "backend":
		p.parseBackendServer(rest, comment)
	default:
		p.addError(kind, "service, route, team, key, zone or backend")
	}
}

// splitWords splits the current line into words up to the comment. It returns the
// offset of the comment, or the length of the line if there is none. A '#' starts a
// comment only at the start of a word.
func (p *parser) splitWords() int {
	p.words = p.words[:0]
	line := p.text
	for i := 0; i < len(line); {
		if isBlank(line[i]) {
			i++
			continue
		}
		if line[i] == '#' {
			return i
		}
		start := i
		for i < len(line) && !isBlank(line[i]) {
			i++
		}
		p.words = append(p.words, word{line[start:i], start})
	}
	return len(line)
}

func isBlank(c byte) bool {
	return c == ' ' || c == '\t'
}

// parseComment parses the comment that starts at the offset and normalizes its
// white space.
func (p *parser) parseComment(offset int) Comment {
	const expected = `a comment "# requester: reason"`
	if offset == len(p.text) {
		p.addError(p.endOfRule(), expected)
		return ""
	}
	text := p.text[offset+1:]
	requester, reason, found := strings.Cut(text, ":")
	requester, reason = strings.TrimSpace(requester), strings.TrimSpace(reason)
	if !found || requester == "" || reason == "" || !validCommentText(text) {
		p.addError(word{p.text[offset:], offset}, expected)
		return ""
	}
	if text = strings.TrimSpace(text); len(text) == len(requester)+len(": ")+len(reason) &&
		text[len(requester):len(requester)+2] == ": " {
		return Comment(p.intern(text))
	}
	return Comment(p.intern(requester + ": " + reason))
}

// intern returns a string that a rule can retain without retaining the rest of the
// line.
func (p *parser) intern(text string) string {
	if p.interner == nil {
		return text
	}
	return p.interner.intern(text)
}

// endOfRule returns an empty word at the end of the last word of the rule.
func (p *parser) endOfRule() word {
	if len(p.words) == 0 {
		return word{}
	}
	last := p.words[len(p.words)-1]
	return word{offset: last.offset + len(last.text)}
}

// column returns the column of the word, in characters, starting at 1.
func (p *parser) column(w word) int32 {
	return int32(utf8.RuneCountInString(p.text[:w.offset])) + 1
}

// addError records an error at the position of the word.
func (p *parser) addError(w word, expected string) {
	p.errs = append(p.errs, &Error{
		File:     p.file,
		Line:     p.line,
		Column:   int(p.column(w)),
		Word:     truncateWord(w.text),
		Expected: expected,
	})
}

// operand returns the word at the index and reports an error if it is missing.
func (p *parser) operand(words []word, index int, expected string) (word, bool) {
	if index >= len(words) {
		p.addError(p.endOfRule(), expected)
		return word{}, false
	}
	return words[index], true
}

// parseAttributes parses "name value" pairs in any order. It stores each value at
// the index of its name in names.
func (p *parser) parseAttributes(words []word, names []string, values []word) {
	expected := "" // built only if an error occurs
	for len(words) > 0 {
		name := words[0]
		index := indexOf(names, name.text)
		if index < 0 {
			if expected == "" {
				expected = "one of " + strings.Join(names, ", ")
			}
			p.addError(name, expected)
			words = words[1:]
			continue
		}
		if len(words) == 1 {
			p.addError(p.endOfRule(), "a value for "+name.text)
			values[index] = word{offset: -1}
			return
		}
		if values[index].text != "" {
			p.addError(name, name.text+" only once")
		}
		values[index] = words[1]
		words = words[2:]
	}
}

func indexOf(names []string, name string) int {
	for i, n := range names {
		if n == name {
			return i
		}
	}
	return -1
}

// requireValue reports whether the attribute has a value, and records an error if
// the attribute is absent. An attribute without value has offset -1; its error is
// already recorded.
func (p *parser) requireValue(value word, expected string) bool {
	if value.text != "" {
		return true
	}
	if value.offset == 0 {
		p.addError(p.endOfRule(), expected)
	}
	return false
}
