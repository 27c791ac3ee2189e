package admin

import (
	"net/http"
	"strings"
	"testing"
)

// fuzzTargets are the endpoints with a body.
var fuzzTargets = []string{
	"POST " + pathCheck, "POST " + pathDiff, "PUT " + pathConfiguration, "POST " + pathDeltas,
	"PUT " + pathZones + "z-a", "PUT " + pathBackendServers + "b-1",
	"POST " + pathTeams + "care-homes/keys", "POST " + pathWithdrawals,
}

// FuzzRequestBodies guards against a body that makes an endpoint panic or fail
// internally, or that leaves a configuration which cannot be loaded.
func FuzzRequestBodies(f *testing.F) {
	f.Fuzz(func(t *testing.T, target uint8, body string) {
		s := newServer(t)
		method, path, _ := strings.Cut(fuzzTargets[int(target)%len(fuzzTargets)], " ")
		for range 2 { // the second request is a repeat
			if status, answer := s.do(method, path, body); status >= http.StatusInternalServerError {
				t.Fatalf("%s %s: %d %s", method, path, status, answer)
			}
		}
		if _, err := s.store.LoadConfig(t.Context()); err != nil {
			t.Fatal(err)
		}
	})
}
