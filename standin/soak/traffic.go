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
	// callersPerMachine callers use each machine, with callerPause between requests.
	callersPerMachine = 4
	callerPause       = 250 * time.Millisecond
	// callerTimeout is the time that a caller waits.
	callerTimeout = 3 * time.Second
	// probePause is the time between two questions for the newest configuration.
	probePause = 150 * time.Millisecond
	// meanWork is the mean time that a request takes, in milliseconds.
	meanWork = 30
)

// newClient returns a client that keeps its connections until the process is gone.
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

// traffic sends requests from all machines until ctx ends.
func (d *deployment) traffic(ctx context.Context, seed uint64) {
	var wg sync.WaitGroup
	for i, m := range d.machines {
		for j := range callersPerMachine {
			wg.Go(func() { d.caller(ctx, m, rand.New(rand.NewPCG(seed, uint64(100*i+j)))) })
		}
		wg.Go(func() { d.prober(ctx, m) })
	}
	wg.Wait()
}

func (d *deployment) caller(ctx context.Context, m *machine, r *rand.Rand) {
	client := newClient(m.callers)
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%s-%016x", m.name, r.Uint64())
		team := teams[r.IntN(len(teams))]
		method, host, path, body, once := http.MethodGet, "shop.example", "/a/", "", false
		switch r.IntN(3) {
		case 0:
			method, path, body, once = http.MethodPost, "/order/", strings.Repeat("x", r.IntN(4000)), true
		case 1:
			host, team = "inner.example", ""
		}
		work := 1 + r.IntN(2*meanWork)
		d.send(ctx, client, m, outgoing{id: id, team: team, method: method, host: host, path: path, body: body, once: once, work: work})
		pause(ctx, callerPause/2+time.Duration(r.Int64N(int64(callerPause))))
	}
}

type outgoing struct {
	id, team, method, host, path, body string
	once                               bool
	work                               int
}

// send sends one request, checks its answer and returns its status; 0 means that
// there was none.
func (d *deployment) send(ctx context.Context, client *http.Client, m *machine, o outgoing) int {
	url := fmt.Sprintf("http://%s%s?work=%d", o.host, o.path, o.work)
	req, err := http.NewRequestWithContext(context.WithoutCancel(ctx), o.method, url, strings.NewReader(o.body))
	if err != nil {
		panic(err) // The parts are well formed.
	}
	req.GetBody = nil // The transport must not send a request again by itself.
	req.Header.Set("Request-Id", o.id)
	req.Header.Set("Request-Deadline", fmt.Sprint(callerTimeout.Milliseconds()))
	req.Header.Set("Tenant", "forged")
	record := sentRecord{at: time.Now(), machine: m.name, team: o.team, once: o.once}
	if o.team != "" {
		record.key = d.key(o.team)
		req.Header.Set("Authorization", "Bearer "+record.key)
	}
	d.checks.send(o.id, record)
	resp, err := client.Do(req)
	if err != nil {
		d.checks.answered(o.id, 0, "", "", "", "")
		return 0
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		d.checks.answered(o.id, 0, "", "", "", "")
		return 0
	}
	d.checks.answered(o.id, resp.StatusCode, resp.Header.Get("Request-Id"), resp.Header.Get("Server-Seal"), string(body),
		o.method+" "+o.path+" "+o.body)
	return resp.StatusCode
}

// prober asks a machine which version of the configuration it applies.
func (d *deployment) prober(ctx context.Context, m *machine) {
	client := newClient(m.callers)
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		pause(ctx, probePause)
		process := m.current()
		version, acknowledged := d.newest()
		id := fmt.Sprintf("probe-%s-%d", m.name, n)
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://version.example/v%d/", version), nil)
		if err != nil {
			panic(err) // The parts are well formed.
		}
		req.Header.Set("Request-Id", id)
		req.Header.Set("Request-Deadline", "900")
		sentAt := time.Now()
		d.checks.send(id, sentRecord{at: sentAt, machine: m.name})
		resp, err := client.Do(req)
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, resp.Body) // Only the status counts here.
		resp.Body.Close()
		newest, _ := d.newest()
		// Later versions drop the route again, and 503 does not tell the version.
		if process == m.current() && newest <= version+1 && resp.StatusCode != http.StatusServiceUnavailable {
			d.checks.probed(m.name, process, version, resp.StatusCode != http.StatusNotFound, sentAt, acknowledged)
		}
	}
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
