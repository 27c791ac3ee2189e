package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// request is a request of a consumer.
type request struct {
	id, host, path, method, key string
	body                        []byte
	deadline                    time.Duration
}

// outcome is what a consumer saw of a request.
type outcome struct {
	id           string
	machine      string
	sentAt       time.Time // the last byte was written
	endedAt      time.Time
	status       int  // 0 without an answer
	closed       bool // the connection ended without a complete answer
	timedOut     bool // the deadline has passed without an answer
	kept         bool // the connection had carried a request before
	notConnected bool
}

func (o outcome) String() string {
	switch {
	case o.notConnected:
		return "not connected"
	case o.closed:
		return "closed without an answer"
	case o.timedOut:
		return "no answer by the deadline"
	default:
		return strconv.Itoa(o.status)
	}
}

var requestCount atomic.Int64

func newID(prefix string) string { return fmt.Sprintf("%s-%06d", prefix, requestCount.Add(1)) }

// consumer is a consumer on a machine. It keeps its connection for many requests.
type consumer struct {
	machine *machine
	record  *record
	conn    net.Conn
	br      *bufio.Reader
	used    bool
}

func (c *consumer) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// do sends a request and waits for its answer until the deadline.
func (c *consumer) do(q request) outcome {
	o := outcome{id: q.id, machine: c.machine.name, kept: c.conn != nil && c.used}
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.machine.outbound, time.Second)
		if err != nil {
			o.notConnected, o.endedAt = true, time.Now()
			c.record.write(o.endedAt, "answer", "request=%s machine=%s result=%q", q.id, o.machine, o)
			return o
		}
		c.conn, c.br, c.used = conn, bufio.NewReader(conn), false
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nRequest-Deadline: %d\r\n", q.method, q.path, q.host, q.id, q.deadline.Milliseconds())
	if q.key != "" {
		head += "Authorization: Bearer " + q.key + "\r\n"
	}
	if q.method == http.MethodPost {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(q.body))
	}
	head += "\r\n"
	started := time.Now()
	_ = c.conn.SetDeadline(started.Add(q.deadline))
	c.record.write(started, "send", "request=%s machine=%s %s %s bytes=%d kept=%t", q.id, o.machine, q.method, q.path, len(q.body), o.kept)
	var err error
	if len(q.body) < 64<<10 {
		_, err = io.WriteString(c.conn, head+string(q.body))
	} else if _, err = io.WriteString(c.conn, head); err == nil {
		_, err = c.conn.Write(q.body)
	}
	o.sentAt = time.Now()
	if err == nil {
		var resp *http.Response
		if resp, err = http.ReadResponse(c.br, &http.Request{Method: q.method}); err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			if err == nil {
				o.status = resp.StatusCode
			}
			if resp.Close {
				defer c.close()
			}
		}
	}
	o.endedAt = time.Now()
	switch {
	case err == nil:
		c.used = true
	case errors.Is(err, os.ErrDeadlineExceeded):
		o.timedOut = true
		c.close()
	default:
		o.closed = true
		c.close()
	}
	c.record.write(o.endedAt, "answer", "request=%s machine=%s result=%q", q.id, o.machine, o)
	return o
}

// results gathers outcomes.
type results struct {
	mu   sync.Mutex
	list []outcome
}

func (r *results) add(o outcome) {
	r.mu.Lock()
	r.list = append(r.list, o)
	r.mu.Unlock()
}

func (r *results) all() []outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]outcome(nil), r.list...)
}

// count returns how many outcomes match.
func (r *results) count(match func(outcome) bool) int {
	n := 0
	for _, o := range r.all() {
		if match(o) {
			n++
		}
	}
	return n
}

// startSpread is the time over which the consumers of a machine begin.
const startSpread = 400 * time.Millisecond

// keepSending runs consumers on a machine until stop is closed. Each sends a request, waits
// for its answer and pauses. Consumers send nothing while the platform has taken their
// machine out.
func keepSending(wg *sync.WaitGroup, stop <-chan struct{}, m *machine, rec *record, n int, pause time.Duration, res *results, next func() request) {
	for i := range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := &consumer{machine: m, record: rec}
			defer c.close()
			time.Sleep(startSpread * time.Duration(i) / time.Duration(n))
			for {
				select {
				case <-stop:
					return
				default:
				}
				if m.takesConsumers() {
					res.add(c.do(next()))
				}
				time.Sleep(pause)
			}
		}()
	}
}
