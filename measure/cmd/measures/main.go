// Command measures runs the experiments behind the table of measures of the
// design page, prints the results and writes them as JSON.
package main

import (
	"context"
	"encoding/json"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"trefoildock.example/measure/measures"
)

type cli struct {
	Output        string        `default:"measures.json" help:"File for the results as JSON."`
	Seed          uint64        `default:"1" help:"Seed of all random sequences."`
	Time          time.Duration `default:"48s" help:"Real time at which the false_ejections rows end; more hours are simulated in a longer time."`
	DetectionRuns int           `default:"400" help:"Faults behind each quantile of detection_time."`
	Dir           string        `default:".run/measures" help:"Directory for the test program of the zone_move rows."`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	var c cli
	k := kong.Parse(&c, kong.Name("measures"), kong.Description("Measure the fleet's decisions; docs/measures.md explains the results."))
	k.FatalIfErrorf(c.run(ctx))
}

func (c *cli) run(ctx context.Context) error {
	entries := measures.Run(ctx, measures.Options{
		Seed: c.Seed, Time: c.Time, DetectionRuns: c.DetectionRuns, Dir: c.Dir,
	})
	text, err := json.MarshalIndent(entries, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(c.Output, append(text, '\n'), 0o644); err != nil {
		return err
	}
	return measures.Table(os.Stdout, entries)
}
