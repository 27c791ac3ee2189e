package main

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"trefoildock.example/standin/load"
)

const (
	// requestTimeout is the patience of a caller for one attempt.
	requestTimeout = 5 * time.Second
	// resends is how often a caller repeats an order that was not answered.
	resends = 3
)

// traffic is the load on a deployment: one run over HTTP/1.1 and one over HTTP/2.
type traffic struct {
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	reports [2]*load.Report
	errs    [2]error
}

// startTraffic sends requests until stop is called.
func startTraffic(ctx context.Context, d *deployment) *traffic {
	ctx, cancel := context.WithCancel(ctx)
	t := &traffic{cancel: cancel}
	for i, teams := range []map[string]float64{d.load.first, d.load.second} {
		c := loadConfig(d, teams, i == 1)
		t.wg.Go(func() { t.reports[i], t.errs[i] = load.Run(ctx, c) })
	}
	return t
}

// stop ends the arrivals and waits for the requests in flight.
func (t *traffic) stop() error {
	t.cancel()
	t.wg.Wait()
	return errors.Wrap(errors.Join(t.errs[:]...), "load")
}

// loadConfig describes one run. Its teams are sorted, so that a seed gives each
// team the same arrivals in every run.
func loadConfig(d *deployment, teams map[string]float64, http2 bool) load.Config {
	c := load.Config{
		Duration: runLimit, Timeout: requestTimeout, Resends: resends, Failover: true,
		KeepOrders: true, KeepAttempts: true, HTTP2: http2, Seed: uint64(d.network),
	}
	if d.tls {
		c.CAFile = d.caFile
	}
	for i := range d.machines {
		c.Entries = append(c.Entries, d.trafficURL(&d.machines[i]))
	}
	for _, name := range slices.Sorted(maps.Keys(teams)) {
		c.Teams = append(c.Teams, load.Team{Name: name, Key: d.keys[name], Rate: teams[name]})
	}
	for _, k := range d.load.kinds {
		c.Kinds = append(c.Kinds, load.Kind{Method: k.method, Path: k.path, Share: k.share, Open: k.open})
	}
	return c
}

// attempts returns the attempts of both runs.
func (t *traffic) attempts() []load.Attempt {
	return slices.Concat(t.reports[0].Attempts, t.reports[1].Attempts)
}

// orders returns the orders of both runs.
func (t *traffic) orders() []load.Order {
	return slices.Concat(t.reports[0].Orders, t.reports[1].Orders)
}
