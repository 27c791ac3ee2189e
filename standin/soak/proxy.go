package soak

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// PathFault is a network fault that a proxy injects into its connections.
type PathFault int32

const (
	// PathHealthy forwards all bytes.
	PathHealthy PathFault = iota
	// PathSlow delays each read by pathReadDelay.
	PathSlow
	// PathDropToTarget drops the bytes sent to the target and keeps connections open.
	PathDropToTarget
	// PathDropFromTarget drops the bytes sent by the target and keeps connections open.
	PathDropFromTarget
	// PathDropAll drops the bytes of both directions and keeps connections open.
	PathDropAll
)

const (
	// pathReadDelay is ten times the typical latency between availability zones.
	pathReadDelay = 30 * time.Millisecond
	// proxyBufferBytes is the size of one read, in bytes.
	proxyBufferBytes = 16 << 10
	// proxyDialTimeout bounds a dial to the target on loopback.
	proxyDialTimeout = time.Second
)

// Proxy forwards TCP connections to a target on loopback and injects network faults.
type Proxy struct {
	listener net.Listener
	target   string
	fault    atomic.Int32

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// NewProxy returns a proxy to target that listens on a free port of ip.
func NewProxy(ip, target string) (*Proxy, error) {
	ln, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: ln, target: target, conns: make(map[net.Conn]struct{})}
	go p.serve()
	return p, nil
}

// Address returns the address on which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetFault sets the fault of all connections, including open ones.
func (p *Proxy) SetFault(f PathFault) { p.fault.Store(int32(f)) }

// Reset resets all open connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // The connection may be closed already.
		}
		c.Close()
	}
	clear(p.conns)
}

// Close closes the listener and resets all open connections.
func (p *Proxy) Close() {
	p.listener.Close()
	p.Reset()
}

func (p *Proxy) serve() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return // The listener is closed.
		}
		go p.handle(c)
	}
}

func (p *Proxy) handle(caller net.Conn) {
	ctx, cancel := context.WithTimeout(context.Background(), proxyDialTimeout)
	defer cancel()
	target, err := (&net.Dialer{}).DialContext(ctx, "tcp", p.target)
	if err != nil {
		if tcp, ok := caller.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // The caller gets a reset because the target is unreachable.
		}
		caller.Close()
		return
	}
	p.mu.Lock()
	p.conns[caller], p.conns[target] = struct{}{}, struct{}{}
	p.mu.Unlock()
	go p.forward(target, caller, PathDropToTarget)
	p.forward(caller, target, PathDropFromTarget)
	p.mu.Lock()
	delete(p.conns, caller)
	delete(p.conns, target)
	p.mu.Unlock()
}

// forward copies bytes in one direction until either end closes. dropFault is the
// fault that drops the bytes of this direction.
func (p *Proxy) forward(to, from net.Conn, dropFault PathFault) {
	defer to.Close()
	defer from.Close()
	buf := make([]byte, proxyBufferBytes)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			switch PathFault(p.fault.Load()) {
			case dropFault, PathDropAll:
				// After a loss, the stream must not continue with later bytes.
				_, _ = io.Copy(io.Discard, from) // Blocks until the connection closes.
				return
			case PathSlow:
				time.Sleep(pathReadDelay)
			}
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
