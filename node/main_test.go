package node

import (
	"os"
	"testing"

	metrics "github.com/rcrowley/go-metrics"
)

// TestMain starts the ticker goroutine of go-metrics before any test, because
// it never ends and must not run inside a synctest bubble.
func TestMain(m *testing.M) {
	metrics.NewMeter().Stop()
	os.Exit(m.Run())
}
