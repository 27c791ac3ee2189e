package soak

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// PathFault is what a proxy does to the bytes that pass through it.
type PathFault int32

const (
	// PathSound passes everything on.
	PathSound PathFault = iota
	// PathSlow delays each read by pathDelay.
	PathSlow
	// PathDeaf drops the bytes towards the target and leaves connections open.
	PathDeaf
	// PathMute does so with the bytes from the target.
	PathMute
	// PathSilent drops all bytes.
	PathSilent
)

const (
	// pathDelay is ten times the usual time between availability zones.
	pathDelay = 30 * time.Millisecond
	// proxyBuffer is the size of one read, in bytes.
	proxyBuffer = 16 << 10
	// proxyDialTimeout bounds a connection to the target on loopback.
	proxyDialTimeout = time.Second
)

// Proxy passes connections on to a target on loopback and harms them on demand.
type Proxy struct {
	listener net.Listener
	target   string
	fault    atomic.Int32

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// NewProxy listens on a free port of ip.
func NewProxy(ip, target string) (*Proxy, error) {
	ln, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: ln, target: target, conns: make(map[net.Conn]struct{})}
	go p.serve()
	return p, nil
}

// Address is where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set changes the fault of all connections, also open ones.
func (p *Proxy) Set(f PathFault) { p.fault.Store(int32(f)) }

// Reset breaks all open connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // The connection may be gone.
		}
		c.Close()
	}
	clear(p.conns)
}

// Close ends the proxy.
func (p *Proxy) Close() {
	p.listener.Close()
	p.Reset()
}

func (p *Proxy) serve() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return // Closed.
		}
		go p.connect(c)
	}
}

func (p *Proxy) connect(caller net.Conn) {
	ctx, cancel := context.WithTimeout(context.Background(), proxyDialTimeout)
	defer cancel()
	target, err := (&net.Dialer{}).DialContext(ctx, "tcp", p.target)
	if err != nil {
		if tcp, ok := caller.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // A refused connection is reset.
		}
		caller.Close()
		return
	}
	p.mu.Lock()
	p.conns[caller], p.conns[target] = struct{}{}, struct{}{}
	p.mu.Unlock()
	go p.copy(target, caller, PathDeaf)
	p.copy(caller, target, PathMute)
	p.mu.Lock()
	delete(p.conns, caller)
	delete(p.conns, target)
	p.mu.Unlock()
}

// copy passes bytes on in one direction until either end closes. lossy is the
// fault that drops the bytes of this direction.
func (p *Proxy) copy(to, from net.Conn, lossy PathFault) {
	defer to.Close()
	defer from.Close()
	buf := make([]byte, proxyBuffer)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			switch PathFault(p.fault.Load()) {
			case lossy, PathSilent:
				// A stream that lost bytes must not go on with later ones.
				_, _ = io.Copy(io.Discard, from) // Until the end of the connection.
				return
			case PathSlow:
				time.Sleep(pathDelay)
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
