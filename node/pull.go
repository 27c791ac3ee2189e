package node

import (
	"context"
	"math/rand/v2"
	"time"

	"trefoildock.example/configstore"
	"trefoildock.example/freshness"
	"trefoildock.example/wire"
)

// catchUpPeers is the number of random members that a node pulls from in
// addition to its parents while it is not fresh or not a member.
const catchUpPeers = 3

// attesterPulls is the number of other attesters that an attester pulls from
// per interval while the table is readable, and attesterPullsDuringOutage while
// it is not. During an outage the attestations of other attesters alone keep a
// node fresh.
const (
	attesterPulls             = 2
	attesterPullsDuringOutage = 8
)

// synchronize starts the table read and the pulls of one interval.
func (c *controlLoop) synchronize(ctx context.Context, now time.Time) {
	self := c.node.settings.Node.Name
	_, member := c.members[self]
	settled := member && c.state.Fresh(now)
	if c.topology.IsAttester(self) || !settled {
		c.readTable(ctx)
	}
	for _, name := range c.pullTargets(self) {
		c.pullMember(ctx, name)
	}
	if settled {
		return
	}
	for _, name := range c.randomMembers(catchUpPeers) {
		c.pullMember(ctx, name)
	}
	if !member {
		for _, name := range c.topology.Attesters() { // Determines when the node may join.
			c.pullMember(ctx, name)
		}
	}
	for _, address := range c.node.settings.Link.Seeds {
		c.pull(ctx, address)
	}
}

// pullTargets returns the parents to pull from in this interval. If a node has
// many, it pulls from them in turn, which suffices because attestations are
// relayed.
func (c *controlLoop) pullTargets(self string) []string {
	all := c.topology.Parents(self)
	count := attesterPulls
	if c.tableUnavailable {
		count = attesterPullsDuringOutage
	}
	if len(all) <= count {
		return all
	}
	selected := make([]string, count)
	for k := range selected {
		selected[k] = all[(c.nextPull+k)%len(all)]
	}
	c.nextPull += count
	return selected
}

func (c *controlLoop) randomMembers(n int) []string {
	names := make([]string, 0, len(c.members))
	for name := range c.members {
		names = append(names, name)
	}
	rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names[:min(n, len(names))]
}

func (c *controlLoop) pullMember(ctx context.Context, name string) {
	if name == c.node.settings.Node.Name {
		return
	}
	if m, ok := c.members[name]; ok {
		c.pull(ctx, m.LinkAddress)
	}
}

// pull requests everything newer than the held versions from the node at
// address.
func (c *controlLoop) pull(ctx context.Context, address string) {
	if address == c.node.settings.Listen.Link {
		return
	}
	held := c.state.AppliedVersions()
	c.startExclusive(ctx, "pull "+address, func(callCtx context.Context) {
		start := time.Now()
		a, err := c.node.pool.Call(callCtx, address, &wire.Call{Body: &wire.Call_Pull{Pull: &wire.Pull{
			ConfigVersion: held.Config, MembersVersion: held.Members,
		}}})
		now := time.Now()
		if err != nil || a.GetPull() == nil {
			c.node.metrics.pullErrors.Inc(1)
			return
		}
		c.post(ctx, func() { c.merge(a.GetPull(), now.Sub(start), now) })
	})
}

// merge applies a pull response that was received at the given time.
func (c *controlLoop) merge(a *wire.PullAnswer, roundTrip time.Duration, received time.Time) {
	c.applySnapshot(a.GetSnapshot(), received)
	c.applyMembers(a.GetMembers(), received)
	c.applyConfig(a.GetConfig())
	// The time in the queue of this goroutine adds to the age of the response.
	now := time.Now()
	c.state.Merge(attestationsFromWire(a.GetAttestations()), roundTrip+now.Sub(received), now)
	c.publishFreshness(now)
	c.ensureMember(c.ctx, now)
}

// changesSince returns the changes that a peer with the given versions lacks.
func (c *controlLoop) changesSince(p *wire.Pull, now time.Time) *wire.PullAnswer {
	a := &wire.PullAnswer{Attestations: attestationsToWire(c.state.Export(now))}
	configFrom := len(c.configLog) - int(c.configVersion-min(p.GetConfigVersion(), c.configVersion))
	memberFrom := len(c.memberLog) - int(c.membersVersion-min(p.GetMembersVersion(), c.membersVersion))
	if configFrom < 0 || memberFrom < 0 {
		a.Snapshot = c.fullSnapshot()
		return a
	}
	a.Config = limitChanges(c.configLog[configFrom:])
	a.Members = limitChanges(c.memberLog[memberFrom:])
	return a
}

