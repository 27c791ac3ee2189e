package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// runLimit ends a run that hangs.
const runLimit = 2 * time.Minute

// errBrokenPromise ends a run in which a promise was broken.
var errBrokenPromise = errors.New("a promise was broken")

type runCmd struct {
	Only string `help:"Run only this deployment." enum:"ffon,cola,both" default:"both"`
}

// Run takes the deployments through the scenario, both at the same time.
func (c *runCmd) Run(ctx context.Context, g *globals) error {
	begun := time.Now()
	ctx, cancel := context.WithTimeout(ctx, runLimit)
	defer cancel()
	w, cleanup, err := g.newWorkspace()
	if err != nil {
		return err
	}
	defer cleanup()
	var p processes
	defer p.killAll()
	layouts := []layout{ffon(g.Network), cola(g.Network + 10)}
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
			results[i], errs[i] = runDeployment(ctx, l, w, &p, begun)
			if errs[i] != nil {
				errs[i] = errors.Wrap(errs[i], l.name)
				cancel() // The other deployment need not go on.
			}
		})
	}
	wg.Wait()
	if err := errors.Join(errs...); err != nil {
		return err
	}
	p.killAll()
	started, running := p.count()
	broken := running > 0
	for _, r := range results {
		fmt.Println()
		if r.print() {
			broken = true
		}
	}
	fmt.Printf("\n%d processes started, %d left running; %.1f s\n", started, running, time.Since(begun).Seconds())
	if broken {
		return errBrokenPromise
	}
	return nil
}

// runDeployment starts a deployment, sends load, breaks parts and collects what
// was seen.
func runDeployment(ctx context.Context, l layout, w *workspace, p *processes, begun time.Time) (*result, error) {
	d, err := provision(l, w, p)
	if err != nil {
		return nil, err
	}
	s := &scenario{deployment: d, begun: begun}
	if err := d.start(ctx); err != nil {
		return nil, err
	}
	s.say("%d nodes are ready", len(d.machines))
	if err := d.applyRules(ctx); err != nil {
		return nil, err
	}
	s.say("rules are applied, all owners are members")
	traffic := startTraffic(ctx, d)
	err = s.run(ctx)
	if err := errors.Join(err, traffic.stop()); err != nil {
		return nil, err
	}
	return collect(ctx, s, traffic)
}
