// Command soak runs the randomized fault soak of package soak.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"trefoildock.example/standin/soak"
)

type options struct {
	Binary   string        `help:"Program under test." default:"bin/trefoildock" type:"existingfile"`
	Seed     uint64        `help:"Seed of the first run; 0 takes the time of day."`
	Seeds    int           `help:"Number of runs, with ascending seeds." default:"1"`
	Length   time.Duration `help:"Time in which faults begin." default:"20s"`
	Machines int           `help:"Number of machines." default:"6"`
	Dir      string        `help:"Folder of settings and logs; runs that broke a promise stay there." default:".run/soak" type:"path"`
	Quiet    bool          `help:"Do not print the faults."`
}

func main() {
	var o options
	kong.Parse(&o, kong.Description("Runs the shipped binary as processes on loopback through random faults and checks its promises."))
	if o.Seed == 0 {
		o.Seed = uint64(time.Now().Unix())
	}
	if o.run() > 0 {
		os.Exit(1)
	}
}

// run runs all seeds and returns the number of runs that failed or violated a
// guarantee.
func (o *options) run() (failed int) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	for seed := o.Seed; seed < o.Seed+uint64(o.Seeds) && ctx.Err() == nil; seed++ {
		dir := filepath.Join(o.Dir, fmt.Sprint(seed))
		c := soak.Config{Binary: o.Binary, Dir: dir, Seed: seed, Machines: o.Machines, FaultDuration: o.Length}
		if !o.Quiet {
			c.Logf = func(format string, args ...any) { fmt.Printf(format+"\n", args...) }
		}
		report, err := soak.Run(ctx, c)
		if err != nil {
			fmt.Printf("seed %d: %v (logs in %s)\n", seed, err, dir)
			failed++
			continue
		}
		fmt.Printf("seed %d: answers by status %v, %.2f served after the faults, %d promises broken\n",
			seed, report.StatusCounts, report.ServedAfterFaults, len(report.Violations))
		for _, v := range report.Violations {
			fmt.Println("  " + v)
		}
		if len(report.Violations) > 0 {
			failed++
			continue
		}
		if err := os.RemoveAll(dir); err != nil {
			fmt.Printf("logs of seed %d stay: %v\n", seed, err)
		}
	}
	return failed
}
