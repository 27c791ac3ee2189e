package link

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// minAcceptBackoff and maxAcceptBackoff bound the exponential backoff after a failed
	// Accept.
	minAcceptBackoff = 5 * time.Millisecond
	maxAcceptBackoff = 250 * time.Millisecond
)

// RetryListener is a listener whose Accept only returns an error once the listener is closed.
// Other errors, such as a lack of file descriptors, are temporary: a server that stopped
// accepting because of one would not serve again until its process restarts.
type RetryListener struct {
	net.Listener
	// OnError is called with each error after which Accept is tried again; it may be nil.
	OnError func(error)
}

// Accept waits for the next connection.
func (l *RetryListener) Accept() (net.Conn, error) {
	backoff := minAcceptBackoff
	for {
		conn, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		if l.OnError != nil {
			l.OnError(err)
		}
		time.Sleep(backoff)
		backoff = min(2*backoff, maxAcceptBackoff)
	}
}
