package owner

import "time"

// slidingWindow limits the number of requests within any period of one second.
type slidingWindow struct {
	startTimes []time.Time
}

// allow reports whether one more request within the last second keeps to the
// limit, and if so counts it.
func (w *slidingWindow) allow(now time.Time, limit int) bool {
	w.expire(now)
	if len(w.startTimes) >= limit {
		return false
	}
	w.startTimes = append(w.startTimes, now)
	return true
}

// waitTime returns the time until a request keeps to the limit.
func (w *slidingWindow) waitTime(now time.Time, limit int) time.Duration {
	w.expire(now)
	if len(w.startTimes) < limit || limit <= 0 {
		return 0
	}
	return w.startTimes[len(w.startTimes)-limit].Add(time.Second).Sub(now)
}

func (w *slidingWindow) expire(now time.Time) {
	i := 0
	for i < len(w.startTimes) && now.Sub(w.startTimes[i]) >= time.Second {
		i++
	}
	w.startTimes = w.startTimes[i:]
}
