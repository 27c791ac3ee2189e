package owner

import "time"

// slidingWindow limits the number of requests within any period of one second.
type slidingWindow struct {
	startTimes []time.Time
}

// allow reports whether one more request stays within the limit, and counts it if so.
func (w *slidingWindow) allow(now time.Time, limit int) bool {
	w.expire(now)
	if len(w.startTimes) >= limit {
		return false
	}
	w.startTimes = append(w.startTimes, now)
	return true
}

// waitTime returns the time until one more request stays within the limit.
func (w *slidingWindow) waitTime(now time.Time, limit int) time.Duration {
	w.expire(now)
	if len(w.startTimes) < limit || limit <= 0 {
		return 0
	}
	return w.startTimes[len(w.startTimes)-limit].Add(time.Second).Sub(now)
}

// expire removes the requests that started at least one second ago.
func (w *slidingWindow) expire(now time.Time) {
	i := 0
	for i < len(w.startTimes) && now.Sub(w.startTimes[i]) >= time.Second {
		i++
	}
	w.startTimes = w.startTimes[i:]
}
