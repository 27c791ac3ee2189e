package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The times of the platform's store, as its site files state them.
const (
	storeAnswerTime = 4 * time.Millisecond
	storeTxTime     = 8 * time.Millisecond
)

// storeRow is a row of the platform's store, in the form of its API.
type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

type storeAnswer struct {
	Rows    []storeRow `json:"rows"`
	HasMore bool       `json:"has-more"`
	Ver     uint64     `json:"ver"`
	NowMS   int64      `json:"now-ms"`
}

type storeEntry struct {
	Table string  `json:"table"`
	Part  string  `json:"part"`
	Key   string  `json:"key"`
	Value []byte  `json:"value"`
	Ver   *uint64 `json:"ver"`
}

type storeTransaction struct {
	Expected []storeEntry `json:"expected"`
	Upserts  []storeEntry `json:"upserts"`
	Deletes  []storeEntry `json:"deletes"`
}

func (e storeEntry) id() string { return e.Table + "\x00" + e.Part + "\x00" + e.Key }

// store is a stand-in for the platform's store. It keeps all history.
type store struct {
	started time.Time

	mu      sync.Mutex
	rows    map[string]storeRow
	ver     uint64
	changed chan struct{}
	parts   map[string]*sync.Mutex
}

func newStore() *store {
	return &store{started: time.Now(), rows: make(map[string]storeRow), changed: make(chan struct{}), parts: make(map[string]*sync.Mutex)}
}

// put writes a row as the operator does. Its return is the acknowledgement.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	e := storeEntry{Table: table, Key: key}
	s.rows[e.id()] = storeRow{Table: table, Key: key, Value: value, Ver: s.ver}
	s.wake()
}

// wake wakes the waiting feeds. s.mu is held.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// answer returns an answer with rows. s.mu is held.
func (s *store) answer(rows []storeRow) storeAnswer {
	if rows == nil {
		rows = []storeRow{}
	}
	return storeAnswer{Rows: rows, Ver: s.ver, NowMS: time.Since(s.started).Milliseconds()}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/v1/rows-tx":
		s.transact(w, r)
	case "/v1/rows-get":
		s.get(w, r)
	case "/v1/rows-feed":
		s.feed(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx storeTransaction
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	part := ""
	for _, e := range slices.Concat(tx.Upserts, tx.Deletes) {
		if e.Table == "op" || e.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		part = e.Part
	}
	// The transactions of one part run one after another.
	s.mu.Lock()
	turn := s.parts[part]
	if turn == nil {
		turn = new(sync.Mutex)
		s.parts[part] = turn
	}
	s.mu.Unlock()
	turn.Lock()
	time.Sleep(storeTxTime)
	status, out := s.apply(tx)
	turn.Unlock()
	time.Sleep(storeAnswerTime)
	writeJSON(w, status, out)
}

func (s *store) apply(tx storeTransaction) (int, storeAnswer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []storeRow
	conflict := false
	for _, e := range tx.Expected {
		row, found := s.rows[e.id()]
		found = found && !row.Removed
		if found {
			current = append(current, row)
		}
		have := uint64(0)
		if found {
			have = row.Ver
		}
		conflict = conflict || e.Ver == nil || have != *e.Ver
	}
	if conflict {
		return http.StatusPreconditionFailed, s.answer(current)
	}
	s.ver++
	for _, e := range tx.Upserts {
		s.rows[e.id()] = storeRow{Table: e.Table, Part: e.Part, Key: e.Key, Value: e.Value, Ver: s.ver}
	}
	for _, e := range tx.Deletes {
		s.rows[e.id()] = storeRow{Table: e.Table, Part: e.Part, Key: e.Key, Ver: s.ver, Removed: true}
	}
	s.wake()
	return http.StatusOK, s.answer(nil)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	rows := s.matching(func(row storeRow) bool {
		return row.Table == q.Get("table") && row.Part == q.Get("part") && row.Key >= q.Get("from") && !row.Removed &&
			(q.Get("target") == "" || row.Key < q.Get("target"))
	})
	slices.SortFunc(rows, func(a, b storeRow) int { return strings.Compare(a.Key, b.Key) })
	more := len(rows) > limit
	out := s.answer(rows[:min(limit, len(rows))])
	out.HasMore = more
	s.mu.Unlock()
	time.Sleep(storeAnswerTime)
	writeJSON(w, http.StatusOK, out)
}

// matching returns the rows that match. s.mu is held.
func (s *store) matching(match func(storeRow) bool) []storeRow {
	var out []storeRow
	for _, row := range s.rows {
		if match(row) {
			out = append(out, row)
		}
	}
	return out
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(q.Get("wait-ms"))
	if err != nil || waitErr != nil {
		http.Error(w, "after or wait-ms is no number", http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	expired := false
	for {
		s.mu.Lock()
		changed := s.changed
		rows := s.matching(func(row storeRow) bool { return row.Table == q.Get("table") && row.Ver > after })
		slices.SortFunc(rows, func(a, b storeRow) int { return int(int64(a.Ver) - int64(b.Ver)) })
		out := s.answer(rows)
		s.mu.Unlock()
		if len(rows) > 0 || expired {
			time.Sleep(storeAnswerTime)
			writeJSON(w, http.StatusOK, out)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, status int, m any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(m) // The caller may have left.
}
