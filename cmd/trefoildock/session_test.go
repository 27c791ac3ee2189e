package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"trefoildock.example/admin"
	"trefoildock.example/configstore"
	"trefoildock.example/platform/memory"
	"trefoildock.example/rules"
)

// operatorSession runs operator commands against an admin API with an in-memory
// platform. It is the HTTP transport of the commands and the cluster of the API, and
// can inject faults.
type operatorSession struct {
	handler     http.Handler
	platform    *memory.Store
	out         strings.Builder
	commitCount int
	keyCount    int
	now         time.Time

	noQuorum          bool   // no quorum of attesters acknowledges a change
	connectionRefused bool   // connections are refused
	responsesToDrop   int    // number of responses to drop, except those of diffs
	concurrentChange  string // body of a zone change that another operator makes before the next PUT request
}

func newOperatorSession() *operatorSession {
	s := &operatorSession{platform: memory.New(), now: time.Date(2026, 5, 4, 9, 0, 0, 0, time.UTC)}
	store := configstore.New(s.platform.Table(), s.platform.Objects(), configstore.Options{
		Now: func() time.Time {
			s.now = s.now.Add(time.Minute)
			return s.now
		},
		RetryDelay: time.Nanosecond,
	})
	s.handler = admin.NewHandler(admin.Config{
		Store:   store,
		Cluster: s,
		Operator: func(token string) (string, bool) {
			name, found := map[string]string{"token-1": "d-parry", "token-2": "b-hughes"}[token]
			return name, found
		},
		NewKey: func() (string, rules.KeyDigest, error) {
			s.keyCount++
			key := fmt.Sprintf("<key %d>", s.keyCount)
			return key, rules.DigestKey(key), nil
		},
	})
	return s
}

// Status implements admin.Cluster.
func (s *operatorSession) Status(context.Context) admin.Status {
	return admin.Status{
		Node: "ffon-a-1", Zone: "cymru-south-a", Incarnation: "0197", Fresh: true, ConfigVersion: 3, MembersVersion: 2,
		TableReachable: !s.isPlatformDown(),
		Members: []admin.MemberStatus{
			{Node: "ffon-a-1", Zone: "cymru-south-a", Region: "cymru-south", LinkAddress: "10.20.1.11:7400", Services: []string{"orders"}},
			{Node: "ffon-b-1", Zone: "cymru-south-b", Region: "cymru-south", LinkAddress: "10.20.2.11:7400"},
		},
		Services: []admin.ServiceStatus{{Name: "orders", Floor: 1, Owners: []string{"ffon-a-1"}, Ejected: []string{"orders-3"}}},
	}
}

func (s *operatorSession) isPlatformDown() bool {
	_, err := s.platform.Table().Scan(context.Background(), "a", "", 1)
	return err != nil
}

// Publish implements admin.Cluster.
func (s *operatorSession) Publish(context.Context, configstore.ConfigEntry) admin.Acceptance {
	if s.noQuorum {
		return admin.Acceptance{Acknowledged: 3, Needed: 6, InForce: 5, Nodes: 24}
	}
	return admin.Acceptance{Accepted: true, Acknowledged: 9, Needed: 6, InForce: 24, Nodes: 24}
}

