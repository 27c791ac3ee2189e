// Package process runs a node on the platform: it connects the entry, the owner, the
// fleet state and the rate limiter with the listeners of the VM.
package process

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/google/uuid"
	metrics "github.com/rcrowley/go-metrics"

	"trefoildock.example/crashguard"
	"trefoildock.example/link"
	"trefoildock.example/mesh/bodymem"
	"trefoildock.example/mesh/entry"
	"trefoildock.example/mesh/fleet"
	"trefoildock.example/mesh/h1"
	"trefoildock.example/mesh/owner"
	"trefoildock.example/mesh/quota"
	"trefoildock.example/mesh/recovery"
	"trefoildock.example/platform"
	"trefoildock.example/routing"
	"trefoildock.example/verdict"
)

const (
	// memberTable and leaseTable are the tables of the nodes in the store.
	memberTable = "trefoildock"
	leaseTable  = "trefoildock-lease"
	// leasePart is the part of leaseTable that holds the lease. Its writes do not wait for
	// those of the members, which arrive all at once when the fleet restarts.
	leasePart = "lease"
	// cluster prevents links to nodes of other deployments on shared networks.
	cluster = "platform"
	// storeTimeout bounds a call to the store that does not wait for changes. The
	// store normally responds within 4 ms, and within 0.3 s when it is slow.
	storeTimeout = 1200 * time.Millisecond
	// storeConnections allows two watches and a few concurrent writes.
	storeConnections = 6
	// maxReadyAge is the age of the last confirmation of the configuration from which a
	// node is not ready.
	maxReadyAge = 4200 * time.Millisecond
	// tickInterval is the time between two checks for requests that waited too long.
	tickInterval = 100 * time.Millisecond
	// drainNotice is the time after SIGTERM within which callers detect that the node is
	// not ready: two readiness checks, one second apart.
	drainNotice = 2200 * time.Millisecond
	// peerServePeriod is the time after SIGTERM in which the backend server still runs
	// new requests of other nodes. It is below drainNotice, so that these requests
	// finish by the end of drainNotice.
	peerServePeriod = 1600 * time.Millisecond
	// handoverTimeout bounds the handover of the backend server to the next process.
	handoverTimeout = 400 * time.Millisecond
	// acceptPeriod is the time after SIGTERM in which requests are still accepted. Later
	// requests are refused, so that every accepted request can finish.
	acceptPeriod = 2900 * time.Millisecond
	// idleBeforeExit is how long the node must be without running requests before the
	// process ends.
	idleBeforeExit = 200 * time.Millisecond
	// memoryPerResponse is the ratio of the memory limit of the process to the size limit of
	// one response. A backend server that sends bodies without end on all of its slots must
	// not exhaust the memory.
	memoryPerResponse = 16
	// bodyMemoryShare is the share of the memory limit of the process for the bodies of
	// requests and responses. The garbage of the Go runtime may take as much again.
	bodyMemoryShare = 1.0 / 3
	// killMargin is the part of the grace period that is reserved before SIGKILL.
	killMargin = 500 * time.Millisecond
)

// Config describes a node on the platform.
type Config struct {
	Settings *platform.Settings
	Logger   log.Logger
	// Advertise is the address at which other nodes reach this one; empty means the
	// VM's address and first port.
	Advertise string
	// MetricsAddress is the listen address of the metrics; empty disables them.
	MetricsAddress string
	// Listen opens a listener; nil means a TCP listener with the given options. Tests pass
	// listeners that are already open, because a free port can be taken in between.
	Listen func(options net.ListenConfig, address string) (net.Listener, error)
}

