package node

import (
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"trefoildock.example/verdict"
)

// latencyRequests is the number of requests in one open-loop run.
const latencyRequests = 4000

// BenchmarkAddedLatency compares the latency of requests through an entry and
// an owner with that of direct requests, at half of the load that the nodes can
// sustain.
func BenchmarkAddedLatency(b *testing.B) {
	backend := newHandlerBackend(b, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(verdict.RequestIDHeader, r.Header.Get(verdict.RequestIDHeader))
		_, _ = w.Write(make([]byte, 1000))
	})
	f := newFleet(b, backend)
	c := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 100}}
	defer c.CloseIdleConnections()
	nodes, direct := "http://"+f.address+"/shop/x", "http://"+backend+"/shop/x"
	benchmarkBatch(b, c, nodes) // The slow start of the owner must reach the announced slots.
	start := time.Now()
	benchmarkBatch(b, c, nodes)
	interval := 2 * time.Since(start) / benchmarkBatchSize
	for b.Loop() {
		d, n := runOpenLoop(b, c, direct, interval), runOpenLoop(b, c, nodes, interval)
		for name, q := range map[string]float64{"p50": 0.5, "p99": 0.99} {
			b.ReportMetric(quantile(d, q).Seconds()*1e3, "direct-"+name+"-ms")
			b.ReportMetric(quantile(n, q).Seconds()*1e3, "nodes-"+name+"-ms")
		}
	}
	b.ReportMetric(1/interval.Seconds(), "requests/s")
	b.ReportMetric(0, "ns/op")
}

// runOpenLoop sends requests at a fixed interval, independently of earlier
// responses, and returns the sorted latencies.
func runOpenLoop(b *testing.B, c *http.Client, url string, interval time.Duration) []time.Duration {
	latencies := make([]time.Duration, latencyRequests)
	var wg sync.WaitGroup
	start := time.Now()
	for i := range latencies {
		due := start.Add(time.Duration(i) * interval)
		time.Sleep(time.Until(due))
		wg.Go(func() {
			benchmarkGet(b, c, url)
			latencies[i] = time.Since(due) // Measured from the scheduled time, so that a late start counts.
		})
	}
	wg.Wait()
	slices.Sort(latencies)
	return latencies
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	return sorted[int(q*float64(len(sorted)-1))]
}
