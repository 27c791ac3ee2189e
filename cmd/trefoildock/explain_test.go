package main

import (
	"bytes"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"
)

// Guards against changes of the output for a rejected request, a request with an
// unknown outcome and a late request. docs/OPERATIONS.md explains the three logs, which
// were recorded in benchmark runs.
func TestExplainGolden(t *testing.T) {
	for name, id := range map[string]string{
		"refused": "9f6eb6fa5d4fd3cc", "may-have-run": "743d8836704e08c7", "late": "dbae466f989a71b1",
	} {
		t.Run(name, func(t *testing.T) {
			var stdout, stderr bytes.Buffer
			code := run(t.Context(), []string{"explain", id, "testdata/explain/" + name + ".log"}, environment{stdout: &stdout, stderr: &stderr})
			require.Equal(t, exitOK, code, stderr.String())
			goldie.New(t, goldie.WithFixtureDir("testdata/explain")).Assert(t, name, stdout.Bytes())
		})
	}
}

// Guards against a log that cannot be read because it contains lines of another
// program, and against lines of other requests in the result.
func TestExplainSkipsUnrelatedLines(t *testing.T) {
	log := `goroutine 1 [running]:
ts=2026-08-27T23:33:24Z node=a event="request answered" request=1 status=200
="
ts=broken node=a event="request answered" request=2
ts=2026-08-27T23:33:25Z node=a event="request answered" request=2 status=503 code=busy
ts=2026-08-27T23:33:26Z node=a event="configuration in force" version=3
`
	lines, err := readLog(strings.NewReader(log))
	require.NoError(t, err)
	require.Len(t, lines, 3)
	found := selectLines(lines, "2")
	require.Len(t, found, 1, "a context line after the response must not be selected")
	require.Equal(t, "busy", found[0].fieldValue("code"))
	require.Empty(t, selectLines(lines, "3"))
}
