// Package soak runs the shipped binary as separate processes on loopback against a
// simulated platform store and simulated backend servers. It injects faults according
// to a seeded schedule and checks the guarantees of the proxy against the
// requests and responses of callers and backend servers.
package soak

import (
	"fmt"
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
	"time"

	"github.com/cockroachdb/errors"

	"trefoildock.example/standin/rowstore"
)

const (
	// teamRate and teamBurst are the rate limit of each team, in requests per second
	// and requests.
	teamRate  = 30.0
	teamBurst = 10.0
	// restartDelay is the delay of a restart after a process has exited.
	restartDelay = 300 * time.Millisecond
	// gracePeriod is the time between SIGTERM and SIGKILL.
	gracePeriod = 6 * time.Second
)

var (
	zones = []string{"a", "b", "c"}
	teams = []string{"blue", "green"}
)

// machine is a VM with its process, its backend server, and the proxies between the
// process and its peers and between the process and the store.
type machine struct {
	name, ip, zone, service                   string
	trafficAddress, readyAddress, metricsPort string
	settingsFile, logFile                     string
	backend                                   *Backend
	linkProxy, storeProxy                     *Proxy

	mu          sync.Mutex
	process     *exec.Cmd
	incarnation int
	stopping    bool
	watchers    sync.WaitGroup
}

// deployment is the system under test.
type deployment struct {
	dir, binary string
	store       *rowstore.Store
	storeServer *httptest.Server
	machines    []*machine
	checker     *checker
	// copies holds the last copies of the store; the newest is of copiedAt.
	copies   []rowstore.Copy
	copiedAt time.Time

	mu      sync.Mutex
	version int
	// acknowledgedAt is when the store acknowledged the newest version.
	acknowledgedAt time.Time
	keys           map[string]string // active key by team
	keyCount       int
}

func newDeployment(dir, binary string, machines int) (*deployment, error) {
	d := &deployment{dir: dir, binary: binary, store: rowstore.New(), checker: newChecker(), keys: make(map[string]string)}
	d.storeServer = httptest.NewServer(d.store)
	for _, team := range teams {
		d.rotateKey(team)
	}
	d.writeConfig()
	for i := range machines {
		m, err := d.newMachine(i)
		if err != nil {
			d.close()
			return nil, err
		}
		d.machines = append(d.machines, m)
	}
	for _, m := range d.machines {
		if err := d.start(m); err != nil {
			d.close()
			return nil, err
		}
	}
	return d, nil
}

// close stops all processes, backend servers and proxies and the store.
func (d *deployment) close() {
	for _, m := range d.machines {
		m.mu.Lock()
		m.stopping = true
		if m.process != nil {
			_ = m.process.Process.Signal(syscall.SIGCONT) // The process may have exited.
			_ = m.process.Process.Kill()
		}
		m.mu.Unlock()
		m.watchers.Wait()
		m.backend.Close()
		m.linkProxy.Close()
		m.storeProxy.Close()
	}
	d.storeServer.CloseClientConnections()
	d.storeServer.Close()
}

// reservePorts listens on n free ports of an address until release is called, so
// that no other listener of the machine binds them.
func reservePorts(ip string, n int) (ports []int, release func(), err error) {
	var listeners []net.Listener
	release = func() {
		for _, ln := range listeners {
			ln.Close()
		}
	}
	for range n {
		ln, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			release()
			return nil, nil, err
		}
		listeners = append(listeners, ln)
		ports = append(ports, ln.Addr().(*net.TCPAddr).Port)
	}
	return ports, release, nil
}

func (d *deployment) newMachine(i int) (*machine, error) {
	m := &machine{
		name: fmt.Sprintf("m%d", i), ip: fmt.Sprintf("127.%d.%d.%d", 2+os.Getpid()%250, os.Getpid()/250%250, 10+i),
		zone: zones[i%len(zones)], service: []string{"shop", "orders"}[i/len(zones)%2],
	}
	ports, release, err := reservePorts(m.ip, 5)
	if err != nil {
		return nil, errors.Wrap(err, "reserve ports")
	}
	defer release()
	address := func(port int) string { return net.JoinHostPort(m.ip, strconv.Itoa(port)) }
	control := address(ports[2])
	m.trafficAddress, m.readyAddress, m.metricsPort = address(ports[0]), address(ports[1]), strconv.Itoa(ports[4])
	m.settingsFile, m.logFile = filepath.Join(d.dir, m.name+".toml"), filepath.Join(d.dir, m.name+".log")
	if m.backend, err = newBackend(m.ip, m.service, m.zone, control, func(b *Backend, e Execution) { d.checker.checkExecution(b, m.name, e) }, d.checker.checkLimit); err != nil {
		return nil, errors.Wrap(err, "start backend server")
	}
	if m.linkProxy, err = NewProxy(m.ip, address(ports[3])); err != nil {
		return nil, errors.Wrap(err, "start link proxy")
	}
	if m.storeProxy, err = NewProxy(m.ip, strings.TrimPrefix(d.storeServer.URL, "http://")); err != nil {
		return nil, errors.Wrap(err, "start store proxy")
	}
	settings := Settings{
		Node: m.name, IP: m.ip, Zone: m.zone, Service: m.service, Backend: m.backend.address,
		Callers: m.trafficAddress, Ready: m.readyAddress, Control: control, Store: m.storeProxy.Address(), LinkPort: ports[3], Heartbeat: announceInterval,
	}.Text()
	return m, errors.Wrap(os.WriteFile(m.settingsFile, []byte(settings), 0o600), "settings")
}

