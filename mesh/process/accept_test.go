package process

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// failingListener fails to accept while failures is positive, as without file descriptors.
type failingListener struct {
	net.Listener
	failures *atomic.Int32
}

// Accept implements net.Listener.
func (l failingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil && l.failures.Add(-1) >= 0 {
		conn.Close()
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return conn, err
}

// Guards against a node that serves no caller and no other node any more after it had no file
// descriptor for a connection, although it says that it is ready.
func TestNodeServesAfterAcceptFails(t *testing.T) {
	failures := new(atomic.Int32)
	options := nodeOptions{wrapListener: func(ln net.Listener) net.Listener { return failingListener{ln, failures} }}
	n, _ := startTwoNodes(t, answerAfter(newExecutions(), 0), publicConfig, unchanged, options)
	callers := n.settings.ListenCallers

	failures.Store(4)
	for _, address := range []string{callers, callers, n.linkAddress(), n.linkAddress()} {
		conn, err := net.Dial("tcp", address)
		require.NoError(t, err)
		conn.Close()
	}
	answered := newExecutions()
	require.Eventually(t, func() bool { return failures.Load() <= 0 }, waitTimeout, 5*time.Millisecond)
	var sends sync.WaitGroup
	for i := range 8 {
		sends.Go(func() { sendOnce(callers, fmt.Sprint("r", i), answered) })
	}
	sends.Wait()
	require.Len(t, answered.ids, 8)
	conn, err := dialPeer(t.Context(), n.linkAddress())
	require.NoError(t, err)
	defer conn.Close()
	_ = conn.SetReadDeadline(time.Now().Add(500 * time.Millisecond))
	_, err = conn.Read(make([]byte, 1))
	var timeout net.Error
	require.ErrorAs(t, err, &timeout, "the link is open")
	require.True(t, timeout.Timeout())
}
