package node

import (
	"context"
	"maps"
	"time"

	"github.com/go-kit/log"

	"trefoildock.example/configstore"
	"trefoildock.example/freshness"
	"trefoildock.example/invariant"
	"trefoildock.example/placement"
	"trefoildock.example/rules"
	"trefoildock.example/wire"
)

const (
	// controlInterval is the interval of pulls, table reads and pings.
	controlInterval = 500 * time.Millisecond
	// controlTimeout bounds one control call. It is shorter than the freshness
	// window, so that a late response is still useful.
	controlTimeout = 2 * time.Second
	// recentChanges is the number of changes of each log that a node retains for
	// peers that pull. A peer that is further behind gets a snapshot.
	recentChanges = 1024
	// pullLimit is the maximum number of changes of each log in one response.
	pullLimit = 256
)

// controlLoop holds the control state of a node. Only its goroutine accesses
// the fields. Other goroutines send functions to it and read the published
// snapshots.
type controlLoop struct {
	node   *Node
	ctx    context.Context
	logger log.Logger
	events chan func()

	state    *freshness.State
	topology *freshness.Topology
	ring     ring

	config        *rules.Config
	router        *rules.Router
	configVersion uint64
	configLog     []*wire.ConfigDelta

	members        map[string]configstore.Member
	membersVersion uint64
	memberLog      []*wire.MemberChange

	// callsInFlight contains the names of the calls in flight, which limits each
	// peer to one call of a kind at a time.
	callsInFlight    map[string]bool
	missedPings      map[string]int
	commitInFlight   bool
	leaving          bool
	tableUnavailable bool
	wasFresh         bool
	// nextPull is the position of the next pull in the list of the node's parents,
	// so that it pulls from all of them in turn.
	nextPull int
	// bootstrapVersion is the member version that a quorum has attested since
	// bootstrapSince, before any configuration has been accepted.
	bootstrapVersion uint64
	bootstrapSince   time.Time
}

func newControlLoop(n *Node) *controlLoop {
	c := &controlLoop{
		node: n, ctx: n.ctx, logger: n.logger, events: make(chan func(), 256),
		state: freshness.NewState(n.settings.Node.Name), topology: freshness.NewTopology(),
		config: rules.NewConfig(), members: make(map[string]configstore.Member),
		callsInFlight: make(map[string]bool), missedPings: make(map[string]int),
	}
	c.router = rules.NewRouter(c.config)
	return c
}

// run is the main loop of the control goroutine. It returns when ctx is done.
func (c *controlLoop) run(ctx context.Context) {
	ticker := time.NewTicker(controlInterval)
	defer ticker.Stop()
	c.tick(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-c.events:
			f()
		case <-ticker.C:
			c.tick(ctx)
		}
	}
}

// post queues f for the control goroutine. It returns false if ctx is done
// first.
func (c *controlLoop) post(ctx context.Context, f func()) bool {
	select {
	case c.events <- f:
		return true
	case <-ctx.Done():
		return false
	}
}

// runAndWait runs f on the control goroutine and waits until it has returned.
func (c *controlLoop) runAndWait(ctx context.Context, f func()) error {
	done := make(chan struct{})
	if !c.post(ctx, func() { f(); close(done) }) {
		return ctx.Err()
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// tick performs the periodic work. It reads the clock itself, because the
// ticker's time is outdated if the process was paused.
func (c *controlLoop) tick(ctx context.Context) {
	now := time.Now()
	c.node.owner.expire(now)
	c.synchronize(ctx, now)
	c.ensureMember(ctx, now)
	c.pingMonitored(ctx)
	c.publishFreshness(now)
	c.node.coordinators.tick(now, c.state.QuorumVersions(now).Members)
}

// startExclusive runs f in a new goroutine unless a call with the same name is
// still running.
func (c *controlLoop) startExclusive(ctx context.Context, name string, f func(context.Context)) {
	if c.callsInFlight[name] {
		return
	}
	c.callsInFlight[name] = true
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, controlTimeout)
		defer cancel()
		f(callCtx)
		c.post(ctx, func() { delete(c.callsInFlight, name) })
	}()
}

