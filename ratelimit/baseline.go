package ratelimit

import "time"

// Split is the baseline that divides the rate and burst evenly by the number
// of nodes. It never overspends and refuses skewed demand.
type Split struct {
	clock  clock
	share  uint32
	bucket map[string]*bucket
}

// NewSplit returns the part of one of n nodes.
func NewSplit(n int) *Split {
	return &Split{share: Whole / uint32(n), bucket: make(map[string]*bucket)}
}

// Allow spends a token, or returns the time until one is there.
func (s *Split) Allow(now time.Time, team string, l Limit) (allowed bool, wait time.Duration) {
	at := s.clock.advance(now)
	b := s.bucket[team]
	if b == nil {
		b = &bucket{}
		s.bucket[team] = b
	}
	b.refill(at, l, s.share)
	if b.take(1) {
		return true, 0
	}
	return false, b.wait(l, s.share, 1)
}

// NewShared returns the baseline of one bucket that all nodes share without
// delay. It shows which refusals the limit itself causes.
func NewShared() *Split { return NewSplit(1) }
