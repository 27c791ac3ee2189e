package main

import (
	"bytes"
	"context"
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
	backendQueue  = 24
	heartbeat     = 1500 * time.Millisecond
	pingTimeout   = time.Second
	idleTimeout   = 10 * time.Second
	defaultWorkMS = 20
)

// backend is a stand-in for a backend server on a machine.
type backend struct {
	service, zone, address, control string
	slots                           int
	record                          *record
	// onRun is called as a request begins to run.
	onRun func(b *backend, id string, at time.Time)

	mu        sync.Mutex
	hook      func(body []byte) // called with each ping before it is sent
	id        string
	born      time.Time
	sequence  int
	coldFrom  time.Time
	coldUntil time.Time
	running   int
	waiting   int
	free      *sync.Cond
	left      bool
	server    *http.Server
	stop      chan struct{}
	stopped   sync.Once
}

func newBackend(ip, service, zone, control string, slots int, rec *record) (*backend, error) {
	ln, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	b := &backend{
		service: service, zone: zone, address: ln.Addr().String(), control: control, slots: slots, record: rec,
		id: "i-" + seal(ln.Addr().String(), service)[:8], born: time.Now(), stop: make(chan struct{}),
	}
	b.free = sync.NewCond(&b.mu)
	b.server = &http.Server{Handler: b, IdleTimeout: idleTimeout}
	go func() { _ = b.server.Serve(ln) }()
	return b, nil
}

// run sends pings until the backend server ends.
func (b *backend) run() {
	t := time.NewTicker(heartbeat)
	defer t.Stop()
	for {
		go b.ping()
		select {
		case <-t.C:
		case <-b.stop:
			return
		}
	}
}

// pingBody returns the body of the next ping.
func (b *backend) pingBody() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sequence++
	body, err := json.Marshal(map[string]any{
		"service": b.service, "address": b.address, "zone": b.zone, "version": "v1", "slots": b.slots, "state": "ready",
		"cold-remaining-ms": max(time.Until(b.coldUntil).Milliseconds(), 0), "sequence": b.sequence, "born": b.born.UnixMilli(),
	})
	if err != nil {
		panic(err)
	}
	return body
}

func (b *backend) ping() {
	b.mu.Lock()
	left := b.left
	b.mu.Unlock()
	if left {
		return
	}
	body := b.pingBody()
	b.mu.Lock()
	hook := b.hook
	b.mu.Unlock()
	if hook != nil {
		hook(body)
	}
	b.send(http.MethodPut, body)
}

// send calls the node and reports whether it has acknowledged.
func (b *backend) send(method string, body []byte) bool {
	ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+b.control+"/v1/instances/"+b.id, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Header.Set("Content-Type", "application/json")
	transport := &http.Transport{DisableKeepAlives: true}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode/100 == 2
}

// leave says that the backend server leaves; it pings no more. It returns the time of the
// acknowledgement.
func (b *backend) leave() (at time.Time, ok bool) {
	b.mu.Lock()
	b.left = true
	b.mu.Unlock()
	ok = b.send(http.MethodDelete, nil)
	return time.Now(), ok
}

// close ends the backend server.
func (b *backend) close() {
	b.stopped.Do(func() {
		close(b.stop)
		b.server.Close()
	})
}

// crash ends the backend server without notice: connections are reset and new ones refused.
func (b *backend) crash() {
	b.record.write(time.Now(), "backend", "backend=%s crashes", b.id)
	b.close()
}

// setHook sets the function that is called with each ping before it is sent.
func (b *backend) setHook(hook func(body []byte)) {
	b.mu.Lock()
	b.hook = hook
	b.mu.Unlock()
}

// setCold makes the backend server cold.
func (b *backend) setCold(d time.Duration) {
	b.mu.Lock()
	b.coldFrom = time.Now()
	b.coldUntil = b.coldFrom.Add(d)
	b.mu.Unlock()
}

func (b *backend) isCold(at time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return at.Before(b.coldUntil)
}

func (b *backend) coldSince() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.coldFrom
}

func seal(id, body string) string {
	sum := sha256.Sum256([]byte(id + "\x00" + body))
	return hex.EncodeToString(sum[:8])
}

// ServeHTTP runs a request. The query parameter "work" is its service time in milliseconds.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Keep-Alive", "timeout="+strconv.Itoa(int(idleTimeout.Seconds())))
	if r.URL.Path == "/healthz" {
		w.Header().Set("Instance-Id", b.id)
		b.mu.Lock()
		w.Header().Set("Cold-Remaining-Ms", strconv.FormatInt(max(time.Until(b.coldUntil).Milliseconds(), 0), 10))
		b.mu.Unlock()
		return
	}
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	refuse := func(status int) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(status)
	}
	n, err := io.Copy(io.Discard, r.Body)
	switch {
	case err != nil:
		return
	case id == "":
		refuse(http.StatusBadRequest)
		return
	case r.Header.Get("Target-Instance") != b.id:
		w.Header().Set("Instance-Id", b.id)
		refuse(http.StatusMisdirectedRequest)
		return
	}
	deadline := time.Now().Add(time.Hour)
	if ms, err := strconv.Atoi(r.Header.Get("Request-Deadline")); err == nil {
		deadline = time.Now().Add(time.Duration(ms) * time.Millisecond)
	}
	if !b.takeSlot(r.Context(), deadline) {
		refuse(http.StatusServiceUnavailable)
		return
	}
	defer b.releaseSlot()
	if r.Context().Err() != nil {
		return
	}
	now := time.Now()
	b.record.write(now, "run", "request=%s backend=%s service=%s bytes=%d", id, b.id, b.service, n)
	if b.onRun != nil {
		b.onRun(b, id, now)
	}
	work := defaultWorkMS
	if v, err := strconv.Atoi(r.URL.Query().Get("work")); err == nil {
		work = v
	}
	until := now.Add(time.Duration(work) * time.Millisecond)
	late := until.After(deadline)
	if late {
		until = deadline
	}
	select {
	case <-time.After(time.Until(until)):
	case <-r.Context().Done():
		return
	}
	if late {
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	text := fmt.Sprintf("%s %s %d", r.Method, r.URL.Path, n)
	w.Header().Set("Server-Seal", seal(id, text))
	b.mu.Lock()
	w.Header().Set("Server-Load", fmt.Sprintf("%d,%d,%d", b.running-1, b.waiting, b.slots))
	b.mu.Unlock()
	_, _ = io.WriteString(w, text)
}

// takeSlot waits for a slot and reports whether the request may run.
func (b *backend) takeSlot(ctx context.Context, deadline time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.running < b.slots {
		b.running++
		return true
	}
	if b.waiting >= backendQueue {
		return false
	}
	b.waiting++
	defer func() { b.waiting-- }()
	stop := context.AfterFunc(ctx, func() { b.mu.Lock(); b.free.Broadcast(); b.mu.Unlock() })
	defer stop()
	timer := time.AfterFunc(time.Until(deadline), func() { b.mu.Lock(); b.free.Broadcast(); b.mu.Unlock() })
	defer timer.Stop()
	for b.running >= b.slots {
		if ctx.Err() != nil || !time.Now().Before(deadline) {
			return false
		}
		b.free.Wait()
	}
	b.running++
	return true
}

func (b *backend) releaseSlot() {
	b.mu.Lock()
	b.running--
	b.free.Signal()
	b.mu.Unlock()
}