// Node is a node on the platform.
type Node struct {
	settings    *platform.Settings
	logger      log.Logger
	registry    metrics.Registry
	incarnation string
	startedAt   time.Time

	store        *platform.Client
	memberWrites *rowBatch
	recovery     *recovery.Recorder
	fleet        *fleet.State
	owner        *owner.Owner
	lease        *quota.LeaseManager
	limiter      *quota.RateLimiter
	links        *link.Pool
	linkServer   *link.Server
	entry        *entry.Entry
	crashes      *crashguard.Registry
	// bodies is the memory for the bodies of requests and responses.
	bodies       *bodymem.Budget
	callerServer *h1.Server

	// advertised is the address that other nodes dial.
	advertised        string
	metricsAddress    string
	openListener      func(options net.ListenConfig, address string) (net.Listener, error)
	draining          atomic.Bool
	heartbeatsStopped atomic.Bool
	// background ends when the process has shut down.
	background         context.Context //nolint:containedctx // ends with the node
	cancel             func()
	httpServers        []*http.Server
	announcementServer *http.Server
	listeners          []net.Listener
	wg                 sync.WaitGroup
}

// New returns a node that is not yet running.
func New(cfg Config) (*Node, error) {
	s := cfg.Settings
	n := &Node{
		settings: s, logger: cfg.Logger, registry: metrics.NewRegistry(), incarnation: uuid.Must(uuid.NewV7()).String(),
		advertised: cfg.Advertise, metricsAddress: cfg.MetricsAddress, startedAt: time.Now(),
		crashes: crashguard.NewRegistry(),
	}
	n.background, n.cancel = context.WithCancel(context.Background())
	if n.openListener = cfg.Listen; n.openListener == nil {
		n.openListener = listenTCP
	}
	if n.advertised == "" {
		n.advertised = n.linkAddress()
	}
	n.recovery = recovery.New(cfg.Logger, n.registry)
	malformed := metrics.NewRegisteredCounter("store.malformed", n.registry)
	store, err := platform.NewClient(platform.ClientConfig{
		URL: "http://" + s.StoreAddress, Timeout: storeTimeout, MaxConnections: storeConnections,
		OnMalformed: func(what string) {
			malformed.Inc(1)
			n.logger.Log("event", "malformed content ignored", "what", what)
		},
		OnRowsCall: n.countStoreCall,
	})
	if err != nil {
		return nil, errors.Wrap(err, "create the client of the platform's store")
	}
	n.store = store
	n.memberWrites = &rowBatch{write: n.rowsOf(memberTable).WriteAll}
	n.build()
	return n, nil
}

// countStoreCall counts a call of the store by table and operation.
func (n *Node) countStoreCall(c platform.RowsCall) {
	name := "store.calls." + c.Table + "." + c.Op
	metrics.GetOrRegisterCounter(name, n.registry).Inc(1)
	if c.Status >= http.StatusBadRequest || c.Status == 0 {
		metrics.GetOrRegisterCounter(name+".failed", n.registry).Inc(1)
	}
}

