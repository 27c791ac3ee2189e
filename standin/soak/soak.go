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

// Config describes one run.
type Config struct {
	// Binary is the path of the program under test.
	Binary string
	// Dir keeps settings and logs of the processes.
	Dir  string
	Seed uint64
	// Machines is the number of machines; default 6.
	Machines int
	// Length is the time during which faults begin.
	Length time.Duration
	// Logf receives the faults as they begin; nil ignores them.
	Logf func(format string, args ...any)
}

// Report is the outcome of a run.
type Report struct {
	Violations []string
	// Answers counts the answers to callers by status; "0" are requests without one.
	Answers map[string]int
	// AfterFaults is the share of the requests that was served at the end.
	AfterFaults float64
}

const (
	// startTimeout bounds the start of all processes.
	startTimeout = 30 * time.Second
	// finalRequests is the number of requests by which a machine shows its service.
	finalRequests = 5
	// minServed is the share of the requests that must be served after recovery.
	minServed = 0.9
	// recoveryPoll is the time between two looks for full service.
	recoveryPoll = 500 * time.Millisecond
)

// Run runs the deployment once.
func Run(ctx context.Context, c Config) (*Report, error) {
	if c.Machines == 0 {
		c.Machines = 2 * len(zones)
	}
	if c.Logf == nil {
		c.Logf = func(string, ...any) {}
	}
	if err := os.MkdirAll(c.Dir, 0o700); err != nil {
		return nil, errors.Wrap(err, "folder of the run")
	}
	d, err := newDeployment(c.Dir, c.Binary, c.Machines)
	if err != nil {
		return nil, err
	}
	defer d.close()
	if err := d.awaitReady(ctx); err != nil {
		return nil, err
	}
	running, stop := context.WithCancel(ctx)
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() { d.traffic(running, c.Seed) })
	wg.Go(func() { d.watchStalls(running, c.Logf) })
	harm, cancel := context.WithTimeout(ctx, c.Length)
	defer cancel()
	d.harm(harm, c.Seed, c.Logf)
	share := d.recover(ctx)
	stop()
	wg.Wait()
	if err := ctx.Err(); err != nil {
		return nil, errors.Wrap(err, "the run was interrupted")
	}
	out := &Report{Violations: d.checks.finish(), Answers: d.checks.counts, AfterFaults: share}
	if share < minServed {
		out.Violations = append(out.Violations, fmt.Sprintf("recovery: %.2f of the requests served %s after the last fault", share, recovery))
	}
	return out, nil
}

func (d *deployment) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, m := range d.machines {
		for !m.isReady() {
			if ctx.Err() != nil {
				return errors.Newf("%s is not ready after %s", m.name, startTimeout)
			}
			pause(ctx, 100*time.Millisecond)
		}
	}
	return nil
}

// recover waits for full service, for the recovery time at most, and returns the
// share of the requests that are served then.
func (d *deployment) recover(ctx context.Context) float64 {
	limit := time.Now().Add(recovery)
	share := 0.0
	for ctx.Err() == nil && share < minServed && time.Now().Before(limit) {
		pause(ctx, recoveryPoll)
		share = d.servedShare(ctx)
	}
	return share
}

// servedShare sends requests without a limit from all machines and returns the
// share that is served.
func (d *deployment) servedShare(ctx context.Context) float64 {
	sent, served := 0, 0
	for _, m := range d.machines {
		client := newClient(m.callers)
		for range finalRequests {
			sent++
			id := fmt.Sprintf("final-%s-%d", m.name, time.Now().UnixNano())
			status := d.send(ctx, client, m, outgoing{id: id, method: http.MethodGet, host: "inner.example", path: "/final/", work: 1})
			if status == http.StatusOK {
				served++
			}
		}
		client.CloseIdleConnections()
	}
	return float64(served) / float64(max(sent, 1))
}
