// Package node implements the process that runs next to the backend servers of
// a VM.
//
// Each node has three roles. As an entry it accepts requests from callers,
// authenticates them, applies rate limits and idempotency keys, and forwards
// each request to an owner. As an owner it is the only node that dispatches
// requests to the backend servers on its VM. As a coordinator (called home in
// messages, log lines and metrics) it keeps the idempotency claims, rate
// ledgers and ejection permits of the partitions that rendezvous hashing places
// on it.
//
// A single goroutine owns the control state (configuration, members,
// attestations). The goroutines that handle traffic read immutable snapshots
// that it publishes.
package node

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/google/uuid"
	metrics "github.com/rcrowley/go-metrics"

	"trefoildock.example/configstore"
	"trefoildock.example/invariant"
	"trefoildock.example/link"
	"trefoildock.example/settings"
)

// Dependencies are the external resources of a node.
type Dependencies struct {
	// Store accesses the configuration and member logs in the platform's table.
	Store *configstore.Store
	// Logger receives one line for each state change.
	Logger log.Logger
	// Registry holds the metrics.
	Registry metrics.Registry
	// LinkServerTLS and LinkClientTLS secure the links between nodes; if they are
	// nil, only loopback links are allowed.
	LinkServerTLS, LinkClientTLS *tls.Config
	// TrafficTLS secures the callers' connections; nil means plaintext HTTP.
	TrafficTLS *tls.Config
	// Fatal is called when an invariant is violated; if it is nil, violations are
	// only counted and logged.
	Fatal func(message string)
	// Network opens sockets; nil means TCP.
	Network Network
}

// Node is one node of the fleet.
type Node struct {
	settings      *settings.Settings
	store         *configstore.Store
	logger        log.Logger
	registry      metrics.Registry
	metrics       *trafficMetrics
	gauges        *stateGauges
	deps          Dependencies
	start         time.Time
	snapshot      atomic.Pointer[snapshot]
	freshUntil    atomic.Int64 // nanoseconds since start; 0 if the node is not fresh
	leaving       atomic.Bool
	incarnationID atomic.Pointer[string]

	invariants *invariant.Recorder

	pool            *link.Pool
	forwarder       *forwarder
	owner           *owner
	control         *controlLoop
	coordinators    *coordinators
	rateLimiter     *rateLimiter
	retryPolicy     *retryPolicy
	serviceReporter *serviceReporter

	// joined reports whether this incarnation is a member. It is owned by the
	// control goroutine.
	joined bool

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	linkServer *link.Server
	servers    []*http.Server
	traffic    *http.Server
}

