package measures

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// zoneMoveVariable makes the test in the module node measure, with the seed as value.
const zoneMoveVariable = "TREFOILDOCK_MEASURE"

// zoneMove is a line of JSON that the test in the module node prints.
type zoneMove struct {
	Workload   string         `json:"workload"`
	MissedPush bool           `json:"missed_push"`
	Requests   int            `json:"requests"`
	Failed     int            `json:"failed"`
	Cut        int            `json:"cut"`
	Doubled    int            `json:"doubled"`
	Last       float64        `json:"last_new_request_s"`
	Answers    map[string]int `json:"answers"`
	// Fault tells how the test failed after it had printed the result.
	Fault string `json:"-"`
}

func (z zoneMove) bad() int { return z.Failed + z.Cut + z.Doubled }

// zoneMoves runs the test of each workload and case in a process of its own.
// Nodes need the virtual clock of package testing/synctest, which only tests have.
type zoneMoves struct {
	get func(workload string, missed bool) (zoneMove, error)
}

// startZoneMoves builds the test program and starts its runs in the background.
func startZoneMoves(ctx context.Context, o Options, end time.Time) zoneMoves {
	type key struct {
		workload string
		missed   bool
	}
	program := sync.OnceValues(func() (string, error) { return buildZoneMoves(ctx, o.Dir) })
	runs := make(map[key]func() (zoneMove, error))
	for _, w := range Workloads() {
		for _, missed := range []bool{false, true} {
			run := sync.OnceValues(func() (zoneMove, error) {
				path, err := program()
				if err != nil {
					return zoneMove{}, err
				}
				ctx, cancel := context.WithDeadline(ctx, end)
				defer cancel()
				return runZoneMove(ctx, path, w.Name, missed, o.Seed)
			})
			runs[key{w.Name, missed}] = run
			go func() { _, _ = run() }()
		}
	}
	return zoneMoves{get: func(workload string, missed bool) (zoneMove, error) { return runs[key{workload, missed}]() }}
}

// buildZoneMoves compiles the tests of the module node into dir.
func buildZoneMoves(ctx context.Context, dir string) (string, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return "", err
	}
	path, err := filepath.Abs(filepath.Join(dir, "node.test"))
	if err != nil {
		return "", err
	}
	if out, err := exec.CommandContext(ctx, "go", "test", "-c", "-o", path, "./node").CombinedOutput(); err != nil {
		return "", errors.Wrapf(err, "cannot build the tests of module node: %s", out)
	}
	return path, nil
}

func runZoneMove(ctx context.Context, program, workload string, missed bool, seed uint64) (zoneMove, error) {
	run := fmt.Sprintf("^TestMeasureZoneMove$/^%s$/^missed=%v$", workload, missed)
	cmd := exec.CommandContext(ctx, program, "-test.run", run)
	cmd.Env = append(os.Environ(), fmt.Sprintf("%s=%d", zoneMoveVariable, seed))
	out, runErr := cmd.CombinedOutput()
	lines := bufio.NewScanner(bytes.NewReader(out))
	for lines.Scan() {
		var z zoneMove
		if strings.HasPrefix(lines.Text(), "{") && json.Unmarshal(lines.Bytes(), &z) == nil && z.Workload == workload {
			if runErr != nil {
				z.Fault = "; the test failed after its result: " + runErr.Error()
			}
			return z, nil
		}
	}
	if runErr == nil {
		runErr = errors.New("it printed no result")
	}
	const tail = 300
	return zoneMove{}, errors.Wrapf(runErr, "zone move test: %.*s", tail, out)
}

func zoneMoveRows(w Workload, o Options, moves zoneMoves) []row {
	entry := Entry{Workload: w.Name, Measure: "zone_move", Better: Lower, Seed: o.Seed}
	const noBaseline = "; no baseline: the entry has no policy without knowledge of zones"
	var rows []row
	for _, c := range []struct {
		name, unit string
		target     float64
		missed     bool
		value      func(zoneMove) float64
	}{
		{
			"a zone out and in at 70% load", "failed, cut or doubled requests", 0, false,
			func(z zoneMove) float64 { return float64(z.bad()) },
		},
		{"notice reaches all", "s until the last new request", 2, false, func(z zoneMove) float64 { return z.Last }},
		{"one node misses the push", "s until the last new request", 5, true, func(z zoneMove) float64 { return z.Last }},
	} {
		e := entry
		e.Case, e.Unit, e.Target = c.name, c.unit, c.target
		rows = append(rows, row{entry: e, untilEnd: true, measure: func(_ context.Context, e *Entry) error {
			z, err := moves.get(w.Name, c.missed)
			if err != nil {
				return err
			}
			e.Policy = value(c.value(z))
			e.Note = fmt.Sprintf("%d requests to 24 nodes: %d failed, %d cut, %d doubled", z.Requests, z.Failed, z.Cut, z.Doubled)
			if len(z.Answers) > 0 {
				e.Note += fmt.Sprintf(" %v", z.Answers)
			}
			e.Note += z.Fault + noBaseline
			return nil
		}})
	}
	return rows
}
