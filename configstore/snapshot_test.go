package configstore

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"trefoildock.example/platform"
	"trefoildock.example/platform/memory"
	"trefoildock.example/rules"
)

// importCommit returns a commit that imports a rules file of the maximum supported
// size.
func importCommit() ConfigCommit {
	c := zoneCommit("import", 0)
	c.Delta.Added = []string{"service s floor 1 probe /h # A: b"}
	for i := range 71_000 {
		c.Delta.Added = append(c.Delta.Added, fmt.Sprintf("route GET /shop-%d/items/%d service s access team repeat idempotent timeout 2s # A. Rees: shop %d", i%500, i, i))
	}
	return c
}

// Guards against commits and scans that exceed the size limits of the platform when
// a large rules file is imported.
func TestLargeDeltaFitsPlatformLimits(t *testing.T) {
	s, _, m := newStore()
	ctx := t.Context()
	c := importCommit()
	tx := newConfigTransaction(t, s, c)
	size := 0
	for _, put := range tx.Puts {
		size += len(put.Value) * 4 / 3
	}
	require.Less(t, size, platform.MaxTableBodyBytes)
	_, err := s.CommitConfig(ctx, c)
	require.NoError(t, err)
	entries, err := New(m.Table(), m.Objects(), testOptions()).ConfigEntries(ctx, 0, 1)
	require.NoError(t, err)
	require.Equal(t, c.Delta, entries[0].Delta)
}

// Guards against a loaded state that differs from the log, with or without a
// usable snapshot.
func TestLoadedStateMatchesLog(t *testing.T) {
	m := memory.New()
	s := New(m.Table(), m.Objects(), testOptions())
	ctx := t.Context()
	for i := range 600 {
		_, err := s.CommitConfig(ctx, zoneCommit(fmt.Sprintf("z%d", i), uint64(i)))
		require.NoError(t, err)
	}
	index, _, err := s.snapshots.readIndex(ctx, configLog)
	require.NoError(t, err)
	require.EqualValues(t, 512, index.Version)
	want, err := s.LoadConfig(ctx)
	require.NoError(t, err)

	loadFresh := func() (reads uint64) {
		before := m.Counts().Reads
		state, err := New(m.Table(), m.Objects(), testOptions()).LoadConfig(ctx)
		require.NoError(t, err)
		require.EqualValues(t, 600, state.Version)
		require.Equal(t, want.Config.Lines(), state.Config.Lines())
		return m.Counts().Reads - before
	}
	require.EqualValues(t, 4, loadFresh(), "index, one part, entries, end of the log")

	// A corrupt part must not be used.
	name := partName(configLog, index.Generation, 0)
	part, err := m.Objects().Get(ctx, name)
	require.NoError(t, err)
	_, err = m.Objects().Put(ctx, name, []byte("damaged"), part.ETag)
	require.NoError(t, err)
	loadFresh()

	m.SetFaults(memory.Faults{Down: true})
	_, err = New(m.Table(), m.Objects(), testOptions()).LoadConfig(ctx)
	require.ErrorIs(t, err, platform.ErrUnavailable)
}

// Guards against commits that fail because the object store is unavailable, and
// against a second writer that overwrites the parts of the first one.
func TestSnapshotFaults(t *testing.T) {
	m := memory.New()
	objects := memory.New()
	objects.SetFaults(memory.Faults{Down: true})
	s := New(m.Table(), objects.Objects(), testOptions())
	s.config.Store(&ConfigState{Config: rules.NewConfig()})
	ctx := t.Context()
	for i := range 32 {
		_, err := s.CommitConfig(ctx, zoneCommit(fmt.Sprintf("z%d", i), uint64(i)))
		require.NoError(t, err)
	}
	require.EqualValues(t, 2, s.FailedSnapshots())

	objects.SetFaults(memory.Faults{})
	snapshots := snapshotStore{objects: objects.Objects()}
	_, err := snapshots.putIndex(ctx, configLog, snapshotIndex{ReservedVersion: 32}, "")
	require.NoError(t, err)
	require.NoError(t, snapshots.write(ctx, configLog, 33, []string{"a"}))
	_, err = objects.Objects().Get(ctx, partName(configLog, 1, 0))
	require.ErrorIs(t, err, platform.ErrNotFound, "the other writer still holds the reservation")
	require.NoError(t, snapshots.write(ctx, configLog, 48, []string{"a", "b"}))
	version, lines, err := snapshots.read(ctx, configLog)
	require.NoError(t, err)
	require.EqualValues(t, 48, version)
	require.Equal(t, "a\nb\n", string(lines))
}

// BenchmarkLoadConfig measures the load after a restart: a snapshot of 71,000
// routes and the maximum number of entries after it.
func BenchmarkLoadConfig(b *testing.B) {
	m := memory.New()
	s := New(m.Table(), m.Objects(), testOptions())
	c := importCommit()
	for i := range uint64(511) {
		if i > 0 {
			c = zoneCommit(fmt.Sprintf("z%d", i), i)
		}
		if _, err := s.CommitConfig(b.Context(), c); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := New(m.Table(), m.Objects(), testOptions()).LoadConfig(b.Context()); err != nil {
			b.Fatal(err)
		}
	}
}
