package node

import (
	"io"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoildock.example/verdict"
)

// cpuTime returns the CPU time used by this process.
func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkTwoNodes compares the CPU time of a request through an entry and an
// owner with that of a direct request in the same run. Both figures include the
// caller and the backend server.
func BenchmarkTwoNodes(b *testing.B) {
	body := make([]byte, 1000)
	backend := newHandlerBackend(b, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(verdict.RequestIDHeader, r.Header.Get(verdict.RequestIDHeader))
		_, _ = w.Write(body)
	})
	f := newFleet(b, backend)
	c := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: benchmarkCallers}}
	defer c.CloseIdleConnections()
	for range 2000 { // The slow start of the owner must reach the announced slots.
		benchmarkGet(b, c, "http://"+f.address+"/shop/x")
	}
	var direct, nodes time.Duration
	for b.Loop() {
		direct += benchmarkBatch(b, c, "http://"+backend+"/shop/x")
		nodes += benchmarkBatch(b, c, "http://"+f.address+"/shop/x")
	}
	n := float64(b.N * benchmarkBatchSize)
	b.ReportMetric(float64(direct.Nanoseconds())/n/1e3, "direct-us/request")
	b.ReportMetric(float64(nodes.Nanoseconds())/n/1e3, "nodes-us/request")
	b.ReportMetric(float64(nodes)/float64(direct), "ratio")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkAllocations reports the allocations of one request, direct and
// through two nodes, including those of the caller and the backend server.
func BenchmarkAllocations(b *testing.B) {
	backend := newHandlerBackend(b, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(verdict.RequestIDHeader, r.Header.Get(verdict.RequestIDHeader))
		_, _ = w.Write(make([]byte, 1000))
	})
	f := newFleet(b, backend)
	c := &http.Client{Transport: &http.Transport{DisableCompression: true}}
	defer c.CloseIdleConnections()
	for name, url := range map[string]string{"direct": "http://" + backend + "/shop/x", "nodes": "http://" + f.address + "/shop/x"} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				benchmarkGet(b, c, url)
			}
		})
	}
}

const (
	benchmarkCallers   = 8
	benchmarkBatchSize = 1600
)

// benchmarkBatch sends requests from several callers and returns the CPU time
// that they used.
func benchmarkBatch(b *testing.B, c *http.Client, url string) time.Duration {
	before := cpuTime(b)
	done := make(chan struct{})
	for range benchmarkCallers {
		go func() {
			defer func() { done <- struct{}{} }()
			for range benchmarkBatchSize / benchmarkCallers {
				benchmarkGet(b, c, url)
			}
		}()
	}
	for range benchmarkCallers {
		<-done
	}
	return cpuTime(b) - before
}

func benchmarkGet(b *testing.B, c *http.Client, url string) {
	req, err := http.NewRequestWithContext(b.Context(), http.MethodGet, url, http.NoBody)
	if err != nil {
		b.Error(err)
		return
	}
	for _, name := range []string{"Accept", "Accept-Language", "User-Agent", "X-Trace"} {
		req.Header.Set(name, "some value of a usual length")
	}
	resp, err := c.Do(req)
	if err != nil {
		b.Error(err)
		return
	}
	_, err = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	if err != nil || resp.StatusCode != http.StatusOK {
		b.Error(resp.StatusCode, err)
	}
}
