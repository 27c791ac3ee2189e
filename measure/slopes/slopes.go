// Package slopes measures how CPU time, memory and message sizes grow with the
// size of the fleet. It runs the production code of the modules and fits a line to
// each quantity.
//
// CPU time includes the garbage collector. It is used instead of elapsed time
// because it is less affected by other processes on the machine. Every measurement
// is repeated, and the median is used. All inputs are derived from the size.
package slopes

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"trefoildock.example/measure/fit"
)

// Quantity is one measured quantity. Its name has the form module:quantity, where
// module is the one that causes the cost.
type Quantity struct {
	// Name identifies the quantity; it is unique.
	Name string `json:"name"`
	// Unit is the unit of the value.
	Unit string `json:"unit"`
	// Per is the unit of the size.
	Per string `json:"per"`
	// Description describes what is measured.
	Description string `json:"about"`
}

// experiment measures several quantities at several sizes.
type experiment struct {
	quantities []Quantity
	sizes      []int
	// repetitions is the number of runs at each size. Default 3.
	repetitions int
	// prepare sets up the resources that all runs share; it may be nil.
	prepare func(ctx context.Context, e Environment) (cleanup func(), err error)
	// run returns one value per quantity at a size.
	run func(ctx context.Context, e Environment, size int) ([]float64, error)
}

// Environment holds the external files that the experiments use.
type Environment struct {
	// Binary is the path of the node program. Experiments with separate node
	// processes fail without it.
	Binary string
	// Dir is the directory for settings files and logs of node processes.
	Dir string
}

// Result is the line that was fitted to the measurements of one quantity.
type Result struct {
	Quantity
	fit.Line
	// Points are the medians to which the line was fitted.
	Points []fit.Point `json:"points"`
	// Repetitions is the number of runs for each point.
	Repetitions int `json:"repetitions"`
	// Seconds is the elapsed time of the experiment.
	Seconds float64 `json:"seconds"`
}

const defaultRepetitions = 3

// experiments returns all experiments in the order of the table.
func experiments() []experiment {
	var all []experiment
	all = append(all, configurationExperiments()...)
	all = append(all, memberExperiments()...)
	all = append(all, messageExperiments()...)
	all = append(all, rateExperiments()...)
	all = append(all, idempotencyExperiments()...)
	all = append(all, linkExperiments()...)
	return append(all, processExperiments()...)
}

// Quantities returns all quantities that Measure reports.
func Quantities() []Quantity {
	var out []Quantity
	for _, e := range experiments() {
		out = append(out, e.quantities...)
	}
	return out
}

// Measure runs the experiments with at least one selected quantity and reports each
// of their results.
func Measure(ctx context.Context, env Environment, selected func(Quantity) bool, report func(Result)) error {
	for _, e := range experiments() {
		if !anySelected(e, selected) {
			continue
		}
		results, err := e.measure(ctx, env)
		if err != nil {
			return errors.Wrapf(err, "measure %s", e.quantities[0].Name)
		}
		for _, r := range results {
			report(r)
		}
	}
	return nil
}

func anySelected(e experiment, selected func(Quantity) bool) bool {
	for _, q := range e.quantities {
		if selected(q) {
			return true
		}
	}
	return false
}

// measure runs all sizes in turn and repeats that sequence, so that a temporary
// load on the machine does not affect only one size.
func (e experiment) measure(ctx context.Context, env Environment) ([]Result, error) {
	repetitions := e.repetitions
	if repetitions == 0 {
		repetitions = defaultRepetitions
	}
	start := time.Now()
	if e.prepare != nil {
		cleanup, err := e.prepare(ctx, env)
		if err != nil {
			return nil, err
		}
		defer cleanup()
	}
	values := make([][][]float64, len(e.quantities)) // by quantity, size and repetition
	for q := range values {
		values[q] = make([][]float64, len(e.sizes))
	}
	for range repetitions {
		for i, size := range e.sizes {
			if err := ctx.Err(); err != nil {
				return nil, err
			}
			row, err := e.run(ctx, env, size)
			if err != nil {
				return nil, errors.Wrapf(err, "size %d", size)
			}
			for q, v := range row {
				values[q][i] = append(values[q][i], v)
			}
		}
	}
	return e.fit(values, repetitions, time.Since(start))
}

func (e experiment) fit(values [][][]float64, repetitions int, elapsed time.Duration) ([]Result, error) {
	results := make([]Result, len(e.quantities))
	for q, quantity := range e.quantities {
		r := Result{Quantity: quantity, Repetitions: repetitions, Seconds: elapsed.Seconds()}
		for i, size := range e.sizes {
			r.Points = append(r.Points, fit.Point{Size: float64(size), Value: fit.Median(values[q][i])})
		}
		var err error
		if r.Line, err = fit.Fit(r.Points); err != nil {
			return nil, err
		}
		results[q] = r
	}
	return results, nil
}
