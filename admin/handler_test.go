package admin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"trefoildock.example/configstore"
	"trefoildock.example/platform"
	"trefoildock.example/platform/memory"
	"trefoildock.example/rules"
)

const baseRules = `service orders floor 1 probe /health # A. Rees: orders
route POST /orders service orders access team repeat once timeout 5s # A. Rees: orders
team care-homes rate 50/s burst 100 weight 2 # C. Pugh: contract 14
zone z-a in # D. Parry: launch
`

// fakeCluster accepts every entry unless noQuorum is set.
type fakeCluster struct {
	noQuorum  bool
	mu        sync.Mutex
	published []uint64
}

func (c *fakeCluster) Status(context.Context) Status {
	return Status{Node: "n-1", Zone: "z-a", Members: []MemberStatus{{Node: "n-1", Zone: "z-a"}, {Node: "n-2", Zone: "z-b"}}}
}

func (c *fakeCluster) Publish(_ context.Context, entry configstore.ConfigEntry) Acceptance {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.published = append(c.published, entry.Version)
	return Acceptance{Accepted: !c.noQuorum, Acknowledged: 1, Needed: 1, InForce: 2, Nodes: 2}
}

// fakeOperatorLookup accepts a single token.
func fakeOperatorLookup(token string) (string, bool) {
	return "d-parry", token == "secret"
}

// fakeRefusalCounter counts rejected requests by problem code.
type fakeRefusalCounter struct {
	mu     sync.Mutex
	counts map[string]int
}

func (c *fakeRefusalCounter) CountRefusal(code string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[code]++
}

// testServer is a handler with an in-memory platform.
type testServer struct {
	handler  http.Handler
	platform *memory.Store
	store    *configstore.Store
	cluster  *fakeCluster
	refusals *fakeRefusalCounter
}

func newTestServer(t testing.TB) *testServer {
	m := memory.New()
	s := &testServer{
		platform: m,
		store: configstore.New(m.Table(), m.Objects(), configstore.Options{
			Now:        func() time.Time { return time.Date(2026, 5, 4, 3, 2, 1, 0, time.UTC) },
			RetryDelay: time.Nanosecond,
		}),
		cluster:  &fakeCluster{},
		refusals: &fakeRefusalCounter{counts: map[string]int{}},
	}
	s.handler = NewHandler(Config{Store: s.store, Cluster: s.cluster, Operator: fakeOperatorLookup, Refusals: s.refusals})
	config, err := rules.Parse("base", strings.NewReader(baseRules))
	require.NoError(t, err)
	_, err = s.store.CommitConfig(t.Context(), configstore.ConfigCommit{
		ID: "base-commit", Operator: "setup", Requester: "A. Rees: launch", Delta: rules.Diff(rules.NewConfig(), config),
	})
	require.NoError(t, err)
	return s
}

// do sends a request with the operator's token and returns the status and body of
// the response.
func (s *testServer) do(method, path, body string) (int, string) {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer secret")
	r.Header.Set("Content-Type", "application/json")
	w := httptest.NewRecorder()
	s.handler.ServeHTTP(w, r)
	return w.Code, w.Body.String()
}

func zoneBody(id, state string) string {
	return `{"commit_id":"` + id + `","comment":"D. Parry: power work","state":"` + state + `"}`
}

// Guards against an endpoint, or the response for an unknown path, that is accessible
// without authentication, and against rejected requests that are not counted.
func TestUnauthenticatedRequestsAreRejected(t *testing.T) {
	s := newTestServer(t)
	for _, header := range []string{"", "secret", "Basic secret", "Bearer", "Bearer ", "Bearer wrong", "Bearer " + strings.Repeat("a", maxTokenLength+1)} {
		for _, path := range []string{pathStatus, pathConfiguration, "/v1/none", "/"} {
			r := httptest.NewRequest(http.MethodGet, path, nil)
			if header != "" {
				r.Header.Set("Authorization", header)
			}
			w := httptest.NewRecorder()
			s.handler.ServeHTTP(w, r)
			require.Equal(t, http.StatusUnauthorized, w.Code, "%s %q", path, header)
			require.Equal(t, "application/problem+json", w.Header().Get("Content-Type"))
		}
	}
	r := httptest.NewRequest(http.MethodGet, pathStatus, nil)
	r.Header["Authorization"] = []string{"Bearer secret", "Bearer secret"}
	w := httptest.NewRecorder()
	s.handler.ServeHTTP(w, r)
	require.Equal(t, http.StatusUnauthorized, w.Code, "two headers are ambiguous")
	require.Equal(t, map[string]int{CodeUnauthorized: 29}, s.refusals.counts)
}

