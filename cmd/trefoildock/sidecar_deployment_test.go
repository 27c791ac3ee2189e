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

// waitTimeout limits each wait in this file. It is reached only by a failing test.
const waitTimeout = 20 * time.Second

// deployment is a small deployment on loopback addresses: a store, and several VMs, each
// with a sidecar process of the built binary and a backend server.
type deployment struct {
	t      *testing.T
	store  *rowstore.Store
	binary string
	vms    []*testVM
}

type testVM struct {
	t            *testing.T
	ip           string
	service      string
	settingsFile string
	process      *exec.Cmd
	log          *lockedBuffer
	backend      *testBackend
}

type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer.
func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// String returns the bytes written so far.
func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// testBackend is a backend server that sends announcements to the node on its VM.
type testBackend struct {
	id, address, service, control string
	startUnixMilli                int64

	mu       sync.Mutex
	runs     map[string]int // executions by request id
	headers  map[string]http.Header
	status   int // of responses; 0 means 200
	release  chan struct{}
	draining bool
	sequence int
}

// ServeHTTP executes a request and counts it by request id.
func (b *testBackend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if target := r.Header.Get("Target-Instance"); target != b.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b.mu.Lock()
	b.runs[id]++
	b.headers[id] = r.Header.Clone()
	status, release := b.status, b.release
	b.mu.Unlock()
	if release != nil {
		<-release
	}
	body, _ := io.ReadAll(r.Body)
	w.Header().Set("Server-Seal", "seal-"+id)
	if status != 0 {
		w.WriteHeader(status)
	}
	_, _ = fmt.Fprintf(w, "%s ran %s %s", b.id, r.Method, body)
}

func (b *testBackend) update(f func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f()
}

func (b *testBackend) runCount(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[id]
}

