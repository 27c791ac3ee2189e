package rules

import (
	"bytes"
	"io"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// readSize is the size of the read buffer; it holds several lines of maximal length.
	readSize = 64 << 10
	// chunkSize is the allocation unit of the text that a configuration keeps.
	chunkSize = 32 << 10
	// recentTexts is the number of texts that are compared for reuse; a power of two.
	recentTexts = 4096
)

// read parses the lines of a source without holding its whole text.
func (p *parser) read(src io.Reader) error {
	buf := make([]byte, 0, readSize)
	for {
		n, err := src.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if end := bytes.LastIndexByte(buf, '\n') + 1; end > 0 {
			p.parseText(string(buf[:end]))
			buf = append(buf[:0], buf[end:]...)
		} else if len(buf) == cap(buf) {
			// The line is too long in any case; enough is kept to report it.
			buf = buf[:MaxLineLength+2*maxQuotedWord]
		}
		if err == io.EOF {
			p.parseText(string(buf))
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// textStore copies the texts that a configuration keeps, so that it does not
// keep the rest of the lines. Texts that repeat, such as names of services and
// requesters, are stored once as long as they are among the recent ones.
type textStore struct {
	chunk  strings.Builder
	recent []string
}

// keep returns a copy of the text, or an equal text that was stored before.
func (s *textStore) keep(text string) string {
	if text == "" {
		return ""
	}
	if s.recent == nil {
		s.recent = make([]string, recentTexts)
	}
	slot := &s.recent[xxhash.Sum64String(text)%recentTexts]
	if *slot != text {
		*slot = s.copy(text)
	}
	return *slot
}

func (s *textStore) copy(text string) string {
	if len(text) > s.chunk.Cap()-s.chunk.Len() {
		s.chunk = strings.Builder{}
		s.chunk.Grow(max(chunkSize, len(text)))
	}
	// Writing within the capacity leaves the texts returned before in place.
	start := s.chunk.Len()
	s.chunk.WriteString(text)
	return s.chunk.String()[start:]
}
