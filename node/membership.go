package node

import (
	"context"
	"slices"
	"time"

	"trefoildock.example/configstore"
	"trefoildock.example/freshness"
	"trefoildock.example/wire"
)

// maxMissedPings is the number of consecutive failed pings after which a
// monitor queries the other monitors: 1.5 s at one ping every 500 ms.
const maxMissedPings = 3

// ensureMember adds this node to the members or updates its member record.
func (c *controlLoop) ensureMember(ctx context.Context, now time.Time) {
	if c.leaving || c.commitInFlight || c.tableUnavailable || !c.caughtUp() {
		return
	}
	self := c.node.member()
	current, isMember := c.members[self.Node]
	kind := configstore.MemberUpdate
	switch {
	case !isMember || current.Incarnation != self.Incarnation:
		kind = configstore.MemberJoin
		if c.wasRemoved(isMember) {
			c.rejoin()
			self = c.node.member()
		}
		if !isMember && c.changesAttesters(func(t *freshness.Topology) { t.Add(self.Node, self.Zone) }) && !c.state.AttesterSetConfirmed(now) {
			return
		}
	case slices.Equal(current.Services, self.Services) && current.LinkAddress == self.LinkAddress:
		return
	}
	c.commitMember(ctx, configstore.MemberChange{Kind: kind, Member: self}, func(uint64) {})
}

// caughtUp reports whether the node holds the highest versions attested to it.
func (c *controlLoop) caughtUp() bool {
	return c.state.AppliedVersions().Covers(c.state.HighestObserved())
}

// wasRemoved reports whether this process was a member and has been removed.
func (c *controlLoop) wasRemoved(isMember bool) bool {
	return !isMember && c.node.joined
}

// rejoin assigns a new incarnation after a removal, so that shares and claims
// of the removed incarnation are not attributed to the new one.
func (c *controlLoop) rejoin() {
	c.node.joined = false
	c.node.renewIncarnation()
	c.logger.Log("event", "removed from the fleet; joining again", "incarnation", c.node.incarnation())
}

// changesAttesters reports whether a change of the topology alters the set of
// attesters. The change is applied to a copy.
func (c *controlLoop) changesAttesters(change func(*freshness.Topology)) bool {
	before := c.topology.Attesters()
	t := freshness.NewTopology()
	for _, m := range c.members {
		t.Add(m.Node, m.Zone)
	}
	change(t)
	return !slices.Equal(before, t.Attesters())
}

// commitMember commits a change to the member log and pushes it to the
// attesters. done runs on the control goroutine.
func (c *controlLoop) commitMember(ctx context.Context, change configstore.MemberChange, done func(version uint64)) {
	c.commitInFlight = true
	change.CommittedBy = c.node.settings.Node.Name
	version := c.membersVersion
	addresses := c.attesterAddresses()
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, controlTimeout)
		defer cancel()
		committed, err := c.node.store.CommitMember(callCtx, configstore.MemberCommit{ReadVersion: version, Change: change})
		c.post(ctx, func() {
			c.commitInFlight = false
			if err == nil {
				c.handleMemberCommit(ctx, change, committed, addresses)
			} else {
				c.node.metrics.memberConflicts.Inc(1)
				c.readTable(ctx) // Another node has committed first, or the outcome is unknown.
			}
			done(committed)
		})
	}()
}

func (c *controlLoop) handleMemberCommit(ctx context.Context, change configstore.MemberChange, version uint64, addresses []string) {
	entry := &wire.MemberChange{Version: version, Kind: string(change.Kind), Member: memberToWire(change.Member)}
	c.applyMembers([]*wire.MemberChange{entry}, time.Now())
	if change.Member.Node == c.node.settings.Node.Name && change.Kind == configstore.MemberJoin {
		c.node.joined = true
	}
	want := freshness.Versions{Members: version}
	go c.node.push(ctx, addresses, &wire.Acknowledge{Members: []*wire.MemberChange{entry}}, want)
}