func limitChanges[T any](list []T) []T { return list[:min(len(list), pullLimit)] }

func (c *controlLoop) fullSnapshot() *wire.Snapshot {
	s := &wire.Snapshot{
		ConfigVersion: c.configVersion, Lines: c.config.Lines(), MembersVersion: c.membersVersion,
	}
	for _, m := range c.members {
		s.Members = append(s.Members, memberToWire(m))
	}
	return s
}

// applyAcknowledge applies the changes that a committing node pushes to an
// attester.
func (c *controlLoop) applyAcknowledge(a *wire.Acknowledge, now time.Time) *wire.AcknowledgeAnswer {
	c.applyMembers(a.GetMembers(), now)
	c.applyConfig(a.GetConfig())
	return &wire.AcknowledgeAnswer{ConfigVersion: c.configVersion, MembersVersion: c.membersVersion}
}

// tableRead is the result of reading the platform's table.
type tableRead struct {
	start    time.Time
	heads    configstore.Heads
	snapshot *wire.Snapshot
	config   []*wire.ConfigDelta
	members  []*wire.MemberChange
	err      error
}

// readTable reads the log heads and the changes after the held versions.
func (c *controlLoop) readTable(ctx context.Context) {
	held := c.state.AppliedVersions()
	c.startExclusive(ctx, "table", func(callCtx context.Context) {
		r := c.node.readTableLogs(callCtx, held)
		c.post(ctx, func() { c.applyTable(r) })
	})
}

func (n *Node) readTableLogs(ctx context.Context, held freshness.Versions) tableRead {
	r := tableRead{start: time.Now()}
	if r.heads, r.err = n.store.Heads(ctx); r.err != nil {
		return r
	}
	if r.heads.Config > held.Config+recentChanges {
		if r.snapshot, r.err = n.loadSnapshot(ctx); r.err != nil {
			return r
		}
		held.Config = max(held.Config, r.snapshot.GetConfigVersion())
	}
	if r.heads.Config > held.Config {
		entries, err := n.store.ConfigEntries(ctx, held.Config, pullLimit)
		if r.err = err; err != nil {
			return r
		}
		for _, e := range entries {
			r.config = append(r.config, configEntryToWire(e))
		}
	}
	if r.heads.Members > held.Members {
		entries, err := n.store.MemberEntries(ctx, held.Members, pullLimit)
		if r.err = err; err != nil {
			return r
		}
		for _, e := range entries {
			r.members = append(r.members, memberEntryToWire(e))
		}
	}
	return r
}

// applyTable applies the result of a table read on the control goroutine.
func (c *controlLoop) applyTable(r tableRead) {
	if down := r.err != nil; down != c.tableUnavailable {
		c.tableUnavailable = down
		c.logger.Log("event", "table reachability changed", "down", down, "err", r.err)
	}
	if r.err != nil {
		c.node.metrics.tableErrors.Inc(1)
		return
	}
	now := time.Now()
	c.applySnapshot(r.snapshot, now)
	c.applyMembers(r.members, now)
	c.applyConfig(r.config)
	c.state.RecordTableRead(freshness.Versions{Config: r.heads.Config, Members: r.heads.Members}, r.start)
	c.publishFreshness(now)
	c.ensureMember(c.ctx, now)
}

// push sends committed changes to the attesters and returns the number of them
// that hold the versions.
func (n *Node) push(ctx context.Context, addresses []string, a *wire.Acknowledge, want freshness.Versions) int {
	results := make(chan bool, len(addresses))
	for _, address := range addresses {
		go func() { results <- n.pushOne(ctx, address, a, want) }()
	}
	held := 0
	for range addresses {
		if <-results {
			held++
		}
	}
	return held
}

func (n *Node) pushOne(ctx context.Context, address string, a *wire.Acknowledge, want freshness.Versions) bool {
	callCtx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	answer, err := n.pool.Call(callCtx, address, &wire.Call{Body: &wire.Call_Acknowledge{Acknowledge: a}})
	if err != nil {
		return false
	}
	got := answer.GetAcknowledge()
	return freshness.Versions{Config: got.GetConfigVersion(), Members: got.GetMembersVersion()}.Covers(want)
}

// loadSnapshot reads the complete configuration for a node that is far behind.
func (n *Node) loadSnapshot(ctx context.Context) (*wire.Snapshot, error) {
	state, err := n.store.LoadConfig(ctx)
	if err != nil {
		return nil, err
	}
	return &wire.Snapshot{ConfigVersion: state.Version, Lines: state.Config.Lines()}, nil
}
