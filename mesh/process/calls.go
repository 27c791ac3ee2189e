package process

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"trefoildock.example/link"
	"trefoildock.example/mesh/fleet"
	"trefoildock.example/mesh/quota"
	"trefoildock.example/platform"
	"trefoildock.example/routing"
	"trefoildock.example/wire"
)

// Verify implements link.Handler. It accepts every peer, because the network of the
// platform connects only the VMs of the deployment.
func (n *Node) Verify(link.Peer) error { return nil }

// ServeStream implements link.Handler.
func (n *Node) ServeStream(_ link.Peer, s *link.Stream, first *wire.Envelope) (err error) {
	n.recovery.Do("link", "", func() { err = n.serveStream(s, first) })
	return err
}

func (n *Node) serveStream(s *link.Stream, first *wire.Envelope) error {
	switch m := first.GetBody().(type) {
	case *wire.Envelope_Offer:
		n.owner.Serve(s, m.Offer)
		return nil
	case *wire.Envelope_Call:
		return n.handleCall(s, m.Call)
	default:
		return errors.New("first message of a stream is neither an offer nor a call")
	}
}

// handleCall executes a call of another node and sends the response.
func (n *Node) handleCall(s *link.Stream, call *wire.Call) error {
	var response *wire.Answer
	switch m := call.GetBody().(type) {
	case *wire.Call_Take:
		response = &wire.Answer{Body: &wire.Answer_Take{Take: n.handleTake(m.Take)}}
	case *wire.Call_Follow:
		response = &wire.Answer{Body: &wire.Answer_Follow{Follow: n.handleFollow(m.Follow)}}
	case *wire.Call_StoreWrite:
		response = &wire.Answer{Body: &wire.Answer_StoreWrite{StoreWrite: n.handleStoreWrite(m.StoreWrite)}}
	case *wire.Call_CrashNotice:
		n.crashes.Observe(time.Now(), noticeFromProto(m.CrashNotice))
		response = &wire.Answer{Body: &wire.Answer_CrashNotice{CrashNotice: &wire.CrashNoticeAnswer{}}}
	default:
		return errors.New("unknown call type")
	}
	_ = s.Send(wire.AnswerEnvelope(response)) // The calling node may have canceled the call.
	return nil
}

// handleTake grants tokens of a team or retries of a service if this node is the
// coordinator. The wire field deputy requests a relay to the coordinator.
func (n *Node) handleTake(t *wire.Take) *wire.TakeAnswer {
	buckets, config := n.lease.Buckets(), n.fleet.View().Config
	if t.GetOverrun() {
		return n.handleOverrunTake(config, t)
	}
	if buckets == nil && t.GetDeputy() {
		return n.relayTake(t)
	}
	if buckets == nil {
		ctx, cancel := context.WithTimeout(context.Background(), reclaimTimeout)
		defer cancel()
		buckets, config = n.lease.Reclaim(ctx), n.fleet.View().Config
	}
	if buckets == nil || config == nil {
		return &wire.TakeAnswer{NotHome: true}
	}
	limit := n.limitOf(config, t)
	if limit == nil {
		return &wire.TakeAnswer{RetryAfterUs: time.Second.Microseconds()}
	}
	if t.GetSpare() && !buckets.HasSpare(time.Now(), limit) {
		return &wire.TakeAnswer{}
	}
	granted, wait := buckets.Take(time.Now(), limit, int(t.GetTokens()))
	return &wire.TakeAnswer{Granted: uint32(granted), RetryAfterUs: wait.Microseconds()}
}

// handleOverrunTake grants tokens of a team's overrun as a fallback node.
func (n *Node) handleOverrunTake(config *routing.Config, t *wire.Take) *wire.TakeAnswer {
	var team *routing.Team
	if config != nil {
		team = config.Team(t.GetTeam())
	}
	if team == nil {
		return &wire.TakeAnswer{}
	}
	result := n.limiter.TakeOverrun(time.Now(), team)
	return &wire.TakeAnswer{Granted: uint32(result.Granted), RetryAfterUs: result.Wait.Microseconds()}
}

