package node

import (
	"os"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"trefoildock.example/link"
)

// streamCloseTimeout, for sessions on the real clock, is longer than a run of the tests. yamux keeps the timers of
// sessions in one pool, and the delayed close of a stream on the real clock would
// take one of a virtual clock that runs by then.
const streamCloseTimeout = time.Hour

// TestMain starts the ticker goroutine of go-metrics outside of any virtual
// clock, because it never ends.
func TestMain(m *testing.M) {
	metrics.NewMeter().Stop()
	link.StreamCloseTimeout = streamCloseTimeout
	os.Exit(m.Run())
}
