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
	// InFlight is the number of executions now.
	InFlight int `json:"in_flight"`
	// LastStarted is the time of the latest start of an execution.
	LastStarted time.Time `json:"last_started"`
	// Started counts executions.
	Started uint64 `json:"started"`
	// Completed counts executions that ran to the end.
	Completed uint64 `json:"completed"`
	// Cancelled counts executions whose caller went away.
	Cancelled uint64 `json:"cancelled"`
	// TimedOut counts executions that exceeded their Request-Timeout.
	TimedOut uint64 `json:"timed_out"`
	// Shed counts refusals because all slots were in use.
	Shed uint64 `json:"shed"`
	// RefusedDraining counts refusals while draining.
	RefusedDraining uint64 `json:"refused_draining"`
	// Collapses counts requests that came on top of another during a cold start.
	Collapses uint64 `json:"collapses"`
	// Crashes counts requests that contained the crash marker.
	Crashes uint64 `json:"crashes"`
	// RejectedConnections counts connections beyond the limit.
	RejectedConnections uint64 `json:"rejected_connections"`
	// Announced counts accepted announcements.
	Announced uint64 `json:"announced"`
	// AnnounceFailures counts announcements that failed.
	AnnounceFailures uint64 `json:"announce_failures"`
}

// stateChange is the body of PUT /state.
type stateChange struct {
	State string `json:"state"`
}

// controlMux serves the control paths.
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
	var c stateChange
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

// serveHealth answers a probe. It reports the state with the lag of the faults
// and does not look at the faults of the request path.
func (s *Server) serveHealth(w http.ResponseWriter, r *http.Request) {
	if !sleep(r.Context(), s.config.HealthTime) {
		return
	}
	past, f := s.reported(time.Now())
	if past.draining || f.HealthFails {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, stateChange{State: StateServing})
}

func (s *Server) serveLoad(w http.ResponseWriter, _ *http.Request) {
	past, f := s.reported(time.Now())
	writeJSON(w, loadReport(past, s.config.Slots, f))
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
	_, _ = w.Write(body) // The client may be gone.
}
