// Package rowstore is a stand-in of the platform's store: tables of rows with
// atomic writes under conditions and a feed of changes, served over HTTP from
// memory, with the faults that the real store has.
package rowstore

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Faults are the faults of the store; the zero value is a healthy store.
type Faults struct {
	// Busy answers every call with 503. Reset closes the connection in place of an answer.
	Busy, Reset bool
	// Delay is added to every call.
	Delay time.Duration
	// LoseAnswers performs writes and closes the connection without an answer.
	LoseAnswers bool
	// LateWrites performs writes without an answer only after this time, if their
	// condition still holds.
	LateWrites time.Duration
	// SilentFeeds holds every feed open without telling of changes.
	SilentFeeds bool
}

type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

type answer struct {
	Rows    []row  `json:"rows,omitempty"`
	HasMore bool   `json:"has-more"`
	Ver     uint64 `json:"ver"`
	NowMS   int64  `json:"now-ms"`
}

type entry struct {
	Table string  `json:"table"`
	Part  string  `json:"part"`
	Key   string  `json:"key"`
	Value []byte  `json:"value"`
	Ver   *uint64 `json:"ver"`
}

type transaction struct {
	Expected []entry `json:"expected"`
	Upserts  []entry `json:"upserts"`
	Deletes  []entry `json:"deletes"`
}

// Store holds the rows. It is safe for concurrent use.
type Store struct {
	started time.Time

	mu      sync.Mutex
	rows    map[string]row // by table, part and key
	ver     uint64
	floor   uint64 // history up to this revision is gone
	faults  Faults
	calls   map[string]int
	changed chan struct{}
}

// New returns an empty store.
func New() *Store {
	return &Store{started: time.Now(), rows: make(map[string]row), calls: make(map[string]int), changed: make(chan struct{})}
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wake()
}

// Calls returns the number of calls by path.
func (s *Store) Calls(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

// Put writes a row as the operator does.
func (s *Store) Put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.rows[table+"\x00\x00"+key] = row{Table: table, Key: key, Value: value, Ver: s.ver}
	s.wake()
}

// Delete removes a row as the operator does.
func (s *Store) Delete(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.rows[table+"\x00\x00"+key] = row{Table: table, Key: key, Ver: s.ver, Removed: true}
	s.wake()
}

// Value returns the value of a row and whether it exists.
func (s *Store) Value(table, key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.rows[table+"\x00\x00"+key]
	return r.Value, ok && !r.Removed
}

// DropHistory forgets all changes so far.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.floor = s.ver
	s.wake()
}

// wake tells waiting feeds of a change. s.mu is held.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP serves the calls of the store.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls[r.URL.Path]++
	f := s.faults
	s.mu.Unlock()
	time.Sleep(f.Delay)
	if f.Reset {
		panic(http.ErrAbortHandler)
	}
	if f.Busy {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/v1/rows-tx":
		s.transact(w, r, f)
	case "/v1/rows-get":
		s.get(w, r)
	case "/v1/rows-feed":
		s.feed(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (s *Store) transact(w http.ResponseWriter, r *http.Request, f Faults) {
	var tx transaction
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	for _, e := range append(slices.Clone(tx.Upserts), tx.Deletes...) {
		if e.Table == "op" || e.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	if f.LateWrites > 0 {
		time.AfterFunc(f.LateWrites, func() { s.apply(tx) })
		panic(http.ErrAbortHandler)
	}
	status, out := s.apply(tx)
	if f.LoseAnswers {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, status, out)
}

// apply performs a transaction if its conditions hold.
func (s *Store) apply(tx transaction) (int, answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var conflicts []row
	for _, e := range tx.Expected {
		held, ok := s.rows[e.id()]
		if ok && held.Removed {
			held.Ver = 0
		}
		if e.Ver == nil || held.Ver != *e.Ver {
			conflicts = append(conflicts, held)
		}
	}
	if len(conflicts) > 0 {
		return http.StatusPreconditionFailed, s.answer(conflicts)
	}
	s.ver++
	for _, e := range tx.Upserts {
		s.rows[e.id()] = row{Table: e.Table, Part: e.Part, Key: e.Key, Value: e.Value, Ver: s.ver}
	}
	for _, e := range tx.Deletes {
		s.rows[e.id()] = row{Table: e.Table, Part: e.Part, Key: e.Key, Ver: s.ver, Removed: true}
	}
	s.wake()
	return http.StatusOK, s.answer(nil)
}

func (e entry) id() string { return e.Table + "\x00" + e.Part + "\x00" + e.Key }

// answer returns the common part of an answer. s.mu is held.
func (s *Store) answer(rows []row) answer {
	return answer{Rows: rows, Ver: s.ver, NowMS: time.Since(s.started).Milliseconds()}
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := s.matching(func(held row) bool {
		return held.Table == q.Get("table") && held.Part == q.Get("part") && held.Key >= q.Get("from") && !held.Removed
	})
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	limit, err := strconv.Atoi(q.Get("limit"))
	out := s.answer(rows)
	if err == nil && len(rows) > limit {
		out.Rows, out.HasMore = rows[:limit], true
	}
	writeJSON(w, http.StatusOK, out)
}

// matching returns the rows that fit. s.mu is held.
func (s *Store) matching(fits func(row) bool) []row {
	rows := []row{}
	for _, held := range s.rows {
		if fits(held) {
			rows = append(rows, held)
		}
	}
	return rows
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(q.Get("wait-ms"))
	if err != nil || waitErr != nil {
		http.Error(w, "after or wait-ms is not a number", http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		changed, gone, silent := s.changed, after < s.floor, s.faults.SilentFeeds
		rows := s.matching(func(held row) bool { return held.Table == q.Get("table") && held.Ver > after })
		out := s.answer(rows)
		s.mu.Unlock()
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(rows) > 0 && !silent {
			slices.SortFunc(out.Rows, func(a, b row) int { return int(a.Ver) - int(b.Ver) })
			writeJSON(w, http.StatusOK, out)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			if silent {
				<-r.Context().Done()
				return
			}
			writeJSON(w, http.StatusOK, s.now())
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) now() answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answer(nil)
}

func writeJSON(w http.ResponseWriter, status int, m any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(m) // The client may be gone.
}
