package verdict

import (
	"encoding/json"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

// Guards against an unknown or missing verdict that is treated as not-run.
func TestUnknownVerdictIsMayHaveRun(t *testing.T) {
	var zero Verdict
	require.Equal(t, MayHaveRun, zero)
	require.Equal(t, MayHaveRun, Parse("NOT-RUN"))
	require.Equal(t, MayHaveRun, FromError(errors.New("x")).Verdict)
	for _, v := range []Verdict{NotRun, MayHaveRun, Completed} {
		require.Equal(t, v, Parse(v.String()))
	}
}

// Guards against a wrapped error that loses its verdict.
func TestFromErrorKeepsWrappedVerdict(t *testing.T) {
	err := errors.Wrap(NewNotRun("queue-full", "queue is full", time.Second), "offer")
	require.Equal(t, NotRun, FromError(err).Verdict)
}

// Guards against a Retry-After value that is rounded down: the retry would be
// refused again.
func TestProblemResponse(t *testing.T) {
	rec := httptest.NewRecorder()
	NewNotRun("rate-limit", "team is over its rate", 1200*time.Millisecond).Write(rec, "r1")
	require.Equal(t, 503, rec.Code)
	require.Equal(t, "2", rec.Header().Get("Retry-After"))
	require.Equal(t, "not-run", rec.Header().Get(Header))
	var p Problem
	require.NoError(t, json.Unmarshal(rec.Body.Bytes(), &p))
	require.Equal(t, "urn:trefoildock:problem:rate-limit", p.Type)
	require.Equal(t, "r1", p.RequestID)
}
