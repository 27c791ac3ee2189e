package backend

import (
	"bufio"
	"encoding/json"
	"net/http"
	"net/url"
	"os"
	"sync"

	"github.com/cockroachdb/errors"

	"trefoildock.example/verdict"
)

// maxJournalLine bounds a journal line; an order id is at most a request body.
const maxJournalLine = 4 * maxBodyBytes

// Executions are the numbers of started executions of POST requests.
type Executions struct {
	// Total is the number of executions, those without a key or order included.
	Total uint64 `json:"total"`
	// Keys counts executions by Idempotency-Key.
	Keys map[string]int `json:"keys"`
	// Orders counts executions by order id.
	Orders map[string]int `json:"orders"`
}

// Repeated returns only the keys and orders that were executed more than once.
func (e Executions) Repeated() Executions {
	r := Executions{Total: e.Total, Keys: make(map[string]int), Orders: make(map[string]int)}
	for key, n := range e.Keys {
		if n > 1 {
			r.Keys[key] = n
		}
	}
	for id, n := range e.Orders {
		if n > 1 {
			r.Orders[id] = n
		}
	}
	return r
}

// execution is one line of the journal.
type execution struct {
	Key   string `json:"key,omitempty"`
	Order string `json:"order,omitempty"`
}

// newExecution returns the key and the order id of a request. The order id is
// the field order_id of a JSON body or else of the query.
func newExecution(r *http.Request, query url.Values, body []byte) execution {
	var order struct {
		OrderID string `json:"order_id"`
	}
	if json.Unmarshal(body, &order) != nil || order.OrderID == "" {
		order.OrderID = query.Get("order_id")
	}
	return execution{Key: r.Header.Get(verdict.IdempotencyKeyHeader), Order: order.OrderID}
}

// recorder counts executions and appends them to the journal.
type recorder struct {
	mu      sync.Mutex
	counts  Executions
	journal *os.File // nil without a journal
}

// newRecorder opens the journal, if path is not empty, and reads what earlier
// processes recorded. A last line that was cut by a crash is ignored.
func newRecorder(path string) (*recorder, error) {
	r := &recorder{counts: Executions{Keys: make(map[string]int), Orders: make(map[string]int)}}
	if path == "" {
		return r, nil
	}
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_APPEND, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "open journal")
	}
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, maxJournalLine)
	for lines.Scan() {
		var e execution
		if json.Unmarshal(lines.Bytes(), &e) == nil {
			r.count(e)
		}
	}
	if err := lines.Err(); err != nil {
		return nil, errors.CombineErrors(errors.Wrap(err, "read journal"), f.Close())
	}
	// An empty line ends one that was cut, so that the next record is not lost with it.
	if _, err := f.WriteString("\n"); err != nil {
		return nil, errors.CombineErrors(errors.Wrap(err, "write journal"), f.Close())
	}
	r.journal = f
	return r, nil
}

// record notes the start of an execution before it can have an effect.
func (r *recorder) record(e execution) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count(e)
	if r.journal == nil {
		return nil
	}
	line, err := json.Marshal(e)
	if err != nil {
		return errors.Wrap(err, "encode journal line")
	}
	_, err = r.journal.Write(append(line, '\n'))
	return errors.Wrap(err, "write journal")
}

func (r *recorder) count(e execution) {
	r.counts.Total++
	if e.Key != "" {
		r.counts.Keys[e.Key]++
	}
	if e.Order != "" {
		r.counts.Orders[e.Order]++
	}
}

// snapshot returns a copy of the counts.
func (r *recorder) snapshot() Executions {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := Executions{
		Total:  r.counts.Total,
		Keys:   make(map[string]int, len(r.counts.Keys)),
		Orders: make(map[string]int, len(r.counts.Orders)),
	}
	for key, n := range r.counts.Keys {
		c.Keys[key] = n
	}
	for id, n := range r.counts.Orders {
		c.Orders[id] = n
	}
	return c
}

func (r *recorder) close() {
	if r.journal != nil {
		_ = r.journal.Close() // Every line was written without a buffer.
	}
}