// announce sends one announcement and reports whether it was acknowledged.
func (b *testBackend) announce() bool {
	b.mu.Lock()
	b.sequence++
	state := "ready"
	if b.draining {
		state = "draining"
	}
	body, err := json.Marshal(map[string]any{
		"service": b.service, "address": b.address, "zone": "z", "version": "v1", "slots": 3, "state": state,
		"cold-remaining-ms": 0, "sequence": b.sequence, "born": b.startUnixMilli,
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

// newDeployment starts a deployment with one VM for each service.
func newDeployment(t *testing.T, services ...string) *deployment {
	t.Helper()
	d := &deployment{t: t, store: rowstore.New()}
	srv := httptest.NewServer(d.store)
	t.Cleanup(srv.Close)
	t.Cleanup(srv.CloseClientConnections)
	d.binary = filepath.Join(t.TempDir(), "trefoildock")
	out, err := exec.Command("go", "build", "-o", d.binary, ".").CombinedOutput()
	require.NoError(t, err, string(out))
	d.configure(1, "key-1")
	for i, service := range services {
		vm := newTestVM(t, strings.TrimPrefix(srv.URL, "http://"), i, service)
		d.vms = append(d.vms, vm)
		vm.start(d.binary)
	}
	for _, vm := range d.vms {
		vm.awaitListening()
		require.Eventually(t, vm.backend.announce, waitTimeout, 20*time.Millisecond)
	}
	for _, vm := range d.vms {
		d.awaitServing(vm)
	}
	return d
}

// reservePorts returns n unused ports of an address. The ports stay reserved until release
// is called, so that later listeners are not assigned the same ports.
func reservePorts(t *testing.T, ip string, n int) (ports []int, release func()) {
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

func newTestVM(t *testing.T, store string, i int, service string) *testVM {
	t.Helper()
	ip := fmt.Sprintf("127.0.%d.%d", 1+os.Getpid()%200, 10+i)
	ports, release := reservePorts(t, ip, 4)
	address := func(port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }
	b := &testBackend{
		id: "i-" + strconv.Itoa(i), service: service, control: address(ports[2]), startUnixMilli: time.Now().UnixMilli(),
		runs: make(map[string]int), headers: make(map[string]http.Header),
	}
	ln, err := net.Listen("tcp", ip+":0")
	require.NoError(t, err)
	release()
	b.address = ln.Addr().String()
	server := &http.Server{Handler: b, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(ln) }() // Serve returns when the server is closed.
	t.Cleanup(func() { server.Close() })
	vm := &testVM{t: t, ip: ip, service: service, backend: b, log: &lockedBuffer{}, settingsFile: filepath.Join(t.TempDir(), "node.toml")}
	text := soak.Settings{
		Node: "m" + strconv.Itoa(i), IP: ip, Zone: "z", Service: service, Backend: b.address,
		Callers: address(ports[0]), Ready: address(ports[1]), Control: address(ports[2]), Store: store, LinkPort: ports[3], Heartbeat: time.Second,
	}.Text()
	require.NoError(t, os.WriteFile(vm.settingsFile, []byte(text), 0o600))
	return vm
}

func (vm *testVM) settings() *platform.Settings {
	s, err := platform.LoadSettings(vm.settingsFile)
	require.NoError(vm.t, err)
	return s
}

func (vm *testVM) start(binary string) {
	vm.process = exec.Command(binary, "sidecar")
	vm.process.Env = append(os.Environ(), platform.SettingsVariable+"="+vm.settingsFile)
	vm.process.Stdout, vm.process.Stderr = vm.log, vm.log
	require.NoError(vm.t, vm.process.Start())
	vm.t.Cleanup(func() {
		_ = vm.process.Process.Kill() // The process may have exited already.
		_ = vm.process.Wait()
		if vm.t.Failed() {
			vm.t.Logf("log of %s:\n%s", vm.ip, vm.log)
		}
	})
}

func (vm *testVM) awaitListening() {
	require.Eventually(vm.t, func() bool {
		resp, err := http.Get("http://" + vm.settings().ListenAnnounce + "/v1/none")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return true
	}, waitTimeout, 20*time.Millisecond, "the node must listen")
}

func (vm *testVM) readyStatus() int {
	resp, err := http.Get("http://" + vm.settings().ListenReady + "/v1/readyz")
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// configure writes a configuration to the store, as the platform operator does.
func (d *deployment) configure(version int, keys ...string) {
	d.store.Put("op", "config", fmt.Appendf(nil, `{"version":"r%d",
"routes":{"columns":["name","host","prefix","type","timeout-ms","target-latency-ms","max-attempts","public","service"],"rows":[
 ["browse","shop.example","/","safe",4000,800,2,false,"shop"],["order","shop.example","/order/","unsafe",4000,800,2,false,"orders"],
 ["stock","inner.example","/","safe",1000,200,2,true,"orders"]]},
"services":{"columns":["name","cold-per-s"],"rows":[["shop",null],["orders",null]]},
"tenants":{"columns":["name","api-keys","rate-per-s","burst"],"rows":[["blue",["%s"],50,50]]},
"limits":{"max-header-bytes":16384,"max-body-bytes":1048576,"header-timeout-ms":3000,"idle-timeout-ms":15000}}`,
		version, strings.Join(keys, `","`)))
}

// call sends one request to the node of a VM. The Tenant and Caller-Service
// headers are forged; the node must replace them.
func (vm *testVM) call(method, host, path, id, key, body string) (int, http.Header, string) {
	req, err := http.NewRequest(method, "http://"+vm.settings().ListenCallers+path, strings.NewReader(body))
	require.NoError(vm.t, err)
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
	responseBody, err := io.ReadAll(resp.Body)
	require.NoError(vm.t, err)
	return resp.StatusCode, resp.Header, string(responseBody)
}

// awaitServing waits until a node routes requests to both services.
func (d *deployment) awaitServing(vm *testVM) {
	n := 0
	require.Eventually(d.t, func() bool {
		n++
		id := fmt.Sprintf("warm-%s-%d", vm.ip, n)
		browse, _, _ := vm.call("GET", "shop.example", "/a", id+"-b", "key-1", "")
		stock, _, _ := vm.call("GET", "inner.example", "/a", id+"-s", "", "")
		return browse == 200 && stock == 200
	}, waitTimeout, 50*time.Millisecond, "requests must be served")
}

func (d *deployment) totalRuns(id string) int {
	n := 0
	for _, vm := range d.vms {
		n += vm.backend.runCount(id)
	}
	return n
}

// TestSidecarDeployment runs the built binary against a simulated store, from the
// first configuration to a graceful shutdown.
func TestSidecarDeployment(t *testing.T) {
	d := newDeployment(t, "shop", "orders", "orders")
	shop, first, second := d.vms[0], d.vms[1], d.vms[2]

	t.Run("request through two nodes", func(t *testing.T) {
		status, header, body := shop.call("POST", "shop.example", "/order/1", "o1", "key-1", "two sticks")
		require.Equal(t, 200, status, body)
		require.Equal(t, "seal-o1", header.Get("Server-Seal"))
		require.Contains(t, body, "POST two sticks")
		require.Equal(t, 1, d.totalRuns("o1"))
		seen := first.backend.headers["o1"]
		if seen == nil {
			seen = second.backend.headers["o1"]
		}
		require.Equal(t, "blue", seen.Get("Tenant"))
		require.Equal(t, "shop", seen.Get("Caller-Service"))
		require.Empty(t, seen.Get("Authorization"), "the key must not be forwarded")
	})
	t.Run("refusals", func(t *testing.T) {
		for _, c := range []struct {
			host, key string
			status    int
		}{{"shop.example", "wrong", 401}, {"shop.example", "", 401}, {"none.example", "key-1", 404}} {
			status, _, _ := shop.call("GET", c.host, "/a", "refused", c.key, "")
			require.Equal(t, c.status, status)
		}
		require.Zero(t, d.totalRuns("refused"))
	})
	t.Run("failed unsafe request is not retried, failed safe request is", func(t *testing.T) {
		for _, vm := range []*testVM{first, second} {
			vm.backend.update(func() { vm.backend.status = 500 })
		}
		status, _, _ := shop.call("POST", "shop.example", "/order/1", "o2", "key-1", "x")
		require.Equal(t, 500, status)
		require.Equal(t, 1, d.totalRuns("o2"))
		status, _, _ = shop.call("GET", "inner.example", "/a", "s2", "", "")
		require.Equal(t, 500, status)
		require.Equal(t, 2, d.totalRuns("s2"))
		for _, vm := range []*testVM{first, second} {
			vm.backend.update(func() { vm.backend.status = 0 })
		}
	})
	t.Run("draining backend server", func(t *testing.T) {
		first.backend.update(func() { first.backend.draining = true })
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
		}, waitTimeout, 50*time.Millisecond)
	})
	t.Run("graceful shutdown", func(t *testing.T) {
		release := make(chan struct{})
		shop.backend.update(func() { shop.backend.release = release })
		statuses := make(chan int, 1)
		go func() {
			status, _, _ := shop.call("GET", "shop.example", "/a", "held", "key-2", "")
			statuses <- status
		}()
		require.Eventually(t, func() bool { return shop.backend.runCount("held") == 1 }, waitTimeout, 5*time.Millisecond)
		require.NoError(t, shop.process.Process.Signal(syscall.SIGTERM))
		require.Eventually(t, func() bool { return shop.readyStatus() == 503 }, waitTimeout, 5*time.Millisecond)
		close(release)
		require.Equal(t, 200, <-statuses, "a running request must complete")
		require.NoError(t, shop.process.Wait())
		require.Contains(t, shop.log.String(), `event="node stopped"`)
	})
}

// Guards against API keys that are accepted while the store is unavailable, because a
// withdrawal could not be observed, and against rejected calls of backend servers to
// public routes, which need no key.
func TestStoreOutageRejectsOnlyRequestsWithKeys(t *testing.T) {
	d := newDeployment(t, "shop", "orders")
	shop := d.vms[0]
	d.store.SetFaults(rowstore.Faults{Busy: true})
	require.Eventually(t, func() bool {
		status, header, _ := shop.call("GET", "shop.example", "/a", "away", "key-1", "")
		return status == 503 && header.Get("Retry-After") != ""
	}, waitTimeout, 100*time.Millisecond)
	status, _, body := shop.call("GET", "inner.example", "/a", "inner-away", "", "")
	require.Equal(t, 200, status, body)
	require.Equal(t, 503, shop.readyStatus())
	d.store.SetFaults(rowstore.Faults{})
	require.Eventually(t, func() bool {
		status, _, _ := shop.call("GET", "shop.example", "/a", "back", "key-1", "")
		return status == 200
	}, waitTimeout, 100*time.Millisecond)
}

// Guards against a healthy backend server that receives no requests between the
// graceful shutdown of its node and its first announcement to the restarted process.
func TestRestartedNodeAdoptsBackendServer(t *testing.T) {
	d := newDeployment(t, "shop", "orders")
	shop := d.vms[0]
	require.NoError(t, shop.process.Process.Signal(syscall.SIGTERM))
	stopped := make(chan error, 1)
	go func() { stopped <- shop.process.Wait() }()
	for waiting := true; waiting; {
		select {
		case err := <-stopped:
			require.NoError(t, err)
			waiting = false
		case <-time.After(200 * time.Millisecond):
			shop.backend.announce() // The node may have closed its listener.
		}
	}
	shop.start(d.binary)
	require.Eventually(t, func() bool {
		status, _, _ := d.vms[1].call("GET", "shop.example", "/a", "after", "key-1", "")
		return status == 200
	}, waitTimeout, 20*time.Millisecond)
	require.Eventually(t, func() bool { // Log lines are written in batches.
		return strings.Contains(shop.log.String(), `event="backend server taken over from the earlier process" backend=i-0 adopted=true`)
	}, waitTimeout, 20*time.Millisecond)
	require.Equal(t, 1, d.totalRuns("after"))
}
