package main

import (
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { plays["term"] = playTerm }

const lostSlack = 200 * time.Millisecond

// playTerm stops one process, while the consumers of all machines keep the backend servers of a
// service busy. The route is that of order-status on the sheet of the grown deployment.
func playTerm(c *caseRun) (bool, error) {
	routes := []route{
		{Name: "status", Host: "tracking.example", Prefix: "/status/", Type: "safe", TimeoutMS: 8000, TargetMS: 2000, MaxAttempts: 2, Service: "tracking"},
	}
	if err := c.start(configText(1, routes, []string{"tracking", "shop"}), []site{{"zone-a", "shop", 3}, {"zone-b", "tracking", 3}, {"zone-c", "tracking", 3}}, false); err != nil {
		return false, err
	}
	var mu sync.Mutex
	ran := make(map[string]time.Time)
	for _, m := range c.fleet.machines {
		m.backend.onRun = func(_ *backend, id string, at time.Time) { mu.Lock(); ran[id] = at; mu.Unlock() }
	}
	var wg sync.WaitGroup
	stop := make(chan struct{})
	var res results
	for i, m := range c.fleet.machines {
		n := 10
		if i == 0 {
			n = 16
		}
		keepSending(&wg, stop, m, c.record, n, 300*time.Millisecond, &res, func() request {
			return request{id: newID("status"), host: "tracking.example", path: "/status/1?work=790", method: http.MethodGet, key: apiKey, deadline: 15 * time.Second}
		})
	}
	time.Sleep(contact + 5*time.Second)
	front := c.fleet.machines[0]
	stopped := time.Now()
	if c.trouble {
		stopped = front.signal(syscall.SIGTERM)
	}
	time.Sleep(gracePeriod + 2*time.Second)
	close(stop)
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	lost, excused := 0, 0
	for _, o := range res.all() {
		if !o.closed || o.machine != front.name || o.sentAt.Before(stopped.Add(-contact)) || o.endedAt.After(stopped.Add(gracePeriod+time.Second)) {
			continue
		}
		_, passedOn := ran[o.id]
		wait := o.endedAt.Sub(o.sentAt)
		if passedOn {
			excused++ // A backend server was at work at the end.
			continue
		}
		if wait > lostSlack {
			lost++
			c.record.note("request=%s sent %.3f s after the SIGTERM, cut without an answer after %.3f s; no backend server has run it", o.id, o.sentAt.Sub(stopped).Seconds(), wait.Seconds())
		}
	}
	all := res.all()
	c.record.note("requests: %d, answered 200: %d, 503: %d", len(all), res.count(func(o outcome) bool { return o.status == 200 }), res.count(func(o outcome) bool { return o.status == 503 }))
	c.record.note("requests that were read and cut without an answer: %d, besides %d with a backend server at work", lost, excused)
	return lost > 0, nil
}
