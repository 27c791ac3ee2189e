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
	"strconv"
	"sync"
	"time"
)

const (
	backendSlots = 3
	// coldTime and coldRate describe a backend server after its start.
	coldTime = 3 * time.Second
	coldRate = 10.0
	// heartbeat is the interval of announcements.
	heartbeat = 700 * time.Millisecond
	// heartbeatTimeout is the time in which an acknowledgement counts.
	heartbeatTimeout = time.Second
	// hangTime is how long a hanging backend server keeps a request.
	hangTime = 4 * time.Second
)

// BackendFault is how a backend server treats a part of its requests.
type BackendFault uint8

const (
	// BackendSound answers all requests.
	BackendSound BackendFault = iota
	// BackendFails answers 500.
	BackendFails
	// BackendSheds refuses before execution.
	BackendSheds
	// BackendHangs answers after hangTime.
	BackendHangs
	// BackendDrops runs a request and resets the connection.
	BackendDrops
)

// Execution is the run of a request by a backend server.
type Execution struct {
	ID, Service, Team, Zone string
	At                      time.Time
	// SinceLeft is the time since the backend server's leaving was acknowledged; 0
	// if it was not.
	SinceLeft time.Duration
	// Cold means that the backend server was cold.
	Cold bool
	// KeyPassed means that the key of the caller arrived.
	KeyPassed bool
}

// Backend is a stand-in of the backend server of a machine.
type Backend struct {
	service, zone, control string
	listener               net.Listener
	server                 *http.Server
	slots                  chan struct{}
	onRun                  func(b *Backend, e Execution)

	mu       sync.Mutex
	id       string
	born     time.Time
	sequence int
	start    int
	draining bool
	leftAt   time.Time
	fault    BackendFault
	share    float64
	count    int
	stopped  chan struct{}
}

func newBackend(ip, service, zone, control string, onRun func(*Backend, Execution)) (*Backend, error) {
	ln, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	b := &Backend{
		service: service, zone: zone, control: control, listener: ln, onRun: onRun,
		slots: make(chan struct{}, backendSlots), stopped: make(chan struct{}),
	}
	b.Restart(false)
	b.server = &http.Server{Handler: b, ReadHeaderTimeout: time.Second}
	go func() { _ = b.server.Serve(ln) }() // Ends with Close.
	go b.announceLoop()
	return b, nil
}

// Close ends the backend server.
func (b *Backend) Close() {
	close(b.stopped)
	b.server.Close()
}

// Restart begins a new incarnation, which is cold if requests are under way.
func (b *Backend) Restart(cold bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.start++
	b.id = fmt.Sprintf("i-%s-%d", b.listener.Addr(), b.start)
	b.born, b.sequence, b.draining, b.leftAt = time.Now(), 0, false, time.Time{}
	if !cold {
		b.born = b.born.Add(-coldTime)
	}
}

// SetFault makes the backend server treat a share of its requests badly.
func (b *Backend) SetFault(f BackendFault, share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fault, b.share = f, share
}

// Drain announces that the backend server leaves.
func (b *Backend) Drain() {
	b.mu.Lock()
	b.draining = true
	b.mu.Unlock()
	b.announce()
}

func (b *Backend) coldFor(now time.Time) time.Duration {
	return max(coldTime-now.Sub(b.born), 0)
}

func (b *Backend) announceLoop() {
	t := time.NewTicker(heartbeat)
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

// announce sends one heartbeat. The acknowledgement of a draining one is noted.
func (b *Backend) announce() {
	b.mu.Lock()
	b.sequence++
	id, state := b.id, "ready"
	if b.draining {
		state = "draining"
	}
	body, err := json.Marshal(map[string]any{
		"service": b.service, "address": b.listener.Addr().String(), "zone": b.zone, "version": "v1", "slots": backendSlots,
		"state": state, "cold-remaining-ms": b.coldFor(time.Now()).Milliseconds(), "sequence": b.sequence, "born": b.born.UnixMilli(),
	})
	b.mu.Unlock()
	if err != nil {
		panic(err) // A map of plain values always encodes.
	}
	req, err := http.NewRequest(http.MethodPut, "http://"+b.control+"/v1/instances/"+id, bytes.NewReader(body))
	if err != nil {
		panic(err) // The address is well formed.
	}
	resp, err := (&http.Client{Timeout: heartbeatTimeout}).Do(req)
	if err != nil {
		return // The process is down; the next heartbeat follows.
	}
	resp.Body.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	if resp.StatusCode == http.StatusOK && state == "draining" && b.id == id && b.leftAt.IsZero() {
		b.leftAt = time.Now()
	}
}

// seal is the signature of an answer.
func seal(id, body string) string {
	sum := sha256.Sum256([]byte(id + "\x00" + body))
	return hex.EncodeToString(sum[:8])
}

// ServeHTTP runs a request. The query names the time that it takes, in milliseconds.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	body, err := io.ReadAll(r.Body)
	fault, refuse := b.admit(r)
	if err != nil || refuse != 0 {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(max(refuse, http.StatusBadRequest))
		return
	}
	defer func() { <-b.slots }()
	b.onRun(b, b.run(r, id))
	work, err := strconv.Atoi(r.URL.Query().Get("work"))
	if err != nil {
		work = 1
	}
	switch fault {
	case BackendFails:
		w.WriteHeader(http.StatusInternalServerError)
		return
	case BackendHangs:
		work = int(hangTime.Milliseconds())
	}
	select {
	case <-time.After(time.Duration(work) * time.Millisecond):
	case <-r.Context().Done():
		return
	}
	if fault == BackendDrops {
		panic(http.ErrAbortHandler)
	}
	text := r.Method + " " + r.URL.Path + " " + string(body)
	w.Header().Set("Server-Seal", seal(id, text))
	_, _ = io.WriteString(w, text) // The node may have closed the connection.
}

// admit decides on a request. A refusal is the status of the answer, else a slot
// is held.
func (b *Backend) admit(r *http.Request) (fault BackendFault, refuse int) {
	b.mu.Lock()
	b.count++
	every := b.share > 0 && float64(b.count%10) < b.share*10
	if every {
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

func (b *Backend) run(r *http.Request, id string) Execution {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	out := Execution{
		ID: id, Service: b.service, Zone: b.zone, Team: r.Header.Get("Tenant"), At: now,
		Cold: b.coldFor(now) > 0, KeyPassed: r.Header.Get("Authorization") != "",
	}
	if !b.leftAt.IsZero() {
		out.SinceLeft = now.Sub(b.leftAt)
	}
	return out
}
