package load

import (
	"math/rand/v2"
	"time"
)

// arrival is one scheduled request.
type arrival struct {
	at    time.Duration // since the start of the run
	kind  int
	entry int
}

// schedule draws the arrivals of one team.
type schedule struct {
	rng     *rand.Rand
	rate    float64
	shares  []float64 // cumulative
	entries int
	at      time.Duration
}

func newSchedule(c *Config, team int) *schedule {
	s := &schedule{
		rng:     rand.New(rand.NewPCG(c.Seed, uint64(team))),
		rate:    c.Teams[team].Rate,
		entries: len(c.Entries),
	}
	sum := 0.0
	for _, k := range c.Kinds {
		sum += k.Share
		s.shares = append(s.shares, sum)
	}
	return s
}

// next returns the next arrival.
func (s *schedule) next() arrival {
	s.at += time.Duration(s.rng.ExpFloat64() / s.rate * float64(time.Second))
	a := arrival{at: s.at, entry: s.rng.IntN(s.entries), kind: len(s.shares) - 1}
	draw := s.rng.Float64() * s.shares[len(s.shares)-1]
	for i, sum := range s.shares {
		if draw < sum {
			a.kind = i
			break
		}
	}
	return a
}
