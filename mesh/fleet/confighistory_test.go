package fleet

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func historyUpTo(versions ...uint64) *configHistory {
	h := &configHistory{}
	for _, v := range versions {
		h.add(v, largeDocument(v))
	}
	return h
}

// largeDocument has a thousand rows, one of which differs in each version.
func largeDocument(version uint64) []byte {
	out := fmt.Appendf(nil, `{"version":"r%d","rows":[`, version)
	for i := range 1000 {
		value := uint64(0)
		if uint64(i) == version {
			value = version
		}
		out = fmt.Appendf(out, `["row-%d","host-%d",%d],`, i, i*7919%1000, value)
	}
	return append(out, "[]]}"...)
}

func stepBytes(steps []ConfigStep) int {
	n := 0
	for _, s := range steps {
		n += len(s.Patch)
	}
	return n
}

func TestStepsLeadToNewestDocument(t *testing.T) {
	sender := historyUpTo(3, 4, 9, 10)
	for _, c := range []struct {
		name          string
		receiver      *configHistory
		requested     uint64
		steps, maxKiB int
	}{
		{"one behind", historyUpTo(9), 9, 1, 1},
		{"three behind", historyUpTo(3), 3, 3, 2},
		{"without a configuration", historyUpTo(), 0, 1, 16},
		{"a version that the sender has not seen", historyUpTo(7), 7, 1, 16},
		{"received a version after the request", historyUpTo(3, 4), 3, 3, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			steps := sender.since(c.requested)
			require.Len(t, steps, c.steps)
			require.LessOrEqual(t, stepBytes(steps), c.maxKiB<<10)
			document, err := c.receiver.apply(steps)
			require.NoError(t, err)
			require.Equal(t, string(largeDocument(10)), string(document))
		})
	}
}

// Guards against a document that is assembled from the patch of another version.
func TestStepsOfOtherVersionsAreRefused(t *testing.T) {
	_, err := historyUpTo(8).apply(historyUpTo(3, 4, 9).since(4))
	require.ErrorIs(t, err, errNoStep)
}

// Guards against a node whose memory grows with each change of the configuration.
func TestHistoryIsBounded(t *testing.T) {
	h := &configHistory{}
	for v := range uint64(1000) {
		h.add(v+1, largeDocument(v+1))
		require.LessOrEqual(t, len(h.steps), maxConfigSteps)
		require.LessOrEqual(t, stepBytes(h.steps), maxConfigStepBytes)
	}
	require.EqualValues(t, 0, h.since(1)[0].From)
	require.EqualValues(t, 999, h.since(999)[0].From)
}
