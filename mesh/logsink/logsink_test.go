package logsink

import (
	"bytes"
	"fmt"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// blockedWriter blocks until release is closed.
type blockedWriter struct {
	release chan struct{}

	mu       sync.Mutex
	received bytes.Buffer
}

// Write implements io.Writer.
func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.received.Write(p)
}

// Guards against a blocked log output that blocks requests, and against lines that are
// dropped without being counted.
func TestBlockedWriterDropsLines(t *testing.T) {
	w := &blockedWriter{release: make(chan struct{})}
	s := New(w)
	line := bytes.Repeat([]byte("x"), 1000)
	line[999] = '\n'
	const lines = 1000
	for range lines {
		n, err := s.Write(line)
		require.NoError(t, err)
		require.Equal(t, len(line), n)
	}
	close(w.release)
	s.Close()
	output := w.received.Bytes()
	written := bytes.Count(output, line)
	require.Less(t, written, lines)
	require.LessOrEqual(t, written*len(line), 2*maxPendingBytes)
	require.Contains(t, string(output), fmt.Sprintf("count=%d", lines-written))
}

func TestCloseFlushesPendingLines(t *testing.T) {
	w := &blockedWriter{release: make(chan struct{})}
	close(w.release)
	s := New(w)
	_, err := s.Write([]byte("last\n"))
	require.NoError(t, err)
	s.Close()
	require.Equal(t, "last\n", w.received.String())
}
