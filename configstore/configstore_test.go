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

// outcome is the injected outcome of one transaction.
type outcome int

const (
	noFault outcome = iota
	unavailable
	lostResponse              // applied, reported as unknown
	lostRequest               // not applied, reported as unknown
	delayedWrite              // applied before the next transaction, reported as unknown
	lostResponseThenReadError // applied, reported as unknown, and the next read fails
)

// faultyTable injects the listed outcomes into successive transactions. Later
// transactions succeed.
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
	next := noFault
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
	case lostResponseThenReadError:
		f.failReads = 1
	}
	revision, err := f.Table.Transact(ctx, tx)
	if next == lostResponse || next == lostResponseThenReadError {
		return 0, platform.ErrOutcomeUnknown
	}
	return revision, err
}

func testOptions() Options {
	return Options{
		Now:        func() time.Time { return time.Date(2026, 5, 4, 3, 2, 1, 0, time.UTC) },
		RetryDelay: time.Nanosecond,
	}
}

func newStore(outcomes ...outcome) (*Store, *faultyTable, *memory.Store) {
	m := memory.New()
	table := &faultyTable{Table: m.Table(), outcomes: outcomes}
	return New(table, m.Objects(), testOptions()), table, m
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

// Guards against a commit that is lost, executed twice or reported with the wrong
// outcome when a request or a response is lost, and against a missing audit record.
func TestCommitConfigFaults(t *testing.T) {
	tests := []struct {
		name     string
		outcomes []outcome
		want     error
	}{
		{"healthy", nil, nil},
		{"lost response", []outcome{lostResponse}, nil},
		{"lost request", []outcome{lostRequest, lostRequest}, nil},
		{"delayed write", []outcome{delayedWrite}, nil},
		{"lost response, then a read fails", []outcome{lostResponseThenReadError}, nil},
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
			for range 2 { // a repeated commit returns the version and changes nothing
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
				Time: testOptions().Now(), Operator: "op", Requester: "D. Parry", Action: "zone out",
				Added: []string{zoneLine("a")}, FromVersion: 0, ToVersion: 1, CommitID: "a",
			}}, audit)
		})
	}
}

// Guards against a lost update between concurrent operators, and against a
// conflict that is reported without both versions.
func TestCommitConfigConflict(t *testing.T) {
	s, table, m := newStore()
	other := New(m.Table(), m.Objects(), testOptions())
	ctx := t.Context()
	for i, id := range []string{"a", "b"} {
		_, err := s.CommitConfig(ctx, zoneCommit(id, uint64(i)))
		require.NoError(t, err)
	}
	var conflict *ConflictError
	_, err := other.CommitConfig(ctx, zoneCommit("c", 1))
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, ConflictError{ReadVersion: 1, HeadVersion: 2}, *conflict)

	// The commit of the other operator is applied between the read and the write of
	// this one.
	table.outcomes = []outcome{delayedWrite}
	_, err = table.Transact(ctx, newConfigTransaction(t, other, zoneCommit("d", 2)))
	require.ErrorIs(t, err, platform.ErrOutcomeUnknown)
	_, err = s.CommitConfig(ctx, zoneCommit("e", 2))
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, ConflictError{ReadVersion: 2, HeadVersion: 3}, *conflict)
}

func newConfigTransaction(t *testing.T, s *Store, c ConfigCommit) platform.Transaction {
	_, revision, err := s.readHead(t.Context(), configLog)
	require.NoError(t, err)
	fingerprint, err := c.fingerprint()
	require.NoError(t, err)
	tx, err := s.configTransaction(c, revision, fingerprint)
	require.NoError(t, err)
	return tx
}

