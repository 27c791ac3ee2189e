package soak

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// seeds are the seeds of the short run: 1, and each seed that reproduced a failure.
var seeds = []uint64{
	1,
	60024, // A connection to the coordinator went silent and stayed in the pool for a minute.
	213,   // The simulated backend server bound a port that was selected for the process.
}

// Guards against violations of guarantees that callers or backend servers can observe
// while the shipped binary runs under seeded faults.
func TestShortSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "trefoildock")
	out, err := exec.Command("go", "build", "-o", binary, "../../cmd/trefoildock").CombinedOutput()
	require.NoError(t, err, string(out))
	for _, seed := range seeds {
		report, err := Run(t.Context(), Config{Binary: binary, Dir: t.TempDir(), Seed: seed, FaultDuration: 8 * time.Second, Logf: t.Logf})
		require.NoError(t, err)
		require.Empty(t, report.Violations)
		require.NotZero(t, report.StatusCounts["200"])
	}
}