// Guards against invalid requests that are accepted or rejected without a problem
// body.
func TestInvalidRequestsAreRejected(t *testing.T) {
	change := `"commit_id":"commit-1","comment":"A. Rees: test"`
	tests := []struct {
		name, method, path, body string
		status                   int
		code                     string
	}{
		{"unknown path", "GET", "/v1/none", "", 404, CodeNotFound},
		{"method", "DELETE", pathStatus, "", 405, CodeMethodNotAllowed},
		{"syntax", "POST", pathCheck, `{"text":`, 400, CodeBadRequest},
		{"unknown member", "POST", pathCheck, `{"texts":""}`, 400, CodeBadRequest},
		{"repeated member", "POST", pathCheck, `{"text":"","Text":""}`, 400, CodeBadRequest},
		{"trailing data", "POST", pathCheck, `{"text":""}{}`, 400, CodeBadRequest},
		{"deep nesting", "POST", pathCheck, strings.Repeat("[", 100), 400, CodeBadRequest},
		{"not UTF-8", "POST", pathCheck, "{\"text\":\"\xff\"}", 400, CodeBadRequest},
		{"large delta", "POST", pathDeltas, `{"delta":"` + strings.Repeat("a", MaxBodyBytes) + `"}`, 413, CodeBodyTooLarge},
		{"large file", "POST", pathCheck, `{"text":"` + strings.Repeat("a", MaxFileBodyBytes) + `"}`, 413, CodeBodyTooLarge},
		{"rules", "POST", pathCheck, `{"text":"zone a away"}`, 422, CodeInvalidRules},
		{"no version", "POST", pathDeltas, `{` + change + `,"delta":{"added":["zone z-c out # A: b"]}}`, 400, CodeBadRequest},
		{"line break", "POST", pathDeltas, `{` + change + `,"read_version":1,"delta":{"added":["zone z-c out # A: b\nzone d out # A: b"]}}`, 400, CodeBadRequest},
		{"delta that does not apply", "POST", pathDeltas, `{` + change + `,"read_version":1,"delta":{"removed":["zone z-c out # A: b"]}}`, 422, CodeInvalidRules},
		{"future version", "POST", pathDeltas, `{` + change + `,"read_version":9,"delta":{"added":["zone z-c out # A: b"]}}`, 409, CodeConflict},
		{"no commit id", "PUT", pathZones + "z-a", `{"comment":"A: b","state":"out"}`, 400, CodeBadRequest},
		{"no requester", "PUT", pathZones + "z-a", `{"commit_id":"commit-1","comment":"b","state":"out"}`, 400, CodeBadRequest},
		{"comment with control character", "PUT", pathZones + "z-a", `{"commit_id":"commit-1","comment":"A: b\n","state":"out"}`, 400, CodeBadRequest},
		{"state", "PUT", pathZones + "z-a", zoneBody("commit-1", "off"), 400, CodeBadRequest},
		{"unknown zone", "PUT", pathZones + "z-x", zoneBody("commit-1", "out"), 404, CodeNotFound},
		{"name", "PUT", pathBackendServers + "a%20b", zoneBody("commit-1", "out"), 400, CodeBadRequest},
		{"reused id", "PUT", pathBackendServers + "b-1", zoneBody("base-commit", "out"), 422, CodeCommitIDReused},
		{"unknown team", "POST", pathTeams + "none/keys", `{` + change + `}`, 404, CodeNotFound},
		{"digest and team", "POST", pathWithdrawals, `{` + change + `,"digest":"a","team":"b"}`, 400, CodeBadRequest},
		{"unknown key", "POST", pathWithdrawals, `{` + change + `,"digest":"sha256:` + strings.Repeat("0", 64) + `"}`, 404, CodeNotFound},
		{"audit filter", "GET", pathAudit + "?operater=a", "", 400, CodeBadRequest},
		{"audit limit", "GET", pathAudit + "?limit=0", "", 400, CodeBadRequest},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newTestServer(t)
			status, body := s.do(tt.method, tt.path, tt.body)
			var problem ProblemError
			require.NoError(t, json.Unmarshal([]byte(body), &problem), body)
			require.Equal(t, tt.status, status, body)
			require.Equal(t, tt.code, problem.Code, body)
			require.Equal(t, status, problem.Status)
			require.Equal(t, map[string]int{tt.code: 1}, s.refusals.counts)
			heads, err := s.store.Heads(t.Context())
			require.NoError(t, err)
			require.EqualValues(t, 1, heads.Config, "a rejected request must change nothing")
		})
	}
}

