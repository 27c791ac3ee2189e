package process

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a planned stop that cuts requests which were accepted while the backend
// server is handed over, after the last check for running requests.
func TestPlannedStopAnswersAcceptedRequests(t *testing.T) {
	ran := newExecutions()
	a, _ := startTwoNodes(t, answerAfter(ran, 150*time.Millisecond), publicConfig, func(store http.Handler) http.Handler {
		return &controlledWrites{store: store, delay: 300 * time.Millisecond}
	}, nodeOptions{})
	callers, stop := a.settings.ListenCallers, a.stop
	answered := newExecutions()
	var sends sync.WaitGroup
	stopCalling := make(chan struct{})
	go func() {
		for i := 0; ; i++ {
			select {
			case <-stopCalling:
				return
			case <-time.After(20 * time.Millisecond):
			}
			sends.Go(func() { sendOnce(callers, fmt.Sprint("r", i), answered) })
		}
	}()
	time.Sleep(200 * time.Millisecond)
	stop()
	close(stopCalling)
	sends.Wait()
	ran.mu.Lock()
	defer ran.mu.Unlock()
	require.NotEmpty(t, ran.ids)
	for id := range ran.ids {
		require.True(t, answered.ids[id], "request %s ran and got no response", id)
	}
}

// patientConfig has a route whose requests wait for a backend server for up to 5.4 s.
const patientConfig = `{"version":"r1","routes":{"columns":["name","host","prefix","type","timeout-ms","target-latency-ms","max-attempts","public","service"],"rows":[
["order","shop","/","unsafe",9000,3000,2,false,"orders"]]},"services":{"columns":["name"],"rows":[["orders"]]},"tenants":{"columns":["name","api-keys"],"rows":[["blue",["k"]]]},"limits":{}}`

// Guards against a planned stop that cuts requests which still wait for a backend server
// when the process ends.
func TestPlannedStopAnswersWaitingRequests(t *testing.T) {
	const acceptedFor = 2700 * time.Millisecond // Below acceptPeriod.
	blocked := make(chan struct{})
	a, b := startTwoNodes(t, func(http.ResponseWriter, *http.Request) { <-blocked }, patientConfig, unchanged, nodeOptions{slots: 1, gracePeriod: 4 * time.Second})
	t.Cleanup(func() { close(blocked) }) // Before the backend server is closed, which waits for its handlers.
	callers, stop := a.settings.ListenCallers, a.stop
	var sends sync.WaitGroup
	occupying := newExecutions()
	for i := range 2 {
		sends.Go(func() { sendOnce(callers, fmt.Sprint("occupying", i), occupying) })
	}
	require.Eventually(t, func() bool { return a.owner.Running() > 0 && b.owner.Running() > 0 }, waitTimeout, 5*time.Millisecond)

	idle, err := net.Dial("tcp", callers)
	require.NoError(t, err)
	defer idle.Close()
	require.Eventually(t, func() bool { return a.callerServer.Connections() == 3 }, waitTimeout, time.Millisecond)
	answered := newExecutions()
	stopping := time.Now()
	go stop()
	// A stop closes the connections without a request at its start, which a request can cross.
	_ = idle.SetReadDeadline(time.Now().Add(waitTimeout))
	_, err = idle.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	var ids []string
	for time.Since(stopping) < acceptedFor {
		id := fmt.Sprint("waiting", len(ids))
		ids = append(ids, id)
		sends.Go(func() { sendOnce(callers, id, answered) })
		time.Sleep(100 * time.Millisecond)
	}
	sends.Wait()
	for _, id := range ids {
		require.True(t, answered.ids[id], "request %s was accepted and got no response", id)
	}
}

// Guards against a planned stop that still sends a request to a backend server when the
// process ends before the request can finish.
func TestPlannedStopRefusesRequestsThatCannotFinish(t *testing.T) {
	const workTime = 1200 * time.Millisecond
	ran, answered := newExecutions(), newExecutions()
	a, _ := startTwoNodes(t, answerAfter(ran, workTime), publicConfig, unchanged, nodeOptions{gracePeriod: 4 * time.Second})
	callers, stop := a.settings.ListenCallers, a.stop
	sendOnce(callers, "first", answered)
	require.True(t, answered.ids["first"])

	var sends sync.WaitGroup
	stopped := make(chan struct{})
	go func() { stop(); close(stopped) }()
	for i := 0; ; i++ {
		select {
		case <-stopped:
		case <-time.After(50 * time.Millisecond):
			sends.Go(func() { sendOnce(callers, fmt.Sprint("r", i), answered) })
			continue
		}
		break
	}
	sends.Wait()
	ran.mu.Lock()
	defer ran.mu.Unlock()
	for id := range ran.ids {
		require.True(t, answered.ids[id], "request %s ran and got no response", id)
	}
}
