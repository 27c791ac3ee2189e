package configstore

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"trefoildock.example/platform"
	"trefoildock.example/platform/memory"
	"trefoildock.example/rules"
)

// outcome is a fault of one transaction.
type outcome int

const (
	healthy outcome = iota
	unavailable
	lostAnswer    // applied, but reported as unknown
	lostRequest   // not applied and reported as unknown
	delayedWrite  // reported as unknown, applied before the next transaction
	readsFailNext // reported as unknown after it was applied, and the next read fails
)

// faultyTable gives each transaction the next outcome of a list, then works.
type faultyTable struct {
	platform.Table
	outcomes  []outcome
	pending   *platform.Transaction
	failReads int
}

func (f *faultyTable) Get(ctx context.Context, key string) (platform.Row, error) {
	if f.failReads > 0 {
		f.failReads--
		return platform.Row{}, platform.ErrUnavailable
	}
	return f.Table.Get(ctx, key)
}

func (f *faultyTable) Transact(ctx context.Context, tx platform.Transaction) (uint64, error) {
	if f.pending != nil {
		_, _ = f.Table.Transact(ctx, *f.pending)
		f.pending = nil
	}
	next := healthy
	if len(f.outcomes) > 0 {
		next, f.outcomes = f.outcomes[0], f.outcomes[1:]
	}
	switch next {
	case unavailable:
		return 0, platform.ErrUnavailable
	case lostRequest:
		return 0, platform.ErrOutcomeUnknown
	case delayedWrite:
		f.pending = &tx
		return 0, platform.ErrOutcomeUnknown
	case readsFailNext:
		f.failReads = 1
	}
	revision, err := f.Table.Transact(ctx, tx)
	if next == lostAnswer || next == readsFailNext {
		return 0, platform.ErrOutcomeUnknown
	}
	return revision, err
}

func options() Options {
	return Options{
		Now:        func() time.Time { return time.Date(2026, 5, 4, 3, 2, 1, 0, time.UTC) },
		RetryDelay: time.Nanosecond,
	}
}

func newStore(outcomes ...outcome) (*Store, *faultyTable, *memory.Store) {
	m := memory.New()
	table := &faultyTable{Table: m.Table(), outcomes: outcomes}
	return New(table, m.Objects(), options()), table, m
}

func zoneLine(name string) string {
	return "zone " + name + " out # D. Parry: power work"
}

func zoneCommit(id string, read uint64) ConfigCommit {
	return ConfigCommit{
		ID: id, ReadVersion: read, Operator: "op", Requester: "D. Parry", Action: "zone out",
		Delta: rules.Delta{Added: []string{zoneLine(id)}},
	}
}

// Guards against a commit that is lost, doubled or reported wrongly when an
// answer is lost, and against an audit record that misses it.
func TestCommitConfigFaults(t *testing.T) {
	tests := []struct {
		name     string
		outcomes []outcome
		want     error
	}{
		{"healthy", nil, nil},
		{"lost answer", []outcome{lostAnswer}, nil},
		{"lost request", []outcome{lostRequest, lostRequest}, nil},
		{"delayed write", []outcome{delayedWrite}, nil},
		{"lost answer, then a read fails", []outcome{readsFailNext}, nil},
		{"lost request, then an outage", []outcome{lostRequest, unavailable, unavailable, unavailable}, platform.ErrOutcomeUnknown},
		{"outage", []outcome{unavailable}, platform.ErrUnavailable},
		{"always unknown", []outcome{lostRequest, lostRequest, lostRequest, delayedWrite}, platform.ErrOutcomeUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s, table, _ := newStore(tt.outcomes...)
			ctx := t.Context()
			version, err := s.CommitConfig(ctx, zoneCommit("a", 0))
			if tt.want == nil {
				require.NoError(t, err)
				require.EqualValues(t, 1, version)
			} else {
				require.ErrorIs(t, err, tt.want)
				require.Equal(t, errors.Is(tt.want, platform.ErrUnavailable), errors.Is(err, platform.ErrUnavailable))
			}
			table.outcomes = nil
			for range 2 { // repeating the commit gives its version and changes nothing
				version, err = s.CommitConfig(ctx, zoneCommit("a", 0))
				require.NoError(t, err)
				require.EqualValues(t, 1, version)
			}
			heads, err := s.Heads(ctx)
			require.NoError(t, err)
			require.Equal(t, Heads{Config: 1}, heads)
			audit, err := s.Audit(ctx, 0, 10)
			require.NoError(t, err)
			require.Equal(t, []AuditRecord{{
				Time: options().Now(), Operator: "op", Requester: "D. Parry", Action: "zone out",
				Added: []string{zoneLine("a")}, From: 0, To: 1, CommitID: "a",
			}}, audit)
		})
	}
}

