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

// Verify implements link.Handler. The network of the platform reaches only the
// machines of the deployment.
func (n *Node) Verify(link.Peer) error { return nil }

// ServeStream implements link.Handler.
func (n *Node) ServeStream(_ link.Peer, s *link.Stream, first *wire.Envelope) error {
	switch m := first.GetBody().(type) {
	case *wire.Envelope_Offer:
		n.owner.Serve(s, m.Offer)
		return nil
	case *wire.Envelope_Call:
		return n.answer(s, m.Call)
	default:
		return errors.New("unexpected first message on a stream")
	}
}

// answer serves a call of another node.
func (n *Node) answer(s *link.Stream, call *wire.Call) error {
	var a *wire.Answer
	switch m := call.GetBody().(type) {
	case *wire.Call_Take:
		a = &wire.Answer{Body: &wire.Answer_Take{Take: n.answerTake(m.Take)}}
	case *wire.Call_Follow:
		a = &wire.Answer{Body: &wire.Answer_Follow{Follow: n.answerFollow(m.Follow)}}
	case *wire.Call_StoreWrite:
		a = &wire.Answer{Body: &wire.Answer_StoreWrite{StoreWrite: n.answerStoreWrite(m.StoreWrite)}}
	default:
		return errors.New("unknown call")
	}
	_ = s.Send(wire.AnswerEnvelope(a)) // The caller may have given up.
	return nil
}

// answerTake gives out requests of a team if this node is the home of the rates.
func (n *Node) answerTake(t *wire.Take) *wire.TakeAnswer {
	ledger, config := n.keeper.Buckets(), n.fleet.View().Config
	if t.GetOverrun() {
		return n.answerOverrun(config, t)
	}
	if ledger == nil && t.GetDeputy() {
		return n.relayTake(t)
	}
	if ledger == nil || config == nil {
		return &wire.TakeAnswer{NotHome: true}
	}
	limit := n.limitOf(config, t)
	if limit == nil {
		return &wire.TakeAnswer{RetryAfterUs: time.Second.Microseconds()}
	}
	if t.GetSpare() && !ledger.HasSpare(time.Now(), limit) {
		return &wire.TakeAnswer{}
	}
	granted, wait := ledger.Take(time.Now(), limit, int(t.GetTokens()))
	return &wire.TakeAnswer{Granted: uint32(granted), RetryAfterUs: wait.Microseconds()}
}

// answerOverrun gives out requests of a team as its deputy while no home is known.
func (n *Node) answerOverrun(config *routing.Config, t *wire.Take) *wire.TakeAnswer {
	var team *routing.Team
	if config != nil {
		team = config.Team(t.GetTeam())
	}
	if team == nil {
		return &wire.TakeAnswer{}
	}
	taken := n.rates.TakeOverrun(time.Now(), team)
	return &wire.TakeAnswer{Granted: uint32(taken.Granted), RetryAfterUs: taken.Wait.Microseconds()}
}

// deputies returns the nodes that give out the overrun of a team.
func (n *Node) deputies(team string) []quota.Home {
	var out []quota.Home
	for _, m := range n.fleet.View().NodesForKey(team, quota.FallbackCount) {
		out = append(out, quota.Home{Node: m.Node, Address: m.Address})
	}
	return out
}

// askDeputy takes one request of a team from the overrun that a deputy gives out.
func (n *Node) askDeputy(ctx context.Context, h quota.Home, team string) (quota.TakeResult, error) {
	return n.take(ctx, h.Address, &wire.Take{Team: team, Tokens: 1, Overrun: true})
}

// limitOf returns the limit that a call takes from, or nil if there is none.
func (n *Node) limitOf(config *routing.Config, t *wire.Take) *routing.Team {
	if service := t.GetRetryOf(); service != "" {
		return n.retryLimit(service)
	}
	return config.Team(t.GetTeam())
}

func (n *Node) retryLimit(service string) *routing.Team {
	return quota.RetryLimit(service, n.settings.Bounds.RetrySlack, n.settings.Bounds.RetryWindow, len(n.fleet.View().Nodes))
}

// relayTake asks the home on behalf of a node that cannot reach it.
func (n *Node) relayTake(t *wire.Take) *wire.TakeAnswer {
	home, known := n.keeper.Coordinator()
	if !known {
		return &wire.TakeAnswer{NotHome: true}
	}
	ctx, cancel := context.WithTimeout(context.Background(), relayTimeout)
	defer cancel()
	taken, err := n.askRate(ctx, home, quota.TakeRequest{Team: t.GetTeam(), RetryOf: t.GetRetryOf(), Spare: t.GetSpare()})
	if err != nil {
		return &wire.TakeAnswer{NotHome: true}
	}
	return &wire.TakeAnswer{Granted: uint32(taken.Granted), RetryAfterUs: taken.Wait.Microseconds(), NotHome: taken.NotCoordinator}
}

