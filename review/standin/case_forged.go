package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

func init() { plays["forged"] = playForged }

// playForged sends a ping of another writer that lacks a field, after a backend server has left
// and while it serves its last requests.
func playForged(c *caseRun) (bool, error) {
	routes := []route{{Name: "order", Host: "orders.example", Prefix: "/order/", Type: "unsafe", TimeoutMS: 2500, TargetMS: 800, MaxAttempts: 2, Service: "orders"}}
	if err := c.start(configText(1, routes, []string{"orders"}), []site{{"zone-a", "orders", 3}, {"zone-a", "orders", 3}, {"zone-b", "orders", 3}}, false); err != nil {
		return false, err
	}
	leaving := c.fleet.machines[0].backend
	var mu sync.Mutex
	ids := make(map[string]time.Time)
	leaving.onRun = func(_ *backend, id string, at time.Time) { mu.Lock(); ids[id] = at; mu.Unlock() }
	var wg sync.WaitGroup
	stop := make(chan struct{})
	var res results
	for _, m := range c.fleet.machines {
		keepSending(&wg, stop, m, c.record, 4, 100*time.Millisecond, &res, func() request {
			return request{id: newID("order"), host: "orders.example", path: "/order/1?work=300", method: http.MethodPost, key: apiKey, body: bytes.Repeat([]byte("x"), 1200), deadline: 5 * time.Second}
		})
	}
	time.Sleep(contact + 2*time.Second)
	acknowledged, ok := leaving.leave()
	c.record.note("backend=%s has left: DELETE acknowledged=%t", leaving.id, ok)
	if !ok {
		return false, errNotAcknowledged
	}
	time.Sleep(time.Second)
	if c.trouble {
		var ping map[string]any
		if err := json.Unmarshal(leaving.pingBody(), &ping); err != nil {
			return false, err
		}
		delete(ping, "born")
		body, err := json.Marshal(ping)
		if err != nil {
			return false, err
		}
		c.record.note("a ping without the field born arrives: %s; answered with 2xx=%t", body, leaving.send(http.MethodPut, body))
	}
	time.Sleep(time.Until(acknowledged.Add(serveOn)))
	leaving.close()
	c.record.note("backend=%s ends %.1f s after the acknowledgement", leaving.id, time.Since(acknowledged).Seconds())
	time.Sleep(2 * time.Second)
	close(stop)
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	late, lost := 0, 0
	for _, o := range res.all() {
		at, passed := ids[o.id]
		if !passed || !at.After(acknowledged.Add(drainDeadline)) {
			continue
		}
		late++
		if o.status != http.StatusOK {
			lost++
		}
	}
	c.record.note("orders that reached the backend server later than drain-deadline-ms after the acknowledgement: %d; of these not answered with success: %d", late, lost)
	return late > 0, nil
}
