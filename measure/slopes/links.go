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

// idleMeasurementTime is the duration of the measurement of idle links.
const idleMeasurementTime = 2 * time.Second

func linkExperiments() []experiment {
	calls, idle := []int{500, 1_000, 2_000, 4_000}, []int{8, 32, 64}
	return []experiment{
		{
			quantities: []Quantity{
				{"link:call_bytes", "B", "call", "a ping over a plaintext link on loopback, both directions, yamux frames included"},
				{"link:call_time", "ns", "call", "CPU time of both ends for a ping, system calls included"},
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
				{"link:idle_time", "ns/s", "link", "CPU time of both ends for the keep-alive"},
				{"link:open_time", "ns", "link", "CPU time of both ends to open a link"},
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

// pingHandler responds to pings as a node does.
type pingHandler struct{}

// Verify accepts every peer.
func (pingHandler) Verify(link.Peer) error { return nil }

// ServeStream responds to one ping.
func (pingHandler) ServeStream(_ link.Peer, s *link.Stream, first *wire.Envelope) error {
	if first.GetCall().GetPing() == nil {
		return errors.New("the call is not a ping")
	}
	return s.Send(responseEnvelope(&wire.Answer{Body: &wire.Answer_Ping{Ping: &wire.PingAnswer{Incarnation: incarnation(1), ConfigVersion: 5_000_000}}}))
}

// linkSetup is a link server with the connection pools of its clients.
type linkSetup struct {
	server    *link.Server
	address   string
	close     func()
	clientTLS *tls.Config
	pools     []*link.Pool
	bytes     atomic.Int64
}

func newLinkSetup(useTLS bool) (*linkSetup, error) {
	s := &linkSetup{server: &link.Server{Identity: link.Identity{Node: "node", Incarnation: "1", Cluster: "measure"}, Handler: pingHandler{}}}
	if useTLS {
		rootCAs, certificate, err := newCertificate("node")
		if err != nil {
			return nil, err
		}
		s.server.TLS, s.clientTLS = link.TLSConfigs(rootCAs, certificate)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = ln.Addr().String()
	served := make(chan struct{})
	go func() { _ = s.server.Serve(ln); close(served) }() // Returns when the listener is closed.
	s.close = func() {
		ln.Close()
		<-served
		for _, pool := range s.pools {
			pool.Close()
		}
		s.server.Close()
	}
	return s, nil
}

// openLink adds a client with its own pool and opens its link with a ping.
func (s *linkSetup) openLink(ctx context.Context) error {
	pool := &link.Pool{Identity: link.Identity{Node: "node", Incarnation: "2", Cluster: "measure"}, TLS: s.clientTLS, Dial: s.dial}
	s.pools = append(s.pools, pool)
	return s.ping(ctx, pool)
}

func (s *linkSetup) ping(ctx context.Context, pool *link.Pool) error {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	_, err := pool.Call(ctx, s.address, &wire.Call{Body: &wire.Call_Ping{Ping: &wire.Ping{}}})
	return err
}

func (s *linkSetup) dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return countingConn{conn, &s.bytes}, nil
}

// countingConn is a connection that counts the bytes of both directions.
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

func measureCalls(ctx context.Context, calls int, useTLS bool) ([]float64, error) {
	s, err := newLinkSetup(useTLS)
	if err != nil {
		return nil, err
	}
	defer s.close()
	if err := s.openLink(ctx); err != nil {
		return nil, err
	}
	startBytes := s.bytes.Load()
	spent := cpuTimeOfCall(func() {
		for range calls {
			if err = s.ping(ctx, s.pools[0]); err != nil {
				return
			}
		}
	})
	return []float64{float64(s.bytes.Load() - startBytes), spent}, err
}

func measureIdle(ctx context.Context, links int, useTLS bool) ([]float64, error) {
	s, err := newLinkSetup(useTLS)
	if err != nil {
		return nil, err
	}
	defer s.close()
	heapBefore, stacksBefore := heapInUse()
	openTime := cpuTimeOfCall(func() {
		for range links {
			if err = s.openLink(ctx); err != nil {
				return
			}
		}
	})
	if err != nil {
		return nil, err
	}
	heap, stacks := heapInUse()
	startBytes, startCPUTime := s.bytes.Load(), cpuTime()
	time.Sleep(idleMeasurementTime)
	seconds := idleMeasurementTime.Seconds()
	return []float64{
		heap + stacks - heapBefore - stacksBefore,
		float64(s.bytes.Load()-startBytes) / seconds,
		float64(cpuTime()-startCPUTime) / seconds,
		openTime,
	}, nil
}

// newCertificate returns a certificate for a node, signed by a new CA, and the pool
// with the certificate of that CA.
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
