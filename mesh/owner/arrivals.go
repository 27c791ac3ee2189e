package owner

import "time"

// arrivals counts the requests sent to a backend server in any second.
type arrivals struct {
	times []time.Time
}

// allow reports whether one more request fits below limit within the last
// second, and counts it.
func (a *arrivals) allow(now time.Time, limit int) bool {
	a.expire(now)
	if len(a.times) >= limit {
		return false
	}
	a.times = append(a.times, now)
	return true
}

// next returns the time until a request fits below limit.
func (a *arrivals) next(now time.Time, limit int) time.Duration {
	a.expire(now)
	if len(a.times) < limit || limit <= 0 {
		return 0
	}
	return a.times[len(a.times)-limit].Add(time.Second).Sub(now)
}

func (a *arrivals) expire(now time.Time) {
	i := 0
	for i < len(a.times) && now.Sub(a.times[i]) >= time.Second {
		i++
	}
	a.times = a.times[i:]
}
