package measures

import (
	"context"
	"time"

	"trefoildock.example/admission"
)

const (
	// floodingTeam is a large team, floodFactor its demand in units of its rate.
	floodingTeam = 1
	floodFactor  = 10
	// promisedLoad is the sum of the teams' rates in units of the capacity.
	promisedLoad = 0.75
	coldStartAt  = 10 * time.Second
)

func worstTeamRows(w Workload, o Options) []row {
	var rows []row
	for _, c := range []struct {
		name   string
		target float64
		cold   []int
	}{
		{"one team sends 10 times its rate", 0.99, nil},
		{"one team sends 10 times its rate, one backend server starts cold", 0.95, []int{0}},
	} {
		e := Entry{
			Workload: w.Name, Measure: "worst_team", Case: c.name, Unit: "share of the promised rate",
			Target: c.target, Better: Higher, Seed: o.Seed, Note: "worst of the services; baseline FIFO queue",
		}
		rows = append(rows, row{entry: e, measure: func(_ context.Context, e *Entry) error {
			e.Policy = value(worstTeam(w, o, c.cold, false))
			e.Baseline = value(worstTeam(w, o, c.cold, true))
			return nil
		}})
	}
	return rows
}

// worstTeam returns the smallest share over the services of the workload.
func worstTeam(w Workload, o Options, cold []int, fifo bool) float64 {
	worst := 1.0
	for i, servers := range w.Services {
		x := admission.NewExperiment(servers, promisedLoad, w.seed(o.Seed, i))
		x.FIFO = fifo
		x.Rates[floodingTeam] *= floodFactor
		if len(cold) > 0 {
			x.ColdAt, x.Cold = coldStartAt, cold
		}
		x.Run()
		worst = min(worst, x.WorstShare(floodingTeam))
	}
	return worst
}
