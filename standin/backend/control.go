package backend

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

const maxControlBytes = 16 << 10

// Stats are the counts of a backend server since its start.
type Stats struct {
	// Incarnation identifies this start of the server.
	Incarnation string `json:"incarnation"`
	// State is "serving" or "draining".
	State string `json:"state"`
	// Cold reports whether the server is in its cold start.
	Cold bool `json:"cold"`
	// InFlight is the current number of executions.
	InFlight int `json:"in_flight"`
	// LastStarted is the start time of the latest execution.
	LastStarted time.Time `json:"last_started"`
	// Started counts started executions.
	Started uint64 `json:"started"`
	// Completed counts executions that ran to the end.
	Completed uint64 `json:"completed"`
	// Cancelled counts executions that were interrupted, mostly because the caller
	// disconnected.
	Cancelled uint64 `json:"cancelled"`
	// TimedOut counts executions that exceeded their Request-Timeout.
	TimedOut uint64 `json:"timed_out"`
	// Shed counts requests refused because all slots were in use.
	Shed uint64 `json:"shed"`
	// RefusedDraining counts requests refused while draining.
	RefusedDraining uint64 `json:"refused_draining"`
	// Collapses counts requests that started during a cold start while another one
	// was executing.
	Collapses uint64 `json:"collapses"`
	// Crashes counts requests that contained the crash marker.
	Crashes uint64 `json:"crashes"`
	// RejectedConnections counts connections closed because of the limit.
	RejectedConnections uint64 `json:"rejected_connections"`
	// Announced counts announcements accepted by the node.
	Announced uint64 `json:"announced"`
	// AnnounceFailures counts announcements that failed.
	AnnounceFailures uint64 `json:"announce_failures"`
}

// stateMessage is the body of PUT /state and of the response to a successful health
// probe.
type stateMessage struct {
	State string `json:"state"`
}

// controlMux returns the handler of the control paths.
func (s *Server) controlMux() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /faults", s.putFaults)
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Faults()) })
	mux.HandleFunc("PUT /state", s.putState)
	mux.HandleFunc("GET /executions", s.getExecutions)
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Stats()) })
	return mux
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !readJSON(w, r, &f) {
		return
	}
	if err := s.SetFaults(f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) putState(w http.ResponseWriter, r *http.Request) {
	var c stateMessage
	if !readJSON(w, r, &c) {
		return
	}
	if c.State != StateServing && c.State != StateDraining {
		http.Error(w, "state must be serving or draining", http.StatusBadRequest)
		return
	}
	s.SetDraining(c.State == StateDraining)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) getExecutions(w http.ResponseWriter, r *http.Request) {
	e := s.Executions()
	if repeated, _ := strconv.ParseBool(r.URL.Query().Get("repeated")); repeated {
		e = e.Repeated()
	}
	writeJSON(w, e)
}

// serveHealth responds to a health probe. It reports the state with the configured lag
// and ignores the faults of the request path.
func (s *Server) serveHealth(w http.ResponseWriter, r *http.Request) {
	if !sleep(r.Context(), s.config.HealthTime) {
		return
	}
	reported, f := s.laggedState(time.Now())
	if reported.draining || f.HealthFails {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, stateMessage{State: StateServing})
}

func (s *Server) serveLoad(w http.ResponseWriter, _ *http.Request) {
	reported, f := s.laggedState(time.Now())
	writeJSON(w, loadReport(reported, s.config.Slots, f))
}

func readJSON(w http.ResponseWriter, r *http.Request, m any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(m); err != nil {
		http.Error(w, "malformed body: "+err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, m any) {
	body, err := json.Marshal(m)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body) // The client may have disconnected.
}
