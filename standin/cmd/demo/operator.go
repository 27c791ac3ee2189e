package main

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"os/exec"
	"time"

	"github.com/cockroachdb/errors"
)

// requester is recorded with each change, and commandTimeout bounds one command.
const (
	requester      = "D. Emo"
	commandTimeout = 15 * time.Second
)

// change is a configuration change that a command made.
type change struct {
	reason  string
	version uint64
	// startedAt and finishedAt bound the run of the command.
	startedAt, finishedAt time.Time
	// inForce is the number of nodes, out of nodes, that had applied the change when
	// the command returned.
	inForce, nodes int
	acknowledged   bool
}

// changeResult is the JSON output of a command that changes the configuration.
type changeResult struct {
	Version    uint64 `json:"version"`
	Changed    bool   `json:"changed"`
	Acceptance *struct {
		Acknowledged int `json:"acknowledged"`
		Needed       int `json:"needed"`
		InForce      int `json:"in_force"`
		Nodes        int `json:"nodes"`
	} `json:"acceptance"`
}

// runCommand runs trefoildock against the admin API of a node and returns its
// standard output and its exit code.
func (d *deployment) runCommand(ctx context.Context, v *vm, args ...string) (out []byte, code int, err error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	allArgs := append([]string{"--server", "http://" + v.hostPort(adminPort), "--json"}, args...)
	cmd := exec.CommandContext(ctx, d.workspace.trefoildock, allArgs...)
	cmd.Env = append(os.Environ(), "TREFOILDOCK_TOKEN="+d.token)
	var stdout, stderr bytes.Buffer
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	err = cmd.Run()
	var exitErr *exec.ExitError
	if errors.As(err, &exitErr) && exitErr.Exited() {
		return stdout.Bytes(), exitErr.ExitCode(), errors.Newf("trefoildock %v: %s: %s", args, exitErr, stderr.String())
	}
	return stdout.Bytes(), 0, errors.Wrapf(err, "trefoildock %v", args)
}

// makeChange runs a command that changes the configuration and records the change.
func (d *deployment) makeChange(ctx context.Context, v *vm, reason string, args ...string) (change, error) {
	c := change{reason: reason, startedAt: time.Now()}
	args = append(args, "--requester", requester, "--reason", reason)
	out, _, err := d.runCommand(ctx, v, args...)
	c.finishedAt = time.Now()
	if err != nil {
		return c, err
	}
	var r changeResult
	if err := json.Unmarshal(out, &r); err != nil {
		return c, errors.Wrapf(err, "output of trefoildock %v", args)
	}
	if !r.Changed || r.Acceptance == nil {
		return c, errors.Newf("trefoildock %v changed nothing: %s", args, out)
	}
	c.version = r.Version
	c.inForce, c.nodes = r.Acceptance.InForce, r.Acceptance.Nodes
	c.acknowledged = r.Acceptance.Acknowledged >= r.Acceptance.Needed
	d.mu.Lock()
	defer d.mu.Unlock()
	d.changes = append(d.changes, c)
	return c, nil
}

// applyRules applies the rules file and waits until a node reports an owner for every
// backend server.
func (d *deployment) applyRules(ctx context.Context) error {
	v := &d.vms[0]
	if _, err := d.makeChange(ctx, v, "start of the demo", "apply", d.path("all.rules")); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	return d.waitUntil(ctx, "all owners to be members", func() bool { return d.ownerCount(ctx, v) == len(d.vms) })
}

// ownerCount returns the number of owners of all services that a node reports.
func (d *deployment) ownerCount(ctx context.Context, v *vm) int {
	out, _, err := d.runCommand(ctx, v, "status")
	if err != nil {
		return 0
	}
	var status struct {
		Services []struct {
			Owners []string `json:"owners"`
		} `json:"services"`
	}
	if json.Unmarshal(out, &status) != nil {
		return 0
	}
	n := 0
	for _, s := range status.Services {
		n += len(s.Owners)
	}
	return n
}

// auditRecord is one record of the audit trail.
type auditRecord struct {
	Version     uint64 `json:"version"`
	ReadVersion uint64 `json:"read_version"`
	Operator    string `json:"operator"`
	Requester   string `json:"requester"`
	Reason      string `json:"reason"`
}

// auditTrail returns the audit trail. A run makes fewer changes than the limit of 1000.
func (d *deployment) auditTrail(ctx context.Context, v *vm) ([]auditRecord, error) {
	out, _, err := d.runCommand(ctx, v, "audit", "--limit", "1000")
	if err != nil {
		return nil, err
	}
	var page struct {
		Entries []auditRecord `json:"entries"`
	}
	err = json.Unmarshal(out, &page)
	return page.Entries, errors.Wrap(err, "output of trefoildock audit")
}
