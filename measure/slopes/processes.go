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
	// fleetMeasurementTime is the duration of the measurement of an idle fleet. CPU
	// accounting has a resolution of 10 ms, which is 0.2% of a core over this time.
	fleetMeasurementTime = 5 * time.Second
	// startupTime is the delay after which a process has finished its startup work.
	startupTime = time.Second
)

func processExperiments() []experiment {
	return []experiment{connectionMemoryExperiment(), connectionProcessExperiment(), idleFleetExperiment(), forwardingExperiment()}
}

// connectionMemoryExperiment measures a node that runs in this process, where its
// goroutines and live memory can be counted.
func connectionMemoryExperiment() experiment {
	return experiment{
		quantities: []Quantity{
			{"node:connection_goroutines", "goroutines", "connection", "goroutines of a node with idle caller connections"},
			{"node:connection_memory", "B", "connection", "live heap and stacks of that node, the callers' sockets included"},
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
	time.Sleep(startupTime / 4)
	heap, stacks := heapInUse()
	return []float64{float64(runtime.NumGoroutine()), heap + stacks}, nil
}

// openConnections opens n caller connections, which are idle after one request
// each.
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

// connectionProcessExperiment measures a separate node process. The intercept is
// the memory of an idle node.
func connectionProcessExperiment() experiment {
	return experiment{
		quantities: []Quantity{
			{"node:connection_resident", "B", "connection", "resident memory of a node process with idle caller connections"},
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
			time.Sleep(startupTime)
			u, err := f.nodes[0].usage()
			return []float64{float64(u.residentBytes), float64(u.anonymousBytes)}, err
		},
	}
}

// idleFleetExperiment measures fleets of separate node processes without traffic.
func idleFleetExperiment() experiment {
	return experiment{
		quantities: []Quantity{
			{"node:fleet_time", "ns/s", "node of the fleet", "CPU time of one idle node, mean over the fleet"},
			{"node:fleet_time_attester", "ns/s", "node of the fleet", "CPU time of the idle node with the highest"},
			{"node:fleet_bytes", "B/s", "node of the fleet", "bytes read and written by one idle node, mean, table reads included"},
			{"node:fleet_bytes_attester", "B/s", "node of the fleet", "bytes read and written by the idle node with the most"},
			{"node:fleet_resident", "B", "node of the fleet", "resident memory of one idle node, mean"},
			{"node:fleet_anonymous", "B", "node of the fleet", "its anonymous part"},
			{"platform:fleet_reads", "reads/s", "node of the fleet", "platform reads by all nodes of the idle fleet"},
		},
		sizes: []int{3, 9, 24}, repetitions: 1, run: measureIdleFleet,
	}
}

func measureIdleFleet(ctx context.Context, env Environment, nodes int) ([]float64, error) {
	f, err := startFleet(ctx, env, nodes)
	if err != nil {
		return nil, err
	}
	defer f.close()
	if err := f.deploy(ctx); err != nil {
		return nil, err
	}
	time.Sleep(startupTime)
	before, err := f.nodeUsages()
	if err != nil {
		return nil, err
	}
	reads, start := f.platform.Counts(), time.Now()
	time.Sleep(fleetMeasurementTime)
	seconds := time.Since(start).Seconds()
	after, err := f.nodeUsages()
	if err != nil {
		return nil, err
	}
	var out [7]float64
	for i := range after {
		cpuRate := float64(after[i].cpuTime-before[i].cpuTime) / seconds
		ioRate := float64(after[i].ioBytes-before[i].ioBytes) / seconds
		out[0] += cpuRate / float64(nodes)
		out[1] = max(out[1], cpuRate)
		out[2] += ioRate / float64(nodes)
		out[3] = max(out[3], ioRate)
		out[4] += float64(after[i].residentBytes) / float64(nodes)
		out[5] += float64(after[i].anonymousBytes) / float64(nodes)
	}
	out[6] = float64(f.platform.Counts().Reads-reads.Reads) / seconds
	return out[:], nil
}

// forwardingExperiment measures requests that one node receives as the entry node
// and forwards to the owner node of the backend server.
func forwardingExperiment() experiment {
	var f *fleet
	return experiment{
		quantities: []Quantity{
			{"node:open_request_time", "ns", "request", "CPU time of entry node and owner node for a GET on an open route"},
			{"node:order_time", "ns", "request", "CPU time of all nodes for a POST with an idempotency key that runs at most once"},
		},
		sizes: []int{500, 1_000, 2_000},
		prepare: func(ctx context.Context, env Environment) (func(), error) {
			var err error
			f, err = startTrafficFleet(ctx, env)
			if err != nil {
				return nil, err
			}
			return f.close, nil
		},
		run: func(ctx context.Context, _ Environment, requests int) ([]float64, error) {
			openRequestTime, err := f.cpuTimeOfRequests(ctx, requests, f.sendOpenGet)
			if err != nil {
				return nil, err
			}
			orderTime, err := f.cpuTimeOfRequests(ctx, requests, f.sendOrder)
			return []float64{openRequestTime, orderTime}, err
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
		err = f.waitUntilServed(ctx)
	}
	if err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

// waitUntilServed waits until both kinds of requests are served. It requires many
// consecutive orders to succeed, because their idempotency keys have different
// coordinators.
func (f *fleet) waitUntilServed(ctx context.Context) error {
	const consecutiveOrders = 64
	return waitFor(ctx, "requests are served", func() bool {
		if f.sendOpenGet(ctx, 0) != nil {
			return false
		}
		for i := range consecutiveOrders {
			if f.sendOrder(ctx, i) != nil {
				return false
			}
		}
		return true
	})
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