func (n *Node) build() {
	s := n.settings
	if s.MemoryBytes > 0 {
		n.bodies = bodymem.New(int64(bodyMemoryShare * float64(s.MemoryBytes)))
	}
	n.bodies.Register(n.registry)
	identity := link.Identity{Node: s.Node, Incarnation: n.incarnation, Cluster: cluster}
	n.links = &link.Pool{Identity: identity, AllowPlaintext: true, DisableKeepAlive: true, Dial: dialPeer}
	n.linkServer = &link.Server{
		Identity: identity, AllowPlaintext: true, DisableKeepAlive: true, Handler: n,
		OnError: func(err error) { n.logger.Log("event", "link closed", "err", err) },
	}
	n.owner = owner.New(owner.Config{
		Bounds: s.Bounds, Heartbeat: s.Heartbeat, Service: n.service, RouteName: n.routeName, Logger: n.logger, Metrics: owner.NewMetrics(n.registry), Recovery: n.recovery,
		MaxResponseBytes: s.MemoryBytes / memoryPerResponse, Bodies: n.bodies,
		AllowResend: func(ctx context.Context, service string) bool { return n.limiter.TakeRetry(ctx, service, true) },
		OnChange:    func() { n.fleet.Publish() },
		Crashes:     n.crashes, OnNotice: n.sendNotice,
	})
	n.fleet = fleet.New(fleet.Config{
		Self:       fleet.Member{Node: s.Node, Zone: s.Zone, Address: n.advertised, Incarnation: n.incarnation},
		FirstStart: s.FirstStart, Operator: n.store.Rows(platform.OperatorTable), Members: n.newRelayedTable(memberTable),
		Backend: n.publishedBackend, QueryPeer: n.queryPeer,
		OnCoordinator:      func(p fleet.Peer) { n.lease.ObserveCoordinator(quota.Peer(p)) },
		UnreachableAddress: func() string { return n.lease.UnreachableAddress() },
		OnCoordinatorUnreachable: func(address string) {
			if p, known := n.lease.Coordinator(); known && p.Address == address {
				n.lease.MarkUnreachable(p)
			}
		},
		OnCrash: func(c crashguard.Notice) { n.crashes.Observe(time.Now(), c) },
		OnView:  n.applyView, Logger: n.logger, Recovery: n.recovery, Metrics: fleet.NewMetrics(n.registry),
	})
	n.lease = &quota.LeaseManager{
		Self: quota.Peer{Node: s.Node, Address: n.advertised}, Table: n.newRelayedTable(leaseTable), Logger: n.logger,
		Incarnation: n.incarnation, StoreNow: n.fleet.StoreNow, ReadsStore: n.fleet.ReadsStore,
		ObserveStore:  n.fleet.ObserveStore,
		MayAcquire:    n.mayCoordinate,
		OnCoordinator: func(p quota.Peer) { n.fleet.SetCoordinator(context.Background(), fleet.Peer(p)) },
	}
	n.lease.Init()
	n.limiter = &quota.RateLimiter{
		Lease: n.lease, TakeFromCoordinator: n.takeFromCoordinator, TakeViaPeer: n.takeViaPeer, RetryLimit: n.retryLimit, Fallbacks: n.fallbacks, TakeFromFallback: n.takeFromFallback, StartedAt: n.startedAt,
		OverrunBounds: quota.OverrunBounds{Window: s.Bounds.RateWindow, Ratio: s.Bounds.RateTolerance, Slack: s.Bounds.RateSlack},
	}
	n.entry = entry.New(entry.Config{
		Node: s.Node, Zone: s.Zone, Service: s.BackendService, Bounds: s.Bounds, Fleet: n.fleet, RateLimiter: n.limiter,
		Links: n.links, Owner: n.owner, Crashes: n.crashes, Logger: n.logger, Metrics: entry.NewMetrics(n.registry), Recovery: n.recovery,
	})
	n.callerServer = &h1.Server{Handler: n.entry, Bodies: n.bodies, Limits: n.limits, Refuse: refuse, OnPanic: n.refuseAfterPanic}
}

func (n *Node) linkAddress() string {
	return net.JoinHostPort(n.settings.IP, strconv.Itoa(n.settings.FirstLinkPort))
}

// service returns the configuration of a service; nil if it is unknown.
func (n *Node) service(name string) *routing.Service {
	if config := n.fleet.View().Config; config != nil {
		return config.Service(name)
	}
	return nil
}

// routeName returns the name of the route that matches a request, or "".
func (n *Node) routeName(host, target string) string {
	config := n.fleet.View().Config
	if config == nil {
		return ""
	}
	path, _, _ := strings.Cut(target, "?")
	if r := config.MatchRoute(host, path); r != nil {
		return r.Name
	}
	return ""
}

// limits returns the configured limits for callers.
func (n *Node) limits() h1.Limits {
	config := n.fleet.View().Config
	if config == nil {
		return h1.Limits{}
	}
	l := config.Limits
	return h1.Limits{HeaderBytes: l.HeaderBytes, BodyBytes: l.BodyBytes, HeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout}
}

// refuse returns the response to a request that exceeds a limit.
func refuse(status int, reason string) *h1.Response {
	if status == http.StatusServiceUnavailable {
		return entry.ErrorResponse(owner.NoMemoryError(nil))
	}
	return entry.ErrorResponse(&verdict.Error{Verdict: verdict.NotRun, Status: status, Code: "bad-request", Detail: reason})
}

// refuseAfterPanic returns the response to a request whose handler has panicked outside
// of the entry's own recovery.
func (n *Node) refuseAfterPanic(cause any) *h1.Response {
	n.recovery.Record("callers", "", cause)
	return entry.ErrorResponse(entry.ErrPanic)
}