// publishFreshness publishes the time until which the node is fresh to the
// traffic goroutines.
func (c *controlLoop) publishFreshness(now time.Time) {
	freshUntil := c.state.FreshUntil(now)
	c.node.setFreshUntil(freshUntil)
	fresh := !freshUntil.IsZero() && !now.After(freshUntil)
	if fresh {
		c.reconcilePlacement(now)
	}
	if fresh != c.wasFresh {
		c.wasFresh = fresh
		c.logger.Log("event", "freshness changed", "fresh", fresh, "config", c.configVersion, "members", c.membersVersion)
	}
	c.node.gauges.update(c, fresh)
}

// publish publishes a new snapshot to the traffic goroutines.
func (c *controlLoop) publish() {
	before := c.node.snapshot.Load().configVersion
	c.node.invariants.Check(c.configVersion >= before, invariant.ConfigVersionMonotonic, "configuration version %d published after version %d", c.configVersion, before)
	c.node.snapshot.Store(newSnapshot(c.config, c.router, c.configVersion, maps.Clone(c.members), c.membersVersion))
}

// applyConfig applies the deltas that directly follow the held version and
// ignores all others.
func (c *controlLoop) applyConfig(deltas []*wire.ConfigDelta) {
	changed := false
	for _, d := range deltas {
		if d.GetVersion() != c.configVersion+1 {
			continue
		}
		next, err := c.config.Apply(rules.Delta{Removed: d.GetRemoved(), Added: d.GetAdded()})
		if err != nil {
			// A committed delta was validated against the preceding version, so this is
			// an error of the sender; no part of the delta is applied.
			c.node.metrics.rejectedDeltas.Inc(1)
			c.logger.Log("event", "configuration delta refused", "version", d.GetVersion(), "err", err)
			break
		}
		c.config, c.configVersion = next, d.GetVersion()
		c.configLog = appendRecent(c.configLog, d)
		changed = true
	}
	if changed {
		c.router = c.router.Update(c.config)
		c.state.RecordConfig(c.configVersion)
		c.logger.Log("event", "configuration applied", "version", c.configVersion)
		c.publish()
	}
}

// appendRecent appends v. It keeps at least the latest recentChanges elements
// and at most twice as many.
func appendRecent[T any](list []T, v T) []T {
	if len(list) >= 2*recentChanges {
		list = append([]T(nil), list[len(list)-recentChanges:]...)
	}
	return append(list, v)
}

// applyMembers applies the member changes that directly follow the held
// version.
func (c *controlLoop) applyMembers(changes []*wire.MemberChange, now time.Time) {
	changed := false
	for _, ch := range changes {
		if ch.GetVersion() != c.membersVersion+1 {
			continue
		}
		c.applyMember(ch, now)
		c.membersVersion = ch.GetVersion()
		c.memberLog = appendRecent(c.memberLog, ch)
		c.state.RecordMembers(c.membersVersion, c.topology.Attesters(), now)
		changed = true
	}
	if changed {
		c.publish()
	}
}

func (c *controlLoop) applyMember(ch *wire.MemberChange, now time.Time) {
	m := memberFromWire(ch.GetMember())
	kind := configstore.MemberChangeKind(ch.GetKind())
	switch kind {
	case configstore.MemberJoin, configstore.MemberUpdate:
		c.addMember(kind, m, ch.GetVersion(), now)
	case configstore.MemberLeave, configstore.MemberRemove:
		c.removeMember(kind, m.Node, ch.GetVersion(), now)
	}
	c.logger.Log("event", "member "+ch.GetKind(), "node", m.Node, "zone", m.Zone, "version", ch.GetVersion())
}

func (c *controlLoop) addMember(kind configstore.MemberChangeKind, m configstore.Member, version uint64, now time.Time) {
	previous, wasMember := c.members[m.Node]
	c.members[m.Node] = m
	c.topology.Add(m.Node, m.Zone)
	c.ring.add(m.Node)
	op := placement.Update
	if kind == configstore.MemberJoin {
		delete(c.missedPings, m.Node)
		op = placement.Join
		if wasMember && previous.Incarnation != m.Incarnation {
			op = placement.Rejoin
		}
	}
	c.applyToPlacement(op, m, version, now)
}

