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
	// startTimeout limits the time in which a fleet becomes ready.
	startTimeout = 60 * time.Second
	// concurrentCallers is the number of callers that send requests in parallel.
	concurrentCallers = 8
	// fleetTeams is the number of teams of a typical deployment.
	fleetTeams = 8
)

// fleet is a set of node processes that use an in-memory platform, which is
// served by this process.
type fleet struct {
	platform *memory.Store
	server   *http.Server
	nodes    []*nodeProcess
	backends []*backend.Server
	client   *http.Client
	teamKey  string
}

// nodeProcess is a running node program.
type nodeProcess struct {
	settings *settings.Settings
	command  *exec.Cmd
	logFile  *os.File
}

// startFleet starts node processes that are spread over three availability zones.
func startFleet(ctx context.Context, env Environment, nodes int) (*fleet, error) {
	f := &fleet{platform: memory.New(), client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: concurrentCallers}}}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f.server = standin.NewHTTPServer(platformserver.New(f.platform))
	go func() { _ = f.server.Serve(ln) }() // Returns when the server is closed.
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

// newSettings returns the settings of a node that listens on loopback addresses.
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
	// A loopback address per process and node avoids conflicts with the ports of
	// outgoing connections.
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
	p := &nodeProcess{settings: s, logFile: output, command: exec.CommandContext(ctx, env.Binary, "node", "--settings", name+".toml")}
	p.command.Stdout, p.command.Stderr = output, output
	if err := p.command.Start(); err != nil {
		_ = output.Close()
		return nil, errors.Wrap(err, "start the node program, which make build creates")
	}
	return p, nil
}

func (f *fleet) close() {
	for _, b := range f.backends {
		b.Kill()
	}
	for _, p := range f.nodes {
		_ = p.command.Process.Kill() // The process may have exited already.
	}
	for _, p := range f.nodes {
		_ = p.command.Wait()  // The error of a killed process is its signal.
		_ = p.logFile.Close() // A failed close can lose only log lines.
	}
	f.client.CloseIdleConnections()
	f.server.Close()
}

// waitFor polls until a condition is met, and returns an error after startTimeout.
func waitFor(ctx context.Context, condition string, met func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for !met() {
		select {
		case <-ctx.Done():
			return errors.Newf("timed out waiting until %s: %s elapsed", condition, startTimeout)
		case <-time.After(50 * time.Millisecond):
		}
	}
	return nil
}

func (f *fleet) waitListening(ctx context.Context) error {
	return waitFor(ctx, "the nodes listen on their ports", func() bool { return f.allRespond("/metrics") })
}

func (f *fleet) waitReady(ctx context.Context) error {
	return waitFor(ctx, "all nodes are ready", func() bool { return f.allRespond("/readyz") })
}

// allRespond reports whether every node responds with status 200 to a GET of the
// path at its metrics address.
func (f *fleet) allRespond(path string) bool {
	for _, p := range f.nodes {
		resp, err := f.client.Get("http://" + p.settings.Listen.Metrics + path)
		if checkStatus(resp, err) != nil {
			return false
		}
	}
	return true
}

// deploy waits until all nodes are members and ready, and then commits the rules.
// No request can have run before the first configuration, so the coordinators start
// with complete idempotency records. If the rules were committed first, their records
// would cover only the time since their activation, and they would refuse keys that
// may be older.
func (f *fleet) deploy(ctx context.Context) error {
	store := configstore.New(f.platform.Table(), f.platform.Objects(), configstore.Options{})
	err := waitFor(ctx, "all nodes are members", func() bool {
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

// applyRules commits the rules of a small deployment with one API key per team.
func (f *fleet) applyRules(ctx context.Context, store *configstore.Store) error {
	lines := []string{
		"service catalogue floor 1 probe /health # A. Rees: shop catalogue",
		"route GET /catalogue/* service catalogue access open repeat idempotent timeout 5s # A. Rees: browsing",
		"route POST /orders service catalogue access team repeat once timeout 5s # B. Hughes: orders",
	}
	for i := range fleetTeams {
		lines = append(lines, teamLine(i, 1_000_000), keyLine(i, i))
	}
	f.teamKey = plaintextKey(1)
	_, err := store.CommitConfig(ctx, configstore.ConfigCommit{
		ID: uuid.NewString(), Delta: rules.Delta{Added: lines}, Operator: "measure", Requester: "measure",
	})
	return err
}

// startBackend starts a backend server that announces itself to the i-th node.
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

func (f *fleet) sendOpenGet(ctx context.Context, _ int) error {
	return f.send(ctx, http.MethodGet, "/catalogue/1", "", nil)
}

func (f *fleet) sendOrder(ctx context.Context, _ int) error {
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

// cpuTimeOfRequests returns the CPU time of all nodes for n requests in
// nanoseconds.
func (f *fleet) cpuTimeOfRequests(ctx context.Context, n int, request func(context.Context, int) error) (float64, error) {
	before, err := f.nodeUsages()
	if err != nil {
		return 0, err
	}
	failures := make([]error, concurrentCallers)
	var wg sync.WaitGroup
	for c := range concurrentCallers {
		wg.Go(func() {
			for i := c; i < n && failures[c] == nil; i += concurrentCallers {
				failures[c] = request(ctx, i)
			}
		})
	}
	wg.Wait()
	if err := errors.Join(failures...); err != nil {
		return 0, err
	}
	after, err := f.nodeUsages()
	if err != nil {
		return 0, err
	}
	var spent time.Duration
	for i := range after {
		spent += after[i].cpuTime - before[i].cpuTime
	}
	return float64(spent.Nanoseconds()), nil
}

// usage holds the memory of a process, and the CPU time and I/O since its start.
type usage struct {
	cpuTime                       time.Duration
	residentBytes, anonymousBytes int64
	// ioBytes is the number of bytes read and written by system calls, sockets
	// included.
	ioBytes int64
}

func (f *fleet) nodeUsages() ([]usage, error) {
	out := make([]usage, len(f.nodes))
	for i, p := range f.nodes {
		var err error
		if out[i], err = p.usage(); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// usage reads the resource usage of the process from /proc.
func (p *nodeProcess) usage() (usage, error) {
	dir := fmt.Sprintf("/proc/%d/", p.command.Process.Pid)
	stat, err := os.ReadFile(dir + "stat")
	if err != nil {
		return usage{}, err
	}
	// The program name, in parentheses, may contain spaces; utime and stime are
	// the 12th and 13th fields after it, in clock ticks of 10 ms.
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	var user, system int64
	if _, err := fmt.Sscan(fields[11]+" "+fields[12], &user, &system); err != nil {
		return usage{}, err
	}
	u := usage{cpuTime: time.Duration(user+system) * 10 * time.Millisecond}
	status, err := os.ReadFile(dir + "status")
	if err != nil {
		return usage{}, err
	}
	u.residentBytes, u.anonymousBytes = 1024*procValue(status, "VmRSS:"), 1024*procValue(status, "RssAnon:")
	counters, err := os.ReadFile(dir + "io")
	u.ioBytes = procValue(counters, "rchar:") + procValue(counters, "wchar:")
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
