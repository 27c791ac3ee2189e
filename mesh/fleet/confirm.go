package fleet

import (
	"context"
	"math/rand/v2"
	"time"

	"trefoildock.example/mesh/clock"
)

const (
	// askAfter is the age of the own confirmation from which other nodes are asked.
	askAfter = 3 * time.Second
	// askInterval is the time between two rounds of questions.
	askInterval = 400 * time.Millisecond
	// askPeers is the number of nodes asked in one round.
	askPeers = 3
	// askTimeout bounds one question.
	askTimeout = 350 * time.Millisecond
)

// confirmWithPeers asks other nodes while the own way to the store is cut. The
// store may turn away some machines and serve the others.
func (s *State) confirmWithPeers(ctx context.Context) {
	for ctx.Err() == nil {
		age, known := s.Age()
		if known && age < askAfter {
			pause(ctx, askAfter-age)
			continue
		}
		s.askRound(ctx)
		pause(ctx, askInterval)
	}
}

func (s *State) askRound(ctx context.Context) {
	view := s.View()
	version := uint64(0)
	if view.Config != nil {
		version = view.Config.Version
	}
	addresses := make([]string, 0, len(view.Nodes))
	for name, m := range view.Nodes {
		if name != s.cfg.Self.Node {
			addresses = append(addresses, m.Address)
		}
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	for _, address := range addresses[:min(len(addresses), askPeers)] {
		go s.ask(ctx, address, version)
	}
}

func (s *State) ask(ctx context.Context, address string, version uint64) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	sent := clock.Now()
	c, err := s.cfg.AskPeer(ctx, address, version)
	if err != nil {
		return // Another node is asked in the next round.
	}
	s.post(ctx, func() {
		if c.Document != nil && s.applyConfig(c.Document) {
			s.publishView()
		}
		if s.config != nil && s.config.Version >= c.Version {
			s.confirm(sent.Add(-c.Age))
		}
	})
}