// New returns a node that has not been started.
func New(s *settings.Settings, d Dependencies) *Node {
	n := &Node{
		settings: s, store: d.Store, logger: d.Logger, registry: d.Registry, deps: d, start: time.Now(),
		metrics: newTrafficMetrics(d.Registry), gauges: newStateGauges(d.Registry),
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.renewIncarnation()
	n.snapshot.Store(emptySnapshot())
	identity := link.Identity{Node: s.Node.Name, Incarnation: n.incarnation(), Cluster: s.Node.Cluster}
	if d.Network == nil {
		n.deps.Network = tcpNetwork{}
	}
	n.pool = &link.Pool{Identity: identity, TLS: d.LinkClientTLS, Dial: n.dialLink}
	n.invariants = invariant.New(d.Registry, d.Logger, d.Fatal)
	n.owner = newOwner(n.metrics, d.Logger)
	n.owner.checks = newDispatchChecks(n.invariants)
	n.owner.zone = s.Node.Zone
	n.owner.dial = n.deps.Network.Dial
	n.owner.backendState = n.backendState
	n.forwarder = &forwarder{
		self: s.Node.Name, zone: s.Node.Zone, pool: n.pool, loads: newLoadTable(),
		serveLocal: n.owner.serve, metrics: n.metrics,
	}
	n.coordinators = newCoordinators(n)
	n.rateLimiter = newRateLimiter(n)
	n.retryPolicy = newRetryPolicy()
	n.serviceReporter = newServiceReporter(n)
	n.control = newControlLoop(n)
	n.linkServer = &link.Server{Identity: identity, TLS: d.LinkServerTLS, Handler: n, OnError: n.linkError}
	return n
}

// renewIncarnation assigns a new incarnation. UUIDv7 strings sort by creation
// time, so later incarnations compare greater.
func (n *Node) renewIncarnation() {
	id := uuid.Must(uuid.NewV7()).String()
	n.incarnationID.Store(&id)
	if n.rateLimiter != nil {
		n.rateLimiter.reset()
	}
}

func (n *Node) incarnation() string { return *n.incarnationID.Load() }

func (n *Node) linkError(err error) {
	n.metrics.linkErrors.Inc(1)
	n.logger.Log("event", "link refused or closed", "err", err)
}

// member returns this node's member record.
func (n *Node) member() configstore.Member {
	s := n.settings
	return configstore.Member{
		Node: s.Node.Name, VM: s.Node.VM, Zone: s.Node.Zone, Region: s.Node.Region,
		LinkAddress: s.Listen.Link, Incarnation: n.incarnation(), Services: n.owner.services(),
	}
}

// fresh reports whether the control state is recent enough for operations that
// require agreement between nodes.
func (n *Node) fresh(now time.Time) bool {
	until := n.freshUntil.Load()
	return until != 0 && now.Sub(n.start) <= time.Duration(until)
}

func (n *Node) setFreshUntil(t time.Time) {
	if t.IsZero() {
		n.freshUntil.Store(0)
		return
	}
	n.freshUntil.Store(int64(t.Sub(n.start)))
}

// Start opens the listeners and starts serving. If it returns an error, nothing
// is left running.
func (n *Node) Start() error {
	listeners, err := n.listen()
	if err != nil {
		n.cancel()
		return err
	}
	n.wg.Go(func() { n.control.run(n.ctx) })
	n.wg.Go(func() { n.rateLimiter.run(n.ctx) })
	n.wg.Go(func() { n.serviceReporter.run(n.ctx) })
	n.wg.Go(func() { _ = n.linkServer.Serve(listeners.link) })
	n.wg.Go(func() { <-n.ctx.Done(); listeners.link.Close() })
	n.serveHTTP(listeners)
	n.logger.Log("event", "node started", "node", n.settings.Node.Name, "zone", n.settings.Node.Zone, "incarnation", n.incarnation())
	return nil
}

// Stop shuts the node down gracefully. It stops accepting new work as an owner,
// leaves the member list, hands its claims over, waits until running requests
// have finished and entries route to other owners, and then closes the
// listeners. ctx bounds the whole shutdown.
func (n *Node) Stop(ctx context.Context) error {
	n.leaving.Store(true)
	n.owner.expire(time.Now())
	n.logger.Log("event", "node leaving", "in_flight", n.owner.inFlight())
	claims, coverages := n.coordinators.claims.export()
	if version := n.leave(ctx); version > 0 {
		n.coordinators.claims.handOver(ctx, version, claims, coverages)
	}
	n.drain(ctx)
	err := n.traffic.Shutdown(ctx)
	for n.owner.inFlight() > 0 && sleep(ctx, 10*time.Millisecond) {
	}
	remaining := n.owner.inFlight()
	n.invariants.Check(remaining == 0 || ctx.Err() != nil, invariant.GracefulShutdown, "%d requests in flight at the end of a planned stop", remaining)
	n.logger.Log("event", "node stopped", "in_flight", remaining)
	n.Close()
	return errors.Wrap(err, "shut down the caller listener")
}

// leave removes this node from the member list. It returns the version of the
// change, or 0 if the table is unreachable.
func (n *Node) leave(ctx context.Context) uint64 {
	left := make(chan uint64, 1)
	n.control.post(ctx, func() { n.control.leave(n.ctx, left) })
	select {
	case version := <-left:
		return version
	case <-ctx.Done():
		return 0
	}
}

// drain waits until the owner has no requests in flight, and at least
// leavePropagationTime, so that the leave has reached all entries.
func (n *Node) drain(ctx context.Context) {
	if !sleep(ctx, leavePropagationTime) {
		return
	}
	for n.owner.inFlight() > 0 && sleep(ctx, 10*time.Millisecond) {
	}
}

// leavePropagationTime is the time within which a change reaches all nodes of a
// zone: three pulls at intervals of 500 ms, plus a margin.
const leavePropagationTime = 2 * time.Second

// Close stops the node immediately and aborts running requests.
func (n *Node) Close() {
	n.cancel()
	for _, s := range n.servers {
		s.Close()
	}
	n.linkServer.Close()
	n.pool.Close()
	n.wg.Wait()
}

// listeners holds the open sockets of a node.
type listeners struct {
	link, traffic, announce, metrics net.Listener
}

// listen opens all sockets, starting with the link socket. That address is
// exclusive on the VM, so a second process cannot become an owner while this
// one is running.
func (n *Node) listen() (*listeners, error) {
	l := &listeners{}
	for _, e := range []struct {
		address string
		ln      *net.Listener
		purpose string
	}{
		{n.settings.Listen.Link, &l.link, "link"},
		{n.settings.Listen.Traffic, &l.traffic, "traffic"},
		{n.settings.Listen.Announce, &l.announce, "announce"},
		{n.settings.Listen.Metrics, &l.metrics, "metrics"},
	} {
		ln, err := n.deps.Network.Listen("tcp", e.address)
		if err != nil {
			l.close()
			return nil, errors.Wrapf(err, "listen for %s on %s", e.purpose, e.address)
		}
		*e.ln = ln
	}
	return l, nil
}

func (l *listeners) close() {
	for _, ln := range []net.Listener{l.link, l.traffic, l.announce, l.metrics} {
		if ln != nil {
			ln.Close()
		}
	}
}