// fallbacks returns the nodes that grant the overrun of a team.
func (n *Node) fallbacks(team string) []quota.Peer {
	var out []quota.Peer
	for _, m := range n.fleet.View().NodesForKey(team, quota.FallbackCount) {
		out = append(out, quota.Peer{Node: m.Node, Address: m.Address})
	}
	return out
}

// takeFromFallback takes one token of the overrun that a fallback node grants to a team.
func (n *Node) takeFromFallback(ctx context.Context, p quota.Peer, team string) (quota.TakeResult, error) {
	return n.take(ctx, p.Address, &wire.Take{Team: team, Tokens: 1, Overrun: true})
}

// limitOf returns the limit that applies to a call, or nil if there is none.
func (n *Node) limitOf(config *routing.Config, t *wire.Take) *routing.Team {
	if service := t.GetRetryOf(); service != "" {
		return n.retryLimit(service)
	}
	return config.Team(t.GetTeam())
}

func (n *Node) retryLimit(service string) *routing.Team {
	return quota.RetryLimit(service, n.settings.Bounds.RetryBudgetSlack, n.settings.Bounds.RetryBudgetWindow, len(n.fleet.View().Nodes))
}

// relayTake calls the coordinator on behalf of a node that cannot reach it.
func (n *Node) relayTake(t *wire.Take) *wire.TakeAnswer {
	coordinator, known := n.lease.Coordinator()
	if !known {
		return &wire.TakeAnswer{NotHome: true}
	}
	ctx, cancel := context.WithTimeout(context.Background(), relayTimeout)
	defer cancel()
	result, err := n.takeFromCoordinator(ctx, coordinator, quota.TakeRequest{Team: t.GetTeam(), RetryOf: t.GetRetryOf(), Spare: t.GetSpare()})
	if err != nil {
		return &wire.TakeAnswer{NotHome: true}
	}
	return &wire.TakeAnswer{Granted: uint32(result.Granted), RetryAfterUs: result.Wait.Microseconds(), NotHome: result.NotCoordinator}
}

// relayTimeout bounds a relayed take call. It is below the timeout of the requesting
// node.
const relayTimeout = 100 * time.Millisecond

// reclaimTimeout bounds the wait for the lease of a restarted coordinator. It is below
// the timeout of a take call.
const reclaimTimeout = 80 * time.Millisecond

// takeViaPeer calls the coordinator through another node, which it selects at random
// from this node's zone, or from the other zones if this one has no other node.
func (n *Node) takeViaPeer(ctx context.Context, req quota.TakeRequest) (quota.TakeResult, error) {
	var candidates, otherZones []string
	for name, m := range n.fleet.View().Nodes {
		switch {
		case name == n.settings.Node:
		case m.Zone == n.settings.Zone:
			candidates = append(candidates, m.Address)
		default:
			otherZones = append(otherZones, m.Address)
		}
	}
	if len(candidates) == 0 {
		candidates = otherZones
	}
	if len(candidates) == 0 {
		return quota.TakeResult{}, errors.New("the fleet view contains no other node")
	}
	return n.take(ctx, candidates[rand.IntN(len(candidates))], &wire.Take{Team: req.Team, RetryOf: req.RetryOf, Spare: req.Spare, Tokens: 1, Deputy: true})
}

// takeFromCoordinator takes one token of a team or one retry of a service from the
// coordinator.
func (n *Node) takeFromCoordinator(ctx context.Context, p quota.Peer, req quota.TakeRequest) (quota.TakeResult, error) {
	return n.take(ctx, p.Address, &wire.Take{Team: req.Team, RetryOf: req.RetryOf, Spare: req.Spare, Tokens: 1})
}

func (n *Node) take(ctx context.Context, address string, t *wire.Take) (quota.TakeResult, error) {
	a, err := n.links.Call(ctx, address, &wire.Call{Body: &wire.Call_Take{Take: t}})
	if err != nil {
		return quota.TakeResult{}, err
	}
	response := a.GetTake()
	if response == nil {
		return quota.TakeResult{}, errors.New("response to a take call has another type")
	}
	return quota.TakeResult{
		Granted: int(response.GetGranted()), Wait: time.Duration(response.GetRetryAfterUs()) * time.Microsecond, NotCoordinator: response.GetNotHome(),
	}, nil
}

