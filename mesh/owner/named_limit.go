package owner

import "time"

const (
	// minNamedLimit, in requests per second, is the lowest rate at which a backend server is
	// used. Only its answers tell that it no longer needs a limit.
	minNamedLimit = 0.25
	// maxBurstPeriod is the period whose requests may arrive at once after a pause.
	maxBurstPeriod = time.Second
)

// namedLimit is the rate of requests that a backend server takes from all nodes together.
// All requests pass through the owner, so it holds exactly. The zero value is no limit.
type namedLimit struct {
	// rate is in requests per second; 0 means no limit.
	rate   float64
	tokens float64
	at     time.Time
}

// set records the rate that an answer has named. A new limit begins without tokens,
// because the requests before it are not known.
func (l *namedLimit) set(now time.Time, rate float64) {
	rate = max(rate, minNamedLimit)
	if l.rate == 0 {
		*l = namedLimit{rate: rate, at: now}
		return
	}
	l.refill(now)
	l.rate = rate
	l.tokens = min(l.tokens, l.burst())
}

func (l *namedLimit) burst() float64 { return max(1, l.rate*maxBurstPeriod.Seconds()) }

func (l *namedLimit) refill(now time.Time) {
	l.tokens = min(l.burst(), l.tokens+l.rate*max(now.Sub(l.at), 0).Seconds())
	l.at = now
}

// waitTime returns the time until the next request may be sent.
func (l *namedLimit) waitTime(now time.Time) time.Duration {
	if l.rate == 0 {
		return 0
	}
	if l.refill(now); l.tokens >= 1 {
		return 0
	}
	return max(time.Duration((1-l.tokens)/l.rate*float64(time.Second)), time.Millisecond)
}

// take counts a request, and reports whether it may be sent now.
func (l *namedLimit) take(now time.Time) bool {
	if l.waitTime(now) > 0 {
		return false
	}
	if l.rate > 0 {
		l.tokens--
	}
	return true
}
