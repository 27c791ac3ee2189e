package fleet

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"trefoildock.example/mesh/clock"
	"trefoildock.example/platform"
)

const (
	// readersPerZone is the number of nodes of an availability zone that watch the
	// store. The other nodes follow one of them, which costs no store calls and no
	// traffic between zones. Two readers tolerate the loss of one.
	readersPerZone = 2
	// followWait is how long a followed node holds a request open until something changes
	// or the store confirms its configuration again. It is above operatorWatchWait, so that
	// a confirmation reaches the followers as soon as the reader has it.
	followWait = operatorWatchWait + 50*time.Millisecond
	// followTimeout bounds one follow request in addition to its wait.
	followTimeout = 350 * time.Millisecond
	// followMaxAge is the age of the followed node's confirmation from which the
	// follower switches to another node. It is slightly above operatorWatchWait, the
	// maximum age while the store responds, so that a follower receives a new
	// configuration within 2 s even if its reader is cut off from the store.
	followMaxAge = 1300 * time.Millisecond
	// peerPollAge is the age of this node's confirmation from which it polls nodes of
	// any zone. It is slightly above the time in which a reader and its followers are
	// confirmed, and does not depend on the sources that this node has tried since: the
	// timeouts of sources that fail one after another would add up past 2 s, the time in
	// which a configuration must be in force.
	peerPollAge = operatorWatchWait + 250*time.Millisecond
	// peerPollInterval is the time between two polls, and latePollInterval that from an age
	// of latePollAge on, because in an outage of the store all nodes poll. peersPerPoll is the number of nodes queried in one poll, and
	// peerPollTimeout the timeout of one query.
	peerPollInterval = 200 * time.Millisecond
	latePollInterval = 400 * time.Millisecond
	latePollAge      = 2 * peerPollAge
	peersPerPoll     = 3
	peerPollTimeout  = 350 * time.Millisecond
)

// FollowResponse holds the changes of the fleet state since the revisions in the request.
type FollowResponse struct {
	// Age is the time since the configuration was last confirmed by the store.
	Age time.Duration
	// Waited is the time from the receipt of the request to the response.
	Waited        time.Duration
	ConfigVersion uint64
	// Steps lead to the document of the configuration if it is newer than that of the
	// requesting node. Document is set in place of them if the node does not accept steps.
	Steps    []ConfigStep
	Document []byte
	// OperatorRevision is the revision of EvacuatedZones.
	OperatorRevision uint64
	EvacuatedZones   []string
	// Members holds the changed rows, or all rows if Full is set.
	Members platform.Changes
	Full    bool
	// Coordinator is the coordinator of the rate limits; zero if it is unknown.
	Coordinator Peer
	// Reader is a node that reads the store: the queried node, or the one that it
	// follows; zero if it can name none.
	Reader Peer
}

// FollowRequest holds the revisions of the requesting node.
type FollowRequest struct {
	ConfigVersion, OperatorRevision, MembersRevision uint64
	// CoordinatorAddress is the address of the coordinator, UnreachableAddress that
	// of a coordinator that the requesting node could not reach.
	CoordinatorAddress, UnreachableAddress string
	// Wait is how long the queried node may wait for a change before it responds.
	Wait time.Duration
	// AcceptsSteps means that the configuration may be sent as steps.
	AcceptsSteps bool
	// Probe requests only the age of the confirmation and the reader.
	Probe bool
}

// HandleFollow returns the changes since the revisions of another node, after
// waiting for a change or a confirmation by the store. It returns false if the
// configuration of this node was never confirmed.
func (s *State) HandleFollow(ctx context.Context, req FollowRequest) (FollowResponse, bool) {
	received := s.cfg.Clock()
	if req.UnreachableAddress != "" && req.UnreachableAddress == s.View().Coordinator.Address {
		s.cfg.OnCoordinatorUnreachable(req.UnreachableAddress)
	}
	s.awaitFirstConfirmation(ctx)
	age, ok := s.ConfirmationAge()
	if wait := min(req.Wait, followWait, followMaxAge-age); ok && wait > 0 && (!s.ReadsStore() || !s.storeUnavailable.Load()) {
		ctx, cancel := context.WithTimeout(ctx, wait)
		s.awaitChange(ctx, req)
		cancel()
		age, ok = s.ConfirmationAge()
	}
	if !ok {
		return FollowResponse{}, false
	}
	response := FollowResponse{Age: age, Waited: s.cfg.Clock().Sub(received), Reader: s.knownReader()}
	if req.Probe {
		return response, true
	}
	s.runAndWait(ctx, func() {
		if s.config != nil {
			response.ConfigVersion = s.config.Version
		}
		if response.ConfigVersion > req.ConfigVersion {
			s.addConfig(&response, req)
		}
		response.OperatorRevision, response.EvacuatedZones = s.operatorRevision, slices.Sorted(maps.Keys(s.zones.stored))
		response.Members.Rows, response.Full = s.table.since(req.MembersRevision)
		response.Members.Revision, response.Coordinator = s.table.revision, s.coordinator
	})
	return response, true
}

// addConfig adds the configuration to a response, as steps if the requesting node accepts
// them.
func (s *State) addConfig(response *FollowResponse, req FollowRequest) {
	size := 0
	if req.AcceptsSteps {
		response.Steps = s.documents.since(req.ConfigVersion)
		for _, step := range response.Steps {
			size += len(step.Patch)
		}
	} else {
		response.Document = s.documents.document
		size = len(response.Document)
	}
	s.cfg.Metrics.ConfigsSent.Inc(1)
	s.cfg.Metrics.ConfigBytesSent.Inc(int64(size))
}

// firstConfirmationWait is how long a node that starts lets other nodes wait for its
// first confirmation. It is below peerPollTimeout.
const firstConfirmationWait = 250 * time.Millisecond

