package backend

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"trefoildock.example/standin/answer"
	"trefoildock.example/verdict"
)

// Values of the Backend-Refused header.
const (
	refusedShed     = "shed"
	refusedDraining = "draining"
)

// request is a request that was read and validated.
type request struct {
	*http.Request
	body    []byte
	query   url.Values
	padding int
	timeout time.Duration // 0 means none
}

// ServeHTTP executes a request or refuses it before its execution.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/health":
		s.serveHealth(w, r)
	case "/load":
		s.serveLoad(w, r)
	case "/faults", "/state", "/executions", "/stats":
		s.control.ServeHTTP(w, r)
	default:
		s.serveRequest(w, r)
	}
}

func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(verdict.RequestIDHeader, r.Header.Get(verdict.RequestIDHeader))
	req, err := readRequest(w, r)
	if err != nil {
		status := http.StatusBadRequest
		if errors.HasType(err, (*http.MaxBytesError)(nil)) {
			status = http.StatusRequestEntityTooLarge
		}
		http.Error(w, err.Error(), status)
		return
	}
	if place := findSecret(r, s.config.Secrets); place != "" {
		if err := s.recorder.record(execution{Secret: place}); err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
	}
	run, refused := s.begin(time.Now())
	if refused != "" {
		w.Header().Set(verdict.RefusedHeader, refused)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	end := interrupted
	defer func() { s.end(time.Now(), end) }()
	if r.Method == http.MethodPost {
		if err := s.recorder.record(newExecution(r, req.query, req.body)); err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
	}
	if run.faults.crashes(r.Header, req.body) {
		s.crash()
		panic(http.ErrAbortHandler)
	}
	end = s.execute(w, req, run)
	if end == interrupted || end == cutOff {
		panic(http.ErrAbortHandler)
	}
}

// readRequest reads the body and the parameters of a request.
func readRequest(w http.ResponseWriter, r *http.Request) (*request, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		return nil, errors.Wrap(err, "read body")
	}
	req := &request{Request: r, body: body, query: r.URL.Query()}
	if size := req.query.Get("size"); size != "" {
		req.padding, err = strconv.Atoi(size)
		if err != nil || req.padding < 0 || req.padding > maxPaddingBytes {
			return nil, errors.Newf("size %.32q is not between 0 and %d", size, maxPaddingBytes)
		}
	}
	if v := r.Header.Get(verdict.TimeoutHeader); v != "" {
		seconds, err := strconv.ParseFloat(v, 64)
		if err != nil || !(seconds > 0 && seconds <= 86400) {
			return nil, errors.Newf("%s %.32q is not a number of seconds", verdict.TimeoutHeader, v)
		}
		req.timeout = time.Duration(seconds * float64(time.Second))
	}
	return req, nil
}

// execute spends the service time and answers as planned. A hung request ends
// only when its caller or the server goes away, whatever its timeout.
func (s *Server) execute(w http.ResponseWriter, r *request, run run) ending {
	ctx := r.Context()
	if run.plan.outcome == hung {
		<-ctx.Done()
		return interrupted
	}
	if r.timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, r.timeout)
		defer cancel()
	}
	if !sleep(ctx, run.plan.serviceTime) {
		if r.Context().Err() != nil {
			return interrupted
		}
		http.Error(w, "execution stopped at its Request-Timeout", http.StatusGatewayTimeout)
		return timedOut
	}
	return s.reply(w, r, run)
}

// reply writes the answer with the fault that was planned for it.
func (s *Server) reply(w http.ResponseWriter, r *request, run run) ending {
	if run.plan.outcome == failed {
		http.Error(w, "internal failure", http.StatusInternalServerError)
		return completed
	}
	a := s.answerTo(r)
	other := s.exchangeLast(a)
	if run.plan.outcome == crossed {
		a = other
		w.Header().Set(verdict.RequestIDHeader, a.RequestID)
	}
	body, err := json.Marshal(a)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return completed
	}
	digest := answer.ContentDigest(body)
	if run.plan.outcome == wrong {
		body = wrongBody(a)
		if run.faults.WrongDigestMatches {
			digest = answer.ContentDigest(body)
		}
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(answer.DigestHeader, digest)
	if run.plan.outcome == cut {
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush() // Best effort: the connection is closed next.
		return cutOff
	}
	_, _ = w.Write(body) // The caller may be gone.
	return completed
}

func (s *Server) answerTo(r *request) answer.Answer {
	return answer.Answer{
		Server:     s.config.Name,
		Service:    s.config.Service,
		RequestID:  r.Header.Get(verdict.RequestIDHeader),
		Team:       r.Header.Get(verdict.TeamHeader),
		Method:     r.Method,
		Path:       r.URL.Path,
		Query:      r.URL.RawQuery,
		BodyLength: len(r.body),
		BodyDigest: answer.BodyDigest(r.body),
		Padding:    strings.Repeat("x", r.padding),
	}
}

// wrongBody returns a well-formed answer of the same length that is for another
// request body.
func wrongBody(a answer.Answer) []byte {
	digest := []byte(a.BodyDigest)
	for i, c := range digest {
		digest[i] = "fedcba9876543210"[strings.IndexByte("0123456789abcdef", c)]
	}
	a.BodyDigest = string(digest)
	body, err := json.Marshal(a)
	if err != nil {
		return nil
	}
	return body
}

// sleep waits for d and reports false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
