package soak

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Config configures a run.
type Config struct {
	// Binary is the path of the program under test.
	Binary string
	// Dir is the directory for the settings and logs of the processes.
	Dir  string
	Seed uint64
	// Machines is the number of machines; default 6.
	Machines int
	// FaultDuration is the time during which faults begin.
	FaultDuration time.Duration
	// Logf logs each fault when it begins; nil disables the log.
	Logf func(format string, args ...any)
}

// Report is the result of a run.
type Report struct {
	Violations []string
	// StatusCounts is the number of requests by response status; "0" counts requests
	// without a response.
	StatusCounts map[string]int
	// ServedAfterFaults is the share of requests that succeeded after the last fault.
	ServedAfterFaults float64
}

const (
	// startTimeout bounds the time until all processes are ready.
	startTimeout = 30 * time.Second
	// recoveryRequests is the number of requests per machine in each check of recovery.
	recoveryRequests = 5
	// minServedShare is the share of requests that must succeed after recovery.
	minServedShare = 0.9
	// recoveryPollInterval is the time between two checks of recovery.
	recoveryPollInterval = 500 * time.Millisecond
)

// Run starts a deployment, injects faults while callers send requests, and checks the
// guarantees. An error means that the run could not be completed.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	if cfg.Machines == 0 {
		cfg.Machines = 2 * len(zones)
	}
	if cfg.Logf == nil {
		cfg.Logf = func(string, ...any) {}
	}
	if err := os.MkdirAll(cfg.Dir, 0o700); err != nil {
		return nil, errors.Wrap(err, "create run directory")
	}
	d, err := newDeployment(cfg.Dir, cfg.Binary, cfg.Machines)
	if err != nil {
		return nil, err
	}
	defer d.close()
	if err := d.awaitReady(ctx); err != nil {
		return nil, err
	}
	trafficCtx, stopTraffic := context.WithCancel(ctx)
	defer stopTraffic()
	var wg sync.WaitGroup
	wg.Go(func() { d.runTraffic(trafficCtx, cfg.Seed) })
	wg.Go(func() { d.watchStalls(trafficCtx, cfg.Logf) })
	faultCtx, cancel := context.WithTimeout(ctx, cfg.FaultDuration)
	defer cancel()
	d.injectFaults(faultCtx, cfg.Seed, cfg.Logf)
	servedShare := d.awaitRecovery(ctx)
	stopTraffic()
	wg.Wait()
	if err := ctx.Err(); err != nil {
		return nil, errors.Wrap(err, "the run was interrupted")
	}
	report := &Report{Violations: d.checker.finish(), StatusCounts: d.checker.statusCounts, ServedAfterFaults: servedShare}
	if servedShare < minServedShare {
		report.Violations = append(report.Violations, fmt.Sprintf("recovery: %.2f of the requests served %s after the last fault", servedShare, recoveryTime))
	}
	return report, nil
}

func (d *deployment) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, m := range d.machines {
		for !m.isReady() {
			if ctx.Err() != nil {
				return errors.Newf("%s is not ready after %s", m.name, startTimeout)
			}
			sleep(ctx, 100*time.Millisecond)
		}
	}
	return nil
}

// awaitRecovery waits until minServedShare of the requests succeed, for recoveryTime
// at most, and returns the last measured share.
func (d *deployment) awaitRecovery(ctx context.Context) float64 {
	deadline := time.Now().Add(recoveryTime)
	served := 0.0
	for ctx.Err() == nil && served < minServedShare && time.Now().Before(deadline) {
		sleep(ctx, recoveryPollInterval)
		served = d.servedShare(ctx)
	}
	return served
}

// servedShare sends requests that have no rate limit through all machines and returns
// the share that succeeds.
func (d *deployment) servedShare(ctx context.Context) float64 {
	sent, served := 0, 0
	for _, m := range d.machines {
		client := newClient(m.trafficAddress)
		for range recoveryRequests {
			sent++
			id := fmt.Sprintf("final-%s-%d", m.name, time.Now().UnixNano())
			status := d.send(ctx, client, m, requestSpec{id: id, method: http.MethodGet, host: "inner.example", path: "/final/", workMillis: 1})
			if status == http.StatusOK {
				served++
			}
		}
		client.CloseIdleConnections()
	}
	return float64(served) / float64(max(sent, 1))
}
