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

// zoneMoveSeedVariable is the environment variable that enables the measurement in the
// tests of module node; its value is the seed.
const zoneMoveSeedVariable = "TREFOILDOCK_MEASURE"

// zoneMove is the result that the test in module node prints as a line of JSON.
type zoneMove struct {
	Workload              string         `json:"workload"`
	MissedPush            bool           `json:"missed_push"`
	Requests              int            `json:"requests"`
	Failed                int            `json:"failed"`
	Aborted               int            `json:"cut"`
	Duplicated            int            `json:"doubled"`
	LastNewRequestSeconds float64        `json:"last_new_request_s"`
	Outcomes              map[string]int `json:"answers"`
	// TestFailure describes a failure of the test after it printed the result.
	TestFailure string `json:"-"`
}

func (z zoneMove) disruptedRequests() int { return z.Failed + z.Aborted + z.Duplicated }

// zoneMoves provides the results of the test, which runs in a separate process
// for each workload and case. It is a test because the nodes need the virtual
// clock of package testing/synctest, which is available only in tests.
type zoneMoves struct {
	result func(workload string, missedPush bool) (zoneMove, error)
}

// startZoneMoves builds the test program and starts its runs in the background.
func startZoneMoves(ctx context.Context, o Options, deadline time.Time) zoneMoves {
	type key struct {
		workload   string
		missedPush bool
	}
	testProgram := sync.OnceValues(func() (string, error) { return buildNodeTests(ctx, o.BuildDir) })
	runs := make(map[key]func() (zoneMove, error))
	for _, w := range Workloads() {
		for _, missedPush := range []bool{false, true} {
			run := sync.OnceValues(func() (zoneMove, error) {
				path, err := testProgram()
				if err != nil {
					return zoneMove{}, err
				}
				ctx, cancel := context.WithDeadline(ctx, deadline)
				defer cancel()
				return runZoneMove(ctx, path, w.Name, missedPush, o.Seed)
			})
			runs[key{w.Name, missedPush}] = run
			go func() { _, _ = run() }()
		}
	}
	return zoneMoves{result: func(workload string, missedPush bool) (zoneMove, error) { return runs[key{workload, missedPush}]() }}
}

// buildNodeTests compiles the tests of module node into dir and returns the
// absolute path of the test program.
func buildNodeTests(ctx context.Context, dir string) (string, error) {
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

func runZoneMove(ctx context.Context, program, workload string, missedPush bool, seed uint64) (zoneMove, error) {
	run := fmt.Sprintf("^TestMeasureZoneMove$/^%s$/^missed=%v$", workload, missedPush)
	cmd := exec.CommandContext(ctx, program, "-test.run", run)
	cmd.Env = append(os.Environ(), fmt.Sprintf("%s=%d", zoneMoveSeedVariable, seed))
	out, runErr := cmd.CombinedOutput()
	lines := bufio.NewScanner(bytes.NewReader(out))
	for lines.Scan() {
		var z zoneMove
		if strings.HasPrefix(lines.Text(), "{") && json.Unmarshal(lines.Bytes(), &z) == nil && z.Workload == workload {
			if runErr != nil {
				z.TestFailure = "; the test failed after its result: " + runErr.Error()
			}
			return z, nil
		}
	}
	if runErr == nil {
		runErr = errors.New("the test printed no result")
	}
	const tail = 300
	return zoneMove{}, errors.Wrapf(runErr, "zone move test: %.*s", tail, out)
}

func zoneMoveRows(w Workload, o Options, moves zoneMoves) []row {
	entry := Entry{Workload: w.Name, Measure: "zone_move", Better: Lower, Seed: o.Seed}
	const noBaseline = "; no baseline: the entry has no policy without zone awareness"
	var rows []row
	for _, c := range []struct {
		name, unit string
		target     float64
		missedPush bool
		value      func(zoneMove) float64
	}{
		{
			"a zone out and in at 70% load", "failed, cut or doubled requests", 0, false,
			func(z zoneMove) float64 { return float64(z.disruptedRequests()) },
		},
		{"notice reaches all", "s until the last new request", 2, false, func(z zoneMove) float64 { return z.LastNewRequestSeconds }},
		{"one node misses the push", "s until the last new request", 5, true, func(z zoneMove) float64 { return z.LastNewRequestSeconds }},
	} {
		e := entry
		e.Case, e.Unit, e.Target = c.name, c.unit, c.target
		rows = append(rows, row{entry: e, usesRemainingTime: true, measure: func(_ context.Context, e *Entry) error {
			z, err := moves.result(w.Name, c.missedPush)
			if err != nil {
				return err
			}
			e.Policy = roundedValue(c.value(z))
			e.Note = fmt.Sprintf("%d requests to 24 nodes: %d failed, %d cut, %d doubled", z.Requests, z.Failed, z.Aborted, z.Duplicated)
			if len(z.Outcomes) > 0 {
				e.Note += fmt.Sprintf(" %v", z.Outcomes)
			}
			e.Note += z.TestFailure + noBaseline
			return nil
		}})
	}
	return rows
}