func (c *controlLoop) removeMember(kind configstore.MemberChangeKind, node string, version uint64, now time.Time) {
	m, isMember := c.members[node]
	if !isMember {
		c.applyToPlacement(placement.Update, m, version, now)
		return
	}
	c.removeMemberState(m)
	op := placement.Remove
	if kind == configstore.MemberLeave {
		op = placement.Leave
	}
	c.applyToPlacement(op, m, version, now)
}

// removeMemberState removes the state kept for a former member.
func (c *controlLoop) removeMemberState(m configstore.Member) {
	delete(c.members, m.Node)
	delete(c.missedPings, m.Node)
	c.topology.Remove(m.Node)
	c.ring.remove(m.Node)
	c.node.forwarder.loads.remove(m.Node)
	if m.Node != c.node.settings.Node.Name {
		c.node.pool.Disconnect(m.LinkAddress)
	}
}

// applyToPlacement applies a member change to the placement of coordinators.
// Before the first configuration it does nothing, because reconcilePlacement
// then builds the placement from the whole member list.
func (c *controlLoop) applyToPlacement(op placement.Operation, m configstore.Member, version uint64, now time.Time) {
	if c.configVersion == 0 {
		return
	}
	if err := c.node.coordinators.apply(op, m, version, now); err != nil {
		c.logger.Log("event", "placement refused a member change", "version", version, "err", err)
	}
}

// reconcilePlacement keeps the placement consistent with the members. As long
// as no configuration has been accepted, no request can have run. A member list
// that a quorum has attested for placement.ActivationDelay under this condition
// bootstraps the placement, and its coordinators start with complete records.
// After that, a placement whose version differs from that of the members is
// rebuilt from the member list, without records.
func (c *controlLoop) reconcilePlacement(now time.Time) {
	if c.configVersion > 0 {
		if c.node.coordinators.version() != c.membersVersion {
			c.node.coordinators.installFromSnapshot(c.membersVersion, c.members, now)
		}
		return
	}
	if c.state.QuorumVersions(now).Members != c.membersVersion {
		c.bootstrapSince = time.Time{}
		return
	}
	if c.bootstrapVersion != c.membersVersion || c.bootstrapSince.IsZero() {
		c.bootstrapVersion, c.bootstrapSince = c.membersVersion, now
		return
	}
	if now.Sub(c.bootstrapSince) >= placement.ActivationDelay {
		c.node.coordinators.bootstrap(c.membersVersion, c.members, now)
	}
}

// applySnapshot replaces the configuration and the members by newer versions.
func (c *controlLoop) applySnapshot(s *wire.Snapshot, now time.Time) {
	if s == nil {
		return
	}
	if s.GetConfigVersion() > c.configVersion {
		c.replaceConfig(s)
	}
	if s.GetMembersVersion() > c.membersVersion {
		c.replaceMembers(s, now)
	}
}

func (c *controlLoop) replaceConfig(s *wire.Snapshot) {
	next, err := rules.NewConfig().Apply(rules.Delta{Added: s.GetLines()})
	if err != nil {
		c.node.metrics.rejectedDeltas.Inc(1)
		c.logger.Log("event", "configuration snapshot refused", "version", s.GetConfigVersion(), "err", err)
		return
	}
	c.config, c.configVersion, c.configLog = next, s.GetConfigVersion(), nil
	c.router = rules.NewRouter(c.config)
	c.state.RecordConfig(c.configVersion)
	c.logger.Log("event", "configuration snapshot applied", "version", c.configVersion)
	c.publish()
}

func (c *controlLoop) replaceMembers(s *wire.Snapshot, now time.Time) {
	kept := make(map[string]bool, len(s.GetMembers()))
	for _, m := range s.GetMembers() {
		kept[m.GetNode()] = true
	}
	for name, m := range c.members {
		if !kept[name] {
			c.removeMemberState(m)
		}
	}
	for _, w := range s.GetMembers() {
		m := memberFromWire(w)
		c.members[m.Node] = m
		c.topology.Add(m.Node, m.Zone)
		c.ring.add(m.Node)
	}
	c.membersVersion, c.memberLog = s.GetMembersVersion(), nil
	c.state.RecordMembers(c.membersVersion, c.topology.Attesters(), now)
	c.node.coordinators.reset()
	c.publish()
}
