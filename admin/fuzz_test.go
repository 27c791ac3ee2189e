package admin

import (
	"net/http"
	"strings"
	"testing"
)

// fuzzTargets are the endpoints with a request body.
var fuzzTargets = []string{
	"POST " + pathCheck, "POST " + pathDiff, "PUT " + pathConfiguration, "POST " + pathDeltas,
	"PUT " + pathZones + "z-a", "PUT " + pathBackendServers + "b-1",
	"POST " + pathTeams + "care-homes/keys", "POST " + pathWithdrawals,
}

// Guards against a body that causes a panic or an internal error,
// or after which the configuration cannot be loaded.
func FuzzRequestBodies(f *testing.F) {
	f.Fuzz(func(t *testing.T, target uint8, body string) {
		s := newTestServer(t)
		method, path, _ := strings.Cut(fuzzTargets[int(target)%len(fuzzTargets)], " ")
		for range 2 { // the second request is a retry
			if status, response := s.do(method, path, body); status >= http.StatusInternalServerError {
				t.Fatalf("%s %s: %d %s", method, path, status, response)
			}
		}
		if _, err := s.store.LoadConfig(t.Context()); err != nil {
			t.Fatal(err)
		}
	})
}
