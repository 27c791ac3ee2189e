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

// maxJournalLineBytes bounds a journal line. An order ID is at most as long as a
// request body.
const maxJournalLineBytes = 4 * maxBodyBytes

// Executions counts started executions of POST requests.
type Executions struct {
	// Total is the number of executions, including those without a key or order ID.
	Total uint64 `json:"total"`
	// Keys counts executions by Idempotency-Key.
	Keys map[string]int `json:"keys"`
	// Orders counts executions by order ID.
	Orders map[string]int `json:"orders"`
	// Secrets counts requests that contained a value of Config.Secrets, by its
	// location, for example "header X-Api-Key".
	Secrets map[string]int `json:"secrets,omitempty"`
}

func newExecutions() Executions {
	return Executions{Keys: make(map[string]int), Orders: make(map[string]int)}
}

// Add adds the counts of o.
func (e *Executions) Add(o Executions) {
	e.Total += o.Total
	for key, n := range o.Keys {
		e.Keys[key] += n
	}
	for id, n := range o.Orders {
		e.Orders[id] += n
	}
	for location, n := range o.Secrets {
		e.addSecret(location, n)
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

func (e *Executions) addSecret(location string, n int) {
	if e.Secrets == nil {
		e.Secrets = make(map[string]int)
	}
	e.Secrets[location] += n
}

// journalRecord is one line of the journal.
type journalRecord struct {
	Key   string `json:"key,omitempty"`
	Order string `json:"order,omitempty"`
	// Secret is the location of a secret in a request. A record with this field does
	// not count as an execution.
	Secret string `json:"secret,omitempty"`
}

// newJournalRecord returns the record of a request. The order ID is the field order_id
// of a JSON body or, without one, the query parameter order_id.
func newJournalRecord(r *http.Request, query url.Values, body []byte) journalRecord {
	var order struct {
		OrderID string `json:"order_id"`
	}
	if json.Unmarshal(body, &order) != nil || order.OrderID == "" {
		order.OrderID = query.Get("order_id")
	}
	return journalRecord{Key: r.Header.Get(verdict.IdempotencyKeyHeader), Order: order.OrderID}
}

// executionLog counts executions and appends them to the journal.
type executionLog struct {
	mu      sync.Mutex
	counts  Executions
	journal *os.File // nil without a journal
}

// newExecutionLog opens the journal, if path is not empty, and counts the records of
// earlier processes. A last line that a crash truncated is ignored.
func newExecutionLog(path string) (*executionLog, error) {
	l := &executionLog{counts: newExecutions()}
	if path == "" {
		return l, nil
	}
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_APPEND, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "open journal")
	}
	if err := l.read(f); err != nil {
		return nil, errors.CombineErrors(err, f.Close())
	}
	// The newline terminates a truncated line, so that the next record stays readable.
	if _, err := f.WriteString("\n"); err != nil {
		return nil, errors.CombineErrors(errors.Wrap(err, "write journal"), f.Close())
	}
	l.journal = f
	return l, nil
}

// ReadJournal returns the counts of the journal of a running or stopped server.
func ReadJournal(path string) (Executions, error) {
	f, err := os.Open(path)
	if err != nil {
		return Executions{}, errors.Wrap(err, "open journal")
	}
	defer func() { _ = f.Close() }() // The file was only read.
	l := &executionLog{counts: newExecutions()}
	err = l.read(f)
	return l.counts, err
}

// read counts the lines of a journal and ignores malformed ones.
func (l *executionLog) read(journal io.Reader) error {
	scanner := bufio.NewScanner(journal)
	scanner.Buffer(nil, maxJournalLineBytes)
	for scanner.Scan() {
		var record journalRecord
		if json.Unmarshal(scanner.Bytes(), &record) == nil {
			l.countRecord(record)
		}
	}
	return errors.Wrap(scanner.Err(), "read journal")
}

// secretLocation returns the location of a secret in a request, or "" without one.
func secretLocation(r *http.Request, secrets []string) string {
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

// record records the start of an execution. It is called before the execution has any
// effect.
func (l *executionLog) record(r journalRecord) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.countRecord(r)
	if l.journal == nil {
		return nil
	}
	line, err := json.Marshal(r)
	if err != nil {
		return errors.Wrap(err, "encode journal line")
	}
	_, err = l.journal.Write(append(line, '\n'))
	return errors.Wrap(err, "write journal")
}

func (l *executionLog) countRecord(r journalRecord) {
	if r.Secret != "" {
		l.counts.addSecret(r.Secret, 1)
		return
	}
	l.counts.Total++
	if r.Key != "" {
		l.counts.Keys[r.Key]++
	}
	if r.Order != "" {
		l.counts.Orders[r.Order]++
	}
}

// snapshot returns a copy of the counts.
func (l *executionLog) snapshot() Executions {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := newExecutions()
	c.Add(l.counts)
	return c
}

func (l *executionLog) close() {
	if l.journal != nil {
		_ = l.journal.Close() // Writes are unbuffered.
	}
}
