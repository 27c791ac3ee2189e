package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoildock.example/platform"
	"trefoildock.example/standin/rowstore"
	"trefoildock.example/standin/soak"
)

// dayPatience bounds each wait of this file; none is expected to last.
const dayPatience = 20 * time.Second

// day is a small deployment on loopback addresses: the store, three machines with
// a node as a process of the shipped binary, and a backend server on each.
type day struct {
	t        *testing.T
	store    *rowstore.Store
	binary   string
	machines []*machine
}

type machine struct {
	t       *testing.T
	ip      string
	service string
	file    string
	process *exec.Cmd
	log     *lockedBuffer
	backend *dayBackend
}

type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write implements io.Writer.
func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

// String returns what was written.
func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

// dayBackend is a backend server that announces itself to the node on its machine.
type dayBackend struct {
	id, address, service, control string
	born                          int64

	mu       sync.Mutex
	runs     map[string]int // by request id
	headers  map[string]http.Header
	status   int // of answers; 0 means 200
	hold     chan struct{}
	draining bool
	sequence int
}

// ServeHTTP runs a request.
func (b *dayBackend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if target := r.Header.Get("Target-Instance"); target != b.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b.mu.Lock()
	b.runs[id]++
	b.headers[id] = r.Header.Clone()
	status, hold := b.status, b.hold
	b.mu.Unlock()
	if hold != nil {
		<-hold
	}
	body, _ := io.ReadAll(r.Body)
	w.Header().Set("Server-Seal", "seal-"+id)
	if status != 0 {
		w.WriteHeader(status)
	}
	_, _ = fmt.Fprintf(w, "%s ran %s %s", b.id, r.Method, body)
}

func (b *dayBackend) set(f func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f()
}

func (b *dayBackend) ran(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[id]
}

