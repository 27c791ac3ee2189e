package main

import (
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a default HTTP client that does not retry a change after the server
// closed the connection without a response, and against an ignored token file.
func TestConnectionClosedBeforeResponse(t *testing.T) {
	s := newOperatorSession()
	responsesToDrop := 1
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPut && responsesToDrop > 0 {
			responsesToDrop--
			s.handler.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
		s.handler.ServeHTTP(w, r)
	}))
	defer server.Close()
	token := filepath.Join(t.TempDir(), "token")
	require.NoError(t, os.WriteFile(token, []byte("token-1\n"), 0o600))

	var out, errs strings.Builder
	env := environment{
		stdout: &out, stderr: &errs, initialBackoff: time.Nanosecond,
		getenv:      func(string) string { return "" },
		newCommitID: func() (string, error) { return "commit-01", nil },
	}
	args := []string{
		"zone", "out", "cymru-south-a", "--requester", "D. Parry", "--reason", "power work",
		"--server", server.URL, "--token-file", token,
	}
	require.Equal(t, exitOK, run(t.Context(), args, env), errs.String())
	require.Contains(t, out.String(), "version 1 was committed by an earlier request with commit id commit-01")
	require.Zero(t, responsesToDrop)
}
