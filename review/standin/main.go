// Program reviewcase plays the cases of the review. Each starts trefoildock as separate
// processes on loopback, with stand-ins for the platform, the backend servers and the
// consumers, and judges one rule by what these have seen.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// maxLength ends a case that does not end by itself.
const maxLength = 115 * time.Second

// play is a case: it returns whether the rule was broken.
type play func(c *caseRun) (broken bool, err error)

var plays = map[string]play{}

// caseRun is one run of a case.
type caseRun struct {
	root, dir string
	trouble   bool
	record    *record
	fleet     *fleet
}

func (c *caseRun) start(config string, sites []site, watchMemory bool) error {
	var err error
	c.fleet, err = newFleet(c.root, c.dir, c.record, config, sites, watchMemory)
	if err != nil {
		return err
	}
	return c.fleet.awaitReady(15 * time.Second)
}

func main() {
	root := flag.String("root", ".", "root of the repository")
	out := flag.String("out", ".", "folder of record.txt")
	flag.Parse()
	os.Exit(run(*root, *out, flag.Arg(0)))
}

func run(root, out, name string) int {
	p := plays[name]
	if p == nil {
		fmt.Fprintf(os.Stderr, "there is no case %q\n", name)
		return 2
	}
	if _, err := os.Stat(filepath.Join(root, "target", "trefoildock")); err != nil {
		fmt.Fprintln(os.Stderr, "target/trefoildock is missing: run the build of the deploy file")
		return 2
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(dir)
	rec, err := newRecord(filepath.Join(out, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	c := &caseRun{root: root, dir: dir, trouble: os.Getenv("TROUBLE") != "0", record: rec}
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() { broken, err := p(c); done <- result{broken, err} }()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	var r result
	select {
	case r = <-done:
	case <-interrupted:
		r.err = errors.New("interrupted")
	case <-time.After(maxLength):
		r.err = errors.New("the case did not end in time")
	}
	if c.fleet != nil {
		c.fleet.close()
	}
	if logs := os.Getenv("KEEP_LOGS"); logs != "" {
		_ = os.CopyFS(logs, os.DirFS(dir))
	}
	switch {
	case r.err != nil:
		rec.note("could not run: %v", r.err)
		return 2
	case r.broken:
		rec.note("the rule was broken")
		return 1
	default:
		rec.note("the rule held")
		return 0
	}
}

var errNotAcknowledged = errors.New("the departure was not acknowledged")
