// Command slopes measures how work, memory and messages grow with the size of
// the fleet, fits a line to each quantity and reports it. docs/CAPACITY.md uses
// the results.
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
	Output string `default:".run/slopes.json" help:"File for the results as JSON."`
	Binary string `default:"bin/trefoildock" help:"Node program for measurements on separate processes."`
	Only   string `default:"." help:"Regular expression of the quantities to measure. Quantities of one experiment are measured together."`
	List   bool   `help:"List the quantities and exit."`
}

// document is the form of the JSON file.
type document struct {
	// Taken is the start of the run.
	Taken time.Time `json:"taken"`
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
	k := kong.Parse(&c, kong.Name("slopes"), kong.Description("Measure slopes for docs/CAPACITY.md."))
	k.FatalIfErrorf(c.run(ctx))
}

func (c *cli) run(ctx context.Context) error {
	if c.List {
		for _, q := range slopes.Quantities() {
			fmt.Printf("%s: %s per %s; %s\n", q.Name, q.Unit, q.Per, q.About)
		}
		return nil
	}
	only, err := regexp.Compile(c.Only)
	if err != nil {
		return err
	}
	dir := filepath.Dir(c.Output)
	d := document{Taken: time.Now().UTC(), GoVersion: runtime.Version(), Processors: runtime.NumCPU()}
	err = slopes.Measure(ctx, slopes.Environment{Binary: c.Binary, Dir: filepath.Join(dir, "nodes")},
		func(q slopes.Quantity) bool { return only.MatchString(q.Name) },
		func(r slopes.Result) {
			d.Results = append(d.Results, r)
			fmt.Fprintf(os.Stderr, "%s (%.1f s)\n", r.Name, r.Seconds)
		})
	if err != nil {
		return err
	}
	d.Seconds = time.Since(d.Taken).Seconds()
	if err := c.write(d); err != nil {
		return err
	}
	return slopes.Table(os.Stdout, d.Results)
}

func (c *cli) write(d document) error {
	text, err := json.MarshalIndent(d, "", "  ")
	if err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Dir(c.Output), 0o755); err != nil {
		return err
	}
	return os.WriteFile(c.Output, append(text, '\n'), 0o644)
}