// Guards against a lost update between operators, and against a race that is
// not reported with both versions.
func TestCommitConfigConflict(t *testing.T) {
	s, table, m := newStore()
	other := New(m.Table(), m.Objects(), options())
	ctx := t.Context()
	for i, id := range []string{"a", "b"} {
		_, err := s.CommitConfig(ctx, zoneCommit(id, uint64(i)))
		require.NoError(t, err)
	}
	var conflict *ConflictError
	_, err := other.CommitConfig(ctx, zoneCommit("c", 1))
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, ConflictError{Read: 1, Head: 2}, *conflict)

	// The other operator's commit lands between read and write of this one.
	table.outcomes = []outcome{delayedWrite}
	_, err = table.Transact(ctx, mustTransaction(t, other, zoneCommit("d", 2)))
	require.ErrorIs(t, err, platform.ErrOutcomeUnknown)
	_, err = s.CommitConfig(ctx, zoneCommit("e", 2))
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, ConflictError{Read: 2, Head: 3}, *conflict)
}

func mustTransaction(t *testing.T, s *Store, c ConfigCommit) platform.Transaction {
	_, revision, err := s.head(t.Context(), configLog)
	require.NoError(t, err)
	fingerprint, err := c.fingerprint()
	require.NoError(t, err)
	tx, err := s.configTransaction(c, revision, fingerprint)
	require.NoError(t, err)
	return tx
}

// Guards against commits that nodes could not apply or the audit trail not explain.
func TestCommitConfigRefusals(t *testing.T) {
	s, _, _ := newStore()
	ctx := t.Context()
	_, err := s.CommitConfig(ctx, zoneCommit("a", 0))
	require.NoError(t, err)

	reused := zoneCommit("a", 1)
	reused.Delta.Added = []string{zoneLine("b")}
	_, err = s.CommitConfig(ctx, reused)
	require.ErrorIs(t, err, ErrCommitIDReused)

	unfit := zoneCommit("b", 1)
	unfit.Delta.Added = []string{"route GET / service none access open repeat once # A: b"}
	_, err = s.CommitConfig(ctx, unfit)
	var list rules.ErrorList
	require.ErrorAs(t, err, &list)

	for _, change := range []func(*ConfigCommit){
		func(c *ConfigCommit) { c.ID = "a/b" },
		func(c *ConfigCommit) { c.Operator = "" },
		func(c *ConfigCommit) { c.Requester = " " },
		func(c *ConfigCommit) { c.Requester = "a\nb" },
		func(c *ConfigCommit) { c.Action = strings.Repeat("a", maxAuditText+1) },
		func(c *ConfigCommit) { c.Delta = rules.Delta{} },
	} {
		c := zoneCommit("c", 1)
		change(&c)
		_, err = s.CommitConfig(ctx, c)
		require.ErrorIs(t, err, ErrInvalidCommit)
	}
	heads, err := s.Heads(ctx)
	require.NoError(t, err)
	require.EqualValues(t, 1, heads.Config)
}

func member(node, incarnation string, services ...string) Member {
	return Member{
		Node: node, VM: "vm", Zone: "z", Region: "r", LinkAddress: "10.0.0.1:7400",
		Incarnation: incarnation, Services: services,
	}
}