// attesterAddresses returns the link addresses of the attesters.
func (c *controlLoop) attesterAddresses() []string {
	var out []string
	for _, name := range c.topology.Attesters() {
		if m, ok := c.members[name]; ok {
			out = append(out, m.LinkAddress)
		}
	}
	return out
}

// pingMonitored pings the nodes monitored by this node.
func (c *controlLoop) pingMonitored(ctx context.Context) {
	for _, name := range c.ring.monitored(c.node.settings.Node.Name) {
		m := c.members[name]
		c.startExclusive(ctx, "ping "+name, func(callCtx context.Context) {
			reachable := c.node.ping(callCtx, m.LinkAddress, "")
			c.post(ctx, func() { c.handlePingResult(ctx, m, reachable) })
		})
	}
}

// ping reports whether this node can reach the node at address or, if target is
// set, whether that node can reach the target.
func (n *Node) ping(ctx context.Context, address, target string) bool {
	ctx, cancel := context.WithTimeout(ctx, controlInterval)
	defer cancel()
	a, err := n.pool.Call(ctx, address, &wire.Call{Body: &wire.Call_Ping{Ping: &wire.Ping{Target: target}}})
	if err != nil || a.GetPing() == nil {
		return false
	}
	return target == "" || a.GetPing().GetTargetAlive()
}

func (c *controlLoop) handlePingResult(ctx context.Context, m configstore.Member, reachable bool) {
	if reachable {
		delete(c.missedPings, m.Node)
		return
	}
	c.missedPings[m.Node]++
	if c.missedPings[m.Node] >= maxMissedPings {
		c.confirmFailure(ctx, m)
	}
}

// confirmFailure queries the other monitors of an unresponsive node; the node
// is removed if none of them can reach it. A monitor that does not respond is
// not counted, because it may have failed together with the node.
func (c *controlLoop) confirmFailure(ctx context.Context, m configstore.Member) {
	var otherMonitors []string
	for _, name := range c.ring.monitors(m.Node) {
		if o, ok := c.members[name]; ok && name != c.node.settings.Node.Name {
			otherMonitors = append(otherMonitors, o.LinkAddress)
		}
	}
	c.startExclusive(ctx, "confirm "+m.Node, func(callCtx context.Context) {
		reachable := false
		for _, address := range otherMonitors {
			reachable = reachable || c.node.ping(callCtx, address, m.Node)
		}
		c.post(ctx, func() { c.finishConfirmation(ctx, m, reachable) })
	})
}

func (c *controlLoop) finishConfirmation(ctx context.Context, m configstore.Member, reachable bool) {
	if reachable {
		c.missedPings[m.Node] = 0
		return
	}
	now := time.Now()
	current, isMember := c.members[m.Node]
	if !isMember || current.Incarnation != m.Incarnation || c.missedPings[m.Node] < maxMissedPings || !c.state.Fresh(now) {
		return
	}
	if c.commitInFlight || c.tableUnavailable {
		return // Retried after the next failed ping.
	}
	if c.changesAttesters(func(t *freshness.Topology) { t.Remove(m.Node) }) && !c.state.AttesterSetConfirmed(now) {
		return
	}
	c.logger.Log("event", "removing a silent node", "node", m.Node, "misses", c.missedPings[m.Node])
	c.commitMember(ctx, configstore.MemberChange{Kind: configstore.MemberRemove, Member: current}, func(uint64) {})
}

// leave removes this node from the member list before a planned shutdown. It
// sends the version of the change to done, or 0 if the change could not be
// committed.
func (c *controlLoop) leave(ctx context.Context, done chan<- uint64) {
	c.leaving = true
	self, isMember := c.members[c.node.settings.Node.Name]
	if !isMember {
		done <- 0
		return
	}
	c.commitMember(ctx, configstore.MemberChange{Kind: configstore.MemberLeave, Member: self}, func(version uint64) {
		if version > 0 {
			done <- version
			return
		}
		if c.tableUnavailable {
			done <- 0
			return
		}
		time.AfterFunc(controlInterval, func() { c.post(ctx, func() { c.leave(ctx, done) }) })
	})
}
