package invariant

import (
	"testing"

	"github.com/go-kit/log"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
)

// Guards against a violation that is not counted, or that does not end a test
// run.
func TestViolationIsCountedAndFatal(t *testing.T) {
	var messages []string
	registry := metrics.NewRegistry()
	r := New(registry, log.NewNopLogger(), func(m string) { messages = append(messages, m) })
	require.True(t, r.Check(true, AtMostOnce, "unused %d", 1))
	require.Empty(t, messages)
	require.False(t, r.Check(false, AtMostOnce, "request %s ran twice", "r1"))
	require.Equal(t, []string{"invariant once violated: request r1 ran twice"}, messages)
	require.Equal(t, int64(1), registry.Get("invariant.violations.once").(metrics.Counter).Count())
}