// Guards against a retried change that is applied twice, or that is rejected as a
// conflict or as not found, although the first attempt succeeded and other
// changes were committed after it.
func TestRepeatedChangesAreIdempotent(t *testing.T) {
	s := newTestServer(t)
	digest := rules.DigestKey("old").String()
	steps := []string{
		"POST " + pathDeltas + ` {"commit_id":"commit-2","comment":"A: b","read_version":1,"delta":{"added":["key care-homes ` + digest + ` # A: b","team  t burst 1 rate 1/s # A: b"]}}`,
		"PUT " + pathConfiguration + ` {"commit_id":"commit-3","comment":"A: b","read_version":2,"file":{"text":` + quote(baseRules+"key care-homes "+digest+" # A: b\n") + `}}`,
		"PUT " + pathZones + "z-a " + zoneBody("commit-4", "out"),
		"PUT " + pathZones + "z-a " + zoneBody("commit-5", "in"),
		"POST " + pathWithdrawals + ` {"commit_id":"commit-6","comment":"A: b","digest":"` + digest + `"}`,
	}
	for round := range 2 {
		for i, step := range steps {
			words := strings.SplitN(step, " ", 3)
			status, body := s.do(words[0], words[1], words[2])
			require.Equal(t, http.StatusOK, status, body)
			var response ChangeResponse
			require.NoError(t, json.Unmarshal([]byte(body), &response))
			require.EqualValues(t, i+2, response.Version, body)
			require.True(t, response.Changed)
			require.Equal(t, round == 1, response.Repeated)
		}
	}
	status, body := s.do("PUT", pathZones+"z-a", zoneBody("commit-4", "in"))
	require.Equal(t, http.StatusUnprocessableEntity, status, "another change with the same commit id: %s", body)
}

func quote(text string) string {
	b, _ := json.Marshal(text)
	return string(b)
}

// Guards against a key that is issued or returned a second time.
func TestIssuedKeyIsReturnedOnce(t *testing.T) {
	s := newTestServer(t)
	body := `{"commit_id":"commit-2","comment":"C. Pugh: new shop"}`
	status, first := s.do("POST", pathTeams+"care-homes/keys", body)
	require.Equal(t, http.StatusOK, status, first)
	var issued IssueResponse
	require.NoError(t, json.Unmarshal([]byte(first), &issued))
	require.Equal(t, rules.DigestKey(issued.Key).String(), issued.Digest)

	status, second := s.do("POST", pathTeams+"care-homes/keys", body)
	require.Equal(t, http.StatusConflict, status, second)
	var problem ProblemError
	require.NoError(t, json.Unmarshal([]byte(second), &problem))
	require.Equal(t, issued.Digest, problem.Digest)

	_, audit := s.do("GET", pathAudit, "")
	_, config := s.do("GET", pathConfiguration, "")
	require.NotContains(t, audit+config+second, issued.Key)
}

// Guards against a platform outage that is reported as a conflict or as an internal
// error, and against a status endpoint that depends on the platform.
func TestPlatformOutage(t *testing.T) {
	s := newTestServer(t)
	s.platform.SetFaults(memory.Faults{Down: true})
	for _, step := range []string{"GET " + pathConfiguration, "GET " + pathAudit, "PUT " + pathZones + "z-a"} {
		method, path, _ := strings.Cut(step, " ")
		status, body := s.do(method, path, zoneBody("commit-2", "out"))
		require.Equal(t, http.StatusServiceUnavailable, status)
		require.Contains(t, body, CodePlatformUnavailable)
	}
	status, _ := s.do("GET", pathStatus, "")
	require.Equal(t, http.StatusOK, status)

	s.platform.SetFaults(memory.Faults{})
	s.cluster.noQuorum = true
	status, body := s.do("PUT", pathZones+"z-a", zoneBody("commit-2", "out"))
	require.Equal(t, http.StatusAccepted, status, body)
	require.Equal(t, []uint64{2}, s.cluster.published)
}

// Guards against records that are lost or repeated at page boundaries.
func TestAuditPagination(t *testing.T) {
	s := newTestServer(t)
	for i := range 6 {
		state := []string{"out", "in"}[i%2]
		status, body := s.do("PUT", pathZones+"z-a", zoneBody("commit-"+string(rune('a'+i)), state))
		require.Equal(t, http.StatusOK, status, body)
	}
	var versions []uint64
	after := "0"
	for after != "" {
		_, body := s.do("GET", pathAudit+"?limit=2&operator=d-parry&requester=D.+Parry&after="+after, "")
		var page AuditResponse
		require.NoError(t, json.Unmarshal([]byte(body), &page), body)
		for _, entry := range page.Entries {
			versions = append(versions, entry.Version)
		}
		if after = ""; page.Next > 0 {
			after = string(rune('0' + page.Next))
		}
	}
	require.Equal(t, []uint64{2, 3, 4, 5, 6, 7}, versions)
}

