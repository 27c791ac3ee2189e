package rules

import (
	"bytes"
	"io"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// readBufferBytes is the size of the read buffer. It fits several lines of maximum
	// length.
	readBufferBytes = 64 << 10
	// textChunkBytes is the allocation unit of the strings that a configuration
	// retains.
	textChunkBytes = 32 << 10
	// internTableSize is the number of strings in the intern table; a power of two.
	internTableSize = 4096
)

// read parses the lines of a source without buffering the entire source.
func (p *parser) read(src io.Reader) error {
	buf := make([]byte, 0, readBufferBytes)
	for {
		n, err := src.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if end := bytes.LastIndexByte(buf, '\n') + 1; end > 0 {
			p.parseText(string(buf[:end]))
			buf = append(buf[:0], buf[end:]...)
		} else if len(buf) == cap(buf) {
			// The line exceeds MaxLineLength whatever follows; only the part that the error
			// message needs is retained.
			buf = buf[:MaxLineLength+2*maxQuotedWordBytes]
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

// stringInterner copies the strings that a configuration retains, so that the rest
// of the lines can be garbage-collected. Repeated strings, such as names of services
// and requesters, are deduplicated by a direct-mapped table of recent strings.
type stringInterner struct {
	chunk  strings.Builder
	recent []string
}

// intern returns a copy of the text, or an equal string from the table.
func (s *stringInterner) intern(text string) string {
	if text == "" {
		return ""
	}
	if s.recent == nil {
		s.recent = make([]string, internTableSize)
	}
	slot := &s.recent[xxhash.Sum64String(text)%internTableSize]
	if *slot != text {
		*slot = s.copyText(text)
	}
	return *slot
}

func (s *stringInterner) copyText(text string) string {
	if len(text) > s.chunk.Cap()-s.chunk.Len() {
		s.chunk = strings.Builder{}
		s.chunk.Grow(max(textChunkBytes, len(text)))
	}
	// Writing within the capacity does not move the strings returned earlier.
	start := s.chunk.Len()
	s.chunk.WriteString(text)
	return s.chunk.String()[start:]
}
