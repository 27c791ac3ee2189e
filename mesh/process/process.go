// Package process runs a node on the platform: it connects the entry, the owner,
// the beliefs about the fleet and the rates with the sockets of the machine.
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

	"trefoildock.example/link"
	"trefoildock.example/mesh/entry"
	"trefoildock.example/mesh/fleet"
	"trefoildock.example/mesh/h1"
	"trefoildock.example/mesh/owner"
	"trefoildock.example/mesh/quota"
	"trefoildock.example/platform"
	"trefoildock.example/verdict"
)

const (
	// memberTable and leaseTable are the node's own tables in the store.
	memberTable = "trefoildock"
	leaseTable  = "trefoildock-lease"
	// cluster keeps nodes of other deployments apart on shared networks.
	cluster = "platform"
	// storeTimeout bounds a call of the store that does not wait for changes. The
	// store usually answers within 4 ms, and within 0.3 s when it is slow.
	storeTimeout = 1200 * time.Millisecond
	// storeConnections is enough for two watches and a few writes.
	storeConnections = 6
	// readyAge is the age of the last confirmation from which a node is not ready.
	readyAge = 4200 * time.Millisecond
	// firstHeartbeat is the time after the start in which the backend server has
	// announced itself, if it lives: two intervals and a margin.
	firstHeartbeat = 4 * time.Second
	// tickInterval is the time between two looks for requests that waited too long.
	tickInterval = 100 * time.Millisecond
	// leaveNotice is the time after SIGTERM in which callers learn that the node is
	// not ready: two questions, one second apart.
	leaveNotice = 2200 * time.Millisecond
	// serveTime is the time after SIGTERM in which requests of other nodes are
	// still run by the backend server here, so that the rest ends with leaveNotice.
	serveTime = 1600 * time.Millisecond
	// handoverTime is the age of a process from which it no longer takes over the
	// backend server of an earlier one.
	handoverTime = time.Second
	// handoverTimeout bounds the write that hands the backend server over.
	handoverTimeout = 400 * time.Millisecond
	// acceptTime is the time after SIGTERM in which requests are still taken. Later
	// ones are refused, so that every request that was taken can finish.
	acceptTime = 2900 * time.Millisecond
	// leaveQuiet is how long no request may be under way before the process ends.
	leaveQuiet = 200 * time.Millisecond
	// graceMargin is kept back from the time before SIGKILL.
	graceMargin = 500 * time.Millisecond
)

// Config describes a node on the platform.
type Config struct {
	Settings *platform.Settings
	Logger   log.Logger
	// Advertise is the address at which other nodes reach this one; empty means the
	// machine's address and first port.
	Advertise string
	// MetricsAddress serves the metrics; empty serves none.
	MetricsAddress string
}

// Node is a node on the platform.
type Node struct {
	settings    *platform.Settings
	logger      log.Logger
	registry    metrics.Registry
	incarnation string
	started     time.Time

	store  *platform.Client
	fleet  *fleet.State
	owner  *owner.Owner
	keeper *quota.Keeper
	rates  *quota.Rates
	links  *link.Pool
	server *link.Server
	entry  *entry.Entry
	front  *h1.Server

	// advertised is the address that other nodes dial.
	advertised     string
	metricsAddress string
	leaving        atomic.Bool
	stopped        atomic.Bool
	remembered     sync.Once
	cancel         func()
	http           []*http.Server
	announcements  *http.Server
	listeners      []net.Listener
	wg             sync.WaitGroup
}

// New builds a node that is not yet running.
func New(c Config) (*Node, error) {
	s := c.Settings
	n := &Node{
		settings: s, logger: c.Logger, registry: metrics.NewRegistry(), incarnation: uuid.Must(uuid.NewV7()).String(),
		advertised: c.Advertise, metricsAddress: c.MetricsAddress, started: time.Now(),
	}
	if n.advertised == "" {
		n.advertised = n.linkAddress()
	}
	malformed := metrics.NewRegisteredCounter("store.malformed", n.registry)
	store, err := platform.NewClient(platform.ClientConfig{
		URL: "http://" + s.StoreAddress, Timeout: storeTimeout, MaxConnections: storeConnections,
		OnMalformed: func(what string) {
			malformed.Inc(1)
			n.logger.Log("event", "malformed content ignored", "what", what)
		},
	})
	if err != nil {
		return nil, errors.Wrap(err, "client of the platform's store")
	}
	n.store = store
	n.build()
	return n, nil
}

