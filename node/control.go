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
	// controlInterval is the time between pulls, table reads and pings.
	controlInterval = 500 * time.Millisecond
	// controlTimeout bounds one control call. It is shorter than the freshness
	// window, so that a late answer is still worth merging.
	controlTimeout = 2 * time.Second
	// recentChanges is the number of changes of each log that a node keeps in
	// memory for peers that pull; a peer further behind gets a snapshot.
	recentChanges = 1024
	// pullLimit bounds the changes in one answer.
	pullLimit = 256
)

// control owns the control state of a node. Only its goroutine touches the
// fields; other goroutines post functions to it and read published snapshots.
type control struct {
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

	// busy names the calls in flight, so that a slow peer gets one call at a time.
	busy      map[string]bool
	misses    map[string]int
	joining   bool
	leaving   bool
	tableDown bool
	lastFresh bool
	// turn counts the intervals, to pull from all attesters in turn.
	turn int
	// foundingVersion is the member version that a quorum attests since
	// foundingAt while no configuration was ever accepted.
	foundingVersion uint64
	foundingAt      time.Time
}

func newControl(n *Node) *control {
	c := &control{
		node: n, ctx: n.ctx, logger: n.logger, events: make(chan func(), 256),
		state: freshness.NewState(n.settings.Node.Name), topology: freshness.NewTopology(),
		config: rules.NewConfig(), members: make(map[string]configstore.Member),
		busy: make(map[string]bool), misses: make(map[string]int),
	}
	c.router = rules.NewRouter(c.config)
	return c
}

// run is the control goroutine. It ends with ctx.
func (c *control) run(ctx context.Context) {
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

// post runs f on the control goroutine. It reports false if the node has stopped.
func (c *control) post(ctx context.Context, f func()) bool {
	select {
	case c.events <- f:
		return true
	case <-ctx.Done():
		return false
	}
}

// ask runs f on the control goroutine and waits for it.
func (c *control) ask(ctx context.Context, f func()) error {
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

// tick does the periodic work. It reads the clock itself, because the tick may
// have waited while the process was paused.
func (c *control) tick(ctx context.Context) {
	now := time.Now()
	c.node.owner.tick(now)
	c.synchronise(ctx, now)
	c.ensureMember(ctx, now)
	c.pingMonitored(ctx)
	c.publishFreshness(now)
	c.node.homes.tick(now, c.state.QuorumVersions(now).Members)
}

// once starts f in a goroutine unless an earlier call of the same name still runs.
func (c *control) once(ctx context.Context, name string, f func(context.Context)) {
	if c.busy[name] {
		return
	}
	c.busy[name] = true
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, controlTimeout)
		defer cancel()
		f(callCtx)
		c.post(ctx, func() { delete(c.busy, name) })
	}()
}

// publishFreshness tells traffic goroutines until when the node is fresh.
func (c *control) publishFreshness(now time.Time) {
	until := c.state.FreshUntil(now)
	c.node.setFreshUntil(until)
	fresh := !until.IsZero() && !now.After(until)
	if fresh {
		c.settlePlacement(now)
	}
	if fresh != c.lastFresh {
		c.lastFresh = fresh
		c.logger.Log("event", "freshness changed", "fresh", fresh, "config", c.configVersion, "members", c.membersVersion)
	}
	c.node.gauges.update(c, fresh)
}

// publish gives traffic goroutines a new snapshot.
func (c *control) publish() {
	before := c.node.snapshot.Load().configVersion
	c.node.invariants.Check(c.configVersion >= before, invariant.Version, "configuration version %d after %d", c.configVersion, before)
	c.node.snapshot.Store(newSnapshot(c.config, c.router, c.configVersion, maps.Clone(c.members), c.membersVersion))
}

// applyConfig applies deltas that follow the held version and ignores the rest.
func (c *control) applyConfig(deltas []*wire.ConfigDelta) {
	changed := false
	for _, d := range deltas {
		if d.GetVersion() != c.configVersion+1 {
			continue
		}
		next, err := c.config.Apply(rules.Delta{Removed: d.GetRemoved(), Added: d.GetAdded()})
		if err != nil {
			// A committed delta was checked against the version before it, so
			// this is a fault of the sender; nothing of it is applied.
			c.node.metrics.badDeltas.Inc(1)
			c.logger.Log("event", "configuration delta refused", "version", d.GetVersion(), "err", err)
			break
		}
		c.config, c.configVersion = next, d.GetVersion()
		c.configLog = appendRecent(c.configLog, d)
		changed = true
	}
	if changed {
		c.router = c.router.Update(c.config)
		c.state.HoldConfig(c.configVersion)
		c.logger.Log("event", "configuration applied", "version", c.configVersion)
		c.publish()
	}
}

// appendRecent keeps the last recentChanges elements.
func appendRecent[T any](list []T, v T) []T {
	if len(list) >= 2*recentChanges {
		list = append([]T(nil), list[len(list)-recentChanges:]...)
	}
	return append(list, v)
}

