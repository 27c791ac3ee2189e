package logsink

import (
	"bytes"
	"fmt"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// slowReader takes nothing until it is released.
type slowReader struct {
	release chan struct{}

	mu  sync.Mutex
	got bytes.Buffer
}

// Write implements io.Writer.
func (r *slowReader) Write(p []byte) (int, error) {
	<-r.release
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.got.Write(p)
}

// Guards against a reader of the log that holds up requests, and against lines
// that are dropped silently.
func TestSlowReaderBlocksNobody(t *testing.T) {
	r := &slowReader{release: make(chan struct{})}
	s := New(r)
	line := bytes.Repeat([]byte("x"), 1000)
	line[999] = '\n'
	const lines = 1000
	for range lines {
		n, err := s.Write(line)
		require.NoError(t, err)
		require.Equal(t, len(line), n)
	}
	close(r.release)
	s.Close()
	out := r.got.Bytes()
	kept := bytes.Count(out, line)
	require.Less(t, kept, lines)
	require.LessOrEqual(t, kept*len(line), 2*maxPending)
	require.Contains(t, string(out), fmt.Sprintf("count=%d", lines-kept))
}

func TestCloseWritesWhatIsLeft(t *testing.T) {
	r := &slowReader{release: make(chan struct{})}
	close(r.release)
	s := New(r)
	_, err := s.Write([]byte("last\n"))
	require.NoError(t, err)
	s.Close()
	require.Equal(t, "last\n", r.got.String())
}
