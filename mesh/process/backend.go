package process

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"trefoildock.example/mesh/fleet"
	"trefoildock.example/platform"
)

const (
	// firstHeartbeatTimeout is the time after the start within which a live backend
	// server announces itself: two heartbeat intervals and a margin.
	firstHeartbeatTimeout = 4 * time.Second
	// maxHandoverAge is the time after its start within which a process may take over
	// the backend server of an earlier process.
	maxHandoverAge = time.Second
	// departureTimeout bounds the wait for the store before a departure is acknowledged. A
	// backend server waits for one second and then announces its departure again.
	departureTimeout = 850 * time.Millisecond
)

// publishedBackend returns the backend server for the row of this node in the store.
// Within firstHeartbeatTimeout of the start it returns false until a heartbeat or a
// departure is received, so that the row of the earlier process stays.
func (n *Node) publishedBackend() (*fleet.Backend, bool) {
	s, known := n.owner.Status()
	if !known {
		if s, known = n.owner.Departed(); !known {
			return nil, time.Since(n.startedAt) > firstHeartbeatTimeout
		}
		s.Service = n.settings.BackendService
	}
	b := &fleet.Backend{
		ID: s.ID, Service: s.Service, Slots: s.Slots, Serving: s.Serving, Leaving: s.Leaving, StartMillis: s.StartedAt.UnixMilli(),
	}
	if n.heartbeatsStopped.Load() {
		b.Serving = b.Serving && s.Reachable
		b.HandedOver = b.Serving
	}
	return b, true
}

// applyView applies a new view to the owner. A row of this node from an earlier process
// restores the state of the backend server.
func (n *Node) applyView(v *fleet.View) {
	n.owner.SetEvacuated(v.EvacuatedZones[n.settings.Zone])
	if ownRow := v.Nodes[n.settings.Node]; ownRow != nil {
		n.restoreBackend(ownRow)
	}
}

// restoreBackend restores the state of the backend server from the row of an earlier
// process. Another node may have sent an older row first.
func (n *Node) restoreBackend(earlier *fleet.Member) {
	b := earlier.Backend
	switch {
	case b == nil || earlier.Incarnation == n.incarnation:
	case b.Leaving:
		n.owner.RestoreLeaving(b.ID, time.UnixMilli(b.StartMillis))
	case b.HandedOver && time.Since(n.startedAt) < maxHandoverAge:
		n.owner.TakeOver(platform.Announcement{
			ID: b.ID, Service: b.Service, Address: n.settings.BackendAddress, Slots: b.Slots, StartedAt: time.UnixMilli(b.StartMillis),
		})
	}
}

// Announce implements platform.AnnouncementReceiver.
func (n *Node) Announce(ctx context.Context, a platform.Announcement) error {
	if err := n.owner.Announce(a); err != nil || !a.Draining {
		return err
	}
	return n.storeDeparture(ctx, a.ID)
}

// Leave implements platform.AnnouncementReceiver.
func (n *Node) Leave(ctx context.Context, id string) error {
	if err := n.owner.Leave(id); err != nil {
		return err
	}
	return n.storeDeparture(ctx, id)
}

// storeDeparture waits until the row of this node in the store contains the departure of the
// backend server. A departure must not be acknowledged before: the next process would not
// know it, and would use the backend server again after a late heartbeat.
func (n *Node) storeDeparture(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, departureTimeout)
	defer cancel()
	if err := n.fleet.PublishNow(ctx); err != nil {
		n.logger.Log("event", "departure not acknowledged", "backend", id, "err", err)
		return errors.Wrap(err, "store the departure")
	}
	return nil
}

var _ platform.AnnouncementReceiver = (*Node)(nil)
