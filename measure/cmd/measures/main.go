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
	Output        string        `default:"measures.json" help:"Output file of the results as JSON."`
	Seed          uint64        `default:"1" help:"Seed of the random number generators."`
	Time          time.Duration `default:"48s" help:"Wall-clock time after which the false_ejections rows end; a longer time simulates more hours."`
	DetectionRuns int           `default:"400" help:"Simulated faults for each quantile of detection_time."`
	Dir           string        `default:".run/measures" help:"Directory for the test program of the zone_move rows."`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	var c cli
	k := kong.Parse(&c, kong.Name("measures"), kong.Description("Measure the quality of the fleet's decisions; docs/measures.md explains the results."))
	k.FatalIfErrorf(c.run(ctx))
}

func (c *cli) run(ctx context.Context) error {
	entries := measures.Run(ctx, measures.Options{
		Seed: c.Seed, TimeLimit: c.Time, DetectionRuns: c.DetectionRuns, BuildDir: c.Dir,
	})
	data, err := json.MarshalIndent(entries, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(c.Output, append(data, '\n'), 0o644); err != nil {
		return err
	}
	return measures.WriteTable(os.Stdout, entries)
}
