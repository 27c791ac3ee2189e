package node

import (
	"context"
	"io"
	stdlog "log"
	"net"
	"time"
)

// discardLog returns a logger that drops the messages of net/http about failed
// connections; the counters cover them.
func discardLog() *stdlog.Logger { return stdlog.New(io.Discard, "", 0) }

// Network opens sockets.
type Network interface {
	// Listen opens a listener as net.Listen does.
	Listen(network, address string) (net.Listener, error)
	// Dial opens a connection as net.Dialer.DialContext does.
	Dial(ctx context.Context, network, address string) (net.Conn, error)
}

// tcpNetwork is the network of the operating system.
type tcpNetwork struct{}

// Listen implements Network.
func (tcpNetwork) Listen(network, address string) (net.Listener, error) {
	return net.Listen(network, address)
}

// Dial implements Network.
func (tcpNetwork) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	return dialer(backendDialTimeout)(ctx, network, address)
}

func (n *Node) dialLink(ctx context.Context, address string) (net.Conn, error) {
	return n.deps.Network.Dial(ctx, "tcp", address)
}

// setDial sets the dial function of both transports.
func (d *dispatcher) setDial(f func(ctx context.Context, network, address string) (net.Conn, error)) {
	if f == nil {
		return
	}
	d.idempotent.DialContext, d.nonIdempotent.DialContext = f, f
}

// dialer returns a dial function with a connect timeout.
func dialer(timeout time.Duration) func(ctx context.Context, network, address string) (net.Conn, error) {
	d := &net.Dialer{Timeout: timeout, KeepAlive: 15 * time.Second}
	return d.DialContext
}
