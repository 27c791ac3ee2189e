package soak

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// crashMachines is a deployment with nine backend servers of the service.
	crashMachines = 18
	// crashRepeatInterval is the time between two copies of the request, each at another
	// machine.
	crashRepeatInterval = 200 * time.Millisecond
	// maxCrashes bounds the backend servers that one request may end: the first one, the
	// one that shows the cause, and one for a copy that was under way.
	maxCrashes = 3
)

func buildBinary(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "trefoildock")
	out, err := exec.Command("go", "build", "-o", binary, "../../cmd/trefoildock").CombinedOutput()
	require.NoError(t, err, string(out))
	return binary
}

// startTraffic starts a deployment with ordinary traffic.
func startTraffic(t *testing.T, binary string, downtime time.Duration) *deployment {
	t.Helper()
	d, err := newDeployment(t.TempDir(), binary, crashMachines)
	require.NoError(t, err)
	t.Cleanup(d.close)
	require.NoError(t, d.awaitReady(t.Context()))
	for _, m := range d.machines {
		m.backend.SetDowntime(downtime)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { d.runTraffic(ctx, 1) })
	t.Cleanup(func() { cancel(); wg.Wait() })
	time.Sleep(2 * time.Second) // The entries learn the latencies of the routes.
	return d
}

// repeatCrashingRequest sends copies of one request to the machines of one service in turn.
func (d *deployment) repeatCrashingRequest(ctx context.Context) {
	var wg sync.WaitGroup
	var callers []*machine
	for _, m := range d.machines {
		if m.service == "orders" {
			callers = append(callers, m)
		}
	}
	for n := 0; ctx.Err() == nil; n++ {
		m := callers[n%len(callers)]
		wg.Go(func() {
			client := newClient(m.trafficAddress)
			defer client.CloseIdleConnections()
			d.send(ctx, client, m, requestSpec{id: fmt.Sprintf("crash-%d", n), team: teams[0], method: "GET", host: "shop.example", path: crashPath, workMillis: 1})
		})
		sleep(ctx, crashRepeatInterval)
	}
	wg.Wait()
}

func (d *deployment) crashTimes() []time.Time {
	var out []time.Time
	for _, m := range d.machines {
		out = append(out, m.backend.Crashes()...)
	}
	slices.SortFunc(out, time.Time.Compare)
	return out
}

var blockedLine = regexp.MustCompile(`event="request answered" request=(\S+) .*code=crashing-request`)

// blockedRequests returns the IDs of the requests that were refused as crashing requests
// although they crash nothing.
func (d *deployment) blockedRequests(t *testing.T) []string {
	t.Helper()
	var out []string
	for _, m := range d.machines {
		text, err := os.ReadFile(m.logFile)
		require.NoError(t, err)
		for _, match := range blockedLine.FindAllSubmatch(text, -1) {
			if id := string(match[1]); !strings.HasPrefix(id, "crash-") {
				out = append(out, id)
			}
		}
	}
	return out
}

// Guards against a repeated request that crashes more backend servers of its service than
// it takes to recognise it, whether they come back soon, late or never.
func TestCrashingRequestEndsFewBackendServers(t *testing.T) {
	binary := buildBinary(t)
	for name, downtime := range map[string]time.Duration{"back after 1.5 s": 1500 * time.Millisecond, "back after 4 s": 4 * time.Second, "never back": 0} {
		t.Run(name, func(t *testing.T) {
			d := startTraffic(t, binary, downtime)
			ctx, cancel := context.WithTimeout(t.Context(), 8*time.Second)
			defer cancel()
			d.repeatCrashingRequest(ctx)
			crashes := d.crashTimes()
			for _, at := range crashes {
				t.Logf("backend server crashed %.2f s after the first", at.Sub(crashes[0]).Seconds())
			}
			require.NotEmpty(t, crashes)
			require.LessOrEqual(t, len(crashes), maxCrashes)
			require.Empty(t, d.blockedRequests(t), "requests that met a crashing backend server were refused")
		})
	}
}

// sendPopularRequest sends one request repeatedly, so that it always runs on several
// backend servers at once.
func (d *deployment) sendPopularRequest(ctx context.Context) {
	var wg sync.WaitGroup
	for i, m := range d.machines {
		wg.Go(func() {
			client := newClient(m.trafficAddress)
			defer client.CloseIdleConnections()
			sleep(ctx, time.Duration(i)*15*time.Millisecond) // The callers must not run in step.
			for n := 0; ctx.Err() == nil; n++ {
				d.send(ctx, client, m, requestSpec{id: fmt.Sprintf("popular-%s-%d", m.name, n), method: "GET", host: "inner.example", path: "/popular/", workMillis: 150})
				sleep(ctx, 100*time.Millisecond)
			}
		})
	}
	wg.Wait()
}

// Guards against the refusal of requests that several backend servers happened to run when
// they crashed for another reason, several times in a row.
func TestRequestsThatMeetCrashesAreNotBlocked(t *testing.T) {
	d := startTraffic(t, buildBinary(t), time.Second)
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { d.sendPopularRequest(ctx) })
	defer wg.Wait()
	defer cancel()
	for range 4 {
		time.Sleep(2 * time.Second)
		for i, m := range d.machines {
			if m.service == "orders" && i%2 == 0 {
				m.backend.Crash()
			}
		}
	}
	time.Sleep(2 * time.Second)
	require.Empty(t, d.blockedRequests(t))
}