// announce sends one heartbeat and reports whether it was acknowledged.
func (b *dayBackend) announce() bool {
	b.mu.Lock()
	b.sequence++
	state := "ready"
	if b.draining {
		state = "draining"
	}
	body, err := json.Marshal(map[string]any{
		"service": b.service, "address": b.address, "zone": "z", "version": "v1", "slots": 3, "state": state,
		"cold-remaining-ms": 0, "sequence": b.sequence, "born": b.born,
	})
	b.mu.Unlock()
	if err != nil {
		return false
	}
	req, err := http.NewRequest(http.MethodPut, "http://"+b.control+"/v1/instances/"+b.id, bytes.NewReader(body))
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// newDay starts the deployment; services are those of its machines.
func newDay(t *testing.T, services ...string) *day {
	t.Helper()
	d := &day{t: t, store: rowstore.New()}
	srv := httptest.NewServer(d.store)
	t.Cleanup(srv.Close)
	t.Cleanup(srv.CloseClientConnections)
	d.binary = filepath.Join(t.TempDir(), "trefoildock")
	out, err := exec.Command("go", "build", "-o", d.binary, ".").CombinedOutput()
	require.NoError(t, err, string(out))
	d.configure(1, "key-1")
	for i, service := range services {
		m := newMachine(t, strings.TrimPrefix(srv.URL, "http://"), i, service)
		d.machines = append(d.machines, m)
		m.start(d.binary)
	}
	for _, m := range d.machines {
		m.awaitReady()
		require.Eventually(t, m.backend.announce, dayPatience, 20*time.Millisecond)
	}
	for _, m := range d.machines {
		d.awaitServed(m)
	}
	return d
}

// freePorts returns ports of an address that nobody listens on. They are released
// together, and after the address of the backend server was taken.
func freePorts(t *testing.T, ip string, n int) (ports []int, release func()) {
	t.Helper()
	var open []net.Listener
	for range n {
		ln, err := net.Listen("tcp", ip+":0")
		require.NoError(t, err)
		open = append(open, ln)
		ports = append(ports, ln.Addr().(*net.TCPAddr).Port)
	}
	return ports, func() {
		for _, ln := range open {
			ln.Close()
		}
	}
}

func newMachine(t *testing.T, store string, i int, service string) *machine {
	t.Helper()
	ip := fmt.Sprintf("127.0.%d.%d", 1+os.Getpid()%200, 10+i)
	ports, release := freePorts(t, ip, 4)
	at := func(port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }
	b := &dayBackend{
		id: "i-" + strconv.Itoa(i), service: service, control: at(ports[2]), born: time.Now().UnixMilli(),
		runs: make(map[string]int), headers: make(map[string]http.Header),
	}
	ln, err := net.Listen("tcp", ip+":0")
	require.NoError(t, err)
	release()
	b.address = ln.Addr().String()
	server := &http.Server{Handler: b, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(ln) }() // Ends with Close.
	t.Cleanup(func() { server.Close() })
	m := &machine{t: t, ip: ip, service: service, backend: b, log: &lockedBuffer{}, file: filepath.Join(t.TempDir(), "node.toml")}
	text := soak.Settings{
		Node: "m" + strconv.Itoa(i), IP: ip, Zone: "z", Service: service, Backend: b.address,
		Callers: at(ports[0]), Ready: at(ports[1]), Control: at(ports[2]), Store: store, LinkPort: ports[3], Heartbeat: time.Second,
	}.Text()
	require.NoError(t, os.WriteFile(m.file, []byte(text), 0o600))
	return m
}

func (m *machine) settings() *platform.Settings {
	s, err := platform.LoadSettings(m.file)
	require.NoError(m.t, err)
	return s
}

func (m *machine) start(binary string) {
	m.process = exec.Command(binary, "sidecar")
	m.process.Env = append(os.Environ(), platform.SettingsVariable+"="+m.file)
	m.process.Stdout, m.process.Stderr = m.log, m.log
	require.NoError(m.t, m.process.Start())
	m.t.Cleanup(func() {
		_ = m.process.Process.Kill() // It may have ended.
		_ = m.process.Wait()
		if m.t.Failed() {
			m.t.Logf("log of %s:\n%s", m.ip, m.log)
		}
	})
}

func (m *machine) awaitReady() {
	require.Eventually(m.t, func() bool {
		resp, err := http.Get("http://" + m.settings().ListenAnnounce + "/v1/none")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return true
	}, dayPatience, 20*time.Millisecond, "the node listens")
}

func (m *machine) ready() int {
	resp, err := http.Get("http://" + m.settings().ListenReady + "/v1/readyz")
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// configure writes a configuration as the operator does.
func (d *day) configure(version int, keys ...string) {
	d.store.Put("op", "config", fmt.Appendf(nil, `{"version":"r%d",
"routes":{"columns":["name","host","prefix","type","timeout-ms","target-latency-ms","max-attempts","public","service"],"rows":[
 ["browse","shop.example","/","safe",4000,800,2,false,"shop"],["order","shop.example","/order/","unsafe",4000,800,2,false,"orders"],
 ["stock","inner.example","/","safe",1000,200,2,true,"orders"]]},
"services":{"columns":["name","cold-per-s"],"rows":[["shop",null],["orders",null]]},
"tenants":{"columns":["name","api-keys","rate-per-s","burst"],"rows":[["blue",["%s"],50,50]]},
"limits":{"max-header-bytes":16384,"max-body-bytes":1048576,"header-timeout-ms":3000,"idle-timeout-ms":15000}}`,
		version, strings.Join(keys, `","`)))
}

// call sends one request to the node of a machine.
func (m *machine) call(method, host, path, id, key, body string) (int, http.Header, string) {
	req, err := http.NewRequest(method, "http://"+m.settings().ListenCallers+path, strings.NewReader(body))
	require.NoError(m.t, err)
	req.Host = host
	req.Header.Set("Request-Id", id)
	req.Header.Set("Request-Deadline", "3000")
	req.Header.Set("Tenant", "forged")
	req.Header.Set("Caller-Service", "forged")
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return 0, nil, err.Error()
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	require.NoError(m.t, err)
	return resp.StatusCode, resp.Header, string(answer)
}

// awaitServed waits until a node knows owners of both services.
func (d *day) awaitServed(m *machine) {
	n := 0
	require.Eventually(d.t, func() bool {
		n++
		id := fmt.Sprintf("warm-%s-%d", m.ip, n)
		browse, _, _ := m.call("GET", "shop.example", "/a", id+"-b", "key-1", "")
		stock, _, _ := m.call("GET", "inner.example", "/a", id+"-s", "", "")
		return browse == 200 && stock == 200
	}, dayPatience, 50*time.Millisecond, "requests are served")
}

func (d *day) runs(id string) int {
	n := 0
	for _, m := range d.machines {
		n += m.backend.ran(id)
	}
	return n
}

// TestPlatformDay runs the shipped binary against the stand-in of the platform,
// from the first configuration to a planned stop.
func TestPlatformDay(t *testing.T) {
	d := newDay(t, "shop", "orders", "orders")
	shop, first, second := d.machines[0], d.machines[1], d.machines[2]

	t.Run("request through two nodes", func(t *testing.T) {
		status, header, body := shop.call("POST", "shop.example", "/order/1", "o1", "key-1", "two sticks")
		require.Equal(t, 200, status, body)
		require.Equal(t, "seal-o1", header.Get("Server-Seal"))
		require.Contains(t, body, "POST two sticks")
		require.Equal(t, 1, d.runs("o1"))
		seen := first.backend.headers["o1"]
		if seen == nil {
			seen = second.backend.headers["o1"]
		}
		require.Equal(t, "blue", seen.Get("Tenant"))
		require.Equal(t, "shop", seen.Get("Caller-Service"))
		require.Empty(t, seen.Get("Authorization"), "the key is not passed on")
	})
	t.Run("refusals", func(t *testing.T) {
		for _, c := range []struct {
			host, key string
			status    int
		}{{"shop.example", "wrong", 401}, {"shop.example", "", 401}, {"none.example", "key-1", 404}} {
			status, _, _ := shop.call("GET", c.host, "/a", "refused", c.key, "")
			require.Equal(t, c.status, status)
		}
		require.Zero(t, d.runs("refused"))
	})
	t.Run("failed order is not repeated, failed lookup is", func(t *testing.T) {
		for _, m := range []*machine{first, second} {
			m.backend.set(func() { m.backend.status = 500 })
		}
		status, _, _ := shop.call("POST", "shop.example", "/order/1", "o2", "key-1", "x")
		require.Equal(t, 500, status)
		require.Equal(t, 1, d.runs("o2"))
		status, _, _ = shop.call("GET", "inner.example", "/a", "s2", "", "")
		require.Equal(t, 500, status)
		require.Equal(t, 2, d.runs("s2"))
		for _, m := range []*machine{first, second} {
			m.backend.set(func() { m.backend.status = 0 })
		}
	})
	t.Run("draining backend server", func(t *testing.T) {
		first.backend.set(func() { first.backend.draining = true })
		require.True(t, first.backend.announce())
		before := len(first.backend.runs)
		for i := range 10 {
			shop.call("GET", "inner.example", "/a", fmt.Sprint("drain", i), "", "")
		}
		require.Len(t, first.backend.runs, before)
	})
	t.Run("withdrawn key", func(t *testing.T) {
		d.configure(2, "key-2")
		require.Eventually(t, func() bool {
			old, _, _ := shop.call("GET", "shop.example", "/a", "k-old", "key-1", "")
			fresh, _, _ := shop.call("GET", "shop.example", "/a", "k-new", "key-2", "")
			return old == 401 && fresh == 200
		}, dayPatience, 50*time.Millisecond)
	})
	t.Run("planned stop", func(t *testing.T) {
		hold := make(chan struct{})
		shop.backend.set(func() { shop.backend.hold = hold })
		answered := make(chan int, 1)
		go func() {
			status, _, _ := shop.call("GET", "shop.example", "/a", "held", "key-2", "")
			answered <- status
		}()
		require.Eventually(t, func() bool { return shop.backend.ran("held") == 1 }, dayPatience, 5*time.Millisecond)
		require.NoError(t, shop.process.Process.Signal(syscall.SIGTERM))
		require.Eventually(t, func() bool { return shop.ready() == 503 }, dayPatience, 5*time.Millisecond)
		close(hold)
		require.Equal(t, 200, <-answered, "a request that runs is not cut")
		require.NoError(t, shop.process.Wait())
		require.Contains(t, shop.log.String(), `event="node stopped"`)
	})
}

// Guards against keys that go on working while nobody can tell whether they
// were withdrawn, and against calls of backend servers that stop with them.
func TestStoreAwayStopsKeysOnly(t *testing.T) {
	d := newDay(t, "shop", "orders")
	shop := d.machines[0]
	d.store.SetFaults(rowstore.Faults{Busy: true})
	require.Eventually(t, func() bool {
		status, header, _ := shop.call("GET", "shop.example", "/a", "away", "key-1", "")
		return status == 503 && header.Get("Retry-After") != ""
	}, dayPatience, 100*time.Millisecond)
	status, _, body := shop.call("GET", "inner.example", "/a", "inner-away", "", "")
	require.Equal(t, 200, status, body)
	require.Equal(t, 503, shop.ready())
	d.store.SetFaults(rowstore.Faults{})
	require.Eventually(t, func() bool {
		status, _, _ := shop.call("GET", "shop.example", "/a", "back", "key-1", "")
		return status == 200
	}, dayPatience, 100*time.Millisecond)
}

// Guards against a sound backend server that is unused from the planned stop of
// its node until the first heartbeat to the next process.
func TestRestartTakesTheBackendServerOver(t *testing.T) {
	d := newDay(t, "shop", "orders")
	shop := d.machines[0]
	require.NoError(t, shop.process.Process.Signal(syscall.SIGTERM))
	stopped := make(chan error, 1)
	go func() { stopped <- shop.process.Wait() }()
	for waiting := true; waiting; {
		select {
		case err := <-stopped:
			require.NoError(t, err)
			waiting = false
		case <-time.After(200 * time.Millisecond):
			shop.backend.announce() // The node may have closed the address.
		}
	}
	shop.start(d.binary)
	require.Eventually(t, func() bool {
		status, _, _ := d.machines[1].call("GET", "shop.example", "/a", "after", "key-1", "")
		return status == 200
	}, dayPatience, 20*time.Millisecond)
	require.Eventually(t, func() bool { // The log is written in batches.
		return strings.Contains(shop.log.String(), `event="backend server taken over from the earlier process" backend=i-0 adopted=true`)
	}, dayPatience, 20*time.Millisecond)
	require.Equal(t, 1, d.runs("after"))
}
