package configstore

import (
	"bytes"
	"context"
	"encoding/json"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"

	"trefoildock.example/platform"
	"trefoildock.example/rules"
)

// ConfigState is the configuration at a version. It must not be changed.
type ConfigState struct {
	// Version is the version of the configuration log.
	Version uint64
	// Config is the configuration.
	Config *rules.Config
}

// MembersState is the membership at a version. It must not be changed.
type MembersState struct {
	// Version is the version of the membership log.
	Version uint64
	// Members are the members by node.
	Members map[string]Member
}

// LoadConfig returns the current configuration: that of the last load or of the
// latest snapshot, with the entries after it. Errors: platform.ErrUnavailable,
// ErrCorruptLog.
func (s *Store) LoadConfig(ctx context.Context) (*ConfigState, error) {
	state := s.config.Load()
	if state == nil {
		var err error
		if state, err = s.configSnapshot(ctx); err != nil {
			return nil, err
		}
	}
	for {
		entries, err := s.ConfigEntries(ctx, state.Version, pageRows)
		if err != nil {
			return nil, err
		}
		if len(entries) == 0 {
			s.keepConfig(state)
			return state, nil
		}
		if state, err = state.apply(entries); err != nil {
			return nil, err
		}
	}
}

// apply returns the state after the entries.
func (c *ConfigState) apply(entries []ConfigEntry) (*ConfigState, error) {
	deltas := make([]rules.Delta, len(entries))
	for i, entry := range entries {
		deltas[i] = entry.Delta
	}
	config, err := c.Config.Apply(rules.Merge(deltas...))
	if err != nil {
		return nil, errors.Wrapf(ErrCorruptLog, "entries after version %d: %v", c.Version, err)
	}
	return &ConfigState{Version: c.Version + uint64(len(entries)), Config: config}, nil
}

// keepConfig keeps the state for the next load unless a newer one is kept.
func (s *Store) keepConfig(state *ConfigState) {
	for {
		kept := s.config.Load()
		if kept != nil && kept.Version >= state.Version || s.config.CompareAndSwap(kept, state) {
			return
		}
	}
}

// configSnapshot returns the latest snapshot, or the empty configuration if
// there is none that can be read.
func (s *Store) configSnapshot(ctx context.Context) (*ConfigState, error) {
	empty := &ConfigState{Config: rules.NewConfig()}
	version, lines, err := s.snapshots.read(ctx, configLog)
	if unusable(err) {
		return empty, nil
	}
	if err != nil {
		return nil, err
	}
	config, err := rules.Parse("snapshot", bytes.NewReader(lines))
	if err != nil {
		return empty, nil
	}
	return &ConfigState{Version: version, Config: config}, nil
}

// unusable reports whether there is no snapshot that can be read.
func unusable(err error) bool {
	return errors.Is(err, platform.ErrNotFound) || errors.Is(err, errDamagedSnapshot)
}

// LoadMembers returns the current membership: that of the last load or of the
// latest snapshot, with the entries after it. Errors: platform.ErrUnavailable,
// ErrCorruptLog.
func (s *Store) LoadMembers(ctx context.Context) (*MembersState, error) {
	state := s.members.Load()
	if state == nil {
		var err error
		if state, err = s.membersSnapshot(ctx); err != nil {
			return nil, err
		}
	}
	for {
		entries, err := s.MemberEntries(ctx, state.Version, pageRows)
		if err != nil {
			return nil, err
		}
		if len(entries) == 0 {
			s.keepMembers(state)
			return state, nil
		}
		if state, err = state.Apply(entries); err != nil {
			return nil, err
		}
	}
}

// Apply returns the state after entries that follow its version. Errors:
// ErrCorruptLog.
func (m *MembersState) Apply(entries []MemberEntry) (*MembersState, error) {
	next := &MembersState{Version: m.Version, Members: maps.Clone(m.Members)}
	for _, entry := range entries {
		if entry.Version != next.Version+1 {
			return nil, errors.Wrapf(ErrCorruptLog, "member entry %d does not follow version %d", entry.Version, next.Version)
		}
		if err := next.check(entry.Change); err != nil {
			return nil, errors.Wrapf(ErrCorruptLog, "member entry %d: %v", entry.Version, err)
		}
		member := entry.Change.Member
		switch entry.Change.Kind {
		case MemberLeave, MemberRemove:
			delete(next.Members, member.Node)
		default:
			next.Members[member.Node] = member
		}
		next.Version = entry.Version
	}
	return next, nil
}

// check reports whether the change fits the membership. A delayed change that
// was meant for an earlier incarnation must not affect the current one.
func (m *MembersState) check(change MemberChange) error {
	current, found := m.Members[change.Member.Node]
	same := found && current.Incarnation == change.Member.Incarnation
	if change.Kind == MemberJoin && same || change.Kind != MemberJoin && !same {
		return errors.Wrapf(ErrIncarnation, "%s of %s with incarnation %s", change.Kind, change.Member.Node, change.Member.Incarnation)
	}
	return nil
}

// keepMembers keeps the state for the next load unless a newer one is kept.
func (s *Store) keepMembers(state *MembersState) {
	for {
		kept := s.members.Load()
		if kept != nil && kept.Version >= state.Version || s.members.CompareAndSwap(kept, state) {
			return
		}
	}
}

// membersSnapshot returns the latest snapshot, or the empty membership if there
// is none that can be read.
func (s *Store) membersSnapshot(ctx context.Context) (*MembersState, error) {
	empty := &MembersState{Members: map[string]Member{}}
	version, lines, err := s.snapshots.read(ctx, membersLog)
	if unusable(err) {
		return empty, nil
	}
	if err != nil {
		return nil, err
	}
	state := &MembersState{Version: version, Members: map[string]Member{}}
	for line := range bytes.Lines(lines) {
		var member Member
		if err := json.Unmarshal(line, &member); err != nil {
			return empty, nil
		}
		state.Members[member.Node] = member
	}
	return state, nil
}

// lines returns the members as JSON, one per line, sorted by node.
func (m *MembersState) lines() ([]string, error) {
	lines := make([]string, 0, len(m.Members))
	for _, node := range slices.Sorted(maps.Keys(m.Members)) {
		line, err := json.Marshal(m.Members[node])
		if err != nil {
			return nil, err
		}
		lines = append(lines, string(line))
	}
	return lines, nil
}
