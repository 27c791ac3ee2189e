package main

import (
	"bytes"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { plays["leave"] = playLeave }

const (
	drainDeadline = 2 * time.Second
	// pingDelay is how late the last ping before the departure arrives.
	pingDelay = 2500 * time.Millisecond
	// serveOn is how long the backend server serves on after it has left.
	serveOn = 12 * time.Second
)

// playLeave kills all processes right after one has acknowledged that its backend server
// leaves. A ping from before arrives late at the next process.
func playLeave(c *caseRun) (bool, error) {
	routes := []route{{Name: "order", Host: "orders.example", Prefix: "/order/", Type: "unsafe", TimeoutMS: 2500, TargetMS: 800, MaxAttempts: 2, Service: "orders"}}
	if err := c.start(configText(1, routes, []string{"orders"}), []site{{"zone-a", "orders", 3}, {"zone-a", "orders", 3}, {"zone-a", "orders", 3}, {"zone-a", "orders", 3}, {"zone-b", "orders", 3}}, false); err != nil {
		return false, err
	}
	leaving := c.fleet.machines[0]
	var mu sync.Mutex
	var runs []time.Time
	ids := make(map[string]time.Time)
	leaving.backend.onRun = func(_ *backend, id string, at time.Time) {
		mu.Lock()
		runs = append(runs, at)
		ids[id] = at
		mu.Unlock()
	}
	var wg sync.WaitGroup
	stop := make(chan struct{})
	var res results
	for _, m := range c.fleet.machines[1:] {
		keepSending(&wg, stop, m, c.record, 6, 100*time.Millisecond, &res, func() request {
			return request{id: newID("order"), host: "orders.example", path: "/order/1?work=300", method: http.MethodPost, key: apiKey, body: bytes.Repeat([]byte("x"), 1200), deadline: 5 * time.Second}
		})
	}
	time.Sleep(contact + 5*time.Second)

	// The next ping is on its way and arrives late.
	var hold, held atomic.Bool
	arrived := make(chan time.Time, 1)
	leaving.backend.setHook(func(body []byte) {
		if hold.Load() && held.CompareAndSwap(false, true) {
			c.record.write(time.Now(), "ping", "backend=%s is sent and delayed by %s: %s", leaving.backend.id, pingDelay, body)
			time.Sleep(pingDelay)
			arrived <- time.Now()
		}
	})
	hold.Store(true)
	for !held.Load() {
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(200 * time.Millisecond)
	acknowledged, ok := leaving.backend.leave()
	c.record.note("backend=%s has left: DELETE acknowledged=%t", leaving.backend.id, ok)
	if !ok {
		return false, errNotAcknowledged
	}
	if c.trouble {
		for _, m := range c.fleet.machines {
			m.signal(syscall.SIGKILL)
		}
	}
	late := <-arrived
	c.record.note("the delayed ping arrives %.3f s after the acknowledgement", late.Sub(acknowledged).Seconds())
	time.Sleep(time.Until(acknowledged.Add(serveOn)))
	leaving.backend.close()
	c.record.note("backend=%s ends %.1f s after the acknowledgement", leaving.backend.id, time.Since(acknowledged).Seconds())
	time.Sleep(2 * time.Second)
	close(stop)
	wg.Wait()

	// A machine is in touch once its process has run for contact-ms.
	var inTouchFrom time.Time
	for _, m := range c.fleet.machines {
		m.mu.Lock()
		if at := m.startedAt.Add(contact); at.After(inTouchFrom) {
			inTouchFrom = at
		}
		m.mu.Unlock()
	}
	mu.Lock()
	defer mu.Unlock()
	broken, all := 0, 0
	for _, at := range runs {
		if at.After(acknowledged.Add(drainDeadline)) {
			all++
			if at.After(inTouchFrom) {
				broken++
			}
		}
	}
	lost := 0
	for _, o := range res.all() {
		at, passed := ids[o.id]
		if passed && at.After(acknowledged.Add(drainDeadline)) && o.status != http.StatusOK {
			lost++
		}
	}
	c.record.note("orders that reached the backend server later than drain-deadline-ms after the acknowledgement: %d, of these sent on by machines in touch: %d", all, broken)
	c.record.note("of these orders, not answered with success: %d", lost)
	return broken > 0, nil
}