// Guards against a change for an earlier incarnation that hits the current one,
// and against a membership that differs after a restart.
func TestMembers(t *testing.T) {
	s, table, m := newStore()
	ctx := t.Context()
	steps := []struct {
		kind    MemberKind
		member  Member
		outcome outcome
		want    error
	}{
		{MemberJoin, member("a", "1"), lostAnswer, nil},
		{MemberJoin, member("a", "1"), healthy, ErrIncarnation},
		{MemberUpdate, member("a", "1", "s", "b"), delayedWrite, nil},
		{MemberUpdate, member("a", "2"), healthy, ErrIncarnation},
		{MemberJoin, member("a", "2"), healthy, nil},
		{MemberRemove, Member{Node: "a", Incarnation: "1"}, healthy, ErrIncarnation},
		{MemberJoin, member("b", "1", "s", "b"), healthy, nil},
		{MemberRemove, Member{Node: "a", Incarnation: "2"}, lostRequest, nil},
		{MemberLeave, Member{Node: "a", Incarnation: "2"}, healthy, ErrIncarnation},
		{MemberKind("other"), member("c", "1"), healthy, ErrInvalidCommit},
		{MemberJoin, Member{Node: "c", Incarnation: "1"}, healthy, ErrInvalidCommit},
	}
	version := uint64(0)
	for i, step := range steps {
		table.outcomes = []outcome{step.outcome}
		got, err := s.CommitMember(ctx, MemberCommit{ReadVersion: version, Change: MemberChange{Kind: step.kind, Member: step.member, By: "x"}})
		if step.want != nil {
			require.ErrorIs(t, err, step.want, "step %d", i)
			continue
		}
		require.NoError(t, err, "step %d", i)
		version++
		require.Equal(t, version, got)
	}
	before := m.Counts().Reads
	heads, err := s.Heads(ctx)
	require.NoError(t, err)
	require.Equal(t, Heads{Members: 5}, heads)
	require.EqualValues(t, 1, m.Counts().Reads-before, "attesters may read only once")

	want := &MembersState{Version: 5, Members: map[string]Member{"b": member("b", "1", "b", "s")}}
	again := New(m.Table(), m.Objects(), Options{SnapshotInterval: 5})
	state, err := again.LoadMembers(ctx)
	require.NoError(t, err)
	require.Equal(t, want, state)
	require.NoError(t, again.Snapshot(ctx))
	before = m.Counts().Reads
	state, err = New(m.Table(), m.Objects(), options()).LoadMembers(ctx)
	require.NoError(t, err)
	require.Equal(t, want, state)
	require.EqualValues(t, 3, m.Counts().Reads-before, "index, one part, the end of the log")

	var conflict *ConflictError
	_, err = s.CommitMember(ctx, MemberCommit{ReadVersion: 4, Change: MemberChange{Kind: MemberJoin, Member: member("d", "1")}})
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, ConflictError{Read: 4, Head: 5}, *conflict)
}

// Guards against a reader that takes a gap in the log for its end.
func TestGap(t *testing.T) {
	s, _, m := newStore()
	ctx := t.Context()
	_, err := m.Table().Transact(ctx, platform.Transaction{Puts: []platform.Put{
		{Key: configLog.entryKey(1), Value: []byte(`{}`)},
		{Key: configLog.entryKey(3), Value: []byte(`{}`)},
		{Key: membersLog.entryKey(1), Value: []byte(`[]`)},
	}})
	require.NoError(t, err)
	entries, err := s.ConfigEntries(ctx, 0, 10)
	require.NoError(t, err)
	require.Len(t, entries, 1)
	_, err = s.ConfigEntries(ctx, 1, 10)
	require.ErrorIs(t, err, ErrCorruptLog)
	_, err = s.MemberEntries(ctx, 0, 10)
	require.ErrorIs(t, err, ErrCorruptLog)
}

// Guards against lost and doubled commits of two racing operators under faults:
// every confirmed commit must be in the log exactly once, every refused one not at all.
func TestRacingOperatorsProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := memory.New()
		tables := []*faultyTable{{Table: m.Table()}, {Table: m.Table()}}
		stores := []*Store{New(tables[0], m.Objects(), options()), New(tables[1], m.Objects(), options())}
		read := []uint64{0, 0}
		confirmed, refused := map[string]uint64{}, map[string]bool{}
		for i := range rapid.IntRange(1, 20).Draw(t, "steps") {
			who := rapid.IntRange(0, 1).Draw(t, "operator")
			tables[who].outcomes = rapid.SliceOfN(rapid.Map(rapid.IntRange(0, int(readsFailNext)), func(n int) outcome { return outcome(n) }), 0, 5).Draw(t, "outcomes")
			id := fmt.Sprintf("c%d", i)
			version, err := stores[who].CommitConfig(t.Context(), zoneCommit(id, read[who]))
			var conflict *ConflictError
			switch {
			case err == nil:
				confirmed[id] = version
				read[who] = version
			case errors.As(err, &conflict):
				refused[id] = true
				read[who] = conflict.Head
			}
			if rapid.Bool().Draw(t, "refresh") {
				heads, err := stores[who].Heads(t.Context())
				if err == nil {
					read[who] = heads.Config
				}
			}
		}
		entries, err := New(m.Table(), m.Objects(), options()).ConfigEntries(t.Context(), 0, 100)
		require.NoError(t, err)
		seen := map[string]uint64{}
		for _, entry := range entries {
			require.NotContains(t, seen, entry.CommitID)
			seen[entry.CommitID] = entry.Version
		}
		for id, version := range confirmed {
			require.Equal(t, version, seen[id], id)
		}
		for id := range refused {
			require.NotContains(t, seen, id)
		}
	})
}
