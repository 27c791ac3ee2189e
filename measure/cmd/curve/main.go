// Command curve plots detection time against false ejections for a range of
// thresholds.
package main

import (
	"fmt"

	"github.com/alecthomas/kong"

	"trefoildock.example/measure/curve"
)

type cli struct {
	Output string  `default:"docs/detection-curve.svg" help:"Output file of the plot."`
	Seed   uint64  `default:"1" help:"Seed of the random number generators."`
	Hours  float64 `default:"300" help:"Simulated backend-server hours for each rate."`
	Runs   int     `default:"500" help:"Simulated faults for each detection time."`
}

func main() {
	var c cli
	k := kong.Parse(&c, kong.Name("curve"), kong.Description("Plot detection time against false ejections; docs/measures.md explains it."))
	k.FatalIfErrorf(c.run())
}

func (c *cli) run() error {
	s := curve.Settings{Seed: c.Seed, Hours: c.Hours, Runs: c.Runs}
	series := curve.Simulate(s)
	for _, x := range series {
		fmt.Println(x.Name)
		for _, p := range x.Points {
			fmt.Println("  " + curve.FormatPoint(p))
		}
	}
	return curve.Plot(c.Output, s, series)
}
