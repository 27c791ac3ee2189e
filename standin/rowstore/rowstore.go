// Package rowstore implements a simulated platform store: tables of rows with atomic
// conditional writes and a change feed, served over HTTP from memory. It can inject
// the faults of the real store.
package rowstore

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Faults configures the faults of the store; the zero value has none.
type Faults struct {
	// Busy responds to every request with 503. Reset closes the connection without a
	// response.
	Busy, Reset bool
	// Delay is the delay of every request.
	Delay time.Duration
	// LoseResponses applies writes and closes the connection without a response.
	LoseResponses bool
	// WriteDelay is the delay after which writes are applied, if their conditions still
	// hold. Their connections are closed without a response.
	WriteDelay time.Duration
	// StallFeeds keeps every feed request open without reporting changes, unless its
	// revision is compacted.
	StallFeeds bool
}

type row struct {
	Table    string `json:"table"`
	Part     string `json:"part"`
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"ver"`
	Removed  bool   `json:"removed,omitempty"`
}

type response struct {
	Rows     []row  `json:"rows,omitempty"`
	HasMore  bool   `json:"has-more"`
	Revision uint64 `json:"ver"`
	NowMS    int64  `json:"now-ms"`
}

type rowWrite struct {
	Table    string  `json:"table"`
	Part     string  `json:"part"`
	Key      string  `json:"key"`
	Value    []byte  `json:"value"`
	Revision *uint64 `json:"ver"`
}

type transaction struct {
	Expected []rowWrite `json:"expected"`
	Upserts  []rowWrite `json:"upserts"`
	Deletes  []rowWrite `json:"deletes"`
}

// Store holds the rows. It is safe for concurrent use.
type Store struct {
	startedAt time.Time

	mu                sync.Mutex
	rows              map[string]row // by table, part and key
	revision          uint64
	compactedRevision uint64 // changes up to this revision are compacted
	era               uint64 // number of restorations
	clockShift        time.Duration
	faults            Faults
	requestCounts     map[string]int
	changed           chan struct{}
}

// New returns an empty store.
func New() *Store {
	return &Store{startedAt: time.Now(), rows: make(map[string]row), requestCounts: make(map[string]int), changed: make(chan struct{})}
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notifyFeeds()
}

// RequestCount returns the number of requests for a path.
func (s *Store) RequestCount(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requestCounts[path]
}

// Put writes a row without conditions. It is the write of the operator, who may also
// write the tables that are forbidden in transactions.
func (s *Store) Put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.rows[table+"\x00\x00"+key] = row{Table: table, Key: key, Value: value, Revision: s.revision}
	s.notifyFeeds()
}

// Delete removes a row without conditions, also from the tables that are forbidden in
// transactions.
func (s *Store) Delete(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.rows[table+"\x00\x00"+key] = row{Table: table, Key: key, Revision: s.revision, Removed: true}
	s.notifyFeeds()
}

// Value returns the value of a row and whether it exists.
func (s *Store) Value(table, key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.rows[table+"\x00\x00"+key]
	return r.Value, ok && !r.Removed
}

// CompactHistory compacts the history of all changes so far. A feed request for an
// earlier revision gets status 410.
func (s *Store) CompactHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.compactedRevision = s.revision
	s.notifyFeeds()
}

// Copy is the content of a store at one moment.
type Copy struct {
	rows       map[string]row
	revision   uint64
	storeClock time.Duration
}

// Copy returns a copy of the content.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{rows: maps.Clone(s.rows), revision: s.revision, storeClock: s.clock()}
}

// Restore replaces the content by a copy, except for the tables of the operator, whose rows
// are written again. The revisions since the copy are given out again, and the
// clock continues from the copy.
func (s *Store) Restore(c Copy, operatorTables ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.clockShift += c.storeClock - s.clock()
	lost := s.rows
	s.rows, s.revision = maps.Clone(c.rows), c.revision
	for _, id := range slices.Sorted(maps.Keys(lost)) {
		r := lost[id]
		if slices.Contains(operatorTables, r.Table) && s.rows[id].Revision != r.Revision {
			s.revision++
			r.Revision = s.revision
			s.rows[id] = r
		}
	}
	s.compactedRevision = min(s.compactedRevision, c.revision)
	s.notifyFeeds()
}

// clock returns the reading of the store's monotonic clock. s.mu must be held.
func (s *Store) clock() time.Duration { return time.Since(s.startedAt) + s.clockShift }

// notifyFeeds wakes the waiting feed requests. s.mu must be held.
func (s *Store) notifyFeeds() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP serves the API of the store.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.requestCounts[r.URL.Path]++
	f, era := s.faults, s.era
	s.mu.Unlock()
	w.Header().Set("Store-Era", strconv.FormatUint(era+1, 10))
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
	if f.WriteDelay > 0 {
		time.AfterFunc(f.WriteDelay, func() { s.apply(tx) })
		panic(http.ErrAbortHandler)
	}
	status, out := s.apply(tx)
	if f.LoseResponses {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, status, out)
}

// apply applies a transaction if its conditions hold, and returns the status and body
// of the response.
func (s *Store) apply(tx transaction) (int, response) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var conflicts []row
	for _, e := range tx.Expected {
		current, ok := s.rows[e.id()]
		if ok && current.Removed {
			current.Revision = 0
		}
		if e.Revision == nil || current.Revision != *e.Revision {
			conflicts = append(conflicts, current)
		}
	}
	if len(conflicts) > 0 {
		return http.StatusPreconditionFailed, s.newResponse(conflicts)
	}
	s.revision++
	for _, e := range tx.Upserts {
		s.rows[e.id()] = row{Table: e.Table, Part: e.Part, Key: e.Key, Value: e.Value, Revision: s.revision}
	}
	for _, e := range tx.Deletes {
		s.rows[e.id()] = row{Table: e.Table, Part: e.Part, Key: e.Key, Revision: s.revision, Removed: true}
	}
	s.notifyFeeds()
	return http.StatusOK, s.newResponse(nil)
}

func (e rowWrite) id() string { return e.Table + "\x00" + e.Part + "\x00" + e.Key }

// newResponse returns a response with rows, the current revision and the time of the
// store. s.mu must be held.
func (s *Store) newResponse(rows []row) response {
	return response{Rows: rows, Revision: s.revision, NowMS: s.clock().Milliseconds()}
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := s.matchingRows(func(stored row) bool {
		return stored.Table == q.Get("table") && stored.Part == q.Get("part") && stored.Key >= q.Get("from") && !stored.Removed
	})
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	limit, err := strconv.Atoi(q.Get("limit"))
	out := s.newResponse(rows)
	if err == nil && len(rows) > limit {
		out.Rows, out.HasMore = rows[:limit], true
	}
	writeJSON(w, http.StatusOK, out)
}

// matchingRows returns the rows for which match returns true. s.mu must be held.
func (s *Store) matchingRows(match func(row) bool) []row {
	rows := []row{}
	for _, stored := range s.rows {
		if match(stored) {
			rows = append(rows, stored)
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
		changed, compacted, keepOpen := s.changed, after < s.compactedRevision || after > s.revision, s.faults.StallFeeds
		w.Header().Set("Store-Era", strconv.FormatUint(s.era+1, 10))
		rows := s.matchingRows(func(stored row) bool { return stored.Table == q.Get("table") && stored.Revision > after })
		out := s.newResponse(rows)
		s.mu.Unlock()
		if compacted {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(rows) > 0 && !keepOpen {
			slices.SortFunc(out.Rows, func(a, b row) int { return int(a.Revision) - int(b.Revision) })
			writeJSON(w, http.StatusOK, out)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			if keepOpen {
				<-r.Context().Done()
				return
			}
			writeJSON(w, http.StatusOK, s.emptyResponse())
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) emptyResponse() response {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newResponse(nil)
}

func writeJSON(w http.ResponseWriter, status int, m any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(m) // The client may have disconnected.
}
