package process

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"trefoildock.example/link"
	"trefoildock.example/mesh/fleet"
	"trefoildock.example/mesh/quota"
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
	case *wire.Call_Confirm:
		a = &wire.Answer{Body: &wire.Answer_Confirm{Confirm: n.answerConfirm(m.Confirm)}}
	default:
		return errors.New("unknown call")
	}
	_ = s.Send(wire.AnswerEnvelope(a)) // The caller may have given up.
	return nil
}

// answerTake gives out requests of a team if this node is the home of the rates.
func (n *Node) answerTake(t *wire.Take) *wire.TakeAnswer {
	ledger, config := n.keeper.Ledger(), n.fleet.View().Config
	if ledger == nil || config == nil {
		return &wire.TakeAnswer{NotHome: true}
	}
	team := config.Team(t.GetTeam())
	if team == nil {
		return &wire.TakeAnswer{RetryAfterUs: time.Second.Microseconds()}
	}
	granted, wait := ledger.Take(time.Now(), team, int(t.GetTokens()))
	return &wire.TakeAnswer{Granted: uint32(granted), RetryAfterUs: wait.Microseconds()}
}

// askRate takes one request of a team from the home.
func (n *Node) askRate(ctx context.Context, h quota.Home, team string) (quota.Taken, error) {
	a, err := n.links.Call(ctx, h.Address, &wire.Call{Body: &wire.Call_Take{Take: &wire.Take{Team: team, Tokens: 1}}})
	if err != nil {
		return quota.Taken{}, err
	}
	t := a.GetTake()
	if t == nil {
		return quota.Taken{}, errors.New("answer is not about a rate")
	}
	return quota.Taken{
		Granted: int(t.GetGranted()), Wait: time.Duration(t.GetRetryAfterUs()) * time.Microsecond, NotHome: t.GetNotHome(),
	}, nil
}

// answerConfirm tells another node how recently the configuration was confirmed.
func (n *Node) answerConfirm(c *wire.Confirm) *wire.ConfirmAnswer {
	known, ok := n.fleet.Confirmation(c.GetConfigVersion())
	if !ok {
		return &wire.ConfirmAnswer{AgeUs: -1}
	}
	return &wire.ConfirmAnswer{ConfigVersion: known.Version, AgeUs: known.Age.Microseconds(), Document: known.Document}
}

// askConfirmation asks another node for its confirmation.
func (n *Node) askConfirmation(ctx context.Context, address string, version uint64) (fleet.Confirmation, error) {
	a, err := n.links.Call(ctx, address, &wire.Call{Body: &wire.Call_Confirm{Confirm: &wire.Confirm{ConfigVersion: version}}})
	if err != nil {
		return fleet.Confirmation{}, err
	}
	c := a.GetConfirm()
	if c == nil || c.GetAgeUs() < 0 {
		return fleet.Confirmation{}, errors.New("the node has no confirmation")
	}
	return fleet.Confirmation{
		Version: c.GetConfigVersion(), Age: time.Duration(c.GetAgeUs()) * time.Microsecond, Document: c.GetDocument(),
	}, nil
}