// awaitFirstConfirmation waits until the store has confirmed the configuration once.
func (s *State) awaitFirstConfirmation(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, firstConfirmationWait)
	defer cancel()
	for ctx.Err() == nil && s.confirmed.Load() == 0 {
		clock.Sleep(ctx, firstConfirmationWait/25)
	}
}

// awaitChange returns when this node has newer revisions or a newer coordinator than
// those in req, when its configuration is confirmed again, or when ctx ends.
func (s *State) awaitChange(ctx context.Context, req FollowRequest) {
	confirmed := s.confirmed.Load()
	for ctx.Err() == nil && s.confirmed.Load() == confirmed {
		changed := *s.changed.Load()
		own := s.followRequest()
		if own.ConfigVersion > req.ConfigVersion || own.OperatorRevision > req.OperatorRevision || own.MembersRevision > req.MembersRevision ||
			own.CoordinatorAddress != "" && own.CoordinatorAddress != req.CoordinatorAddress && own.CoordinatorAddress != req.UnreachableAddress {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// followRequest returns a request with the revisions of the current view.
func (s *State) followRequest() FollowRequest {
	v := s.View()
	req := FollowRequest{AcceptsSteps: !s.refuseSteps.Load(), OperatorRevision: v.operatorRevision, MembersRevision: v.Revision, CoordinatorAddress: v.Coordinator.Address, UnreachableAddress: s.cfg.UnreachableAddress()}
	if v.Config != nil {
		req.ConfigVersion = v.Config.Version
	}
	return req
}

// applyResponse applies the changes that the node at an address returned. sent is the
// time at which the request was sent.
func (s *State) applyResponse(ctx context.Context, address string, response FollowResponse, sent clock.Instant) {
	if response.Coordinator != (Peer{}) {
		s.cfg.OnCoordinator(response.Coordinator)
	}
	s.runAndWait(ctx, func() {
		document := s.documentOf(response, address)
		changed := document != nil && s.applyConfig(document, address)
		if response.OperatorRevision > s.operatorRevision {
			restored := s.isRestored(s.operatorRevision, response.OperatorRevision)
			s.operatorRevision = response.OperatorRevision
			changed = s.replaceEvacuatedZones(response.EvacuatedZones, restored) || changed
		}
		before := s.table.revision
		if s.mergeRows(response.Members, response.Full) || changed || s.table.revision != before {
			s.publishView()
		}
		if s.config != nil && s.config.Version >= response.ConfigVersion {
			// The other node read the age at least Waited after the request was sent.
			s.confirm(sent.Add(response.Waited - response.Age))
		}
	})
}

// documentOf returns the document of a response, or nil if it contains none that is newer.
func (s *State) documentOf(response FollowResponse, address string) []byte {
	if len(response.Steps) == 0 || s.config != nil && s.config.Version >= response.ConfigVersion {
		return response.Document
	}
	document, err := s.documents.apply(response.Steps)
	switch {
	case errors.Is(err, errNoStep):
		return nil // A newer version has arrived since the request; the next response continues from it.
	case err != nil:
		s.refuseSteps.Store(true) // The next response contains the whole document.
		s.cfg.Logger.Log("event", "steps of the configuration refused", "source", address, "version", response.ConfigVersion, "err", err)
	}
	return document
}

// replaceEvacuatedZones applies the complete set of evacuated zones, and reports whether it
// changed. After a restoration of the store, zones that are missing stay evacuated
// until the operator has had time to write them again.
func (s *State) replaceEvacuatedZones(names []string, restored bool) bool {
	if restored {
		s.holdMissingState(s.operatorRevision)
	}
	if !s.zones.replace(names, restored) {
		return false
	}
	s.cfg.Logger.Log("event", "availability zones evacuated", "zones", strings.Join(slices.Sorted(maps.Keys(s.zones.effective())), ","), "revision", s.operatorRevision)
	return true
}

// pollPeersWhileStale polls nodes of any zone while this node's confirmation is
// stale. The store may reject the calls of some VMs and serve the others.
func (s *State) pollPeersWhileStale(ctx context.Context) {
	for ctx.Err() == nil {
		age, known := s.ConfirmationAge()
		if known && age < peerPollAge {
			clock.Sleep(ctx, peerPollAge-age)
			continue
		}
		s.pollPeers(ctx)
		interval := peerPollInterval
		if age >= latePollAge {
			interval = latePollInterval
		}
		clock.Sleep(ctx, interval)
	}
}

func (s *State) pollPeers(ctx context.Context) {
	var addresses []string
	for name, m := range s.View().Nodes {
		if name != s.cfg.Self.Node {
			addresses = append(addresses, m.Address)
		}
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	for _, address := range addresses[:min(len(addresses), peersPerPoll)] {
		go s.pollPeer(ctx, address)
	}
}

// pollPeer asks a node for the age of its confirmation, and for its state if that is more
// recent than the state of this node. While this node has no configuration, it asks one
// node at a time, because each would send the whole document.
func (s *State) pollPeer(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, peerPollTimeout)
	defer cancel()
	response, err := s.cfg.QueryPeer(ctx, address, FollowRequest{Probe: true})
	if err != nil {
		return // The next poll queries other nodes.
	}
	s.offerHint(response.Reader, response.Age)
	switch age, known := s.ConfirmationAge(); {
	case known && response.Age >= age:
		return
	case !known && !s.fetching.CompareAndSwap(false, true):
		return
	case !known:
		defer s.fetching.Store(false)
	}
	sent := s.cfg.Clock()
	if response, err = s.cfg.QueryPeer(ctx, address, s.followRequest()); err != nil {
		return
	}
	s.applyResponse(ctx, address, response, sent)
}
