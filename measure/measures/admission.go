package measures

import (
	"context"
	"time"

	"trefoildock.example/admission"
)

const (
	// overloadingTeam is the index of a large team that exceeds its rate;
	// overloadFactor is its demand as a multiple of that rate.
	overloadingTeam = 1
	overloadFactor  = 10
	// guaranteedLoad is the sum of the teams' rates as a fraction of the capacity.
	guaranteedLoad  = 0.75
	coldStartOffset = 10 * time.Second
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
			e.Policy = roundedValue(worstTeamShare(w, o, c.cold, false))
			e.Baseline = roundedValue(worstTeamShare(w, o, c.cold, true))
			return nil
		}})
	}
	return rows
}

// worstTeamShare returns the smallest share of its guaranteed rate that any team gets,
// over all services of the workload. The overloading team is excluded.
func worstTeamShare(w Workload, o Options, cold []int, fifo bool) float64 {
	worst := 1.0
	for i, servers := range w.Services {
		x := admission.NewExperiment(servers, guaranteedLoad, w.seed(o.Seed, i))
		x.FIFO = fifo
		x.Rates[overloadingTeam] *= overloadFactor
		if len(cold) > 0 {
			x.ColdRestartAt, x.Cold = coldStartOffset, cold
		}
		x.Run()
		worst = min(worst, x.MinServedFraction(overloadingTeam))
	}
	return worst
}