func (n *Node) build() {
	s := n.settings
	identity := link.Identity{Node: s.Node, Incarnation: n.incarnation, Cluster: cluster}
	n.links = &link.Pool{Identity: identity, Plain: true, QuietLinks: true, Dial: dialPeer}
	n.server = &link.Server{
		Identity: identity, Plain: true, QuietLinks: true, Handler: n,
		OnError: func(err error) { n.logger.Log("event", "link closed", "err", err) },
	}
	n.owner = owner.New(owner.Config{
		Bounds: s.Bounds, Heartbeat: s.Heartbeat, Cold: n.cold, Route: n.route, Logger: n.logger, Metrics: owner.NewMetrics(n.registry),
		OnChange: func() { n.fleet.Publish() },
		OnCrash: func(incarnation string, fingerprints [][]byte) {
			n.fleet.ReportCrash(context.Background(), incarnation, fingerprints)
		},
	})
	n.fleet = fleet.New(fleet.Config{
		Self:     fleet.Member{Node: s.Node, Zone: s.Zone, Address: n.advertised, Incarnation: n.incarnation},
		Operator: n.store.Rows(platform.OperatorTable), Members: n.relayed(memberTable),
		Backend: n.published, AskPeer: n.askKnowledge,
		OnHome:   func(h fleet.Home) { n.keeper.ObserveCoordinator(quota.Home(h)) },
		LostHome: func() string { return n.keeper.UnreachableAddress() },
		OnLostHome: func(address string) {
			if h, known := n.keeper.Coordinator(); known && h.Address == address {
				n.keeper.MarkUnreachable(h)
			}
		},
		OnView: n.viewChanged, Logger: n.logger,
	})
	n.keeper = &quota.Keeper{
		Self: quota.Home{Node: s.Node, Address: n.advertised}, Table: n.relayed(leaseTable), Logger: n.logger,
		Incarnation: n.incarnation, StoreNow: n.fleet.StoreNow, ReadsStore: n.fleet.ReadsStore,
		MayClaim:      n.mayKeepRates,
		OnCoordinator: func(h quota.Home) { n.fleet.SetCoordinator(context.Background(), fleet.Home(h)) },
	}
	n.keeper.Init()
	n.rates = &quota.Rates{
		Keeper: n.keeper, TakeFromCoordinator: n.askRate, TakeViaPeer: n.askThroughPeer, RetryLimit: n.retryLimit, Deputies: n.deputies, TakeFromFallback: n.askDeputy, Started: n.started,
		OverrunBounds: quota.OverrunBounds{Window: s.Bounds.RateWindow, Ratio: s.Bounds.RateOver, Slack: s.Bounds.RateSlack},
	}
	n.entry = entry.New(entry.Config{
		Node: s.Node, Zone: s.Zone, Service: s.BackendService, Bounds: s.Bounds, Fleet: n.fleet, Rates: n.rates,
		Links: n.links, Owner: n.owner, Logger: n.logger, Metrics: entry.NewMetrics(n.registry),
	})
	n.front = &h1.Server{Handler: n.entry, Limits: n.limits, Refuse: refuse}
}

func (n *Node) linkAddress() string {
	return net.JoinHostPort(n.settings.IP, strconv.Itoa(n.settings.FirstLinkPort))
}

// cold returns what the configuration says of cold backend servers of a service.
func (n *Node) cold(service string) (time.Duration, float64) {
	config := n.fleet.View().Config
	if config == nil {
		return 0, 0
	}
	s := config.Service(service)
	if s == nil {
		return 0, 0
	}
	return s.ColdFor, s.ColdRate
}

// route names the route of a request by the configuration in force.
func (n *Node) route(host, target string) string {
	config := n.fleet.View().Config
	if config == nil {
		return ""
	}
	path, _, _ := strings.Cut(target, "?")
	if r := config.Match(host, path); r != nil {
		return r.Name
	}
	return ""
}

// limits returns the limits for callers by the configuration in force.
func (n *Node) limits() h1.Limits {
	config := n.fleet.View().Config
	if config == nil {
		return h1.Limits{}
	}
	l := config.Limits
	return h1.Limits{HeaderBytes: l.HeaderBytes, BodyBytes: l.BodyBytes, HeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout}
}

// refuse answers a request that breaks a limit.
func refuse(status int, reason string) *h1.Answer {
	return entry.RefusalAnswer(&verdict.Error{Verdict: verdict.NotRun, Status: status, Code: "bad-request", Detail: reason})
}

// published returns the backend server for the own row in the store. For a
// while after the start it is not known, and the row of the earlier process stays.
func (n *Node) published() (*fleet.Backend, bool) {
	s, known := n.owner.Status()
	if !known {
		return nil, time.Since(n.started) > firstHeartbeat
	}
	b := &fleet.Backend{
		ID: s.ID, Service: s.Service, Slots: s.Slots, Serving: s.Serving, Leaving: s.Leaving, StartMillis: s.Born.UnixMilli(),
	}
	if n.stopped.Load() {
		b.Serving = b.Serving && s.Alive
		b.HandedOver = b.Serving
	}
	return b, true
}

