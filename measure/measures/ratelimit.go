package measures

import (
	"context"
	"time"

	"trefoildock.example/ratelimit"
)

const (
	// loadWithinRate is a demand, as a fraction of the rate, for which every
	// rejection is wrongful.
	loadWithinRate = 0.8
	// loadAboveRate is a demand, as a multiple of the rate, that reveals an
	// overspend.
	loadAboveRate           = 1.3
	refusalDuration         = 20 * time.Second
	coordinatorLossDuration = 10 * time.Second
	overspendWarmUp         = 5 * time.Second
	overspendDuration       = 12 * time.Second
	refusalUnit             = "share of requests within rate"
)

func refusalRows(w Workload, o Options) []row {
	evenAndSkewed := []ratelimit.Demand{ratelimit.Even, ratelimit.Skewed}
	var rows []row
	for _, c := range []struct {
		name        string
		demands     []ratelimit.Demand
		disturbance ratelimit.Disturbance
		length      time.Duration
		target      float64
	}{
		{"even", []ratelimit.Demand{ratelimit.Even}, ratelimit.Undisturbed, refusalDuration, 0},
		{"skewed", []ratelimit.Demand{ratelimit.Skewed}, ratelimit.Undisturbed, refusalDuration, 0.001},
		{"moving demand", []ratelimit.Demand{ratelimit.Moving}, ratelimit.Undisturbed, refusalDuration, 0.001},
		{"10 s after loss of a rate home, platform up", evenAndSkewed, ratelimit.CoordinatorLost, coordinatorLossDuration, 0.01},
		{"10 s after loss of a rate home, platform away", evenAndSkewed, ratelimit.CoordinatorLostTableDown, coordinatorLossDuration, 0.05},
	} {
		e := Entry{
			Workload: w.Name, Measure: "wrongful_refusals", Case: c.name, Unit: refusalUnit,
			Target: c.target, Better: Lower, Seed: o.Seed, Note: "demand 0.8 of the rate; baseline rate divided by node count",
		}
		if len(c.demands) > 1 {
			e.Note += "; worse of even and skewed demand"
		}
		rows = append(rows, row{entry: e, measure: func(_ context.Context, e *Entry) error {
			policy, baseline := 0.0, 0.0
			for _, d := range c.demands {
				got := ratelimit.Experiment{
					Demand: d, Disturbance: c.disturbance, Load: loadWithinRate, OneWay: w.ZoneRTT / 2,
					Duration: c.length, Seed: w.seed(o.Seed, int(d)),
				}.Run()
				policy = max(policy, float64(got.Refused)/float64(got.Offered))
				baseline = max(baseline, float64(got.Split)/float64(got.Offered))
			}
			e.Policy, e.Baseline = roundedValue(policy), roundedValue(baseline)
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
		{"loss of a rate home, platform up", ratelimit.Skewed, ratelimit.CoordinatorLost},
		{"loss of a rate home, platform away", ratelimit.Skewed, ratelimit.CoordinatorLostTableDown},
		{"one-way partitions between zones", ratelimit.Moving, ratelimit.Partitions},
	} {
		e := Entry{
			Workload: w.Name, Measure: "overspend", Case: c.name, Unit: "requests above rate x time + burst",
			Target: 0, Better: Lower, Seed: o.Seed, Note: "demand 1.3 times the rate; baseline rate divided by node count",
		}
		rows = append(rows, row{entry: e, measure: func(_ context.Context, e *Entry) error {
			got := ratelimit.Experiment{
				Demand: c.demand, Disturbance: c.disturbance, Load: loadAboveRate, OneWay: w.ZoneRTT / 2,
				WarmUp: overspendWarmUp, Duration: overspendDuration, Seed: w.seed(o.Seed, int(c.demand)),
			}.Run()
			e.Policy, e.Baseline = roundedValue(got.Overspend), roundedValue(got.SplitOverspend)
			return nil
		}})
	}
	return rows
}
