package soak

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	backendSlots = 3
	// coldStartDuration is the length of the cold start after a restart, and
	// coldStartRate is the request rate that it tolerates, in requests per second.
	coldStartDuration = 3 * time.Second
	coldStartRate     = 10.0
	// announceInterval is the time between two announcements.
	announceInterval = 700 * time.Millisecond
	// announceTimeout bounds the wait for an acknowledgement.
	announceTimeout = time.Second
	// hangDuration is the service time of a request that hangs.
	hangDuration = 4 * time.Second
	// crashPath is the prefix of requests that crash the backend server crashDelay after
	// they began to run.
	crashPath  = "/crash/"
	crashDelay = 120 * time.Millisecond
)

// BackendFault is a fault that a backend server applies to a share of its requests.
type BackendFault uint8

const (
	// BackendHealthy serves all requests.
	BackendHealthy BackendFault = iota
	// BackendFails responds with status 500.
	BackendFails
	// BackendSheds refuses requests before execution.
	BackendSheds
	// BackendHangs responds after hangDuration.
	BackendHangs
	// BackendDrops executes a request and resets the connection.
	BackendDrops
)

// Execution is the execution of a request by a backend server.
type Execution struct {
	ID, Service, Team, Zone string
	At                      time.Time
	// SinceDrain is the time since the announcement of draining was acknowledged, or
	// 0 if the backend server is not draining.
	SinceDrain time.Duration
	// Cold reports whether the backend server was in its cold start.
	Cold bool
	// KeyForwarded reports whether the request carried the API key of the caller.
	KeyForwarded bool
}

// Backend is a simulated backend server. It announces itself to the node process of its
// machine.
type Backend struct {
	service, zone, control string
	address                string
	slots                  chan struct{}
	onExecution            func(b *Backend, e Execution)
	// onArrival is called with the request ID when a request arrives, and again with
	// answered set when it is answered, with the limit that the response names.
	onArrival func(b *Backend, id string, limit float64, answered bool)

	mu                  sync.Mutex
	server              *http.Server // nil while the backend server is down
	downtime            time.Duration
	crashes             []time.Time
	id                  string
	startedAt           time.Time
	sequence            int
	incarnation         int
	draining            bool
	drainAcknowledgedAt time.Time
	fault               BackendFault
	faultShare          float64
	requestCount        int
	// limit is the rate that responses name, in requests per second; 0 means none.
	limit   float64
	stopped chan struct{}
}

func newBackend(ip, service, zone, control string, onExecution func(*Backend, Execution), onArrival func(*Backend, string, float64, bool)) (*Backend, error) {
	ln, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	b := &Backend{
		service: service, zone: zone, control: control, address: ln.Addr().String(), onExecution: onExecution, onArrival: onArrival,
		slots: make(chan struct{}, backendSlots), stopped: make(chan struct{}),
	}
	b.Restart(false)
	b.serve(ln)
	go b.announceLoop()
	return b, nil
}

// serve starts the HTTP server. b.mu must be held if the backend server is in use.
func (b *Backend) serve(ln net.Listener) {
	server := &http.Server{Handler: b, ReadHeaderTimeout: time.Second}
	b.server = server
	go func() { _ = server.Serve(ln) }() // Returns an error after Close.
}

// Close stops the announcements and closes the HTTP server.
func (b *Backend) Close() {
	close(b.stopped)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.server != nil {
		b.server.Close()
	}
}

// SetDowntime sets the time after which a backend server that has crashed is back; 0
// means never.
func (b *Backend) SetDowntime(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.downtime = d
}

// Crash ends the backend server without notice: its connections close and its address
// refuses new ones. It returns cold, with a new ID.
func (b *Backend) Crash() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.server == nil {
		return
	}
	b.crashes = append(b.crashes, time.Now())
	b.server.Close()
	b.server = nil
	if b.downtime > 0 {
		time.AfterFunc(b.downtime, b.comeBack)
	}
}

func (b *Backend) comeBack() {
	select {
	case <-b.stopped:
		return
	default:
	}
	ln, err := net.Listen("tcp", b.address)
	if err != nil {
		return // Another listener of this machine took the port; the backend server stays away.
	}
	b.Restart(true)
	b.mu.Lock()
	b.serve(ln)
	b.mu.Unlock()
	b.announce()
}

// Crashes returns the times at which the backend server has crashed.
func (b *Backend) Crashes() []time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.crashes)
}

// Restart begins a new incarnation. It starts with a cold start if cold is set.
func (b *Backend) Restart(cold bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.incarnation++
	b.id = fmt.Sprintf("i-%s-%d", b.address, b.incarnation)
	b.startedAt, b.sequence, b.draining, b.drainAcknowledgedAt, b.limit = time.Now(), 0, false, time.Time{}, 0
	if !cold {
		b.startedAt = b.startedAt.Add(-coldStartDuration)
	}
}

// SetFault applies f to a share of the requests, between 0 and 1.
func (b *Backend) SetFault(f BackendFault, share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fault, b.faultShare = f, share
}

// SetLimit makes all responses name a limit, in requests per second; 0 ends it.
func (b *Backend) SetLimit(rate float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = rate
}

