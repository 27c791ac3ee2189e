package slopes

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/pelletier/go-toml/v2"

	"trefoildock.example/configstore"
	"trefoildock.example/platform/memory"
	"trefoildock.example/rules"
	"trefoildock.example/settings"
	"trefoildock.example/standin"
	"trefoildock.example/standin/backend"
	"trefoildock.example/standin/platformserver"
)

const (
	// startTimeout bounds the start of a fleet.
	startTimeout = 60 * time.Second
	// callers is the number of concurrent callers of a measurement.
	callers = 8
	// fleetTeams is the number of teams of today's deployments.
	fleetTeams = 8
)

// fleet is a set of node processes on a platform stand-in in this process.
type fleet struct {
	platform *memory.Store
	server   *http.Server
	nodes    []*nodeProcess
	backends []*backend.Server
	client   *http.Client
	teamKey  string
}

// nodeProcess is one run of the node program.
type nodeProcess struct {
	settings *settings.Settings
	command  *exec.Cmd
	log      *os.File
}

// startFleet starts node processes in three availability zones.
func startFleet(ctx context.Context, env Environment, nodes int) (*fleet, error) {
	f := &fleet{platform: memory.New(), client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f.server = standin.NewHTTPServer(platformserver.New(f.platform))
	go func() { _ = f.server.Serve(ln) }() // Ends with Close.
	for i := range nodes {
		p, err := startNode(ctx, env, i, "http://"+ln.Addr().String())
		if err != nil {
			f.close()
			return nil, err
		}
		f.nodes = append(f.nodes, p)
	}
	return f, nil
}

// newSettings returns the settings of a node with addresses on loopback.
func newSettings(dir string, i int, platform string) (*settings.Settings, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	s := settings.Default()
	s.Node = settings.Node{
		Name: nodeName(i), VM: "vm-" + nodeName(i), Zone: fmt.Sprintf("zone-%c", 'a'+i%3), Region: "region", Cluster: "measure",
	}
	s.Platform.URL = platform
	s.Process.LogLevel = "error"
	// An address per process and node avoids ports that outgoing connections use.
	pid := os.Getpid()
	ip := fmt.Sprintf("127.%d.%d.%d:", 1+(pid>>8)%126, pid&0xff, i+1)
	s.Listen = settings.Listen{Traffic: ip + "8080", Link: ip + "7400", Announce: ip + "7401", Admin: ip + "7402", Metrics: ip + "7403"}
	return s, s.Validate()
}

func startNode(ctx context.Context, env Environment, i int, platform string) (*nodeProcess, error) {
	s, err := newSettings(env.Dir, i, platform)
	if err != nil {
		return nil, err
	}
	text, err := toml.Marshal(s)
	if err != nil {
		return nil, err
	}
	name := filepath.Join(env.Dir, s.Node.Name)
	if err := os.WriteFile(name+".toml", text, 0o644); err != nil {
		return nil, err
	}
	output, err := os.Create(name + ".log")
	if err != nil {
		return nil, err
	}
	p := &nodeProcess{settings: s, log: output, command: exec.CommandContext(ctx, env.Binary, "node", "--settings", name+".toml")}
	p.command.Stdout, p.command.Stderr = output, output
	if err := p.command.Start(); err != nil {
		_ = output.Close()
		return nil, errors.Wrap(err, "start the node program (make build)")
	}
	return p, nil
}

func (f *fleet) close() {
	for _, b := range f.backends {
		b.Kill()
	}
	for _, p := range f.nodes {
		_ = p.command.Process.Kill() // It may have ended.
	}
	for _, p := range f.nodes {
		_ = p.command.Wait() // A killed process reports its signal.
		_ = p.log.Close()    // It holds only log lines.
	}
	f.client.CloseIdleConnections()
	f.server.Close()
}

// eventually waits for a condition.
func eventually(ctx context.Context, what string, condition func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for !condition() {
		select {
		case <-ctx.Done():
			return errors.Newf("%s: not within %s", what, startTimeout)
		case <-time.After(50 * time.Millisecond):
		}
	}
	return nil
}

func (f *fleet) waitListening(ctx context.Context) error {
	return eventually(ctx, "the nodes listen", func() bool { return f.all("/metrics") })
}

func (f *fleet) waitReady(ctx context.Context) error {
	return eventually(ctx, "the nodes are ready", func() bool { return f.all("/readyz") })
}

// all reports whether every node answers on a path of its metrics address.
func (f *fleet) all(path string) bool {
	for _, p := range f.nodes {
		resp, err := f.client.Get("http://" + p.settings.Listen.Metrics + path)
		if checkStatus(resp, err) != nil {
			return false
		}
	}
	return true
}

// deploy waits for the first start of the fleet and then commits the rules. In
// the other order the homes would have no memory of the time before the rules,
// and would refuse keys without it.
func (f *fleet) deploy(ctx context.Context) error {
	store := configstore.New(f.platform.Table(), f.platform.Objects(), configstore.Options{})
	err := eventually(ctx, "all nodes are members", func() bool {
		members, err := store.LoadMembers(ctx)
		return err == nil && len(members.Members) == len(f.nodes)
	})
	if err == nil {
		err = f.waitReady(ctx)
	}
	if err == nil {
		err = f.applyRules(ctx, store)
	}
	return err
}

// applyRules commits the rules of a small deployment with one key per team.
func (f *fleet) applyRules(ctx context.Context, store *configstore.Store) error {
	lines := []string{
		"service catalogue floor 1 probe /health # A. Rees: shop catalogue",
		"route GET /catalogue/* service catalogue access open repeat idempotent timeout 5s # A. Rees: browsing",
		"route POST /orders service catalogue access team repeat once timeout 5s # B. Hughes: orders",
	}
	for i := range fleetTeams {
		lines = append(lines, teamLine(i, 1_000_000), keyLine(i, i))
	}
	f.teamKey = clearKey(1)
	_, err := store.CommitConfig(ctx, configstore.ConfigCommit{
		ID: uuid.NewString(), Delta: rules.Delta{Added: lines}, Operator: "measure", Requester: "measure",
	})
	return err
}

// startBackend starts a backend server beside a node.
func (f *fleet) startBackend(i int) error {
	b, err := backend.New(backend.Config{
		Name: "catalogue-1", Service: "catalogue", Slots: 64, ServiceTime: time.Millisecond, Seed: 1,
		Announce: "http://" + f.nodes[i].settings.Listen.Announce,
	})
	if err != nil {
		return err
	}
	f.backends = append(f.backends, b)
	return b.Start()
}

func (f *fleet) browse(ctx context.Context, _ int) error {
	return f.send(ctx, http.MethodGet, "/catalogue/1", "", nil)
}

func (f *fleet) order(ctx context.Context, _ int) error {
	id, err := uuid.NewV7()
	if err != nil {
		return err
	}
	return f.send(ctx, http.MethodPost, "/orders", "one stick", map[string]string{
		"Authorization": "Bearer " + f.teamKey, "Idempotency-Key": id.String(),
	})
}

func (f *fleet) send(ctx context.Context, method, path, body string, header map[string]string) error {
	url := "http://" + f.nodes[0].settings.Listen.Traffic + path
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return err
	}
	for name, value := range header {
		req.Header.Set(name, value)
	}
	return checkStatus(f.client.Do(req))
}

