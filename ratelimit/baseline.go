package ratelimit

import "time"

// Split is the baseline that divides rate and burst evenly among the nodes. It
// never exceeds the limit, but rejects requests if the demand is skewed.
type Split struct {
	clock   clock
	share   uint32
	buckets map[string]*bucket
}

// NewSplit returns the limiter of one of n nodes.
func NewSplit(n int) *Split {
	return &Split{share: FullShare / uint32(n), buckets: make(map[string]*bucket)}
}

// Allow consumes a token, or returns the time until one is available.
func (s *Split) Allow(now time.Time, team string, l Limit) (allowed bool, wait time.Duration) {
	at := s.clock.advance(now)
	b := s.buckets[team]
	if b == nil {
		b = &bucket{}
		s.buckets[team] = b
	}
	b.refill(at, l, s.share)
	if b.take(1) {
		return true, 0
	}
	return false, b.waitTime(l, s.share, 1)
}

// NewShared returns the baseline with a single bucket that all nodes access
// without delay. Its rejections are those that the limit itself causes.
func NewShared() *Split { return NewSplit(1) }
