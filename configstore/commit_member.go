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

// maxMemberServices keeps the row of a member small.
const maxMemberServices = 200

// CommitMember commits a change of the membership and returns its version. An
// equal change at that version counts as this one. Errors: *ConflictError if
// another commit came first, ErrInvalidCommit, ErrIncarnation,
// platform.ErrUnavailable if nothing was written, platform.ErrOutcomeUnknown.
func (s *Store) CommitMember(ctx context.Context, c MemberCommit) (uint64, error) {
	if err := c.Change.validate(); err != nil {
		return 0, err
	}
	c.Change.Member.Services = normalServices(c.Change.Member.Services)
	head, revision, err := s.head(ctx, membersLog)
	if err != nil {
		return 0, err
	}
	if head != c.ReadVersion {
		return s.memberConflict(ctx, c)
	}
	state, err := s.LoadMembers(ctx)
	if err != nil {
		return 0, err
	}
	if state.Version != c.ReadVersion {
		return s.memberConflict(ctx, c)
	}
	if err := state.check(c.Change); err != nil {
		return 0, err
	}
	tx, err := memberTransaction(c, revision)
	if err != nil {
		return 0, err
	}
	landed, err := s.transact(ctx, tx, func(ctx context.Context) (bool, error) {
		return s.memberCommitted(ctx, c)
	})
	if err != nil {
		return 0, err
	}
	if !landed {
		return s.memberConflict(ctx, c)
	}
	return c.ReadVersion + 1, nil
}

// memberCommitted reports whether the change is the one that followed the
// version that it is based on.
func (s *Store) memberCommitted(ctx context.Context, c MemberCommit) (bool, error) {
	entries, err := s.MemberEntries(ctx, c.ReadVersion, 1)
	return len(entries) == 1 && reflect.DeepEqual(entries[0].Change, c.Change), err
}

// memberConflict returns the version of the change if it landed after all, or a
// ConflictError with the current version.
func (s *Store) memberConflict(ctx context.Context, c MemberCommit) (uint64, error) {
	found, err := s.memberCommitted(ctx, c)
	if err != nil {
		return 0, err
	}
	if found {
		return c.ReadVersion + 1, nil
	}
	head, _, err := s.head(ctx, membersLog)
	if err != nil {
		return 0, err
	}
	return 0, &ConflictError{Read: c.ReadVersion, Head: head}
}

// normalServices returns the sorted services, or nil for none, so that equal
// members have equal records.
func normalServices(services []string) []string {
	if len(services) == 0 {
		return nil
	}
	return slices.Compact(slices.Sorted(slices.Values(services)))
}

func memberTransaction(c MemberCommit, revision uint64) (platform.Transaction, error) {
	version := c.ReadVersion + 1
	head, err := putJSON(membersLog.headKey(), headRow{Version: version})
	if err != nil {
		return platform.Transaction{}, err
	}
	entry, err := putJSON(membersLog.entryKey(version), c.Change)
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
				return errors.Wrapf(ErrInvalidCommit, "VM, zone or region %q of a member is not a name", name)
			}
		}
		if len(c.Member.Services) > maxMemberServices {
			return errors.Wrapf(ErrInvalidCommit, "%d services of a member, at most %d are allowed", len(c.Member.Services), maxMemberServices)
		}
		for _, name := range c.Member.Services {
			if !rules.ValidName(name) {
				return errors.Wrapf(ErrInvalidCommit, "service %q is not a name", name)
			}
		}
	case MemberLeave, MemberRemove:
	default:
		return errors.Wrapf(ErrInvalidCommit, "kind of member change %q", c.Kind)
	}
	if !rules.ValidName(c.Member.Node) || !rules.ValidName(c.Member.Incarnation) {
		return errors.Wrapf(ErrInvalidCommit, "node %q or incarnation %q is not a name", c.Member.Node, c.Member.Incarnation)
	}
	return nil
}
