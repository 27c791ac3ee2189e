package link

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"

	"trefoildock.example/wire"
)

// Pool maintains one outgoing session for each peer address and dials a new one
// when the session has failed or has exceeded its maximum age.
type Pool struct {
	// Identity is sent to each peer in the Hello call.
	Identity Identity
	// TLS is the client configuration with the certificate of this node. If it is
	// nil, only loopback addresses are dialed, unless AllowPlaintext is set.
	TLS *tls.Config
	// AllowPlaintext allows plaintext sessions outside loopback, for a network that
	// only the nodes of the deployment can reach.
	AllowPlaintext bool
	// DisableKeepAlive disables the keep-alive pings of sessions. Failed peers are then
	// detected by the TCP keep-alive of the connections that Dial opens, which
	// uses no CPU time of the process.
	DisableKeepAlive bool
	// Dial opens a connection; if nil, a TCP connection is opened.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	mu       sync.Mutex
	sessions map[string]*session
	closed   bool
}

// session is an outgoing session, or the pending or failed attempt to dial it.
// All other fields are set when ready is closed.
type session struct {
	ready        chan struct{}
	err          error
	yamuxSession *yamux.Session
	conn         *batchConn
	peer         Peer
	connectedAt  time.Time
}

// Open opens a stream to the node at address. Every error that it returns matches
// ErrNotSent.
func (p *Pool) Open(ctx context.Context, address string) (*Stream, Peer, error) {
	sess, err := p.session(ctx, address)
	if err != nil {
		return nil, Peer{}, errors.Mark(err, ErrNotSent)
	}
	ys, err := sess.yamuxSession.OpenStream()
	if err != nil {
		p.discard(address, sess)
		return nil, Peer{}, errors.Mark(errors.Wrapf(err, "open stream to %s", address), ErrNotSent)
	}
	return newStream(ys), sess.peer, nil
}

// Call sends a call to the node at address and returns the response. A response
// with an error text is returned as an error.
func (p *Pool) Call(ctx context.Context, address string, call *wire.Call) (*wire.Answer, error) {
	st, _, err := p.Open(ctx, address)
	if err != nil {
		return nil, err
	}
	defer st.Close()
	sent := time.Now()
	a, err := st.call(ctx, call)
	if err != nil {
		p.CheckSilence(address, sent)
	}
	return a, err
}

const (
	// minSilence is the time without any byte of the peer, after a message to it that it should
	// have answered, from which a session is replaced. Peers answer within milliseconds.
	minSilence = 400 * time.Millisecond
	// minReplacementAge is the minimum age of a session that is replaced because of its
	// silence, so that a peer that hangs does not cause a dial for each message.
	minReplacementAge = time.Second
)

// CheckSilence replaces the session to address if nothing has arrived on it since a message was
// sent that has not been answered in time. A connection may go silent without an
// error while new ones work; without keep-alive pings only missing answers show it. Streams
// that are open continue on the old session.
func (p *Pool) CheckSilence(address string, sent time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.sessions[address]
	if s == nil || !s.isOpen() || time.Since(s.connectedAt) < minReplacementAge {
		return
	}
	lastRead := time.Unix(0, s.conn.lastRead.Load())
	if lastRead.After(sent) || time.Since(lastRead) < minSilence {
		return
	}
	delete(p.sessions, address)
	time.AfterFunc(drainPeriod, func() { s.yamuxSession.Close() })
}

func (s *Stream) call(ctx context.Context, call *wire.Call) (*wire.Answer, error) {
	if deadline, ok := ctx.Deadline(); ok {
		_ = s.SetDeadline(deadline)
	}
	// A peer that rejects the call may close the session before the write
	// completes. Its response is then already in the receive buffer, so Recv is
	// called even if the write has failed.
	sendErr := s.Send(&wire.Envelope{Body: &wire.Envelope_Call{Call: call}})
	response, err := s.Recv()
	if err != nil {
		return nil, errors.CombineErrors(sendErr, err)
	}
	a := response.GetAnswer()
	if a == nil {
		return nil, errors.New("response to a call is not an answer message")
	}
	if a.GetError() != "" {
		return nil, errors.Newf("peer rejected the call: %s", a.GetError())
	}
	return a, nil
}

// Connected reports whether the pool has an open session to address.
func (p *Pool) Connected(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.sessions[address]
	return s != nil && s.isOpen()
}

// Close closes all sessions and rejects all later calls.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, s := range p.sessions {
		if s.isOpen() {
			s.yamuxSession.Close()
		}
	}
}

// Disconnect closes the session to address and removes it from the pool. It is
// used when a node has left the cluster.
func (p *Pool) Disconnect(address string) {
	p.mu.Lock()
	s := p.sessions[address]
	delete(p.sessions, address)
	p.mu.Unlock()
	if s != nil && s.isOpen() {
		s.yamuxSession.Close()
	}
}