// mayCoordinate reports whether this node may be the coordinator of the rate limits. A
// VM whose backend server leaves is removed soon. Right after a restart, only the row of
// the earlier process shows whether the backend server is serving.
func (n *Node) mayCoordinate() bool {
	if s, ok := n.owner.Status(); ok {
		return s.Serving
	}
	view := n.fleet.View()
	ownRow := view.Nodes[n.settings.Node]
	return len(view.Nodes) == 0 || ownRow != nil && ownRow.Backend != nil && ownRow.Backend.Serving
}

// ready reports whether callers should send new requests to this node.
func (n *Node) ready() bool {
	if n.draining.Load() {
		return false
	}
	age, known := n.fleet.ConfirmationAge()
	view := n.fleet.View()
	return known && age < maxReadyAge && view.Config != nil && len(view.Owners) > 0
}

// Run serves requests until ctx ends and then shuts down gracefully.
func (n *Node) Run(ctx context.Context) error {
	background := n.background
	defer n.close()
	if err := n.listen(); err != nil {
		return err
	}
	n.wg.Go(func() { n.fleet.Run(background) })
	n.wg.Go(func() { n.lease.Run(background) })
	n.wg.Go(func() { n.tick(background) })
	republish := time.AfterFunc(firstHeartbeatTimeout+tickInterval, n.fleet.Publish)
	defer republish.Stop()
	n.logger.Log("event", "node started", "node", n.settings.Node, "zone", n.settings.Zone, "service", n.settings.BackendService,
		"incarnation", n.incarnation, "link", n.linkAddress(), "advertised", n.advertised, "store", n.settings.StoreAddress)
	<-ctx.Done()
	n.shutDown()
	return nil
}

func (n *Node) tick(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			n.owner.Tick()
		}
	}
}

// shutDown drains the node: it reports not ready, waits for running requests and hands
// the backend server over to the next process.
func (n *Node) shutDown() {
	started := time.Now()
	n.draining.Store(true)
	n.logger.Log("event", "node leaving", "callers", n.callerServer.Active(), "waiting", n.entry.Waiting(), "running", n.owner.Running())
	n.callerServer.Stop()
	stopServing := time.AfterFunc(peerServePeriod, n.owner.Stop)
	defer stopServing.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	go func() { defer cancel(); n.lease.Stop(ctx) }()
	stopAccepting := time.AfterFunc(acceptPeriod, n.entry.Stop)
	defer stopAccepting.Stop()
	deadline := started.Add(max(n.settings.Bounds.GracePeriod-killMargin, drainNotice))
	n.entry.PlanStop(deadline)
	idleSince := time.Now()
	for time.Now().Before(deadline) {
		if n.callerServer.Active() > 0 || n.owner.Running() > 0 {
			idleSince = time.Now()
		}
		if time.Since(started) >= drainNotice && time.Since(idleSince) >= idleBeforeExit {
			break
		}
		time.Sleep(idleBeforeExit / 4)
	}
	n.entry.Close() // Requests that arrive during the handover would be cut by the end of the process.
	n.handOver()
	for n.callerServer.Active() > 0 && time.Now().Before(deadline) {
		time.Sleep(idleBeforeExit / 4)
	}
	n.logger.Log("event", "node stopped", "callers", n.callerServer.Active(), "waiting", n.entry.Waiting(), "running", n.owner.Running(), "took", time.Since(started))
}

// handOver marks in the row of this node that the next process on this VM may take
// over the backend server. It stops the announcement server first, because a heartbeat
// that is acknowledged later would be missing from the row.
func (n *Node) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	if err := n.announcementServer.Shutdown(ctx); err != nil {
		n.logger.Log("event", "heartbeats not ended", "err", err)
		return
	}
	n.heartbeatsStopped.Store(true)
	if err := n.fleet.PublishNow(ctx); err != nil {
		n.logger.Log("event", "backend server not handed over", "err", err)
	}
}

func (n *Node) close() {
	n.cancel()
	for _, ln := range n.listeners {
		ln.Close()
	}
	for _, s := range n.httpServers {
		s.Close()
	}
	n.callerServer.Close()
	n.linkServer.Close()
	n.links.Close()
	n.wg.Wait()
	n.store.Close()
}
