package node

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"trefoildock.example/link"
	"trefoildock.example/wire"
)

// errBadCall is returned for a message that violates the protocol. It closes
// the link.
var errBadCall = errors.New("message is neither a known call nor an offer")

// Verify implements link.Handler. TLS has already authenticated the peer as a
// member of the cluster, or the peer is on this machine, so only its identity
// fields are checked.
func (n *Node) Verify(p link.Peer) error {
	if p.Node == "" || p.Incarnation == "" {
		return errors.New("peer has no node name or incarnation")
	}
	return nil
}

// ServeStream implements link.Handler.
func (n *Node) ServeStream(p link.Peer, s *link.Stream, first *wire.Envelope) error {
	if offer := first.GetOffer(); offer != nil {
		n.owner.serve(s, offer)
		return nil
	}
	call := first.GetCall()
	if call == nil {
		return errBadCall
	}
	ctx, cancel := context.WithTimeout(n.ctx, controlTimeout)
	defer cancel()
	answer, err := n.answer(ctx, p, call)
	if err != nil {
		return err
	}
	_ = s.Send(wire.AnswerEnvelope(answer)) // The peer may have disconnected.
	return nil
}

// answer handles one call. An error means that the call is malformed.
func (n *Node) answer(ctx context.Context, p link.Peer, call *wire.Call) (*wire.Answer, error) {
	switch m := call.GetBody().(type) {
	case *wire.Call_Pull:
		return n.answerPull(ctx, m.Pull)
	case *wire.Call_Acknowledge:
		return n.answerAcknowledge(ctx, m.Acknowledge)
	case *wire.Call_Ping:
		return n.answerPing(ctx, m.Ping), nil
	default:
		return n.homes.answer(p, call)
	}
}

func (n *Node) answerPull(ctx context.Context, p *wire.Pull) (*wire.Answer, error) {
	a := &wire.Answer{}
	err := n.control.ask(ctx, func() {
		a.Body = &wire.Answer_Pull{Pull: n.control.answerPull(p, time.Now())}
	})
	return orError(a, err), nil
}

func (n *Node) answerAcknowledge(ctx context.Context, m *wire.Acknowledge) (*wire.Answer, error) {
	a := &wire.Answer{}
	err := n.control.ask(ctx, func() {
		a.Body = &wire.Answer_Acknowledge{Acknowledge: n.control.acknowledge(m, time.Now())}
	})
	return orError(a, err), nil
}

// answerPing confirms that this process is running. If the ping has a target,
// it also pings the target.
func (n *Node) answerPing(ctx context.Context, p *wire.Ping) *wire.Answer {
	snap := n.snapshot.Load()
	answer := &wire.PingAnswer{Incarnation: n.incarnation(), ConfigVersion: snap.configVersion}
	if m, ok := snap.members[p.GetTarget()]; ok {
		answer.TargetAlive = n.ping(ctx, m.LinkAddress, "")
	}
	return &wire.Answer{Body: &wire.Answer_Ping{Ping: answer}}
}

// orError returns a, or a response that contains err if it is not nil.
func orError(a *wire.Answer, err error) *wire.Answer {
	if err != nil {
		return &wire.Answer{Error: err.Error()}
	}
	return a
}
