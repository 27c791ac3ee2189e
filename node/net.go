package node

import (
	"context"
	"net"
	"time"
)

// dialer returns a dial function with a bound on the time to connect.
func dialer(timeout time.Duration) func(ctx context.Context, network, address string) (net.Conn, error) {
	d := &net.Dialer{Timeout: timeout, KeepAlive: 15 * time.Second}
	return d.DialContext
}
