package node

import (
	"os"
	"testing"

	metrics "github.com/rcrowley/go-metrics"
)

// TestMain starts the ticker goroutine of go-metrics outside of any virtual
// clock, because it never ends.
func TestMain(m *testing.M) {
	metrics.NewMeter().Stop()
	os.Exit(m.Run())
}
