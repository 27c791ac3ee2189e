// Package soak runs the shipped binary as separate processes on loopback against
// stand-ins of the platform's store and of backend servers, harms them from
// outside by a seeded schedule, and checks the promises from what callers and
// backend servers see.
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
	// teamRate and teamBurst are the limit of each team, in requests per second and
	// requests.
	teamRate  = 30.0
	teamBurst = 10.0
	// restartDelay is the time until the platform starts a process that has ended.
	restartDelay = 300 * time.Millisecond
	// grace is the time from SIGTERM to SIGKILL.
	grace = 6 * time.Second
)

var (
	zones = []string{"a", "b", "c"}
	teams = []string{"blue", "green"}
)

// machine is a VM with its process, its backend server and the proxies on its ways.
type machine struct {
	name, ip, zone, service string
	callers, ready, metrics string
	settings, logFile       string
	backend                 *Backend
	links, store            *Proxy

	mu          sync.Mutex
	process     *exec.Cmd
	incarnation int
	stopping    bool
	done        sync.WaitGroup
}

// deployment is the whole system.
type deployment struct {
	dir, binary string
	store       *rowstore.Store
	storeServer *httptest.Server
	machines    []*machine
	checks      *checks

	mu      sync.Mutex
	version int
	// acknowledged is when the newest version was written.
	acknowledged time.Time
	keys         map[string]string // current key by team
	keyCount     int
}

func newDeployment(dir, binary string, machines int) (*deployment, error) {
	d := &deployment{dir: dir, binary: binary, store: rowstore.New(), checks: newChecks(), keys: make(map[string]string)}
	d.storeServer = httptest.NewServer(d.store)
	for _, team := range teams {
		d.newKey(team)
	}
	d.configure()
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

// close ends everything that the soak has started.
func (d *deployment) close() {
	for _, m := range d.machines {
		m.mu.Lock()
		m.stopping = true
		if m.process != nil {
			_ = m.process.Process.Signal(syscall.SIGCONT) // It may have ended.
			_ = m.process.Process.Kill()
		}
		m.mu.Unlock()
		m.done.Wait()
		m.backend.Close()
		m.links.Close()
		m.store.Close()
	}
	d.storeServer.CloseClientConnections()
	d.storeServer.Close()
}

// reservePorts holds free ports of an address until release is called, so that no
// other listener of the machine takes them.
func reservePorts(ip string, n int) (ports []int, release func(), err error) {
	var held []net.Listener
	release = func() {
		for _, ln := range held {
			ln.Close()
		}
	}
	for range n {
		ln, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			release()
			return nil, nil, err
		}
		held = append(held, ln)
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
		return nil, errors.Wrap(err, "ports of a machine")
	}
	defer release()
	at := func(port int) string { return net.JoinHostPort(m.ip, strconv.Itoa(port)) }
	control := at(ports[2])
	m.callers, m.ready, m.metrics = at(ports[0]), at(ports[1]), strconv.Itoa(ports[4])
	m.settings, m.logFile = filepath.Join(d.dir, m.name+".toml"), filepath.Join(d.dir, m.name+".log")
	if m.backend, err = newBackend(m.ip, m.service, m.zone, control, func(b *Backend, r Execution) { d.checks.ran(b, m.name, r) }); err != nil {
		return nil, errors.Wrap(err, "backend server")
	}
	if m.links, err = NewProxy(m.ip, at(ports[3])); err != nil {
		return nil, errors.Wrap(err, "proxy of links")
	}
	if m.store, err = NewProxy(m.ip, strings.TrimPrefix(d.storeServer.URL, "http://")); err != nil {
		return nil, errors.Wrap(err, "proxy of the store")
	}
	text := Settings{
		Node: m.name, IP: m.ip, Zone: m.zone, Service: m.service, Backend: m.backend.listener.Addr().String(),
		Callers: m.callers, Ready: m.ready, Control: control, Store: m.store.Address(), LinkPort: ports[3], Heartbeat: heartbeat,
	}.Text()
	return m, errors.Wrap(os.WriteFile(m.settings, []byte(text), 0o600), "settings")
}

// start starts the process of a machine and, until the machine stops, again
// whenever it ends.
func (d *deployment) start(m *machine) error {
	out, err := os.OpenFile(m.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "log of a process")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopping {
		return out.Close()
	}
	m.incarnation++
	m.process = exec.Command(d.binary, "sidecar", "--metrics-port", m.metrics, "--advertise", m.links.Address())
	m.process.Env = append(os.Environ(), "TREFOILDOCK_SETTINGS="+m.settings)
	m.process.Stdout, m.process.Stderr = out, out
	m.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // Nothing outlives the soak.
	if err := m.process.Start(); err != nil {
		return errors.Wrap(err, "start a process")
	}
	process := m.process
	m.done.Go(func() {
		_ = process.Wait() // Its end is expected, however it comes.
		_ = out.Close()    // The process has written all that it could.
		m.mu.Lock()
		stopping := m.stopping
		m.mu.Unlock()
		if stopping {
			return
		}
		time.Sleep(restartDelay)
		if err := d.start(m); err != nil {
			d.checks.mu.Lock()
			d.checks.violated("soak", "process of %s was not started: %v", m.name, err)
			d.checks.mu.Unlock()
		}
	})
	return nil
}

// signal sends a signal to the process of a machine.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = m.process.Process.Signal(s) // It may have just ended.
}

// current names the running process of a machine.
func (m *machine) current() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return fmt.Sprintf("%s/%d", m.name, m.incarnation)
}

func (m *machine) isReady() bool {
	resp, err := (&http.Client{Timeout: time.Second}).Get("http://" + m.ready + "/v1/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// newKey gives a team a new key. The withdrawn one is returned.
func (d *deployment) newKey(team string) (withdrawn string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	withdrawn = d.keys[team]
	d.keyCount++
	d.keys[team] = fmt.Sprintf("key-%s-%d", team, d.keyCount)
	return withdrawn
}

func (d *deployment) key(team string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.keys[team]
}

// configure writes the next version of the configuration. It has a public route
// that no other version has.
func (d *deployment) configure() {
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
		coldRate, coldTime.Seconds(), coldRate, coldTime.Seconds(), strings.Join(tenants, ","))
	d.store.Put("op", "config", []byte(text))
	d.acknowledged = time.Now()
}

func (d *deployment) newest() (version int, acknowledged time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.version, d.acknowledged
}