func (s *session) isOpen() bool {
	select {
	case <-s.ready:
		return s.err == nil && !s.yamuxSession.IsClosed()
	default:
		return false
	}
}

// session returns the open session to address and dials it if necessary.
// Concurrent callers share one dial.
func (p *Pool) session(ctx context.Context, address string) (*session, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, errors.New("link pool is closed")
	}
	s := p.sessions[address]
	if s != nil && p.needsReplacement(s) {
		p.closeAfterDrain(s)
		s = nil
	}
	if s == nil {
		s = &session{ready: make(chan struct{})}
		if p.sessions == nil {
			p.sessions = make(map[string]*session)
		}
		p.sessions[address] = s
		go p.dial(address, s)
	}
	p.mu.Unlock()
	select {
	case <-s.ready:
		return s, s.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// needsReplacement reports whether s must be replaced because it has failed, is
// closed or has exceeded its maximum age. A session that is still being dialed is
// not replaced.
func (p *Pool) needsReplacement(s *session) bool {
	select {
	case <-s.ready:
		return s.err != nil || s.yamuxSession.IsClosed() || time.Since(s.connectedAt) > maxSessionAge
	default:
		return false
	}
}

// drainPeriod is the time for which the open streams of a replaced session can complete.
const drainPeriod = time.Minute

// closeAfterDrain stops new streams on a replaced session and closes it after
// drainPeriod.
func (p *Pool) closeAfterDrain(s *session) {
	if s.err != nil || s.yamuxSession.IsClosed() {
		return
	}
	_ = s.yamuxSession.GoAway()
	time.AfterFunc(drainPeriod, func() { s.yamuxSession.Close() })
}

func (p *Pool) discard(address string, s *session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sessions[address] == s {
		delete(p.sessions, address)
	}
	s.yamuxSession.Close()
}

func (p *Pool) dial(address string, s *session) {
	ctx, cancel := context.WithTimeout(context.Background(), helloTimeout)
	defer cancel()
	s.yamuxSession, s.conn, s.peer, s.err = p.connect(ctx, address)
	s.connectedAt = time.Now()
	close(s.ready)
}

func (p *Pool) connect(ctx context.Context, address string) (*yamux.Session, *batchConn, Peer, error) {
	dial := p.Dial
	if dial == nil {
		dial = dialTCP
	}
	conn, err := dial(ctx, address)
	if err != nil {
		return nil, nil, Peer{}, errors.Wrapf(err, "dial %s", address)
	}
	if err := checkPlaintext(conn, p.TLS, p.AllowPlaintext); err != nil {
		conn.Close()
		return nil, nil, Peer{}, err
	}
	conn, err = p.handshakeTLS(ctx, conn)
	if err != nil {
		return nil, nil, Peer{}, err
	}
	batch := newBatchConn(conn)
	yamuxSession, err := yamux.Client(batch, sessionConfig(p.DisableKeepAlive))
	if err != nil {
		conn.Close()
		return nil, nil, Peer{}, err
	}
	peer, err := p.exchangeHello(ctx, yamuxSession)
	if err == nil {
		err = checkCertificate(conn, peer)
	}
	if err != nil {
		yamuxSession.Close()
		return nil, nil, Peer{}, errors.Wrapf(err, "hello to %s", address)
	}
	return yamuxSession, batch, peer, nil
}

// checkCertificate rejects a peer whose certificate was issued to another node.
func checkCertificate(conn net.Conn, peer Peer) error {
	tc, ok := conn.(*tls.Conn)
	if !ok {
		return nil
	}
	if name := peerCommonName(tc); name != peer.Node {
		return errors.Newf("certificate of %q presented by node %q", name, peer.Node)
	}
	return nil
}

func (p *Pool) handshakeTLS(ctx context.Context, conn net.Conn) (net.Conn, error) {
	if p.TLS == nil {
		return conn, nil
	}
	tc := tls.Client(conn, p.TLS)
	if err := tc.HandshakeContext(ctx); err != nil {
		conn.Close()
		return nil, errors.Wrap(err, "TLS handshake")
	}
	return tc, nil
}

func (p *Pool) exchangeHello(ctx context.Context, yamuxSession *yamux.Session) (Peer, error) {
	ys, err := yamuxSession.OpenStream()
	if err != nil {
		return Peer{}, err
	}
	st := newStream(ys)
	defer st.Close()
	a, err := st.call(ctx, &wire.Call{Body: &wire.Call_Hello{Hello: &wire.Hello{
		Node: p.Identity.Node, Incarnation: p.Identity.Incarnation, Cluster: p.Identity.Cluster,
	}}})
	if err != nil {
		return Peer{}, err
	}
	h := a.GetHello()
	if h == nil {
		return Peer{}, errors.New("answer to a hello call is not a hello answer")
	}
	return Peer{Node: h.GetNode(), Incarnation: h.GetIncarnation()}, nil
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}
