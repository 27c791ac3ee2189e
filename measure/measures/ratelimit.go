package measures

import (
	"context"
	"time"

	"trefoildock.example/ratelimit"
)

const (
	// withinRate is the demand in units of the rate for which every refusal is wrong.
	withinRate = 0.8
	// aboveRate is the demand in units of the rate under which an overspend would show.
	aboveRate       = 1.3
	refusalTime     = 20 * time.Second
	afterHomeLoss   = 10 * time.Second
	overspendWarmUp = 5 * time.Second
	overspendTime   = 12 * time.Second
	requestsOfTeams = "share of requests within rate"
)

func refusalRows(w Workload, o Options) []row {
	both := []ratelimit.Demand{ratelimit.Even, ratelimit.Skewed}
	var rows []row
	for _, c := range []struct {
		name        string
		demands     []ratelimit.Demand
		disturbance ratelimit.Disturbance
		length      time.Duration
		target      float64
	}{
		{"even", []ratelimit.Demand{ratelimit.Even}, ratelimit.Undisturbed, refusalTime, 0},
		{"skewed", []ratelimit.Demand{ratelimit.Skewed}, ratelimit.Undisturbed, refusalTime, 0.001},
		{"moving demand", []ratelimit.Demand{ratelimit.Moving}, ratelimit.Undisturbed, refusalTime, 0.001},
		{"10 s after loss of a rate home, platform up", both, ratelimit.HomeLost, afterHomeLoss, 0.01},
		{"10 s after loss of a rate home, platform away", both, ratelimit.HomeLostTableDown, afterHomeLoss, 0.05},
	} {
		e := Entry{
			Workload: w.Name, Measure: "wrongful_refusals", Case: c.name, Unit: requestsOfTeams,
			Target: c.target, Better: Lower, Seed: o.Seed, Note: "demand 0.8 of the rate; baseline rate divided by node count",
		}
		if len(c.demands) > 1 {
			e.Note += "; worse of even and skewed demand"
		}
		rows = append(rows, row{entry: e, measure: func(_ context.Context, e *Entry) error {
			policy, baseline := 0.0, 0.0
			for _, d := range c.demands {
				got := ratelimit.Experiment{
					Demand: d, Disturbance: c.disturbance, Load: withinRate, OneWay: w.BetweenZones / 2,
					Length: c.length, Seed: w.seed(o.Seed, int(d)),
				}.Run()
				policy = max(policy, float64(got.Refused)/float64(got.Offered))
				baseline = max(baseline, float64(got.Split)/float64(got.Offered))
			}
			e.Policy, e.Baseline = value(policy), value(baseline)
			return nil
		}})
	}
	return rows
}

func overspendRows(w Workload, o Options) []row {
	var rows []row
	for _, c := range []struct {
		name        string
		demand      ratelimit.Demand
		disturbance ratelimit.Disturbance
	}{
		{"even", ratelimit.Even, ratelimit.Undisturbed},
		{"skewed", ratelimit.Skewed, ratelimit.Undisturbed},
		{"moving demand", ratelimit.Moving, ratelimit.Undisturbed},
		{"loss of a rate home, platform up", ratelimit.Skewed, ratelimit.HomeLost},
		{"loss of a rate home, platform away", ratelimit.Skewed, ratelimit.HomeLostTableDown},
		{"one-way partitions between zones", ratelimit.Moving, ratelimit.Partitions},
	} {
		e := Entry{
			Workload: w.Name, Measure: "overspend", Case: c.name, Unit: "requests above rate x time + burst",
			Target: 0, Better: Lower, Seed: o.Seed, Note: "demand 1.3 times the rate; baseline rate divided by node count",
		}
		rows = append(rows, row{entry: e, measure: func(_ context.Context, e *Entry) error {
			got := ratelimit.Experiment{
				Demand: c.demand, Disturbance: c.disturbance, Load: aboveRate, OneWay: w.BetweenZones / 2,
				WarmUp: overspendWarmUp, Length: overspendTime, Seed: w.seed(o.Seed, int(c.demand)),
			}.Run()
			e.Policy, e.Baseline = value(got.Overspend), value(got.SplitOverspend)
			return nil
		}})
	}
	return rows
}