// start starts the process of a machine and restarts it after each exit until the
// machine is stopping.
func (d *deployment) start(m *machine) error {
	logFile, err := os.OpenFile(m.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open process log")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopping {
		return logFile.Close()
	}
	m.incarnation++
	m.process = exec.Command(d.binary, "sidecar", "--metrics-port", m.metricsPort, "--advertise", m.linkProxy.Address())
	m.process.Env = append(os.Environ(), "TREFOILDOCK_SETTINGS="+m.settingsFile)
	m.process.Stdout, m.process.Stderr = logFile, logFile
	m.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // The process must not outlive the soak.
	if err := m.process.Start(); err != nil {
		return errors.Wrap(err, "start process")
	}
	process := m.process
	m.watchers.Go(func() {
		_ = process.Wait()  // Faults make the process exit with any status.
		_ = logFile.Close() // The process has exited, so nothing more is written.
		m.mu.Lock()
		stopping := m.stopping
		m.mu.Unlock()
		if stopping {
			return
		}
		time.Sleep(restartDelay)
		if err := d.start(m); err != nil {
			d.checker.mu.Lock()
			d.checker.recordViolation("soak", "process of %s was not started: %v", m.name, err)
			d.checker.mu.Unlock()
		}
	})
	return nil
}

// signal sends a signal to the process of a machine.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = m.process.Process.Signal(s) // The process may have exited.
}

// processName identifies the current process of a machine.
func (m *machine) processName() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return fmt.Sprintf("%s/%d", m.name, m.incarnation)
}

func (m *machine) isReady() bool {
	resp, err := (&http.Client{Timeout: time.Second}).Get("http://" + m.readyAddress + "/v1/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// rotateKey replaces the key of a team and returns the previous one.
func (d *deployment) rotateKey(team string) (previous string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	previous = d.keys[team]
	d.keyCount++
	d.keys[team] = fmt.Sprintf("key-%s-%d", team, d.keyCount)
	return previous
}

func (d *deployment) key(team string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.keys[team]
}

// writeConfig writes the next version of the configuration. It contains public routes
// named after this version and the one before, so that a probe can detect whether a
// process applies this version or the next.
func (d *deployment) writeConfig() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	var tenants []string
	for _, team := range teams {
		tenants = append(tenants, fmt.Sprintf(`[%q,[%q],%g,%g]`, team, d.keys[team], teamRate, teamBurst))
	}
	text := fmt.Sprintf(`{"version":"r%d",
"routes":{"columns":["name","host","prefix","type","timeout-ms","target-latency-ms","max-attempts","public","service"],"rows":[
 ["browse","shop.example","/","safe",4000,800,2,false,"shop"],["order","shop.example","/order/","unsafe",4000,800,2,false,"orders"],
 ["stock","inner.example","/","safe",1000,200,2,true,"orders"],
 ["v%d","version.example","/v%d/","safe",1000,200,2,true,"shop"],["v%d","version.example","/v%d/","safe",1000,200,2,true,"shop"]]},
"services":{"columns":["name","cold-per-s","cold-start-s"],"rows":[["shop",%g,%g],["orders",%g,%g]]},
"tenants":{"columns":["name","api-keys","rate-per-s","burst"],"rows":[%s]},
"limits":{"max-header-bytes":16384,"max-body-bytes":1048576,"header-timeout-ms":3000,"idle-timeout-ms":15000}}`,
		d.version, d.version, d.version, d.version-1, d.version-1,
		coldStartRate, coldStartDuration.Seconds(), coldStartRate, coldStartDuration.Seconds(), strings.Join(tenants, ","))
	d.store.Put("op", "config", []byte(text))
	d.acknowledgedAt = time.Now()
}

func (d *deployment) newestVersion() (version int, acknowledgedAt time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.version, d.acknowledgedAt
}
