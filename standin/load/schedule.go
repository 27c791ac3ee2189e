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

// arrivalProcess generates the Poisson arrivals of one team.
type arrivalProcess struct {
	rng              *rand.Rand
	rate             float64
	cumulativeShares []float64 // cumulative sums of RequestKind.Share
	entries          int
	at               time.Duration
}

func newArrivalProcess(c *Config, team int) *arrivalProcess {
	p := &arrivalProcess{
		rng:     rand.New(rand.NewPCG(c.Seed, uint64(team))),
		rate:    c.Teams[team].Rate,
		entries: len(c.Entries),
	}
	sum := 0.0
	for _, k := range c.Kinds {
		sum += k.Share
		p.cumulativeShares = append(p.cumulativeShares, sum)
	}
	return p
}

// next generates the next arrival.
func (p *arrivalProcess) next() arrival {
	p.at += time.Duration(p.rng.ExpFloat64() / p.rate * float64(time.Second))
	a := arrival{at: p.at, entry: p.rng.IntN(p.entries), kind: len(p.cumulativeShares) - 1}
	draw := p.rng.Float64() * p.cumulativeShares[len(p.cumulativeShares)-1]
	for i, sum := range p.cumulativeShares {
		if draw < sum {
			a.kind = i
			break
		}
	}
	return a
}