// nameLimit adds the limit to a response and returns it.
func (b *Backend) nameLimit(h http.Header) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.limit > 0 {
		h.Set("Server-Limit", strconv.FormatFloat(b.limit, 'f', 1, 64))
	}
	return b.limit
}

// Drain announces that the backend server is draining.
func (b *Backend) Drain() {
	b.mu.Lock()
	b.draining = true
	b.mu.Unlock()
	b.announce()
}

func (b *Backend) coldStartRemaining(now time.Time) time.Duration {
	return max(coldStartDuration-now.Sub(b.startedAt), 0)
}

func (b *Backend) announceLoop() {
	t := time.NewTicker(announceInterval)
	defer t.Stop()
	for {
		b.announce()
		select {
		case <-t.C:
		case <-b.stopped:
			return
		}
	}
}

// announce sends one announcement and records when draining was first acknowledged.
func (b *Backend) announce() {
	b.mu.Lock()
	if b.server == nil {
		b.mu.Unlock()
		return
	}
	b.sequence++
	id, state := b.id, "ready"
	if b.draining {
		state = "draining"
	}
	body, err := json.Marshal(map[string]any{
		"service": b.service, "address": b.address, "zone": b.zone, "version": "v1", "slots": backendSlots,
		"state": state, "cold-remaining-ms": b.coldStartRemaining(time.Now()).Milliseconds(), "sequence": b.sequence, "born": b.startedAt.UnixMilli(),
	})
	b.mu.Unlock()
	if err != nil {
		panic(err) // Unreachable: a map of plain values always encodes.
	}
	req, err := http.NewRequest(http.MethodPut, "http://"+b.control+"/v1/instances/"+id, bytes.NewReader(body))
	if err != nil {
		panic(err) // Unreachable: the address is well formed.
	}
	resp, err := (&http.Client{Timeout: announceTimeout}).Do(req)
	if err != nil {
		return // The node process is down; the next announcement retries.
	}
	resp.Body.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	if resp.StatusCode == http.StatusOK && state == "draining" && b.id == id && b.drainAcknowledgedAt.IsZero() {
		b.drainAcknowledgedAt = time.Now()
	}
}

// signature returns the signature of a response to the request with the given ID.
func signature(id, body string) string {
	sum := sha256.Sum256([]byte(id + "\x00" + body))
	return hex.EncodeToString(sum[:8])
}

// ServeHTTP executes a request. The query parameter "work" is its service time in
// milliseconds; the default is 1.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	limit := b.nameLimit(w.Header())
	b.onArrival(b, id, limit, false)
	defer func() { b.onArrival(b, id, limit, true) }()
	body, err := io.ReadAll(r.Body)
	fault, refusalStatus := b.admit(r)
	if err != nil || refusalStatus != 0 {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(max(refusalStatus, http.StatusBadRequest))
		return
	}
	defer func() { <-b.slots }()
	b.onExecution(b, b.newExecution(r, id))
	if strings.HasPrefix(r.URL.Path, crashPath) {
		time.Sleep(crashDelay)
		b.Crash()
		panic(http.ErrAbortHandler)
	}
	workMillis, err := strconv.Atoi(r.URL.Query().Get("work"))
	if err != nil {
		workMillis = 1
	}
	switch fault {
	case BackendFails:
		w.WriteHeader(http.StatusInternalServerError)
		return
	case BackendHangs:
		workMillis = int(hangDuration.Milliseconds())
	}
	select {
	case <-time.After(time.Duration(workMillis) * time.Millisecond):
	case <-r.Context().Done():
		return
	}
	if fault == BackendDrops {
		panic(http.ErrAbortHandler)
	}
	text := r.Method + " " + r.URL.Path + " " + string(body)
	w.Header().Set("Server-Seal", signature(id, text))
	_, _ = io.WriteString(w, text) // The client may have closed the connection.
}

// admit returns the status of a refusal, or takes a slot, which the caller releases,
// and returns 0. fault is the fault to apply to the request.
func (b *Backend) admit(r *http.Request) (fault BackendFault, refusalStatus int) {
	b.mu.Lock()
	b.requestCount++
	faulty := b.faultShare > 0 && float64(b.requestCount%10) < b.faultShare*10
	if faulty {
		fault = b.fault
	}
	id := b.id
	b.mu.Unlock()
	switch {
	case r.Header.Get("Target-Instance") != id:
		return 0, http.StatusMisdirectedRequest
	case fault == BackendSheds:
		return 0, http.StatusServiceUnavailable
	}
	select {
	case b.slots <- struct{}{}:
		return fault, 0
	default:
		return 0, http.StatusServiceUnavailable
	}
}

func (b *Backend) newExecution(r *http.Request, id string) Execution {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	e := Execution{
		ID: id, Service: b.service, Zone: b.zone, Team: r.Header.Get("Tenant"), At: now,
		Cold: b.coldStartRemaining(now) > 0, KeyForwarded: r.Header.Get("Authorization") != "",
	}
	if !b.drainAcknowledgedAt.IsZero() {
		e.SinceDrain = now.Sub(b.drainAcknowledgedAt)
	}
	return e
}
