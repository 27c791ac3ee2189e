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
	// requestTimeout bounds one attempt of a caller.
	requestTimeout = 5 * time.Second
	// maxResends is the number of times that a caller resends an unanswered order.
	maxResends = 3
)

// traffic is the load on a deployment: one load run over HTTP/1.1 and one over HTTP/2.
type traffic struct {
	cancel   context.CancelFunc
	loadRuns sync.WaitGroup
	reports  [2]*load.Report
	errs     [2]error
}

// startTraffic sends requests until stop is called.
func startTraffic(ctx context.Context, d *deployment) *traffic {
	ctx, cancel := context.WithCancel(ctx)
	t := &traffic{cancel: cancel}
	for i, rates := range []map[string]float64{d.traffic.http1Rates, d.traffic.http2Rates} {
		c := loadConfig(d, rates, i == 1)
		t.loadRuns.Go(func() { t.reports[i], t.errs[i] = load.Run(ctx, c) })
	}
	return t
}

// stop stops new requests and waits for those in flight.
func (t *traffic) stop() error {
	t.cancel()
	t.loadRuns.Wait()
	return errors.Wrap(errors.Join(t.errs[:]...), "load")
}

// loadConfig returns the configuration of one load run. Its teams are sorted, so that
// a seed yields the same arrivals for each team in every run.
func loadConfig(d *deployment, rates map[string]float64, http2 bool) load.Config {
	c := load.Config{
		Duration: runTimeout, Timeout: requestTimeout, Resends: maxResends, Failover: true,
		KeepOrders: true, KeepAttempts: true, HTTP2: http2, Seed: uint64(d.network),
	}
	if d.tls {
		c.CAFile = d.caFile
	}
	for i := range d.vms {
		c.Entries = append(c.Entries, d.trafficURL(&d.vms[i]))
	}
	for _, name := range slices.Sorted(maps.Keys(rates)) {
		c.Teams = append(c.Teams, load.Team{Name: name, Key: d.keys[name], Rate: rates[name]})
	}
	for _, k := range d.traffic.kinds {
		c.Kinds = append(c.Kinds, load.RequestKind{Method: k.method, Path: k.path, Share: k.share, Open: k.open})
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
