package node

import (
	"context"
	"io"
	stdlog "log"
	"net"
	"time"
)

// discardLog drops the lines that net/http writes for each broken connection;
// the counters show them.
func discardLog() *stdlog.Logger { return stdlog.New(io.Discard, "", 0) }

// dialer returns a dial function with a bound on the time to connect.
func dialer(timeout time.Duration) func(ctx context.Context, network, address string) (net.Conn, error) {
	d := &net.Dialer{Timeout: timeout, KeepAlive: 15 * time.Second}
	return d.DialContext
}
