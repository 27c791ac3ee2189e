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

// ConfigState is the configuration at a version. It is immutable.
type ConfigState struct {
	// Version is the version of the configuration log.
	Version uint64
	// Config is the configuration.
	Config *rules.Config
}

// MembersState is the membership at a version. It is immutable.
type MembersState struct {
	// Version is the version of the membership log.
	Version uint64
	// Members contains the members, keyed by node name.
	Members map[string]Member
}

// LoadConfig returns the current configuration: the cached state, or the latest
// snapshot if none is cached, with the entries after it applied. Errors:
// platform.ErrUnavailable, ErrCorruptLog.
func (s *Store) LoadConfig(ctx context.Context) (*ConfigState, error) {
	state := s.config.Load()
	if state == nil {
		var err error
		if state, err = s.configSnapshot(ctx); err != nil {
			return nil, err
		}
	}
	for {
		entries, err := s.ConfigEntries(ctx, state.Version, maxScanRows)
		if err != nil {
			return nil, err
		}
		if len(entries) == 0 {
			s.cacheConfig(state)
			return state, nil
		}
		if state, err = state.apply(entries); err != nil {
			return nil, err
		}
	}
}

// apply returns the state that results from entries that follow its version.
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

// cacheConfig caches the state for the next load unless a state of the same or a
// later version is cached.
func (s *Store) cacheConfig(state *ConfigState) {
	for {
		cached := s.config.Load()
		if cached != nil && cached.Version >= state.Version || s.config.CompareAndSwap(cached, state) {
			return
		}
	}
}

// configSnapshot returns the state of the latest snapshot, or the empty
// configuration if the snapshot is missing or corrupt.
func (s *Store) configSnapshot(ctx context.Context) (*ConfigState, error) {
	empty := &ConfigState{Config: rules.NewConfig()}
	version, lines, err := s.snapshots.read(ctx, configLog)
	if isUnusableSnapshot(err) {
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

// isUnusableSnapshot reports whether the error means that the snapshot is missing or
// corrupt.
func isUnusableSnapshot(err error) bool {
	return errors.Is(err, platform.ErrNotFound) || errors.Is(err, errCorruptSnapshot)
}

// LoadMembers returns the current membership: the cached state, or the latest
// snapshot if none is cached, with the entries after it applied. Errors:
// platform.ErrUnavailable, ErrCorruptLog.
func (s *Store) LoadMembers(ctx context.Context) (*MembersState, error) {
	state := s.members.Load()
	if state == nil {
		var err error
		if state, err = s.membersSnapshot(ctx); err != nil {
			return nil, err
		}
	}
	for {
		entries, err := s.MemberEntries(ctx, state.Version, maxScanRows)
		if err != nil {
			return nil, err
		}
		if len(entries) == 0 {
			s.cacheMembers(state)
			return state, nil
		}
		if state, err = state.Apply(entries); err != nil {
			return nil, err
		}
	}
}

// Apply returns the state that results from entries that follow its version.
// Errors: ErrCorruptLog.
func (m *MembersState) Apply(entries []MemberEntry) (*MembersState, error) {
	next := &MembersState{Version: m.Version, Members: maps.Clone(m.Members)}
	for _, entry := range entries {
		if entry.Version != next.Version+1 {
			return nil, errors.Wrapf(ErrCorruptLog, "member entry %d does not follow version %d", entry.Version, next.Version)
		}
		if err := next.checkIncarnation(entry.Change); err != nil {
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

// checkIncarnation returns ErrIncarnation if a join names the current incarnation
// of the member, or any other change does not. It prevents a delayed change for an
// earlier incarnation from affecting the current one.
func (m *MembersState) checkIncarnation(change MemberChange) error {
	current, found := m.Members[change.Member.Node]
	sameIncarnation := found && current.Incarnation == change.Member.Incarnation
	if change.Kind == MemberJoin && sameIncarnation || change.Kind != MemberJoin && !sameIncarnation {
		return errors.Wrapf(ErrIncarnation, "%s of %s with incarnation %s", change.Kind, change.Member.Node, change.Member.Incarnation)
	}
	return nil
}

// cacheMembers caches the state for the next load unless a state of the same or a
// later version is cached.
func (s *Store) cacheMembers(state *MembersState) {
	for {
		cached := s.members.Load()
		if cached != nil && cached.Version >= state.Version || s.members.CompareAndSwap(cached, state) {
			return
		}
	}
}

// membersSnapshot returns the state of the latest snapshot, or the empty
// membership if the snapshot is missing or corrupt.
func (s *Store) membersSnapshot(ctx context.Context) (*MembersState, error) {
	empty := &MembersState{Members: map[string]Member{}}
	version, lines, err := s.snapshots.read(ctx, membersLog)
	if isUnusableSnapshot(err) {
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

// lines returns the members as JSON, one member per line, sorted by node name.
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
