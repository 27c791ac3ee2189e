package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// callersPerMachine is the number of concurrent callers of each machine, and
	// requestInterval is the mean pause between two requests of a caller.
	callersPerMachine = 4
	requestInterval   = 250 * time.Millisecond
	// callerTimeout is the deadline that a caller sends with a request.
	callerTimeout = 3 * time.Second
	// probeInterval is the time between two probes for the newest configuration.
	probeInterval = 150 * time.Millisecond
	// meanWorkMillis is the mean service time of a request, in milliseconds.
	meanWorkMillis = 30
)

// newClient returns a client that dials address and reuses its connections.
func newClient(address string) *http.Client {
	return &http.Client{
		Timeout: callerTimeout + time.Second,
		Transport: &http.Transport{
			MaxIdleConnsPerHost: 2, DisableCompression: true,
			DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
				return (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", address)
			},
		},
	}
}

// runTraffic sends requests to all machines until ctx ends.
func (d *deployment) runTraffic(ctx context.Context, seed uint64) {
	var wg sync.WaitGroup
	for i, m := range d.machines {
		for j := range callersPerMachine {
			wg.Go(func() { d.runCaller(ctx, m, rand.New(rand.NewPCG(seed, uint64(100*i+j)))) })
		}
		wg.Go(func() { d.probeVersions(ctx, m) })
	}
	wg.Wait()
}

func (d *deployment) runCaller(ctx context.Context, m *machine, r *rand.Rand) {
	client := newClient(m.trafficAddress)
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%s-%016x", m.name, r.Uint64())
		team := teams[r.IntN(len(teams))]
		method, host, path, body, atMostOnce := http.MethodGet, "shop.example", "/a/", "", false
		switch r.IntN(3) {
		case 0:
			method, path, body, atMostOnce = http.MethodPost, "/order/", strings.Repeat("x", r.IntN(4000)), true
		case 1:
			host, team = "inner.example", ""
		}
		workMillis := 1 + r.IntN(2*meanWorkMillis)
		d.send(ctx, client, m, requestSpec{id: id, team: team, method: method, host: host, path: path, body: body, atMostOnce: atMostOnce, workMillis: workMillis})
		sleep(ctx, requestInterval/2+time.Duration(r.Int64N(int64(requestInterval))))
	}
}

type requestSpec struct {
	id, team, method, host, path, body string
	atMostOnce                         bool
	workMillis                         int
}

// send sends one request, checks its response and returns its status, or 0 without a
// response.
func (d *deployment) send(ctx context.Context, client *http.Client, m *machine, spec requestSpec) int {
	url := fmt.Sprintf("http://%s%s?work=%d", spec.host, spec.path, spec.workMillis)
	req, err := http.NewRequestWithContext(context.WithoutCancel(ctx), spec.method, url, strings.NewReader(spec.body))
	if err != nil {
		panic(err) // Unreachable: the parts are well formed.
	}
	req.GetBody = nil // Keeps the transport from retrying the request.
	req.Header.Set("Request-Id", spec.id)
	req.Header.Set("Request-Deadline", fmt.Sprint(callerTimeout.Milliseconds()))
	req.Header.Set("Tenant", "forged")
	record := sentRequest{sentAt: time.Now(), machine: m.name, team: spec.team, atMostOnce: spec.atMostOnce}
	if spec.team != "" {
		record.key = d.key(spec.team)
		req.Header.Set("Authorization", "Bearer "+record.key)
	}
	d.checker.recordRequest(spec.id, record)
	resp, err := client.Do(req)
	if err != nil {
		d.checker.checkResponse(spec.id, 0, "", "", "", "")
		return 0
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		d.checker.checkResponse(spec.id, 0, "", "", "", "")
		return 0
	}
	d.checker.checkResponse(spec.id, resp.StatusCode, resp.Header.Get("Request-Id"), resp.Header.Get("Server-Seal"), string(body),
		spec.method+" "+spec.path+" "+spec.body)
	return resp.StatusCode
}

// probeVersions checks repeatedly whether a machine applies the newest version of the
// configuration.
func (d *deployment) probeVersions(ctx context.Context, m *machine) {
	client := newClient(m.trafficAddress)
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		sleep(ctx, probeInterval)
		process := m.processName()
		version, acknowledgedAt := d.newestVersion()
		id := fmt.Sprintf("probe-%s-%d", m.name, n)
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://version.example/v%d/", version), nil)
		if err != nil {
			panic(err) // Unreachable: the parts are well formed.
		}
		req.Header.Set("Request-Id", id)
		req.Header.Set("Request-Deadline", "900")
		sentAt := time.Now()
		d.checker.recordRequest(id, sentRequest{sentAt: sentAt, machine: m.name})
		resp, err := client.Do(req)
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, resp.Body) // Only the status is checked.
		resp.Body.Close()
		newest, _ := d.newestVersion()
		// Later versions remove the route, and a 503 does not depend on the version.
		if process == m.processName() && newest <= version+1 && resp.StatusCode != http.StatusServiceUnavailable {
			d.checker.checkProbe(m.name, process, version, resp.StatusCode != http.StatusNotFound, sentAt, acknowledgedAt)
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
