package soak

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestShortSoak runs the shipped binary through seeded faults. It guards against
// any broken promise that callers or backend servers can see.
func TestShortSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "trefoildock")
	out, err := exec.Command("go", "build", "-o", binary, "../cmd/trefoildock").CombinedOutput()
	require.NoError(t, err, string(out))
	for _, seed := range []uint64{1} {
		report, err := Run(t.Context(), Config{Binary: binary, Dir: t.TempDir(), Seed: seed, Length: 8 * time.Second, Logf: t.Logf})
		require.NoError(t, err)
		require.Empty(t, report.Violations)
		require.NotZero(t, report.Answers["200"])
	}
}
