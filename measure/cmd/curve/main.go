// Command curve plots detection time against false ejections over the threshold.
package main

import (
	"fmt"

	"github.com/alecthomas/kong"

	"trefoildock.example/measure/curve"
)

type cli struct {
	Output string  `default:"docs/detection-curve.svg" help:"File for the plot."`
	Seed   uint64  `default:"1" help:"Seed of all random sequences."`
	Hours  float64 `default:"300" help:"Simulated backend-server hours behind each rate."`
	Runs   int     `default:"500" help:"Faults behind each detection time."`
}

func main() {
	var c cli
	k := kong.Parse(&c, kong.Name("curve"), kong.Description("Plot detection time against false ejections; docs/measures.md explains it."))
	k.FatalIfErrorf(c.run())
}

func (c *cli) run() error {
	s := curve.Settings{Seed: c.Seed, Hours: c.Hours, Runs: c.Runs}
	series := curve.Measure(s)
	for _, x := range series {
		fmt.Println(x.Name)
		for _, p := range x.Points {
			fmt.Println("  " + curve.Line(p))
		}
	}
	return curve.Plot(c.Output, s, series)
}
