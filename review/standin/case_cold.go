package main

import (
	"bytes"
	"net/http"
	"sync"
	"time"
)

func init() { plays["cold"] = playCold }

// crashFactor is the multiple of cold-per-s above which the cold backend server crashes.
const crashFactor = 2.5

// playCold lets a backend server become cold again while it runs. It says so on its health path
// at once and in its next ping.
func playCold(c *caseRun) (bool, error) {
	routes := []route{{Name: "order", Host: "orders.example", Prefix: "/order/", Type: "unsafe", TimeoutMS: 2500, TargetMS: 800, MaxAttempts: 2, Service: "orders"}}
	if err := c.start(configText(1, routes, []string{"orders"}), []site{{"zone-a", "orders", 3}, {"zone-a", "orders", 3}, {"zone-b", "orders", 3}}, false); err != nil {
		return false, err
	}
	limit := coldPerS*coldOver + coldSlack
	b := c.fleet.machines[0].backend
	var mu sync.Mutex
	var runs []time.Time
	ids := make(map[string]time.Time)
	var crashedAt time.Time
	b.onRun = func(_ *backend, id string, at time.Time) {
		mu.Lock()
		defer mu.Unlock()
		runs = append(runs, at)
		ids[id] = at
		n := 0
		for _, run := range runs {
			if at.Sub(run) < time.Second {
				n++
			}
		}
		if crashedAt.IsZero() && b.isCold(at) && float64(n) > crashFactor*coldPerS && at.Sub(b.coldSince()) >= time.Second {
			crashedAt = at
			go b.crash()
		}
	}
	var wg sync.WaitGroup
	stop := make(chan struct{})
	var res results
	for _, m := range c.fleet.machines {
		keepSending(&wg, stop, m, c.record, 5, 110*time.Millisecond, &res, func() request {
			return request{id: newID("order"), host: "orders.example", path: "/order/1?work=46", method: http.MethodPost, key: apiKey, body: bytes.Repeat([]byte("x"), 1200), deadline: 5 * time.Second}
		})
	}
	time.Sleep(contact + 3*time.Second)
	// The backend server has just pinged as it becomes cold.
	pinged := make(chan struct{}, 1)
	b.setHook(func([]byte) {
		select {
		case pinged <- struct{}{}:
		default:
		}
	})
	<-pinged
	time.Sleep(100 * time.Millisecond)
	from := time.Now()
	if c.trouble {
		b.setCold(coldForS * time.Second)
		c.record.note("backend=%s becomes cold for %d s", b.id, coldForS)
	}
	until := from.Add(coldForS * time.Second)
	time.Sleep(coldForS*time.Second + time.Second)
	close(stop)
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	most := 0
	for i, first := range runs {
		if first.Before(from) {
			continue
		}
		n := 0
		for _, at := range runs[i:] {
			if at.Sub(first) < time.Second && at.Before(until) {
				n++
			}
		}
		most = max(most, n)
	}
	c.record.note("most requests at the backend server in one second of the last 3 s (cold=%t): %d; the rule allows %.1f while it is cold", c.trouble, most, limit)
	if !crashedAt.IsZero() {
		lost := res.count(func(o outcome) bool {
			at, passed := ids[o.id]
			return passed && o.status != http.StatusOK && crashedAt.Sub(at) < time.Second
		})
		c.record.note("it crashed %.2f s after it became cold; orders that it was running and that failed: %d", crashedAt.Sub(from).Seconds(), lost)
	}
	return c.trouble && float64(most) > limit, nil
}
