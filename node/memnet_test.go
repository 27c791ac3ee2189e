package node

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// memNetwork is an in-memory network for tests with a virtual clock. Traffic
// from one IP address to another can be blocked in one direction: bytes are
// then lost without an error, as with a firewall that drops packets.
type memNetwork struct {
	mu        sync.Mutex
	listeners map[string]*memListener
	blocked   map[[2]string]bool
	// delay returns the one-way delay from one IP address to another; nil means no
	// delay.
	delay func(from, to string) time.Duration
}

func newMemNetwork() *memNetwork {
	return &memNetwork{listeners: make(map[string]*memListener), blocked: make(map[[2]string]bool)}
}

// setBlocked blocks or restores the direction from one IP address to another.
func (m *memNetwork) setBlocked(from, to string, blocked bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.blocked[[2]string{from, to}] = blocked
}

func (m *memNetwork) isBlocked(from, to string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.blocked[[2]string{from, to}]
}

// memHost is the network of one IP address.
type memHost struct {
	net *memNetwork
	ip  string
}

func (h memHost) Listen(_, address string) (net.Listener, error) {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	if h.net.listeners[address] != nil {
		return nil, errors.Newf("address %s is in use", address)
	}
	l := &memListener{net: h.net, address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
	h.net.listeners[address] = l
	return l, nil
}

func (h memHost) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	h.net.mu.Lock()
	l := h.net.listeners[address]
	h.net.mu.Unlock()
	ip, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	if h.net.isBlocked(h.ip, ip) || h.net.isBlocked(ip, h.ip) {
		<-ctx.Done() // The handshake needs both directions.
		return nil, ctx.Err()
	}
	if l == nil {
		return nil, errors.Newf("connection to %s refused", address)
	}
	client, server := newMemPair(h.net, h.ip, ip)
	select {
	case l.conns <- server:
		return client, nil
	case <-l.closed:
		return nil, errors.Newf("connection to %s refused", address)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

type memListener struct {
	net     *memNetwork
	address string
	conns   chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

func (l *memListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memListener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.net.mu.Lock()
		defer l.net.mu.Unlock()
		delete(l.net.listeners, l.address)
	})
	return nil
}

func (l *memListener) Addr() net.Addr { return memAddr("127.0.0.1") }

func memAddr(ip string) net.Addr { return &net.TCPAddr{IP: net.ParseIP(ip), Port: 1} }

// memConn is one end of an in-memory connection.
type memConn struct {
	net           *memNetwork
	local, remote string
	in, out       chan packet
	closed        chan struct{}
	peerClosed    chan struct{}
	once          *sync.Once
	// readSlot is a semaphore for one reader. A mutex would stop the virtual clock
	// while a second reader waits for one that is sleeping.
	readSlot chan struct{}
	unread   []byte
	read     memDeadline
	write    memDeadline
}

// packet is the data of one write and its time of arrival.
type packet struct {
	data    []byte
	arrival time.Time
}

// memBuffer is the maximum number of writes in flight in one direction.
const memBuffer = 256

func newMemPair(m *memNetwork, client, server string) (net.Conn, net.Conn) {
	toServer, toClient := make(chan packet, memBuffer), make(chan packet, memBuffer)
	a, b := make(chan struct{}), make(chan struct{})
	c := &memConn{net: m, local: client, remote: server, in: toClient, out: toServer, closed: a, peerClosed: b, once: new(sync.Once), readSlot: make(chan struct{}, 1)}
	s := &memConn{net: m, local: server, remote: client, in: toServer, out: toClient, closed: b, peerClosed: a, once: new(sync.Once), readSlot: make(chan struct{}, 1)}
	return c, s
}

func (c *memConn) Read(p []byte) (int, error) {
	c.readSlot <- struct{}{}
	defer func() { <-c.readSlot }()
	if len(c.unread) == 0 {
		received, err := c.receive()
		if err != nil {
			return 0, err
		}
		time.Sleep(time.Until(received.arrival))
		c.unread = received.data
	}
	n := copy(p, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

func (c *memConn) receive() (packet, error) {
	for {
		select {
		case data := <-c.in:
			return data, nil
		default:
		}
		changed, expired := c.read.channels()
		select {
		case data := <-c.in:
			return data, nil
		case <-c.closed:
			return packet{}, net.ErrClosed
		case <-expired:
			return packet{}, os.ErrDeadlineExceeded
		case <-changed:
		case <-c.peerClosedSignal():
			select {
			case data := <-c.in:
				return data, nil
			default:
				return packet{}, io.EOF
			}
		}
	}
}

// peerClosedSignal returns the channel that is closed with the peer, or nil
// while the direction from the peer is blocked.
func (c *memConn) peerClosedSignal() chan struct{} {
	if c.net.isBlocked(c.remote, c.local) {
		return nil
	}
	return c.peerClosed
}

func (c *memConn) Write(p []byte) (int, error) {
	if c.net.isBlocked(c.local, c.remote) {
		return len(p), nil
	}
	sent := packet{data: append([]byte(nil), p...), arrival: time.Now()}
	if c.net.delay != nil {
		sent.arrival = sent.arrival.Add(c.net.delay(c.local, c.remote))
	}
	_, expired := c.write.channels()
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	case <-c.peerClosed:
		return 0, io.ErrClosedPipe
	case <-expired:
		return 0, os.ErrDeadlineExceeded
	case c.out <- sent:
		return len(p), nil
	}
}

func (c *memConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}

func (c *memConn) LocalAddr() net.Addr                { return memAddr(c.local) }
func (c *memConn) RemoteAddr() net.Addr               { return memAddr(c.remote) }
func (c *memConn) SetReadDeadline(t time.Time) error  { c.read.set(t); return nil }
func (c *memConn) SetWriteDeadline(t time.Time) error { c.write.set(t); return nil }
func (c *memConn) SetDeadline(t time.Time) error      { c.read.set(t); c.write.set(t); return nil }

// memDeadline is a deadline that also wakes blocked calls when it changes.
type memDeadline struct {
	mu      sync.Mutex
	timer   *time.Timer
	expired chan struct{}
	changed chan struct{}
}

func (d *memDeadline) channels() (changed, expired chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.changed == nil {
		d.changed = make(chan struct{})
	}
	return d.changed, d.expired
}

func (d *memDeadline) set(t time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.timer != nil {
		d.timer.Stop()
	}
	d.timer, d.expired = nil, nil
	if !t.IsZero() {
		expired := make(chan struct{})
		d.expired = expired
		if left := time.Until(t); left <= 0 {
			close(expired)
		} else {
			d.timer = time.AfterFunc(left, func() { close(expired) })
		}
	}
	if d.changed != nil {
		close(d.changed)
	}
	d.changed = make(chan struct{})
}