// handleFollow returns the changes of the fleet state since the revisions in f.
func (n *Node) handleFollow(f *wire.Follow) *wire.FollowAnswer {
	response, ok := n.fleet.HandleFollow(context.Background(), fleet.FollowRequest{
		ConfigVersion: f.GetConfigVersion(), OperatorRevision: f.GetOperatorRevision(),
		MembersRevision: f.GetMembersRevision(), CoordinatorAddress: f.GetHomeAddress(), UnreachableAddress: f.GetLostHome(), Wait: time.Duration(f.GetWaitUs()) * time.Microsecond, Probe: f.GetProbe(), AcceptsSteps: f.GetAcceptsSteps(),
	})
	if !ok {
		return &wire.FollowAnswer{AgeUs: -1}
	}
	out := &wire.FollowAnswer{
		AgeUs: response.Age.Microseconds(), WaitedUs: response.Waited.Microseconds(), ConfigVersion: response.ConfigVersion, Document: response.Document,
		OperatorRevision: response.OperatorRevision, ZonesOut: response.EvacuatedZones, MembersRevision: response.Members.Revision, Whole: response.Full,
		HomeNode: response.Coordinator.Node, HomeAddress: response.Coordinator.Address,
		ReaderNode: response.Reader.Node, ReaderAddress: response.Reader.Address,
	}
	for _, step := range response.Steps {
		out.Steps = append(out.Steps, &wire.ConfigStep{From: step.From, To: step.To, Patch: step.Patch})
	}
	for _, row := range response.Members.Rows {
		out.Rows = append(out.Rows, &wire.StoredRow{Key: row.Key, Value: row.Value, Revision: row.Revision, Removed: row.Removed})
	}
	return out
}

// queryPeer sends a follow request to another node.
func (n *Node) queryPeer(ctx context.Context, address string, req fleet.FollowRequest) (fleet.FollowResponse, error) {
	a, err := n.links.Call(ctx, address, &wire.Call{Body: &wire.Call_Follow{Follow: &wire.Follow{
		ConfigVersion: req.ConfigVersion, OperatorRevision: req.OperatorRevision,
		MembersRevision: req.MembersRevision, HomeAddress: req.CoordinatorAddress, LostHome: req.UnreachableAddress, WaitUs: req.Wait.Microseconds(), Probe: req.Probe, AcceptsSteps: req.AcceptsSteps,
	}}})
	if err != nil {
		return fleet.FollowResponse{}, err
	}
	f := a.GetFollow()
	if f == nil || f.GetAgeUs() < 0 {
		return fleet.FollowResponse{}, errors.New("the configuration of the node was never confirmed")
	}
	response := fleet.FollowResponse{
		Age: time.Duration(f.GetAgeUs()) * time.Microsecond, Waited: time.Duration(f.GetWaitedUs()) * time.Microsecond, ConfigVersion: f.GetConfigVersion(), Document: f.GetDocument(),
		OperatorRevision: f.GetOperatorRevision(), EvacuatedZones: f.GetZonesOut(), Full: f.GetWhole(),
		Coordinator: fleet.Peer{Node: f.GetHomeNode(), Address: f.GetHomeAddress()},
		Reader:      fleet.Peer{Node: f.GetReaderNode(), Address: f.GetReaderAddress()},
	}
	for _, step := range f.GetSteps() {
		response.Steps = append(response.Steps, fleet.ConfigStep{From: step.GetFrom(), To: step.GetTo(), Patch: step.GetPatch()})
	}
	response.Members.Revision = f.GetMembersRevision()
	for _, row := range f.GetRows() {
		response.Members.Rows = append(response.Members.Rows, platform.Change{
			Row: platform.Row{Key: row.GetKey(), Value: row.GetValue(), Revision: row.GetRevision()}, Removed: row.GetRemoved(),
		})
	}
	return response, nil
}