// RoundTrip implements http.RoundTripper.
func (s *operatorSession) RoundTrip(r *http.Request) (*http.Response, error) {
	if s.connectionRefused {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	if s.concurrentChange != "" && r.Method == http.MethodPut {
		body := s.concurrentChange
		s.concurrentChange = ""
		other := httptest.NewRequest(http.MethodPut, "/v1/zones/cymru-south-b", strings.NewReader(body))
		other.Header = http.Header{"Authorization": {"Bearer token-2"}, "Content-Type": {"application/json"}}
		s.handler.ServeHTTP(httptest.NewRecorder(), other)
	}
	w := httptest.NewRecorder()
	s.handler.ServeHTTP(w, r)
	if s.responsesToDrop > 0 && !strings.HasSuffix(r.URL.Path, "/diff") {
		s.responsesToDrop--
		return nil, errors.New("connection reset by peer")
	}
	return w.Result(), nil
}

// runCommand executes a command line and appends the line, its output and its exit
// code to the transcript.
func (s *operatorSession) runCommand(asJSON bool, token, line string) {
	var stdout, stderr strings.Builder
	args := splitWords(line)
	if asJSON {
		args = append(args, "--json")
	}
	code := run(context.Background(), args, environment{
		stdin:  strings.NewReader("zone cymru-south-a out # D. Parry: power work\n"),
		stdout: &stdout,
		stderr: &stderr,
		getenv: func(string) string { return token },
		newCommitID: func() (string, error) {
			s.commitCount++
			return fmt.Sprintf("commit-%02d", s.commitCount), nil
		},
		httpClient:     &http.Client{Transport: s},
		initialBackoff: time.Nanosecond,
	})
	fmt.Fprintf(&s.out, "$ trefoildock %s\n%s", line, stdout.String())
	for errorLine := range strings.Lines(stderr.String()) {
		_, _ = io.WriteString(&s.out, "stderr: "+errorLine)
	}
	fmt.Fprintf(&s.out, "exit %d\n\n", code)
}

// splitWords splits a line at white space outside of single quotes.
func splitWords(line string) []string {
	var words []string
	for i, part := range strings.Split(line, "'") {
		if i%2 == 1 {
			words = append(words, part)
		} else {
			words = append(words, strings.Fields(part)...)
		}
	}
	return words
}

// sessionStep is one command of the session, with a title and the faults to inject.
type sessionStep struct {
	title   string
	line    string
	prepare func(*operatorSession)
}

const changeArguments = " --requester 'D. Parry' --reason 'power work'"

var sessionSteps = []sessionStep{
	{"a file with faults", "check testdata/faults.rules", nil},
	{"a file without faults", "check testdata/base.rules", nil},
	{"a file that is missing", "check testdata/none.rules", nil},
	{"the first version", "diff testdata/base.rules", nil},
	{"", "apply testdata/base.rules --requester 'A. Rees' --reason launch", nil},
	{"the same file again", "apply testdata/base.rules --requester 'A. Rees' --reason launch", nil},
	{"a change", "diff testdata/next.rules", nil},
	{"without a server", "diff testdata/next.rules --from testdata/base.rules", func(s *operatorSession) { s.connectionRefused = true }},
	{"another operator is faster", "apply testdata/next.rules --requester 'C. Pugh' --reason 'contract 21'", func(s *operatorSession) {
		s.concurrentChange = `{"commit_id":"other-01","comment":"B. Hughes: cooling","state":"out"}`
	}},
	{"an old version is expected", "apply testdata/next.rules --expect-version 1 --requester 'C. Pugh' --reason 'contract 21'", nil},
	{"the answer is lost once", "apply testdata/next.rules --requester 'C. Pugh' --reason 'contract 21'", func(s *operatorSession) { s.responsesToDrop = 1 }},
	{"", "zone out cymru-south-a" + changeArguments, func(s *operatorSession) { s.responsesToDrop = 1 }},
	{"the same state again", "zone out cymru-south-a" + changeArguments, nil},
	{"every answer is lost", "zone in cymru-south-a" + changeArguments, func(s *operatorSession) { s.responsesToDrop = 4 }},
	{"the outcome is asked for", "zone in cymru-south-a" + changeArguments + " --commit-id commit-08", nil},
	{"a commit id is used for something else", "zone out cymru-south-a" + changeArguments + " --commit-id commit-08", nil},
	{"a mistyped zone", "zone out cymru-south-x" + changeArguments, nil},
	{"no quorum", "backend out orders-3 --requester 'D. Parry' --reason 'disk swap'", func(s *operatorSession) { s.noQuorum = true }},
	{"the same state again, still no quorum", "backend out orders-3 --requester 'D. Parry' --reason 'disk swap'", func(s *operatorSession) { s.noQuorum = true }},
	{"", "backend in orders-3 --requester 'D. Parry' --reason 'disk swapped'", nil},
	{"a key", "key issue care-homes --requester 'C. Pugh' --reason 'second key'", nil},
	{"a key whose answer is lost", "key issue care-homes --requester 'C. Pugh' --reason 'third key'", func(s *operatorSession) { s.responsesToDrop = 1 }},
	{"", "key withdraw " + rules.DigestKey("<key 2>").String() + " --requester 'C. Pugh' --reason 'lost in transit'", nil},
	{"", "key withdraw --team care-homes --requester 'C. Pugh' --reason 'contract ended'", nil},
	{"the platform is down", "zone out cymru-south-a" + changeArguments, func(s *operatorSession) { s.platform.SetFaults(memory.Faults{Down: true}) }},
	{"", "audit", func(s *operatorSession) { s.platform.SetFaults(memory.Faults{Down: true}) }},
	{"", "status", func(s *operatorSession) { s.platform.SetFaults(memory.Faults{Down: true}) }},
	{"the server is down", "status", func(s *operatorSession) { s.connectionRefused = true }},
	{"", "status", nil},
	{"", "audit", nil},
	{"", "audit --requester 'D. Parry' --from 2026-05-04T09:04:00Z --limit 2 --lines", nil},
	{"usage errors", "zone out cymru-south-a --requester 'D. Parry'", nil},
	{"", "zone out cymru-south-a --requester 'D. Parry: x' --reason y", nil},
	{"", "key withdraw" + changeArguments, nil},
	{"", "zone sideways cymru-south-a", nil},
	{"standard input", "check -", nil},
	{"settings", "node --settings ../../settings/examples/ffon.toml --check-settings", nil},
	{"", "node --settings testdata/faults.toml --check-settings", nil},
}

// Guards against changes of the output, exit codes and effects of the operator
// commands, in text and JSON, with concurrent changes, lost responses and outages.
func TestOperatorCommandsGolden(t *testing.T) {
	for _, asJSON := range []bool{false, true} {
		name := map[bool]string{false: "session", true: "session_json"}[asJSON]
		t.Run(name, func(t *testing.T) {
			s := newOperatorSession()
			for _, step := range sessionSteps {
				s.noQuorum, s.connectionRefused, s.responsesToDrop = false, false, 0
				s.platform.SetFaults(memory.Faults{})
				if step.prepare != nil {
					step.prepare(s)
				}
				if step.title != "" {
					s.out.WriteString("# " + step.title + "\n")
				}
				s.runCommand(asJSON, "token-1", step.line)
			}
			s.out.WriteString("# not an operator\n")
			s.runCommand(asJSON, "token-3", "status")
			s.runCommand(asJSON, "", "status")
			goldie.New(t, goldie.WithFixtureDir("testdata"), goldie.WithDiffEngine(goldie.ColoredDiff)).Assert(t, name, []byte(s.out.String()))
		})
	}
}

// Guards against a help text or an unknown flag that terminates the process or returns
// the wrong exit code.
func TestHelpAndUsage(t *testing.T) {
	var out, errs strings.Builder
	env := environment{stdout: &out, stderr: &errs, getenv: func(string) string { return "" }}
	require.Equal(t, exitOK, run(t.Context(), []string{"--help"}, env))
	require.Contains(t, out.String(), "Exit codes: 0 success")
	require.Equal(t, exitUsage, run(t.Context(), []string{"status", "--colour"}, env))
	require.Equal(t, exitUsage, run(t.Context(), nil, env))
	require.Equal(t, exitOK, run(t.Context(), []string{"version"}, env))
}
