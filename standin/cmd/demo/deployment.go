package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"trefoildock.example/standin/backend"
)

const (
	startTimeout   = 40 * time.Second
	pollInterval   = 100 * time.Millisecond
	controlTimeout = 2 * time.Second
	// coldRequests is the number of executions that end a cold start. It is below the
	// 8 successes after which an owner opens a second slot, so that an owner that
	// limits its slow start correctly never overloads a cold backend server.
	coldRequests = "6"
)

// deployment holds the layout, the files and the processes of one example deployment.
type deployment struct {
	layout

	dir       string
	workspace *workspace
	processes *processes
	vms       []vm
	token     string
	rulesText string
	keys      map[string]string // plaintext keys by team
	caFile    string

	mu       sync.Mutex
	platform *process
	nodes    map[string]*process // by node name
	backends map[string]*process // by name of the backend server
	changes  []change            // configuration changes made by commands, oldest first
}

// provision writes the settings, rules, keys and certificates of a deployment.
func provision(l layout, w *workspace, p *processes) (*deployment, error) {
	d := &deployment{
		layout: l, dir: filepath.Join(w.dir, l.name), workspace: w, processes: p, vms: l.newVMs(),
		nodes: make(map[string]*process), backends: make(map[string]*process),
	}
	if err := os.Mkdir(d.dir, 0o700); err != nil {
		return nil, errors.Wrap(err, "create folder")
	}
	text, err := os.ReadFile(filepath.Join(w.rulesDir, l.name+".rules"))
	if err != nil {
		return nil, errors.Wrap(err, "read example rules")
	}
	if d.rulesText, d.keys, err = issueKeys(string(text)); err != nil {
		return nil, err
	}
	var secrets strings.Builder
	for _, key := range d.keys {
		secrets.WriteString(key + "\n")
	}
	token, digest := newToken()
	d.token = token
	err = errors.Join(
		os.WriteFile(d.path("all.rules"), []byte(d.rulesText), 0o600),
		os.WriteFile(d.path("secrets"), []byte(secrets.String()), 0o600),
		os.WriteFile(d.path("token"), []byte(token+"\n"), 0o600))
	if err != nil {
		return nil, errors.Wrap(err, "write files")
	}
	ca, err := newAuthority(d.dir)
	if err != nil {
		return nil, err
	}
	d.caFile = ca.file
	for i := range d.vms {
		if err := d.writeSettings(&d.vms[i], ca, digest); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// start starts the platform, the backend servers and the nodes and waits until
// every node is ready.
func (d *deployment) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	var err error
	d.platform, err = d.processes.start(d.name+" platform", d.path("platform.log"), d.workspace.standin,
		"platform", "--listen", d.platformAddress())
	if err != nil {
		return err
	}
	if err := d.waitUntil(ctx, "the platform to serve", func() bool {
		return getJSON(ctx, "http://"+d.platformAddress()+"/stats", nil) == nil
	}); err != nil {
		return err
	}
	for i := range d.vms {
		if err := errors.Join(d.startBackend(&d.vms[i]), d.startNode(&d.vms[i])); err != nil {
			return err
		}
	}
	for i := range d.vms {
		v := &d.vms[i]
		if err := d.waitUntil(ctx, v.name+" to be ready", func() bool { return d.isReady(ctx, v) }); err != nil {
			return err
		}
	}
	return nil
}

func (d *deployment) startNode(v *vm) error {
	p, err := d.processes.start(v.name, d.path(v.name+".log"), d.workspace.trefoildock, "node", "--settings", d.path(v.name+".toml"))
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.nodes[v.name] = p
	return nil
}

func (d *deployment) startBackend(v *vm) error {
	p, err := d.processes.start(v.backend, d.path(v.backend+".log"), d.workspace.standin, "backend",
		"--name", v.backend, "--service", v.service, "--listen", v.hostPort(backendPort),
		"--announce", "http://"+v.hostPort(announcePort), "--journal", d.journalPath(v), "--secrets", d.path("secrets"),
		"--cold-requests", coldRequests)
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.backends[v.backend] = p
	return nil
}

func (d *deployment) nodeProcess(v *vm) *process {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.nodes[v.name]
}

func (d *deployment) backendProcess(v *vm) *process {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.backends[v.backend]
}

func (d *deployment) journalPath(v *vm) string { return d.path(v.backend + ".journal") }

// isReady reports whether a node is ready for callers.
func (d *deployment) isReady(ctx context.Context, v *vm) bool {
	return getJSON(ctx, "http://"+v.hostPort(metricsPort)+"/readyz", nil) == nil
}

// waitUntil polls condition until it holds, and returns an error if ctx ends first.
func (d *deployment) waitUntil(ctx context.Context, what string, condition func() bool) error {
	for {
		if condition() {
			return nil
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return errors.Wrapf(err, "%s: waiting for %s", d.name, what)
		}
	}
}

// stats returns the counts of a running backend server.
func (d *deployment) stats(ctx context.Context, v *vm) (backend.Stats, error) {
	var s backend.Stats
	err := getJSON(ctx, "http://"+v.hostPort(backendPort)+"/stats", &s)
	return s, err
}

// executions sums the journals of all backend servers, including stopped ones.
func (d *deployment) executions() (backend.Executions, error) {
	sum := backend.Executions{Keys: make(map[string]int), Orders: make(map[string]int)}
	for i := range d.vms {
		e, err := backend.ReadJournal(d.journalPath(&d.vms[i]))
		if err != nil {
			return sum, err
		}
		sum.Add(e)
	}
	return sum, nil
}

// setPlatform sets the fault mode of the platform.
func (d *deployment) setPlatform(ctx context.Context, mode string) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	body := bytes.NewReader([]byte(`{"mode":"` + mode + `"}`))
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+d.platformAddress()+"/faults", body)
	if err != nil {
		return err
	}
	return doJSON(req, nil)
}

// getJSON decodes the JSON response of a URL into m, which may be nil.
func getJSON(ctx context.Context, url string, m any) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	return doJSON(req, m)
}

func doJSON(req *http.Request, m any) error {
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, 8<<20))
	if err != nil {
		return err
	}
	if resp.StatusCode >= 300 {
		return errors.Newf("%s: status %d", req.URL, resp.StatusCode)
	}
	if m == nil {
		return nil
	}
	return json.Unmarshal(body, m)
}
