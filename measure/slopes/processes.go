package slopes

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	metrics "github.com/rcrowley/go-metrics"

	"trefoildock.example/configstore"
	"trefoildock.example/node"
	"trefoildock.example/platform/memory"
)

const (
	// fleetWindow is the time for which an idle fleet is watched. The accounting
	// of processor time has steps of 10 ms, which is 0.2% of a core over it.
	fleetWindow = 5 * time.Second
	// settleTime lets a process finish its start.
	settleTime = time.Second
)

func processExperiments() []experiment {
	return []experiment{connectionMemory(), connectionProcess(), idleFleet(), forwarding()}
}

// connectionMemory measures a node inside this process, where goroutines and
// live memory can be counted.
func connectionMemory() experiment {
	return experiment{
		quantities: []Quantity{
			{"node:connection_goroutines", "goroutines", "connection", "goroutines of a node with idle callers' connections"},
			{"node:connection_memory", "B", "connection", "its live heap and stacks, the callers' sockets included"},
		},
		sizes: []int{0, 250, 500, 1_000}, run: measureConnectionMemory,
	}
}

func measureConnectionMemory(_ context.Context, env Environment, connections int) ([]float64, error) {
	s, err := newSettings(env.Dir, 0, "http://127.0.0.1:1")
	if err != nil {
		return nil, err
	}
	m := memory.New()
	n := node.New(s, node.Dependencies{
		Store:  configstore.New(m.Table(), m.Objects(), configstore.Options{}),
		Logger: log.NewNopLogger(), Registry: metrics.NewRegistry(),
	})
	if err := n.Start(); err != nil {
		return nil, err
	}
	defer n.Close()
	closeAll, err := openConnections(s.Listen.Traffic, connections)
	defer closeAll()
	if err != nil {
		return nil, err
	}
	time.Sleep(settleTime / 4)
	heap, stacks := heapInUse()
	return []float64{float64(runtime.NumGoroutine()), heap + stacks}, nil
}

// openConnections opens callers' connections, each idle after one request.
func openConnections(address string, n int) (closeAll func(), err error) {
	var conns []net.Conn
	closeAll = func() {
		for _, c := range conns {
			c.Close()
		}
	}
	buffer := make([]byte, 4096)
	for range n {
		c, err := net.Dial("tcp", address)
		if err != nil {
			return closeAll, err
		}
		conns = append(conns, c)
		if _, err := c.Write([]byte("GET /none HTTP/1.1\r\nHost: shop.example\r\n\r\n")); err != nil {
			return closeAll, err
		}
		if _, err := c.Read(buffer); err != nil {
			return closeAll, err
		}
	}
	return closeAll, nil
}

// connectionProcess measures a separate node process; its intercept is the
// memory of an idle node.
func connectionProcess() experiment {
	return experiment{
		quantities: []Quantity{
			{"node:connection_resident", "B", "connection", "resident memory of a node process with idle callers' connections"},
			{"node:connection_anonymous", "B", "connection", "its anonymous part"},
		},
		sizes: []int{0, 500, 1_000, 2_000}, repetitions: 2,
		run: func(ctx context.Context, env Environment, connections int) ([]float64, error) {
			f, err := startFleet(ctx, env, 1)
			if err != nil {
				return nil, err
			}
			defer f.close()
			if err := f.waitListening(ctx); err != nil {
				return nil, err
			}
			closeAll, err := openConnections(f.nodes[0].settings.Listen.Traffic, connections)
			defer closeAll()
			if err != nil {
				return nil, err
			}
			time.Sleep(settleTime)
			u, err := f.nodes[0].usage()
			return []float64{float64(u.resident), float64(u.anonymous)}, err
		},
	}
}

// idleFleet measures whole fleets of separate processes without traffic.
func idleFleet() experiment {
	return experiment{
		quantities: []Quantity{
			{"node:fleet_time", "ns/s", "node of the fleet", "work of one idle node, mean over the fleet"},
			{"node:fleet_time_attester", "ns/s", "node of the fleet", "work of the busiest idle node"},
			{"node:fleet_bytes", "B/s", "node of the fleet", "bytes read and written by one idle node, mean, table reads included"},
			{"node:fleet_bytes_attester", "B/s", "node of the fleet", "bytes read and written by the node with the most"},
			{"node:fleet_resident", "B", "node of the fleet", "resident memory of one idle node, mean"},
			{"node:fleet_anonymous", "B", "node of the fleet", "its anonymous part"},
			{"platform:fleet_reads", "reads/s", "node of the fleet", "reads of the platform by the whole idle fleet"},
		},
		sizes: []int{3, 9, 24}, repetitions: 1, run: measureFleet,
	}
}

func measureFleet(ctx context.Context, env Environment, nodes int) ([]float64, error) {
	f, err := startFleet(ctx, env, nodes)
	if err != nil {
		return nil, err
	}
	defer f.close()
	if err := f.deploy(ctx); err != nil {
		return nil, err
	}
	time.Sleep(settleTime)
	before, err := f.usages()
	if err != nil {
		return nil, err
	}
	reads, start := f.platform.Counts(), time.Now()
	time.Sleep(fleetWindow)
	seconds := time.Since(start).Seconds()
	after, err := f.usages()
	if err != nil {
		return nil, err
	}
	var out [7]float64
	for i := range after {
		spent := float64(after[i].processor-before[i].processor) / seconds
		moved := float64(after[i].bytes-before[i].bytes) / seconds
		out[0] += spent / float64(nodes)
		out[1] = max(out[1], spent)
		out[2] += moved / float64(nodes)
		out[3] = max(out[3], moved)
		out[4] += float64(after[i].resident) / float64(nodes)
		out[5] += float64(after[i].anonymous) / float64(nodes)
	}
	out[6] = float64(f.platform.Counts().Reads-reads.Reads) / seconds
	return out[:], nil
}

// forwarding measures requests that enter at one node and are served by a
// backend server beside another one.
func forwarding() experiment {
	var f *fleet
	return experiment{
		quantities: []Quantity{
			{"node:open_request_time", "ns", "request", "work of entry and owner for a GET on an open route"},
			{"node:order_time", "ns", "request", "work of all nodes for a keyed POST that runs at most once"},
		},
		sizes: []int{1_000, 2_000, 4_000},
		prepare: func(ctx context.Context, env Environment) (func(), error) {
			var err error
			f, err = startTrafficFleet(ctx, env)
			if err != nil {
				return nil, err
			}
			return f.close, nil
		},
		run: func(ctx context.Context, _ Environment, requests int) ([]float64, error) {
			browse, err := f.workOf(ctx, requests, f.browse)
			if err != nil {
				return nil, err
			}
			order, err := f.workOf(ctx, requests, f.order)
			return []float64{browse, order}, err
		},
	}
}

func startTrafficFleet(ctx context.Context, env Environment) (*fleet, error) {
	f, err := startFleet(ctx, env, 2)
	if err != nil {
		return nil, err
	}
	err = f.deploy(ctx)
	if err == nil {
		err = f.startBackend(1)
	}
	if err == nil {
		err = f.waitServed(ctx)
	}
	if err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

// waitServed waits until both kinds of requests are served.
func (f *fleet) waitServed(ctx context.Context) error {
	return eventually(ctx, "requests are served", func() bool { return f.browse(ctx, 0) == nil && f.order(ctx, 0) == nil })
}

func checkStatus(r *http.Response, err error) error {
	if err != nil {
		return err
	}
	defer r.Body.Close()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return err
	}
	if r.StatusCode != http.StatusOK {
		return errors.Newf("status %d: %s", r.StatusCode, body)
	}
	return nil
}
