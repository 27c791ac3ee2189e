package main

import (
	"bytes"
	"net/http"
	"sync"
	"time"
)

func init() { plays["bodies"] = playBodies }

const (
	// uploads is the number of consumers that upload at the same time, and uploadBytes the
	// size of each body: 60 of the 64 MiB that the configuration allows. Together they are
	// smaller than the memory of the machine.
	uploads     = 4
	uploadBytes = 60 << 20
	// smallUploadBytes is the size without trouble.
	smallUploadBytes = 48 << 10
)

// playBodies lets some consumers of one machine send bodies within max-body-bytes while others
// place orders on kept connections.
func playBodies(c *caseRun) (bool, error) {
	routes := []route{{Name: "order", Host: "orders.example", Prefix: "/order/", Type: "unsafe", TimeoutMS: 10000, TargetMS: 800, MaxAttempts: 2, Service: "orders"}}
	config := configText(1, routes, []string{"orders"})
	if err := c.start(config, []site{{"zone-a", "orders", 5}, {"zone-b", "orders", 5}, {"zone-c", "orders", 5}}, true); err != nil {
		return false, err
	}
	var mu sync.Mutex
	ran := make(map[string]time.Time)
	for _, m := range c.fleet.machines {
		m.backend.onRun = func(_ *backend, id string, at time.Time) { mu.Lock(); ran[id] = at; mu.Unlock() }
	}
	front := c.fleet.machines[0]
	order := func(body []byte, path string) request {
		return request{id: newID("order"), host: "orders.example", path: path, method: http.MethodPost, key: apiKey, body: body, deadline: 8 * time.Second}
	}
	var wg sync.WaitGroup
	stop := make(chan struct{})
	var small results
	keepSending(&wg, stop, front, c.record, 12, 20*time.Millisecond, &small, func() request { return order(bytes.Repeat([]byte("x"), 1200), "/order/1?work=400") })
	// The machine must be in touch: it has run for contact-ms.
	time.Sleep(contact + 2*time.Second)
	size := uploadBytes
	if !c.trouble {
		size = smallUploadBytes
	}
	c.record.note("%d consumers send a body of %d bytes each to %s; max-body-bytes is %d", uploads, size, front.name, maxBodyBytes)
	var uploaded results
	var uploading sync.WaitGroup
	body := bytes.Repeat([]byte("y"), size)
	for range uploads {
		uploading.Go(func() {
			u := &consumer{machine: front, record: c.record}
			defer u.close()
			uploaded.add(u.do(order(body, "/order/2?work=50")))
		})
	}
	uploading.Wait()
	time.Sleep(time.Second)
	close(stop)
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	cut := small.count(func(o outcome) bool { _, passedOn := ran[o.id]; return o.kept && o.closed && passedOn })
	served := uploaded.count(func(o outcome) bool { return o.status == http.StatusOK })
	c.record.note("the process of %s was killed over its memory limit at %d MB (0: it was not)", front.name, front.overMB.Load())
	c.record.note("requests from kept connections that were passed on to a sound backend server and cut without an answer: %d; more than 3 break the rule", cut)
	c.record.note("uploads answered with success: %d of %d; small orders: %d sent, %d answered with success", served, uploads,
		len(small.all()), small.count(func(o outcome) bool { return o.status == http.StatusOK }))
	return cut > 3, nil
}
