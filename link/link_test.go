package link

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
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"trefoildock.example/wire"
)

// echoHandler is a Handler that responds to each ping call with the node name of the
// peer.
type echoHandler struct{}

func (echoHandler) Verify(Peer) error { return nil }

func (echoHandler) ServeStream(p Peer, s *Stream, first *wire.Envelope) error {
	if first.GetCall().GetPing() == nil {
		return errors.New("not a ping")
	}
	return s.Send(answerEnvelope(&wire.Answer{Body: &wire.Answer_Ping{Ping: &wire.PingAnswer{Incarnation: p.Node}}}))
}

func startServer(t *testing.T, s *Server) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	done := make(chan struct{})
	go func() { _ = s.Serve(ln); close(done) }()
	t.Cleanup(func() { ln.Close(); <-done; s.Close() })
	return ln.Addr().String()
}

func ping(p *Pool, address string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	a, err := p.Call(ctx, address, &wire.Call{Body: &wire.Call_Ping{Ping: &wire.Ping{}}})
	return a.GetPing().GetIncarnation(), err
}

func newServer() *Server {
	return &Server{Identity: Identity{Node: "b", Incarnation: "1", Cluster: "c"}, Handler: echoHandler{}}
}

func newPool(t *testing.T, node, cluster string) *Pool {
	p := &Pool{Identity: Identity{Node: node, Incarnation: "1", Cluster: cluster}}
	t.Cleanup(p.Close)
	return p
}

// Guards against a closed session that remains in the pool.
func TestPoolRedialsClosedSession(t *testing.T) {
	address := startServer(t, newServer())
	p := newPool(t, "a", "c")
	name, err := ping(p, address)
	require.NoError(t, err)
	require.Equal(t, "a", name)
	p.sessions[address].yamuxSession.Close()
	_, err = ping(p, address)
	require.NoError(t, err)
}

// Guards against nodes of different deployments that exchange messages.
func TestPeerOfOtherClusterIsRejected(t *testing.T) {
	address := startServer(t, newServer())
	_, err := ping(newPool(t, "a", "other"), address)
	require.True(t, errors.Is(err, ErrNotSent))
}

// Guards against a protocol error that leaves the session open.
func TestProtocolErrorClosesSession(t *testing.T) {
	reported := make(chan error, 16)
	s := newServer()
	s.OnError = func(err error) { reported <- err }
	address := startServer(t, s)
	p := newPool(t, "a", "c")
	_, err := p.Call(t.Context(), address, &wire.Call{Body: &wire.Call_Take{Take: &wire.Take{}}})
	require.Error(t, err)
	require.ErrorContains(t, <-reported, "not a ping")
	sess := p.sessions[address]
	<-sess.yamuxSession.CloseChan()
	require.False(t, p.Connected(address))
}

// Guards against a node that identifies itself with the certificate of another
// node, in either direction, and against certificates of another authority.
func TestCertificateMustMatchNodeName(t *testing.T) {
	ca := newAuthority(t)
	server, _ := TLSConfigs(ca.pool, ca.issue(t, "b"))
	s := newServer()
	s.TLS = server
	address := startServer(t, s)
	connect := func(certName, node, address string) error {
		p := newPool(t, node, "c")
		_, p.TLS = TLSConfigs(ca.pool, ca.issue(t, certName))
		_, err := ping(p, address)
		return err
	}
	require.NoError(t, connect("a", "a", address))
	require.ErrorContains(t, connect("a", "x", address), "certificate")
	_, err := ping(newPool(t, "a", "c"), address)
	require.Error(t, err, "a plaintext client must not reach a TLS server")

	wrongName := newServer()
	wrongName.TLS, _ = TLSConfigs(ca.pool, ca.issue(t, "other"))
	require.ErrorContains(t, connect("a", "a", startServer(t, wrongName)), "certificate")
	otherAuthority := newServer()
	otherAuthority.TLS, _ = TLSConfigs(ca.pool, newAuthority(t).issue(t, "b"))
	require.ErrorContains(t, connect("a", "a", startServer(t, otherAuthority)), "verify peer certificate")
}

// Guards against plaintext sessions outside loopback.
func TestPlaintextIsRejectedOutsideLoopback(t *testing.T) {
	require.Error(t, checkPlaintext(fakeConn{&net.TCPAddr{IP: net.IPv4(192, 0, 2, 1)}}, nil, false))
	require.NoError(t, checkPlaintext(fakeConn{&net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)}}, nil, false))
}

type fakeConn struct{ remote net.Addr }

func (c fakeConn) RemoteAddr() net.Addr           { return c.remote }
func (fakeConn) LocalAddr() net.Addr              { return nil }
func (fakeConn) Read([]byte) (int, error)         { return 0, net.ErrClosed }
func (fakeConn) Write([]byte) (int, error)        { return 0, net.ErrClosed }
func (fakeConn) Close() error                     { return nil }
func (fakeConn) SetDeadline(time.Time) error      { return nil }
func (fakeConn) SetReadDeadline(time.Time) error  { return nil }
func (fakeConn) SetWriteDeadline(time.Time) error { return nil }

// authority is a certificate authority for tests.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pool *x509.CertPool
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	tmpl := &x509.Certificate{SerialNumber: big.NewInt(1), IsCA: true, BasicConstraintsValid: true, NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	require.NoError(t, err)
	cert, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	pool := x509.NewCertPool()
	pool.AddCert(cert)
	return &authority{cert: cert, key: key, pool: pool}
}

func (a *authority) issue(t *testing.T, name string) tls.Certificate {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	tmpl := &x509.Certificate{SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name}, DNSNames: []string{name}, NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, a.cert, &key.PublicKey, a.key)
	require.NoError(t, err)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}
}

// silentConn is a connection whose written bytes are lost once silent is set.
type silentConn struct {
	net.Conn
	silent *atomic.Bool
}

func (c silentConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Guards against a session that is used although its connection has gone silent without an
// error, while new connections to the peer work.
func TestPoolReplacesSilentSession(t *testing.T) {
	address := startServer(t, newServer())
	var silent []*atomic.Bool
	p := newPool(t, "a", "c")
	p.DisableKeepAlive = true
	p.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dialTCP(ctx, address)
		if err != nil {
			return nil, err
		}
		silent = append(silent, new(atomic.Bool))
		return silentConn{conn, silent[len(silent)-1]}, nil
	}
	call := func(timeout time.Duration) error {
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		_, err := p.Call(ctx, address, &wire.Call{Body: &wire.Call_Ping{Ping: &wire.Ping{}}})
		return err
	}
	require.NoError(t, call(10*time.Second))
	p.sessions[address].connectedAt = time.Now().Add(-minReplacementAge)
	silent[0].Store(true)
	require.Error(t, call(minSilence/4))
	require.Len(t, silent, 1, "a late response is no silence")
	require.Error(t, call(minSilence))
	require.NoError(t, call(10*time.Second))
	require.Len(t, silent, 2)
}
