package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// runTimeout bounds a run.
const runTimeout = 2 * time.Minute

// errGuaranteeViolated is returned by a run in which a guarantee was violated.
var errGuaranteeViolated = errors.New("a promise was broken")

type runCmd struct {
	Only string `help:"Run only this deployment." enum:"ffon,cola,both" default:"both"`
}

// Run runs the scenario on the deployments concurrently.
func (c *runCmd) Run(ctx context.Context, g *globalFlags) error {
	startedAt := time.Now()
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	w, cleanup, err := g.newWorkspace()
	if err != nil {
		return err
	}
	defer cleanup()
	var p processes
	defer p.killAll()
	layouts := []layout{ffonLayout(g.Network), colaLayout(g.Network + 10)}
	switch c.Only {
	case "ffon":
		layouts = layouts[:1]
	case "cola":
		layouts = layouts[1:]
	}
	results := make([]*result, len(layouts))
	errs := make([]error, len(layouts))
	var wg sync.WaitGroup
	for i, l := range layouts {
		wg.Go(func() {
			results[i], errs[i] = runDeployment(ctx, l, w, &p, startedAt)
			if errs[i] != nil {
				errs[i] = errors.Wrap(errs[i], l.name)
				cancel() // Stops the other deployment.
			}
		})
	}
	wg.Wait()
	if err := errors.Join(errs...); err != nil {
		return err
	}
	p.killAll()
	started, running := p.count()
	violated := running > 0
	for _, r := range results {
		fmt.Println()
		if r.print() {
			violated = true
		}
	}
	fmt.Printf("\n%d processes started, %d left running; %.1f s\n", started, running, time.Since(startedAt).Seconds())
	if violated {
		return errGuaranteeViolated
	}
	return nil
}

// runDeployment starts a deployment, runs the scenario under load and collects the
// result.
func runDeployment(ctx context.Context, l layout, w *workspace, p *processes, startedAt time.Time) (*result, error) {
	d, err := provision(l, w, p)
	if err != nil {
		return nil, err
	}
	sc := &scenario{deployment: d, startedAt: startedAt}
	if err := d.start(ctx); err != nil {
		return nil, err
	}
	sc.logf("%d nodes are ready", len(d.vms))
	if err := d.applyRules(ctx); err != nil {
		return nil, err
	}
	sc.logf("rules are applied, all owners are members")
	traffic := startTraffic(ctx, d)
	err = sc.run(ctx)
	if err := errors.Join(err, traffic.stop()); err != nil {
		return nil, err
	}
	return evaluate(ctx, sc, traffic)
}
