package slopes

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"trefoildock.example/link"
	"trefoildock.example/wire"
)

// idleWindow is the time for which idle links are watched.
const idleWindow = 2 * time.Second

func linkExperiments() []experiment {
	calls, idle := []int{500, 1_000, 2_000, 4_000}, []int{8, 32, 64}
	return []experiment{
		{
			quantities: []Quantity{
				{"link:call_bytes", "B", "call", "a ping over a plain link on loopback, both directions, yamux frames included"},
				{"link:call_time", "ns", "call", "work of both ends for it, system calls included"},
			},
			sizes: calls, run: func(ctx context.Context, _ Environment, n int) ([]float64, error) { return measureCalls(ctx, n, false) },
		},
		{
			quantities: []Quantity{
				{"link:tls_call_bytes", "B", "call", "the same with mutual TLS, records included"},
				{"link:tls_call_time", "ns", "call", "the same with mutual TLS"},
			},
			sizes: calls, run: func(ctx context.Context, _ Environment, n int) ([]float64, error) { return measureCalls(ctx, n, true) },
		},
		{
			quantities: []Quantity{
				{"link:idle_memory", "B", "link", "heap and stacks of both ends of an idle link"},
				{"link:idle_bytes", "B/s", "link", "keep-alive of both ends of an idle link, both directions"},
				{"link:idle_time", "ns/s", "link", "work of both ends for the keep-alive"},
				{"link:open_time", "ns", "link", "work of both ends to open a link"},
			},
			sizes: idle, repetitions: 2, run: func(ctx context.Context, _ Environment, n int) ([]float64, error) { return measureIdle(ctx, n, false) },
		},
		{
			quantities: []Quantity{
				{"link:tls_idle_memory", "B", "link", "the same with mutual TLS"},
				{"link:tls_idle_bytes", "B/s", "link", "the same with mutual TLS"},
				{"link:tls_idle_time", "ns/s", "link", "the same with mutual TLS"},
				{"link:tls_open_time", "ns", "link", "the same with mutual TLS, one handshake per link"},
			},
			sizes: idle, repetitions: 2, run: func(ctx context.Context, _ Environment, n int) ([]float64, error) { return measureIdle(ctx, n, true) },
		},
	}
}

// pong answers pings as a node does.
type pong struct{}

// Verify accepts every peer.
func (pong) Verify(link.Peer) error { return nil }

// ServeStream answers one ping.
func (pong) ServeStream(_ link.Peer, s *link.Stream, first *wire.Envelope) error {
	if first.GetCall().GetPing() == nil {
		return errors.New("not a ping")
	}
	return s.Send(answerEnvelope(&wire.Answer{Body: &wire.Answer_Ping{Ping: &wire.PingAnswer{Incarnation: incarnation(1), ConfigVersion: 5_000_000}}}))
}

// linkPair is a link server and the pools of its clients.
type linkPair struct {
	server  *link.Server
	address string
	close   func()
	client  *tls.Config
	pools   []*link.Pool
	bytes   atomic.Int64
}

func newLinkPair(secure bool) (*linkPair, error) {
	p := &linkPair{server: &link.Server{Identity: link.Identity{Node: "node", Incarnation: "1", Cluster: "measure"}, Handler: pong{}}}
	if secure {
		authorities, certificate, err := newCertificate("node")
		if err != nil {
			return nil, err
		}
		p.server.TLS, p.client = link.TLSConfigs(authorities, certificate)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p.address = ln.Addr().String()
	served := make(chan struct{})
	go func() { _ = p.server.Serve(ln); close(served) }() // Ends with the listener.
	p.close = func() {
		ln.Close()
		<-served
		for _, pool := range p.pools {
			pool.Close()
		}
		p.server.Close()
	}
	return p, nil
}

// open adds a client with a link of its own.
func (p *linkPair) open(ctx context.Context) error {
	pool := &link.Pool{Identity: link.Identity{Node: "node", Incarnation: "2", Cluster: "measure"}, TLS: p.client, Dial: p.dial}
	p.pools = append(p.pools, pool)
	return p.ping(ctx, pool)
}

func (p *linkPair) ping(ctx context.Context, pool *link.Pool) error {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	_, err := pool.Call(ctx, p.address, &wire.Call{Body: &wire.Call_Ping{Ping: &wire.Ping{}}})
	return err
}

func (p *linkPair) dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return countingConn{conn, &p.bytes}, nil
}

// countingConn counts the bytes of both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

func measureCalls(ctx context.Context, calls int, secure bool) ([]float64, error) {
	p, err := newLinkPair(secure)
	if err != nil {
		return nil, err
	}
	defer p.close()
	if err := p.open(ctx); err != nil {
		return nil, err
	}
	before := p.bytes.Load()
	spent := workOnce(func() {
		for range calls {
			if err = p.ping(ctx, p.pools[0]); err != nil {
				return
			}
		}
	})
	return []float64{float64(p.bytes.Load() - before), spent}, err
}

func measureIdle(ctx context.Context, links int, secure bool) ([]float64, error) {
	p, err := newLinkPair(secure)
	if err != nil {
		return nil, err
	}
	defer p.close()
	heapBefore, stacksBefore := heapInUse()
	opening := workOnce(func() {
		for range links {
			if err = p.open(ctx); err != nil {
				return
			}
		}
	})
	if err != nil {
		return nil, err
	}
	heap, stacks := heapInUse()
	bytes, spent := p.bytes.Load(), processorTime()
	time.Sleep(idleWindow)
	seconds := idleWindow.Seconds()
	return []float64{
		heap + stacks - heapBefore - stacksBefore,
		float64(p.bytes.Load()-bytes) / seconds,
		float64(processorTime()-spent) / seconds,
		opening,
	}, nil
}

// newCertificate returns a certificate for a node from a new authority.
func newCertificate(name string) (*x509.CertPool, tls.Certificate, error) {
	fail := func(err error) (*x509.CertPool, tls.Certificate, error) { return nil, tls.Certificate{}, err }
	rootKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return fail(err)
	}
	root := &x509.Certificate{
		SerialNumber: big.NewInt(1), IsCA: true, BasicConstraintsValid: true,
		NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, root, root, &rootKey.PublicKey, rootKey)
	if err != nil {
		return fail(err)
	}
	if root, err = x509.ParseCertificate(der); err != nil {
		return fail(err)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return fail(err)
	}
	leaf := &x509.Certificate{SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name}, NotAfter: time.Now().Add(time.Hour)}
	if der, err = x509.CreateCertificate(rand.Reader, leaf, root, &key.PublicKey, rootKey); err != nil {
		return fail(err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(root)
	return pool, tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, nil
}
