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

// request is a validated request with its body.
type request struct {
	*http.Request
	body         []byte
	query        url.Values
	paddingBytes int
	timeout      time.Duration // 0 means none
}

// ServeHTTP serves the probe, load and control paths. It executes any other request or
// refuses it before its execution.
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
	if location := secretLocation(r, s.config.Secrets); location != "" {
		if err := s.executions.record(journalRecord{Secret: location}); err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
	}
	admitted, refused := s.admit(time.Now())
	if refused != "" {
		w.Header().Set(verdict.RefusedHeader, refused)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	end := interrupted
	defer func() { s.release(time.Now(), end) }()
	if r.Method == http.MethodPost {
		if err := s.executions.record(newJournalRecord(r, req.query, req.body)); err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
	}
	if admitted.faults.hasCrashMarker(r.Header, req.body) {
		s.handleCrash()
		panic(http.ErrAbortHandler)
	}
	end = s.execute(w, req, admitted)
	if end == interrupted || end == truncated {
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
		req.paddingBytes, err = strconv.Atoi(size)
		if err != nil || req.paddingBytes < 0 || req.paddingBytes > maxPaddingBytes {
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

// execute waits for the service time and responds as planned. A request that hangs
// ends only when its caller disconnects or the server stops, regardless of its timeout.
func (s *Server) execute(w http.ResponseWriter, r *request, admitted admittedRequest) completion {
	ctx := r.Context()
	if admitted.plan.outcome == outcomeHung {
		<-ctx.Done()
		return interrupted
	}
	if r.timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, r.timeout)
		defer cancel()
	}
	if !sleep(ctx, admitted.plan.serviceTime) {
		if r.Context().Err() != nil {
			return interrupted
		}
		http.Error(w, "execution stopped at its Request-Timeout", http.StatusGatewayTimeout)
		return timedOut
	}
	return s.respond(w, r, admitted)
}

// respond writes the answer with its planned fault.
func (s *Server) respond(w http.ResponseWriter, r *request, admitted admittedRequest) completion {
	if admitted.plan.outcome == outcomeFailed {
		http.Error(w, "internal failure", http.StatusInternalServerError)
		return completed
	}
	a := s.newAnswer(r)
	previous := s.swapLastAnswer(a)
	if admitted.plan.outcome == outcomeMismatched {
		a = previous
		w.Header().Set(verdict.RequestIDHeader, a.RequestID)
	}
	body, err := json.Marshal(a)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return completed
	}
	digest := answer.ContentDigest(body)
	if admitted.plan.outcome == outcomeWrong {
		body = corruptBody(a)
		if admitted.faults.WrongDigestMatches {
			digest = answer.ContentDigest(body)
		}
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(answer.DigestHeader, digest)
	if admitted.plan.outcome == outcomeTruncated {
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush() // Best effort: the connection is closed next.
		return truncated
	}
	_, _ = w.Write(body) // The caller may have disconnected.
	return completed
}

func (s *Server) newAnswer(r *request) answer.Answer {
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
		Padding:    strings.Repeat("x", r.paddingBytes),
	}
}

// corruptBody returns a well-formed answer of the same length as a, with a different
// digest of the request body.
func corruptBody(a answer.Answer) []byte {
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

// sleep waits for d and returns false if ctx ends first.
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