// relayTimeout is less than the time that the asking node waits.
const relayTimeout = 100 * time.Millisecond

// askThroughPeer asks a random node of the own zone to ask the home.
func (n *Node) askThroughPeer(ctx context.Context, w quota.TakeRequest) (quota.TakeResult, error) {
	var near, far []string
	for name, m := range n.fleet.View().Nodes {
		switch {
		case name == n.settings.Node:
		case m.Zone == n.settings.Zone:
			near = append(near, m.Address)
		default:
			far = append(far, m.Address)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return quota.TakeResult{}, errors.New("no other node is known")
	}
	return n.take(ctx, near[rand.IntN(len(near))], &wire.Take{Team: w.Team, RetryOf: w.RetryOf, Spare: w.Spare, Tokens: 1, Deputy: true})
}

// askRate takes one request of a team from the home.
func (n *Node) askRate(ctx context.Context, h quota.Home, w quota.TakeRequest) (quota.TakeResult, error) {
	return n.take(ctx, h.Address, &wire.Take{Team: w.Team, RetryOf: w.RetryOf, Spare: w.Spare, Tokens: 1})
}

func (n *Node) take(ctx context.Context, address string, t *wire.Take) (quota.TakeResult, error) {
	a, err := n.links.Call(ctx, address, &wire.Call{Body: &wire.Call_Take{Take: t}})
	if err != nil {
		return quota.TakeResult{}, err
	}
	answer := a.GetTake()
	if answer == nil {
		return quota.TakeResult{}, errors.New("answer is not about a rate")
	}
	return quota.TakeResult{
		Granted: int(answer.GetGranted()), Wait: time.Duration(answer.GetRetryAfterUs()) * time.Microsecond, NotCoordinator: answer.GetNotHome(),
	}, nil
}

// answerFollow tells another node what it does not know of the store.
func (n *Node) answerFollow(f *wire.Follow) *wire.FollowAnswer {
	k, ok := n.fleet.HandleFollow(context.Background(), fleet.Known{
		ConfigVersion: f.GetConfigVersion(), OperatorRevision: f.GetOperatorRevision(),
		MembersRevision: f.GetMembersRevision(), CoordinatorAddress: f.GetHomeAddress(), UnreachableAddress: f.GetLostHome(), Wait: time.Duration(f.GetWaitUs()) * time.Microsecond,
	})
	if !ok {
		return &wire.FollowAnswer{AgeUs: -1}
	}
	out := &wire.FollowAnswer{
		AgeUs: k.Age.Microseconds(), WaitedUs: k.Waited.Microseconds(), ConfigVersion: k.ConfigVersion, Document: k.Document,
		OperatorRevision: k.OperatorRevision, ZonesOut: k.EvacuatedZones, MembersRevision: k.Members.Revision, Whole: k.Full,
		HomeNode: k.Coordinator.Node, HomeAddress: k.Coordinator.Address,
	}
	for _, row := range k.Members.Rows {
		out.Rows = append(out.Rows, &wire.StoredRow{Key: row.Key, Value: row.Value, Revision: row.Revision, Removed: row.Removed})
	}
	return out
}

// askKnowledge asks another node what it knows of the store.
func (n *Node) askKnowledge(ctx context.Context, address string, known fleet.Known) (fleet.Knowledge, error) {
	a, err := n.links.Call(ctx, address, &wire.Call{Body: &wire.Call_Follow{Follow: &wire.Follow{
		ConfigVersion: known.ConfigVersion, OperatorRevision: known.OperatorRevision,
		MembersRevision: known.MembersRevision, HomeAddress: known.CoordinatorAddress, LostHome: known.UnreachableAddress, WaitUs: known.Wait.Microseconds(),
	}}})
	if err != nil {
		return fleet.Knowledge{}, err
	}
	f := a.GetFollow()
	if f == nil || f.GetAgeUs() < 0 {
		return fleet.Knowledge{}, errors.New("the node was never confirmed")
	}
	k := fleet.Knowledge{
		Age: time.Duration(f.GetAgeUs()) * time.Microsecond, Waited: time.Duration(f.GetWaitedUs()) * time.Microsecond, ConfigVersion: f.GetConfigVersion(), Document: f.GetDocument(),
		OperatorRevision: f.GetOperatorRevision(), EvacuatedZones: f.GetZonesOut(), Full: f.GetWhole(),
		Coordinator: fleet.Home{Node: f.GetHomeNode(), Address: f.GetHomeAddress()},
	}
	k.Members.Revision = f.GetMembersRevision()
	for _, row := range f.GetRows() {
		k.Members.Rows = append(k.Members.Rows, platform.Change{
			Row: platform.Row{Key: row.GetKey(), Value: row.GetValue(), Revision: row.GetRevision()}, Removed: row.GetRemoved(),
		})
	}
	return k, nil
}
