package rules

import (
	"io"
	"strings"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
)

// word is a word of a line with its byte offset.
type word struct {
	text   string
	offset int
}

// located is a rule with the place of its identity and of the name that it refers to.
type located[T any] struct {
	rule      T
	line      int32
	column    int32 // of the word that identifies the rule
	reference int32 // column of the service of a route or the team of a key
}

// parser collects the rules and errors of a text.
type parser struct {
	file  string
	line  int
	text  string // current line
	words []word // words of the current line, reused
	errs  ErrorList
	store *textStore // nil if rules may share the memory of the lines

	services       []located[Service]
	routes         []located[Route]
	teams          []located[Team]
	keys           []located[Key]
	zones          []located[Zone]
	backendServers []located[BackendServer]
}

// Parse reads a rules file. The error is an ErrorList with every fault of the
// file, or the error of the reader.
func Parse(fileName string, src io.Reader) (*Config, error) {
	p := &parser{file: fileName, store: &textStore{}}
	if err := p.read(src); err != nil {
		return nil, errors.Wrapf(err, "read rules %s", fileName)
	}
	config := p.build()
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

// parseLines parses lines that were split already.
func (p *parser) parseLines(lines []string) {
	for _, line := range lines {
		p.parseLine(line)
	}
}

func (p *parser) parseLine(line string) {
	p.line++
	p.text = line
	if len(line) > MaxLineLength {
		p.fail(word{line[MaxLineLength:], MaxLineLength}, "a line of at most 8192 bytes")
		return
	}
	hash := p.split()
	if len(p.words) == 0 {
		return
	}
	comment := p.comment(hash)
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
		p.fail(kind, "service, route, team, key, zone or backend")
	}
}

// split fills words up to the comment and returns the offset of the comment, or
// the length of the line. A '#' starts a comment only at the start of a word.
func (p *parser) split() int {
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

// comment reads the comment that starts at the offset.
func (p *parser) comment(offset int) Comment {
	const expected = `a comment "# requester: reason"`
	if offset == len(p.text) {
		p.fail(p.end(), expected)
		return ""
	}
	text := p.text[offset+1:]
	requester, reason, found := strings.Cut(text, ":")
	requester, reason = strings.TrimSpace(requester), strings.TrimSpace(reason)
	if !found || requester == "" || reason == "" || !validCommentText(text) {
		p.fail(word{p.text[offset:], offset}, expected)
		return ""
	}
	if text = strings.TrimSpace(text); len(text) == len(requester)+len(": ")+len(reason) &&
		text[len(requester):len(requester)+2] == ": " {
		return Comment(p.keep(text))
	}
	return Comment(p.keep(requester + ": " + reason))
}

// keep returns the text for use in a rule.
func (p *parser) keep(text string) string {
	if p.store == nil {
		return text
	}
	return p.store.keep(text)
}

// end returns the place behind the last word of the rule.
func (p *parser) end() word {
	if len(p.words) == 0 {
		return word{}
	}
	last := p.words[len(p.words)-1]
	return word{offset: last.offset + len(last.text)}
}

// column returns the column of the word, counted in characters.
func (p *parser) column(w word) int32 {
	return int32(utf8.RuneCountInString(p.text[:w.offset])) + 1
}

// fail records an error at the word.
func (p *parser) fail(w word, expected string) {
	p.errs = append(p.errs, &Error{
		File:     p.file,
		Line:     p.line,
		Column:   int(p.column(w)),
		Word:     shorten(w.text),
		Expected: expected,
	})
}

// operand returns the word at the index and reports an error if it is missing.
func (p *parser) operand(words []word, index int, expected string) (word, bool) {
	if index >= len(words) {
		p.fail(p.end(), expected)
		return word{}, false
	}
	return words[index], true
}

// attributes assigns the values of "name value" pairs in any order to the place
// of their name in names.
func (p *parser) attributes(words []word, names []string, values []word) {
	expected := "" // built only for an error
	for len(words) > 0 {
		name := words[0]
		index := indexOf(names, name.text)
		if index < 0 {
			if expected == "" {
				expected = "one of " + strings.Join(names, ", ")
			}
			p.fail(name, expected)
			words = words[1:]
			continue
		}
		if len(words) == 1 {
			p.fail(p.end(), "a value for "+name.text)
			values[index] = word{offset: -1}
			return
		}
		if values[index].text != "" {
			p.fail(name, name.text+" only once")
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

// required reports whether the attribute has a value, and an error if the rule
// lacks it. An attribute without value was reported before and has offset -1.
func (p *parser) required(value word, expected string) bool {
	if value.text != "" {
		return true
	}
	if value.offset == 0 {
		p.fail(p.end(), expected)
	}
	return false
}
