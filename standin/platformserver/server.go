// Package platformserver serves the HTTP API of the platform from memory.
//
// PUT /faults with {"mode": "none"|"down"|"slow"|"lost-answer", "delay_ms": n}
// sets the fault mode, and GET /stats returns the counts of requests. Both stay
// reachable in every mode. In mode "down" every API request gets status 503; in mode
// "lost-answer" a write takes effect and its connection is closed without a response.
package platformserver

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"trefoildock.example/platform"
	"trefoildock.example/platform/api"
	"trefoildock.example/platform/memory"
)

// Fault modes of the platform.
const (
	ModeNone         = "none"
	ModeDown         = "down"
	ModeSlow         = "slow"
	ModeLostResponse = "lost-answer"
)

const maxFaultsBytes = 4 << 10

// Faults is the body of PUT /faults.
type Faults struct {
	// Mode is one of the fault modes; empty means ModeNone.
	Mode string `json:"mode"`
	// DelayMillis is the delay of every request in mode "slow", in milliseconds.
	DelayMillis int64 `json:"delay_ms"`
}

// memoryFaults validates f and converts it to the faults of the store.
func (f Faults) memoryFaults() (memory.Faults, error) {
	switch f.Mode {
	case ModeNone, "":
		return memory.Faults{}, nil
	case ModeDown:
		return memory.Faults{Down: true}, nil
	case ModeLostResponse:
		return memory.Faults{LoseResponses: true}, nil
	case ModeSlow:
		if f.DelayMillis <= 0 {
			return memory.Faults{}, errors.New("mode slow needs delay_ms above 0")
		}
		return memory.Faults{Delay: time.Duration(f.DelayMillis) * time.Millisecond}, nil
	default:
		return memory.Faults{}, errors.Newf("unknown mode %q", f.Mode)
	}
}

type server struct {
	store   *memory.Store
	table   platform.Table
	objects platform.Objects
}

// New returns the handler of the platform API backed by store.
func New(store *memory.Store) http.Handler {
	s := &server{store: store, table: store.Table(), objects: store.Objects()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+api.RowsPath+"/{key}", s.getRow)
	mux.HandleFunc("GET "+api.RowsPath, s.scan)
	mux.HandleFunc("POST "+api.TransactionsPath, s.transact)
	mux.HandleFunc("GET "+api.ObjectsPath+"/{name}", s.getObject)
	mux.HandleFunc("PUT "+api.ObjectsPath+"/{name}", s.putObject)
	mux.HandleFunc("PUT /faults", s.putFaults)
	mux.HandleFunc("GET /stats", s.getStats)
	return mux
}

func (s *server) getRow(w http.ResponseWriter, r *http.Request) {
	row, err := s.table.Get(r.Context(), r.PathValue("key"))
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("ETag", quote(strconv.FormatUint(row.Revision, 10)))
	writeJSON(w, http.StatusOK, api.Row(row))
}

func (s *server) scan(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := platform.MaxScanRows
	if v := q.Get("limit"); v != "" {
		n, err := strconv.Atoi(v)
		if err != nil {
			http.Error(w, "limit is not a number", http.StatusBadRequest)
			return
		}
		limit = n
	}
	rows, err := s.table.Scan(r.Context(), q.Get("prefix"), q.Get("after"), limit)
	if err != nil {
		writeError(w, err)
		return
	}
	m := api.Rows{Rows: make([]api.Row, 0, len(rows))}
	for _, row := range rows {
		m.Rows = append(m.Rows, api.Row(row))
	}
	writeJSON(w, http.StatusOK, m)
}

func (s *server) transact(w http.ResponseWriter, r *http.Request) {
	body, ok := readBody(w, r, platform.MaxTableBodyBytes)
	if !ok {
		return
	}
	var m api.Transaction
	if err := json.Unmarshal(body, &m); err != nil {
		http.Error(w, "malformed transaction: "+err.Error(), http.StatusBadRequest)
		return
	}
	tx := platform.Transaction{Deletes: m.Deletes}
	for _, c := range m.Checks {
		tx.Checks = append(tx.Checks, platform.Check(c))
	}
	for _, p := range m.Puts {
		tx.Puts = append(tx.Puts, platform.Put(p))
	}
	revision, err := s.table.Transact(r.Context(), tx)
	var conflict *platform.ConflictError
	switch {
	case errors.As(err, &conflict):
		writeJSON(w, http.StatusConflict, api.Conflict{Key: conflict.Key})
	case err != nil:
		writeError(w, err)
	default:
		writeJSON(w, http.StatusOK, api.Committed{Revision: revision})
	}
}

func (s *server) getObject(w http.ResponseWriter, r *http.Request) {
	object, err := s.objects.Get(r.Context(), r.PathValue("name"))
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("ETag", quote(object.ETag))
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(object.Body)))
	_, _ = w.Write(object.Body) // The client may have disconnected.
}

func (s *server) putObject(w http.ResponseWriter, r *http.Request) {
	ifMatch, err := expectedETag(r.Header)
	if err != nil {
		http.Error(w, err.Error(), http.StatusPreconditionRequired)
		return
	}
	body, ok := readBody(w, r, platform.MaxObjectBytes)
	if !ok {
		return
	}
	etag, err := s.objects.Put(r.Context(), r.PathValue("name"), body, ifMatch)
	var conflict *platform.ConflictError
	switch {
	case errors.As(err, &conflict):
		http.Error(w, conflict.Error(), http.StatusPreconditionFailed)
	case err != nil:
		writeError(w, err)
	default:
		w.Header().Set("ETag", quote(etag))
		w.WriteHeader(http.StatusOK)
	}
}

// expectedETag returns the entity tag that the object must have; empty means that it must
// not exist. It returns an error for an unconditional write.
func expectedETag(h http.Header) (string, error) {
	match, none := h.Get("If-Match"), h.Get("If-None-Match")
	switch {
	case match == "" && none == "*":
		return "", nil
	case none == "" && len(match) > 2 && match[0] == '"' && match[len(match)-1] == '"':
		return match[1 : len(match)-1], nil
	default:
		return "", errors.New(`expected If-Match: "<entity tag>" or If-None-Match: *`)
	}
}

func (s *server) putFaults(w http.ResponseWriter, r *http.Request) {
	body, ok := readBody(w, r, maxFaultsBytes)
	if !ok {
		return
	}
	var f Faults
	if err := json.Unmarshal(body, &f); err != nil {
		http.Error(w, "malformed faults: "+err.Error(), http.StatusBadRequest)
		return
	}
	faults, err := f.memoryFaults()
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.store.SetFaults(faults)
	w.WriteHeader(http.StatusNoContent)
}

func (s *server) getStats(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.store.Counts())
}

func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		http.Error(w, "body cannot be read or exceeds the limit", http.StatusRequestEntityTooLarge)
		return nil, false
	}
	return body, true
}

// writeError responds with the status of err. For a write with an unknown outcome, it
// closes the connection without a response, as if the response was lost.
func writeError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, platform.ErrOutcomeUnknown):
		panic(http.ErrAbortHandler)
	case errors.Is(err, platform.ErrNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, platform.ErrInvalid):
		http.Error(w, err.Error(), http.StatusBadRequest)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

func writeJSON(w http.ResponseWriter, status int, m any) {
	body, err := json.Marshal(m)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body) // The client may have disconnected.
}

func quote(etag string) string { return `"` + etag + `"` }
