package owner

import "time"

// slidingWindow limits the number of requests within any period of one second.
type slidingWindow struct {
	startTimes []time.Time
}

// allow reports whether one more request stays within the limit, and counts it if so. Only
// requests after since count; a limit of 0 allows every request.
func (w *slidingWindow) allow(now time.Time, limit int, since time.Time) bool {
	if w.waitTime(now, limit, since) > 0 {
		return false
	}
	w.startTimes = append(w.startTimes, now)
	return true
}

// waitTime returns the time until one more request stays within the limit.
func (w *slidingWindow) waitTime(now time.Time, limit int, since time.Time) time.Duration {
	w.expire(now)
	if limit <= 0 || w.count(since) < limit {
		return 0
	}
	return w.startTimes[len(w.startTimes)-limit].Add(time.Second).Sub(now)
}

// count returns the number of requests after since.
func (w *slidingWindow) count(since time.Time) int {
	n := 0
	for n < len(w.startTimes) && w.startTimes[len(w.startTimes)-1-n].After(since) {
		n++
	}
	return n
}

// expire removes the requests that started at least one second ago.
func (w *slidingWindow) expire(now time.Time) {
	i := 0
	for i < len(w.startTimes) && now.Sub(w.startTimes[i]) >= time.Second {
		i++
	}
	w.startTimes = w.startTimes[i:]
}
