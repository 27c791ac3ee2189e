package node

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"trefoildock.example/link"
	"trefoildock.example/wire"
)

// errUnexpectedMessage is returned for a message that violates the protocol. It
// closes the link.
var errUnexpectedMessage = errors.New("message is neither a known call nor an offer")

// Verify implements link.Handler. TLS has already authenticated the peer as a
// member of the cluster, or the peer is on this machine, so only its identity
// fields are checked.
func (n *Node) Verify(p link.Peer) error {
	if p.Node == "" || p.Incarnation == "" {
		return errors.New("peer names no node or incarnation")
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
		return errUnexpectedMessage
	}
	ctx, cancel := context.WithTimeout(n.ctx, controlTimeout)
	defer cancel()
	answer, err := n.handleCall(ctx, p, call)
	if err != nil {
		return err
	}
	_ = s.Send(wire.AnswerEnvelope(answer)) // The peer may have disconnected.
	return nil
}

// handleCall handles one call. An error means that the call is malformed.
func (n *Node) handleCall(ctx context.Context, p link.Peer, call *wire.Call) (*wire.Answer, error) {
	switch m := call.GetBody().(type) {
	case *wire.Call_Pull:
		return n.handlePull(ctx, m.Pull)
	case *wire.Call_Acknowledge:
		return n.handleAcknowledge(ctx, m.Acknowledge)
	case *wire.Call_Ping:
		return n.handlePing(ctx, m.Ping), nil
	default:
		return n.coordinators.handleCall(p, call)
	}
}

func (n *Node) handlePull(ctx context.Context, p *wire.Pull) (*wire.Answer, error) {
	a := &wire.Answer{}
	err := n.control.runAndWait(ctx, func() {
		a.Body = &wire.Answer_Pull{Pull: n.control.changesSince(p, time.Now())}
	})
	return withError(a, err), nil
}

func (n *Node) handleAcknowledge(ctx context.Context, m *wire.Acknowledge) (*wire.Answer, error) {
	a := &wire.Answer{}
	err := n.control.runAndWait(ctx, func() {
		a.Body = &wire.Answer_Acknowledge{Acknowledge: n.control.applyAcknowledge(m, time.Now())}
	})
	return withError(a, err), nil
}

// handlePing confirms that this process is running. If the ping has a target,
// it also pings the target.
func (n *Node) handlePing(ctx context.Context, p *wire.Ping) *wire.Answer {
	snap := n.snapshot.Load()
	answer := &wire.PingAnswer{Incarnation: n.incarnation(), ConfigVersion: snap.configVersion}
	if m, ok := snap.members[p.GetTarget()]; ok {
		answer.TargetAlive = n.ping(ctx, m.LinkAddress, "")
	}
	return &wire.Answer{Body: &wire.Answer_Ping{Ping: answer}}
}

// withError returns a, or a response that contains err if it is not nil.
func withError(a *wire.Answer, err error) *wire.Answer {
	if err != nil {
		return &wire.Answer{Error: err.Error()}
	}
	return a
}