// viewChanged passes beliefs on to the owner.
func (n *Node) viewChanged(v *fleet.View) {
	n.owner.SetEvacuated(v.EvacuatedZones[n.settings.Zone])
	if own := v.Nodes[n.settings.Node]; own != nil {
		n.remembered.Do(func() { n.takeOver(own) })
	}
}

// takeOver learns from the row of the earlier process what it knew of the backend server.
func (n *Node) takeOver(earlier *fleet.Member) {
	b := earlier.Backend
	switch {
	case b == nil || earlier.Incarnation == n.incarnation:
	case b.Leaving:
		n.owner.RememberLeaving(b.ID)
	case b.HandedOver && time.Since(n.started) < handoverTime:
		n.owner.Adopt(platform.Announcement{
			ID: b.ID, Service: b.Service, Address: n.settings.BackendAddress, Slots: b.Slots, Born: time.UnixMilli(b.StartMillis),
		})
	}
}

// mayKeepRates reports whether this node may be the home of the rates. A machine
// whose backend server leaves is taken away soon; right after a restart only the
// row of the earlier process tells.
func (n *Node) mayKeepRates() bool {
	if s, known := n.owner.Status(); known {
		return s.Serving
	}
	view := n.fleet.View()
	own := view.Nodes[n.settings.Node]
	return len(view.Nodes) == 0 || own != nil && own.Backend != nil && own.Backend.Serving
}

// Announce implements platform.Announcements.
func (n *Node) Announce(a platform.Announcement) error { return n.owner.Announce(a) }

// Leave implements platform.Announcements.
func (n *Node) Leave(id string) error { return n.owner.Leave(id) }

// ready reports whether callers should send new requests here.
func (n *Node) ready() bool {
	if n.leaving.Load() {
		return false
	}
	age, known := n.fleet.Age()
	view := n.fleet.View()
	return known && age < readyAge && view.Config != nil && len(view.Owners) > 0
}

// Run serves until ctx ends and then shuts down gracefully.
func (n *Node) Run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	defer n.close()
	if err := n.listen(); err != nil {
		return err
	}
	n.wg.Go(func() { n.fleet.Run(background) })
	n.wg.Go(func() { n.keeper.Run(background) })
	n.wg.Go(func() { n.tick(background) })
	withdraw := time.AfterFunc(firstHeartbeat+tickInterval, n.fleet.Publish)
	defer withdraw.Stop()
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

// shutDown takes the node out of service and waits for running requests.
func (n *Node) shutDown() {
	started := time.Now()
	n.leaving.Store(true)
	n.logger.Log("event", "node leaving", "callers", n.front.Active(), "running", n.owner.Running())
	n.front.Stop()
	serve := time.AfterFunc(serveTime, n.owner.Stop)
	defer serve.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	go func() { defer cancel(); n.keeper.Stop(ctx) }()
	refuse := time.AfterFunc(acceptTime, n.entry.Stop)
	defer refuse.Stop()
	limit := started.Add(max(n.settings.Bounds.Grace-graceMargin, leaveNotice))
	quietSince := time.Now()
	for time.Now().Before(limit) {
		if n.front.Active() > 0 || n.owner.Running() > 0 {
			quietSince = time.Now()
		}
		if time.Since(started) >= leaveNotice && time.Since(quietSince) >= leaveQuiet {
			break
		}
		time.Sleep(leaveQuiet / 4)
	}
	n.handOver()
	n.logger.Log("event", "node stopped", "callers", n.front.Active(), "running", n.owner.Running(), "took", time.Since(started))
}

// handOver writes into the own row that the next process on this machine may go on
// with the backend server. No heartbeat is acknowledged after that, because the
// row could not tell of it.
func (n *Node) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	if err := n.announcements.Shutdown(ctx); err != nil {
		n.logger.Log("event", "heartbeats not ended", "err", err)
		return
	}
	n.stopped.Store(true)
	if err := n.fleet.PublishNow(ctx); err != nil {
		n.logger.Log("event", "backend server not handed over", "err", err)
	}
}

func (n *Node) close() {
	n.cancel()
	for _, ln := range n.listeners {
		ln.Close()
	}
	for _, s := range n.http {
		s.Close()
	}
	n.front.Close()
	n.server.Close()
	n.links.Close()
	n.wg.Wait()
	n.store.Close()
}