// workOf returns the processor time of all nodes for n requests in nanoseconds.
func (f *fleet) workOf(ctx context.Context, n int, request func(context.Context, int) error) (float64, error) {
	before, err := f.usages()
	if err != nil {
		return 0, err
	}
	failures := make([]error, callers)
	var wg sync.WaitGroup
	for c := range callers {
		wg.Go(func() {
			for i := c; i < n && failures[c] == nil; i += callers {
				failures[c] = request(ctx, i)
			}
		})
	}
	wg.Wait()
	if err := errors.Join(failures...); err != nil {
		return 0, err
	}
	after, err := f.usages()
	if err != nil {
		return 0, err
	}
	var spent time.Duration
	for i := range after {
		spent += after[i].processor - before[i].processor
	}
	return float64(spent.Nanoseconds()), nil
}

// usage is what a process has used so far.
type usage struct {
	processor           time.Duration
	resident, anonymous int64 // bytes
	// bytes read and written by system calls, sockets included.
	bytes int64
}

func (f *fleet) usages() ([]usage, error) {
	out := make([]usage, len(f.nodes))
	for i, p := range f.nodes {
		var err error
		if out[i], err = p.usage(); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// usage reads the accounting of the process in /proc.
func (p *nodeProcess) usage() (usage, error) {
	dir := fmt.Sprintf("/proc/%d/", p.command.Process.Pid)
	stat, err := os.ReadFile(dir + "stat")
	if err != nil {
		return usage{}, err
	}
	// The name of the program, in parentheses, may contain spaces; utime and
	// stime are the fields 12 and 13 after it, in ticks of 10 ms.
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	var user, system int64
	if _, err := fmt.Sscan(fields[11]+" "+fields[12], &user, &system); err != nil {
		return usage{}, err
	}
	u := usage{processor: time.Duration(user+system) * 10 * time.Millisecond}
	status, err := os.ReadFile(dir + "status")
	if err != nil {
		return usage{}, err
	}
	u.resident, u.anonymous = 1024*procValue(status, "VmRSS:"), 1024*procValue(status, "RssAnon:")
	counters, err := os.ReadFile(dir + "io")
	u.bytes = procValue(counters, "rchar:") + procValue(counters, "wchar:")
	return u, err
}

// procValue returns the number after a label at the start of a line.
func procValue(text []byte, label string) (value int64) {
	for line := range bytes.Lines(text) {
		if rest, found := bytes.CutPrefix(line, []byte(label)); found {
			_, _ = fmt.Sscan(string(rest), &value) // A missing number counts as 0.
		}
	}
	return value
}
