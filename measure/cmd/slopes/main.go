// Command slopes measures how CPU time, memory and message sizes grow with the
// size of the fleet, fits a line to each quantity and reports it. The results are
// used in docs/CAPACITY.md.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"regexp"
	"runtime"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"trefoildock.example/measure/slopes"
)

type cli struct {
	Output string `default:".run/slopes.json" help:"Output file of the results as JSON."`
	Binary string `default:"bin/trefoildock" help:"Path of the node program for measurements with separate processes."`
	Only   string `default:"." help:"Regular expression of the quantities to measure. Quantities of one experiment are measured together."`
	Table  string `default:"text" enum:"text,markdown" help:"Format of the table: ${enum}. Default ${default}."`
	List   bool   `help:"List the quantities and exit."`
}

// document is the content of the JSON file.
type document struct {
	// StartedAt is the start time of the run.
	StartedAt time.Time `json:"taken"`
	// GoVersion and Processors describe the machine.
	GoVersion  string          `json:"go_version"`
	Processors int             `json:"processors"`
	Seconds    float64         `json:"seconds"`
	Results    []slopes.Result `json:"results"`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	var c cli
	k := kong.Parse(&c, kong.Name("slopes"), kong.Description("Measure how costs grow with the size of the fleet, for docs/CAPACITY.md."))
	k.FatalIfErrorf(c.run(ctx))
}

func (c *cli) run(ctx context.Context) error {
	if c.List {
		for _, q := range slopes.Quantities() {
			fmt.Printf("%s: %s per %s; %s\n", q.Name, q.Unit, q.Per, q.Description)
		}
		return nil
	}
	nameFilter, err := regexp.Compile(c.Only)
	if err != nil {
		return err
	}
	dir := filepath.Dir(c.Output)
	d := document{StartedAt: time.Now().UTC(), GoVersion: runtime.Version(), Processors: runtime.NumCPU()}
	err = slopes.Measure(ctx, slopes.Environment{Binary: c.Binary, Dir: filepath.Join(dir, "nodes")},
		func(q slopes.Quantity) bool { return nameFilter.MatchString(q.Name) },
		func(r slopes.Result) {
			d.Results = append(d.Results, r)
			fmt.Fprintf(os.Stderr, "%s (%.1f s)\n", r.Name, r.Seconds)
		})
	if err != nil {
		return err
	}
	d.Seconds = time.Since(d.StartedAt).Seconds()
	if err := c.writeJSON(d); err != nil {
		return err
	}
	if c.Table == "markdown" {
		return slopes.WriteMarkdown(os.Stdout, d.Results)
	}
	return slopes.WriteTable(os.Stdout, d.Results)
}

func (c *cli) writeJSON(d document) error {
	data, err := json.MarshalIndent(d, "", "  ")
	if err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Dir(c.Output), 0o755); err != nil {
		return err
	}
	return os.WriteFile(c.Output, append(data, '\n'), 0o644)
}