// Guards against commits that nodes cannot apply, and against commits with
// incomplete or malformed audit data.
func TestCommitConfigRejections(t *testing.T) {
	s, _, _ := newStore()
	ctx := t.Context()
	_, err := s.CommitConfig(ctx, zoneCommit("a", 0))
	require.NoError(t, err)

	reused := zoneCommit("a", 1)
	reused.Delta.Added = []string{zoneLine("b")}
	_, err = s.CommitConfig(ctx, reused)
	require.ErrorIs(t, err, ErrCommitIDReused)

	inapplicable := zoneCommit("b", 1)
	inapplicable.Delta.Added = []string{"route GET / service none access open repeat once # A: b"}
	_, err = s.CommitConfig(ctx, inapplicable)
	var list rules.ErrorList
	require.ErrorAs(t, err, &list)

	for _, change := range []func(*ConfigCommit){
		func(c *ConfigCommit) { c.ID = "a/b" },
		func(c *ConfigCommit) { c.Operator = "" },
		func(c *ConfigCommit) { c.Requester = " " },
		func(c *ConfigCommit) { c.Requester = "a\nb" },
		func(c *ConfigCommit) { c.Action = strings.Repeat("a", maxAuditTextBytes+1) },
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

func newMember(node, incarnation string, services ...string) Member {
	return Member{
		Node: node, VM: "vm", Zone: "z", Region: "r", LinkAddress: "10.0.0.1:7400",
		Incarnation: incarnation, Services: services,
	}
}

// Guards against a change for an earlier incarnation that affects the current one,
// and against a membership that differs after a restart.
func TestMemberChangesCheckIncarnation(t *testing.T) {
	s, table, m := newStore()
	ctx := t.Context()
	steps := []struct {
		kind    MemberChangeKind
		member  Member
		outcome outcome
		want    error
	}{
		{MemberJoin, newMember("a", "1"), lostResponse, nil},
		{MemberJoin, newMember("a", "1"), noFault, ErrIncarnation},
		{MemberUpdate, newMember("a", "1", "s", "b"), delayedWrite, nil},
		{MemberUpdate, newMember("a", "2"), noFault, ErrIncarnation},
		{MemberJoin, newMember("a", "2"), noFault, nil},
		{MemberRemove, Member{Node: "a", Incarnation: "1"}, noFault, ErrIncarnation},
		{MemberJoin, newMember("b", "1", "s", "b"), noFault, nil},
		{MemberRemove, Member{Node: "a", Incarnation: "2"}, lostRequest, nil},
		{MemberLeave, Member{Node: "a", Incarnation: "2"}, noFault, ErrIncarnation},
		{MemberChangeKind("other"), newMember("c", "1"), noFault, ErrInvalidCommit},
		{MemberJoin, Member{Node: "c", Incarnation: "1"}, noFault, ErrInvalidCommit},
	}
	version := uint64(0)
	for i, step := range steps {
		table.outcomes = []outcome{step.outcome}
		got, err := s.CommitMember(ctx, MemberCommit{ReadVersion: version, Change: MemberChange{Kind: step.kind, Member: step.member, CommittedBy: "x"}})
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
	require.EqualValues(t, 1, m.Counts().Reads-before, "attesters use a single read")

	want := &MembersState{Version: 5, Members: map[string]Member{"b": newMember("b", "1", "b", "s")}}
	reopened := New(m.Table(), m.Objects(), Options{SnapshotInterval: 5})
	state, err := reopened.LoadMembers(ctx)
	require.NoError(t, err)
	require.Equal(t, want, state)
	require.NoError(t, reopened.Snapshot(ctx))
	before = m.Counts().Reads
	state, err = New(m.Table(), m.Objects(), testOptions()).LoadMembers(ctx)
	require.NoError(t, err)
	require.Equal(t, want, state)
	require.EqualValues(t, 3, m.Counts().Reads-before, "index, one part, end of the log")

	var conflict *ConflictError
	_, err = s.CommitMember(ctx, MemberCommit{ReadVersion: 4, Change: MemberChange{Kind: MemberJoin, Member: newMember("d", "1")}})
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, ConflictError{ReadVersion: 4, HeadVersion: 5}, *conflict)
}

// Guards against a reader that interprets a gap in the log as its end.
func TestEntriesGap(t *testing.T) {
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

// Guards against lost and duplicate commits of two concurrent operators under
// injected faults: the log must contain every confirmed commit exactly once and no
// rejected commit.
func TestConcurrentCommitsProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := memory.New()
		tables := []*faultyTable{{Table: m.Table()}, {Table: m.Table()}}
		stores := []*Store{New(tables[0], m.Objects(), testOptions()), New(tables[1], m.Objects(), testOptions())}
		read := []uint64{0, 0}
		confirmed, rejected := map[string]uint64{}, map[string]bool{}
		for i := range rapid.IntRange(1, 20).Draw(t, "steps") {
			operator := rapid.IntRange(0, 1).Draw(t, "operator")
			tables[operator].outcomes = rapid.SliceOfN(rapid.Map(rapid.IntRange(0, int(lostResponseThenReadError)), func(n int) outcome { return outcome(n) }), 0, 5).Draw(t, "outcomes")
			id := fmt.Sprintf("c%d", i)
			version, err := stores[operator].CommitConfig(t.Context(), zoneCommit(id, read[operator]))
			var conflict *ConflictError
			switch {
			case err == nil:
				confirmed[id] = version
				read[operator] = version
			case errors.As(err, &conflict):
				rejected[id] = true
				read[operator] = conflict.HeadVersion
			}
			if rapid.Bool().Draw(t, "refresh") {
				heads, err := stores[operator].Heads(t.Context())
				if err == nil {
					read[operator] = heads.Config
				}
			}
		}
		entries, err := New(m.Table(), m.Objects(), testOptions()).ConfigEntries(t.Context(), 0, 100)
		require.NoError(t, err)
		seen := map[string]uint64{}
		for _, entry := range entries {
			require.NotContains(t, seen, entry.CommitID)
			seen[entry.CommitID] = entry.Version
		}
		for id, version := range confirmed {
			require.Equal(t, version, seen[id], id)
		}
		for id := range rejected {
			require.NotContains(t, seen, id)
		}
	})
}