// applyMembers applies member changes that follow the held version.
func (c *control) applyMembers(changes []*wire.MemberChange, now time.Time) {
	changed := false
	for _, ch := range changes {
		if ch.GetVersion() != c.membersVersion+1 {
			continue
		}
		c.applyMember(ch, now)
		c.membersVersion = ch.GetVersion()
		c.memberLog = appendRecent(c.memberLog, ch)
		c.state.HoldMembers(c.membersVersion, c.topology.Attesters(), now)
		changed = true
	}
	if changed {
		c.publish()
	}
}

func (c *control) applyMember(ch *wire.MemberChange, now time.Time) {
	m := memberFromWire(ch.GetMember())
	kind := configstore.MemberKind(ch.GetKind())
	switch kind {
	case configstore.MemberJoin, configstore.MemberUpdate:
		c.addMember(kind, m, ch.GetVersion(), now)
	case configstore.MemberLeave, configstore.MemberRemove:
		c.dropMember(kind, m.Node, ch.GetVersion(), now)
	}
	c.logger.Log("event", "member "+ch.GetKind(), "node", m.Node, "zone", m.Zone, "version", ch.GetVersion())
}

func (c *control) addMember(kind configstore.MemberKind, m configstore.Member, version uint64, now time.Time) {
	previous, known := c.members[m.Node]
	c.members[m.Node] = m
	c.topology.Add(m.Node, m.Zone)
	c.ring.add(m.Node)
	op := placement.Update
	if kind == configstore.MemberJoin {
		delete(c.misses, m.Node)
		op = placement.Join
		if known && previous.Incarnation != m.Incarnation {
			op = placement.Rejoin
		}
	}
	c.place(op, m, version, now)
}

func (c *control) dropMember(kind configstore.MemberKind, node string, version uint64, now time.Time) {
	m, known := c.members[node]
	if !known {
		c.place(placement.Update, m, version, now)
		return
	}
	c.forgetMember(m)
	op := placement.Remove
	if kind == configstore.MemberLeave {
		op = placement.Leave
	}
	c.place(op, m, version, now)
}

// forgetMember drops what this node keeps about a former member.
func (c *control) forgetMember(m configstore.Member) {
	delete(c.members, m.Node)
	delete(c.misses, m.Node)
	c.topology.Remove(m.Node)
	c.ring.remove(m.Node)
	c.node.forwarder.loads.forget(m.Node)
	if m.Node != c.node.settings.Node.Name {
		c.node.pool.Forget(m.LinkAddress)
	}
}

// place passes a member change on to the placement of homes. During the first
// start of a deployment the placement is founded anew instead.
func (c *control) place(op placement.Operation, m configstore.Member, version uint64, now time.Time) {
	if c.configVersion == 0 {
		return
	}
	if err := c.node.homes.apply(op, m, version, now); err != nil {
		c.logger.Log("event", "placement refused a member change", "version", version, "err", err)
	}
}

// settlePlacement keeps the placement in line with the members. While no
// configuration was ever accepted, no request can have run; a member list that
// a quorum attested for placement.ActivationWait under that condition founds the
// placement: its homes remember everything. A placement that does not follow
// the members is adopted anew, without memory.
func (c *control) settlePlacement(now time.Time) {
	if c.configVersion > 0 {
		if c.node.homes.version() != c.membersVersion {
			c.node.homes.adopt(c.membersVersion, c.members, now)
		}
		return
	}
	if c.state.QuorumVersions(now).Members != c.membersVersion {
		c.foundingAt = time.Time{}
		return
	}
	if c.foundingVersion != c.membersVersion || c.foundingAt.IsZero() {
		c.foundingVersion, c.foundingAt = c.membersVersion, now
		return
	}
	if now.Sub(c.foundingAt) >= placement.ActivationWait {
		c.node.homes.found(c.membersVersion, c.members, now)
	}
}

// applySnapshot replaces configuration and members by a newer copy.
func (c *control) applySnapshot(s *wire.Snapshot, now time.Time) {
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

func (c *control) replaceConfig(s *wire.Snapshot) {
	next, err := rules.NewConfig().Apply(rules.Delta{Added: s.GetLines()})
	if err != nil {
		c.node.metrics.badDeltas.Inc(1)
		c.logger.Log("event", "configuration snapshot refused", "version", s.GetConfigVersion(), "err", err)
		return
	}
	c.config, c.configVersion, c.configLog = next, s.GetConfigVersion(), nil
	c.router = rules.NewRouter(c.config)
	c.state.HoldConfig(c.configVersion)
	c.logger.Log("event", "configuration snapshot applied", "version", c.configVersion)
	c.publish()
}

func (c *control) replaceMembers(s *wire.Snapshot, now time.Time) {
	kept := make(map[string]bool, len(s.GetMembers()))
	for _, m := range s.GetMembers() {
		kept[m.GetNode()] = true
	}
	for name, m := range c.members {
		if !kept[name] {
			c.forgetMember(m)
		}
	}
	for _, w := range s.GetMembers() {
		m := memberFromWire(w)
		c.members[m.Node] = m
		c.topology.Add(m.Node, m.Zone)
		c.ring.add(m.Node)
	}
	c.membersVersion, c.memberLog = s.GetMembersVersion(), nil
	c.state.HoldMembers(c.membersVersion, c.topology.Attesters(), now)
	c.node.homes.forget()
	c.publish()
}
