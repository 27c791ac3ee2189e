package backend

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
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
	// Secrets counts requests that carried a value of Config.Secrets, by the place
	// where it was found, for example "header X-Api-Key".
	Secrets map[string]int `json:"secrets,omitempty"`
}

func newExecutions() Executions {
	return Executions{Keys: make(map[string]int), Orders: make(map[string]int)}
}

// Add adds the counts of another server.
func (e *Executions) Add(o Executions) {
	e.Total += o.Total
	for key, n := range o.Keys {
		e.Keys[key] += n
	}
	for id, n := range o.Orders {
		e.Orders[id] += n
	}
	for place, n := range o.Secrets {
		e.addSecret(place, n)
	}
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

func (e *Executions) addSecret(place string, n int) {
	if e.Secrets == nil {
		e.Secrets = make(map[string]int)
	}
	e.Secrets[place] += n
}

// execution is one line of the journal.
type execution struct {
	Key   string `json:"key,omitempty"`
	Order string `json:"order,omitempty"`
	// Secret is the place of a known secret; such a line is no execution.
	Secret string `json:"secret,omitempty"`
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
	r := &recorder{counts: newExecutions()}
	if path == "" {
		return r, nil
	}
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_APPEND, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "open journal")
	}
	if err := r.read(f); err != nil {
		return nil, errors.CombineErrors(err, f.Close())
	}
	// An empty line ends one that was cut, so that the next record is not lost with it.
	if _, err := f.WriteString("\n"); err != nil {
		return nil, errors.CombineErrors(errors.Wrap(err, "write journal"), f.Close())
	}
	r.journal = f
	return r, nil
}

// ReadJournal returns the counts of the journal of a server, which may be dead.
func ReadJournal(path string) (Executions, error) {
	f, err := os.Open(path)
	if err != nil {
		return Executions{}, errors.Wrap(err, "open journal")
	}
	defer func() { _ = f.Close() }() // It was only read.
	r := &recorder{counts: newExecutions()}
	err = r.read(f)
	return r.counts, err
}

// read counts the lines of a journal and ignores malformed ones.
func (r *recorder) read(journal io.Reader) error {
	lines := bufio.NewScanner(journal)
	lines.Buffer(nil, maxJournalLine)
	for lines.Scan() {
		var e execution
		if json.Unmarshal(lines.Bytes(), &e) == nil {
			r.count(e)
		}
	}
	return errors.Wrap(lines.Err(), "read journal")
}

// findSecret returns the place of a secret in a request, or "" without one.
func findSecret(r *http.Request, secrets []string) string {
	for _, secret := range secrets {
		if strings.Contains(r.URL.RawQuery, secret) || strings.Contains(r.URL.Path, secret) {
			return "URL"
		}
		for name, values := range r.Header {
			for _, v := range values {
				if strings.Contains(v, secret) {
					return "header " + name
				}
			}
		}
	}
	return ""
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
	if e.Secret != "" {
		r.counts.addSecret(e.Secret, 1)
		return
	}
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
	c := newExecutions()
	c.Add(r.counts)
	return c
}

func (r *recorder) close() {
	if r.journal != nil {
		_ = r.journal.Close() // Every line was written without a buffer.
	}
}
