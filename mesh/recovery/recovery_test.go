package recovery

import (
	"bytes"
	"testing"

	"github.com/go-kit/log"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
)

// Guards against a panic that ends the process or leaves no trace.
func TestPanicIsRecorded(t *testing.T) {
	var out bytes.Buffer
	r := New(log.NewLogfmtLogger(&out), metrics.NewRegistry())
	require.False(t, r.Do("test", "r-1", func() { panic("broken") }))
	require.True(t, r.Do("test", "r-2", func() {}))
	require.EqualValues(t, 1, r.Panics.Count())
	require.Contains(t, out.String(), "request=r-1 cause=broken")
	require.Contains(t, out.String(), "TestPanicIsRecorded")
	require.False(t, (*Recorder)(nil).Do("test", "", func() { panic("broken") }))
}
