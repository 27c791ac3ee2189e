package configstore

import (
	"context"
	"net/netip"
	"reflect"
	"slices"

	"github.com/cockroachdb/errors"

	"trefoildock.example/platform"
	"trefoildock.example/rules"
)

// maxMemberServices bounds the number of services of a member, and with it the
// size of its row.
const maxMemberServices = 200

// CommitMember commits a change of the membership and returns its version. If the
// version after ReadVersion already contains an equal change, CommitMember treats
// it as this commit and returns its version. Errors: *ConflictError if the
// membership is not at ReadVersion, ErrInvalidCommit, ErrIncarnation,
// platform.ErrUnavailable if nothing was written, platform.ErrOutcomeUnknown if
// the change may have taken effect.
func (s *Store) CommitMember(ctx context.Context, c MemberCommit) (uint64, error) {
	if err := c.Change.validate(); err != nil {
		return 0, err
	}
	c.Change.Member.Services = normalizeServices(c.Change.Member.Services)
	head, revision, err := s.readHead(ctx, membersLog)
	if err != nil {
		return 0, err
	}
	if head != c.ReadVersion {
		return s.resolveMemberConflict(ctx, c)
	}
	state, err := s.LoadMembers(ctx)
	if err != nil {
		return 0, err
	}
	if state.Version != c.ReadVersion {
		return s.resolveMemberConflict(ctx, c)
	}
	if err := state.checkIncarnation(c.Change); err != nil {
		return 0, err
	}
	tx, err := memberTransaction(c, revision)
	if err != nil {
		return 0, err
	}
	committed, err := s.transact(ctx, tx, func(ctx context.Context) (bool, error) {
		return s.memberChangeCommitted(ctx, c)
	})
	if err != nil {
		return 0, err
	}
	if !committed {
		return s.resolveMemberConflict(ctx, c)
	}
	return c.ReadVersion + 1, nil
}

// memberChangeCommitted reports whether the entry after the version that the
// change is based on contains an equal change.
func (s *Store) memberChangeCommitted(ctx context.Context, c MemberCommit) (bool, error) {
	entries, err := s.MemberEntries(ctx, c.ReadVersion, 1)
	return len(entries) == 1 && reflect.DeepEqual(entries[0].Change, c.Change), err
}

// resolveMemberConflict returns the version of the change if an earlier attempt
// was committed, and otherwise a ConflictError with the current version.
func (s *Store) resolveMemberConflict(ctx context.Context, c MemberCommit) (uint64, error) {
	found, err := s.memberChangeCommitted(ctx, c)
	if err != nil {
		return 0, err
	}
	if found {
		return c.ReadVersion + 1, nil
	}
	head, _, err := s.readHead(ctx, membersLog)
	if err != nil {
		return 0, err
	}
	return 0, &ConflictError{ReadVersion: c.ReadVersion, HeadVersion: head}
}

// normalizeServices returns the services sorted and without duplicates, or nil if
// there are none, so that equal members have equal records.
func normalizeServices(services []string) []string {
	if len(services) == 0 {
		return nil
	}
	return slices.Compact(slices.Sorted(slices.Values(services)))
}

func memberTransaction(c MemberCommit, revision uint64) (platform.Transaction, error) {
	version := c.ReadVersion + 1
	head, err := jsonPut(membersLog.headKey(), headRow{Version: version})
	if err != nil {
		return platform.Transaction{}, err
	}
	entry, err := jsonPut(membersLog.entryKey(version), c.Change)
	if err != nil {
		return platform.Transaction{}, err
	}
	return platform.Transaction{
		Checks: []platform.Check{
			{Key: membersLog.headKey(), Revision: revision},
			{Key: membersLog.entryKey(version)},
		},
		Puts: []platform.Put{head, entry},
	}, nil
}

func (c *MemberChange) validate() error {
	switch c.Kind {
	case MemberJoin, MemberUpdate:
		if _, err := netip.ParseAddrPort(c.Member.LinkAddress); err != nil {
			return errors.Wrapf(ErrInvalidCommit, "link address %q is not IP:port", c.Member.LinkAddress)
		}
		for _, name := range []string{c.Member.VM, c.Member.Zone, c.Member.Region} {
			if !rules.ValidName(name) {
				return errors.Wrapf(ErrInvalidCommit, "VM, zone or region %q of a member is not a valid name", name)
			}
		}
		if len(c.Member.Services) > maxMemberServices {
			return errors.Wrapf(ErrInvalidCommit, "member has %d services, at most %d are allowed", len(c.Member.Services), maxMemberServices)
		}
		for _, name := range c.Member.Services {
			if !rules.ValidName(name) {
				return errors.Wrapf(ErrInvalidCommit, "service %q is not a valid name", name)
			}
		}
	case MemberLeave, MemberRemove:
	default:
		return errors.Wrapf(ErrInvalidCommit, "unknown kind of member change %q", c.Kind)
	}
	if !rules.ValidName(c.Member.Node) || !rules.ValidName(c.Member.Incarnation) {
		return errors.Wrapf(ErrInvalidCommit, "node %q or incarnation %q is not a valid name", c.Member.Node, c.Member.Incarnation)
	}
	return nil
}