// lossyTransport drops the responses to the first requests after the server has
// handled them.
type lossyTransport struct {
	handler         http.Handler
	responsesToDrop int
	sentBodies      []string
}

func (l *lossyTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	body, _ := io.ReadAll(r.Body)
	l.sentBodies = append(l.sentBodies, string(body))
	r.Body = io.NopCloser(strings.NewReader(string(body)))
	w := httptest.NewRecorder()
	l.handler.ServeHTTP(w, r)
	if l.responsesToDrop > 0 {
		l.responsesToDrop--
		return nil, errors.New("connection reset")
	}
	return w.Result(), nil
}

// Guards against a client that does not retry after a lost response, retries a change
// with another commit id, or does not report that the change may have been made.
func TestClientRetriesLostResponses(t *testing.T) {
	s := newTestServer(t)
	transport := &lossyTransport{handler: s.handler, responsesToDrop: 2}
	client, err := NewClient(ClientConfig{URL: "http://admin", Token: "secret", HTTPClient: &http.Client{Transport: transport}, InitialBackoff: time.Nanosecond})
	require.NoError(t, err)
	request := StateRequest{Change: Change{CommitID: "commit-2", Comment: "A: b"}, State: StateOutOfService}
	response, err := client.SetZone(t.Context(), "z-a", request)
	require.NoError(t, err)
	require.True(t, response.Repeated)
	require.EqualValues(t, 2, response.Version)
	require.Len(t, transport.sentBodies, 3)
	require.Equal(t, transport.sentBodies[0], transport.sentBodies[2])

	transport.responsesToDrop = 100
	var unreachable *UnreachableError
	_, err = client.SetZone(t.Context(), "z-a", request)
	require.ErrorAs(t, err, &unreachable)
	require.True(t, unreachable.MayHaveRun)

	transport.responsesToDrop = 1
	_, err = client.Status(t.Context())
	require.ErrorAs(t, err, &unreachable, "a read is not retried")
}

// Guards against lost updates between concurrent operators: each confirmed change must
// be in the log exactly once, and a rejected change must not be in the log.
func TestConcurrentOperators(t *testing.T) {
	s := newTestServer(t)
	const operators = 8
	statuses := make([]int, operators)
	var running sync.WaitGroup
	for i := range operators {
		running.Go(func() {
			id := strconv.Itoa(i)
			statuses[i], _ = s.do("PUT", pathBackendServers+"b-"+id, zoneBody("commit-"+id, "out"))
		})
	}
	running.Wait()
	state, err := s.store.LoadConfig(t.Context())
	require.NoError(t, err)
	confirmed := 0
	for i, status := range statuses {
		require.Contains(t, []int{http.StatusOK, http.StatusConflict}, status)
		require.Equal(t, status == http.StatusOK, state.Config.BackendServerOutOfService("b-"+strconv.Itoa(i)))
		if status == http.StatusOK {
			confirmed++
		}
	}
	require.Positive(t, confirmed)
	require.EqualValues(t, 1+confirmed, state.Version)
}

// Guards against a client that occupies the only rules file slot by never completing
// its body.
func TestSlowRequestBodyReleasesFileSlot(t *testing.T) {
	s := newTestServer(t)
	listener := httptest.NewServer(NewHandler(Config{
		Store: s.store, Cluster: s.cluster, Operator: fakeOperatorLookup, RequestTimeout: 50 * time.Millisecond,
	}))
	defer listener.Close()
	for range 2 {
		body, writer := io.Pipe()
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, listener.URL+pathCheck, body)
		require.NoError(t, err)
		request.Header.Set("Authorization", "Bearer secret")
		request.Header.Set("Content-Type", "application/json")
		response, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		response.Body.Close()
		_ = writer.Close()
		require.Equal(t, http.StatusBadRequest, response.StatusCode)
	}
}

// Guards against an unknown outcome that is reported as "nothing was changed".
func TestUnknownOutcomeIsReported(t *testing.T) {
	problem := problemFromError(errors.Wrap(platform.ErrOutcomeUnknown, "commit"))
	require.Equal(t, CodeOutcomeUnknown, problem.Code)
	require.Contains(t, problem.Detail, "same commit id")
}
