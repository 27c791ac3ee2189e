package configstore

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/cockroachdb/errors"

	"trefoildock.example/platform"
	"trefoildock.example/rules"
)

const (
	// maxAuditText bounds the requester and the action, in bytes.
	maxAuditText = 256
	// defaultAction is the action of a commit without one.
	defaultAction = "apply"
)

// CommitConfig commits a change of the configuration and returns its version. A
// repeated commit returns the version of the first one. Errors: *ConflictError
// if another commit came first, rules.ErrorList if the delta does not fit the
// configuration, ErrInvalidCommit, ErrCommitIDReused, platform.ErrUnavailable if
// nothing was written, platform.ErrOutcomeUnknown if the commit may have taken
// effect and must be repeated with the same ID to find out.
func (s *Store) CommitConfig(ctx context.Context, c ConfigCommit) (uint64, error) {
	if c.Action == "" {
		c.Action = defaultAction
	}
	if err := c.validate(); err != nil {
		return 0, err
	}
	fingerprint, err := c.fingerprint()
	if err != nil {
		return 0, err
	}
	if version, found, err := s.committed(ctx, c.ID, fingerprint); err != nil || found {
		return version, err
	}
	version, revision, err := s.head(ctx, configLog)
	if err != nil {
		return 0, err
	}
	if version != c.ReadVersion {
		// The commit may have landed between the two reads.
		return s.conflict(ctx, c, fingerprint)
	}
	next, err := s.applyCommit(ctx, c)
	if errors.HasType(err, (*ConflictError)(nil)) {
		return s.conflict(ctx, c, fingerprint)
	}
	if err != nil {
		return 0, err
	}
	tx, err := s.configTransaction(c, revision, fingerprint)
	if err != nil {
		return 0, err
	}
	landed, err := s.transact(ctx, tx, func(ctx context.Context) (bool, error) {
		_, found, err := s.committed(ctx, c.ID, fingerprint)
		return found, err
	})
	if err != nil {
		return 0, err
	}
	if !landed {
		return s.conflict(ctx, c, fingerprint)
	}
	s.keepConfig(&ConfigState{Version: c.ReadVersion + 1, Config: next})
	s.snapshotConfigIfDue(ctx, c.ReadVersion+1)
	return c.ReadVersion + 1, nil
}

// applyCommit returns the configuration after the commit.
func (s *Store) applyCommit(ctx context.Context, c ConfigCommit) (*rules.Config, error) {
	state, err := s.LoadConfig(ctx)
	if err != nil {
		return nil, err
	}
	if state.Version != c.ReadVersion {
		return nil, &ConflictError{Read: c.ReadVersion, Head: state.Version}
	}
	next, err := state.Config.Apply(c.Delta)
	return next, errors.Wrapf(err, "delta does not fit version %d", c.ReadVersion)
}

func (c *ConfigCommit) validate() error {
	switch {
	case !rules.ValidName(c.ID):
		return errors.Wrapf(ErrInvalidCommit, "commit id %q is not a name", c.ID)
	case !rules.ValidName(c.Operator):
		return errors.Wrapf(ErrInvalidCommit, "operator %q is not a name", c.Operator)
	case !validAuditText(c.Requester):
		return errors.Wrapf(ErrInvalidCommit, "requester must be a line of 1 to %d bytes", maxAuditText)
	case !validAuditText(c.Action):
		return errors.Wrapf(ErrInvalidCommit, "action must be a line of 1 to %d bytes", maxAuditText)
	case c.Delta.Empty():
		return errors.Wrap(ErrInvalidCommit, "the delta changes nothing")
	}
	return nil
}

func validAuditText(text string) bool {
	return strings.TrimSpace(text) != "" && len(text) <= maxAuditText &&
		utf8.ValidString(text) && !strings.ContainsFunc(text, unicode.IsControl)
}

// fingerprint identifies the content of the commit.
func (c *ConfigCommit) fingerprint() (string, error) {
	text, err := json.Marshal(struct {
		Delta                       rules.Delta
		Operator, Requester, Action string
	}{c.Delta, c.Operator, c.Requester, c.Action})
	if err != nil {
		return "", errors.Wrap(err, "encode commit")
	}
	digest := sha256.Sum256(text)
	return hex.EncodeToString(digest[:]), nil
}

// committed returns the version of an earlier commit with the id.
func (s *Store) committed(ctx context.Context, id, fingerprint string) (version uint64, found bool, err error) {
	row, err := s.table.Get(ctx, commitPrefix+id)
	if errors.Is(err, platform.ErrNotFound) {
		return 0, false, nil
	}
	if err != nil {
		return 0, false, err
	}
	var value commitRow
	if err := decodeRow(row, &value); err != nil {
		return 0, false, err
	}
	if value.Fingerprint != fingerprint {
		return 0, false, errors.Wrapf(ErrCommitIDReused, "commit id %s", id)
	}
	return value.Version, true, nil
}

// conflict returns the version of the commit if it landed after all, or a
// ConflictError with the current version.
func (s *Store) conflict(ctx context.Context, c ConfigCommit, fingerprint string) (uint64, error) {
	if version, found, err := s.committed(ctx, c.ID, fingerprint); err != nil || found {
		return version, err
	}
	version, _, err := s.head(ctx, configLog)
	if err != nil {
		return 0, err
	}
	return 0, &ConflictError{Read: c.ReadVersion, Head: version}
}

// configTransaction returns the transaction of a commit based on the head row
// with the revision.
func (s *Store) configTransaction(c ConfigCommit, revision uint64, fingerprint string) (platform.Transaction, error) {
	packed, err := packDelta(c.Delta)
	if err != nil {
		return platform.Transaction{}, errors.Wrap(err, "compress delta")
	}
	version := c.ReadVersion + 1
	entry := configRow{CommitID: c.ID, Delta: c.Delta}
	if packed != nil {
		entry = configRow{CommitID: c.ID, Separate: true}
	}
	audit := auditRow{
		Time:      s.options.Now().UTC(),
		Operator:  c.Operator,
		Requester: c.Requester,
		Action:    c.Action,
		CommitID:  c.ID,
	}
	tx := platform.Transaction{Checks: []platform.Check{
		{Key: configLog.headKey(), Revision: revision},
		{Key: configLog.entryKey(version)},
		{Key: commitPrefix + c.ID},
	}}
	type row struct {
		key   string
		value any
	}
	rows := []row{
		{configLog.headKey(), headRow{Version: version}},
		{configLog.entryKey(version), entry},
		{versionKey(auditPrefix, version), audit},
		{commitPrefix + c.ID, commitRow{Version: version, Fingerprint: fingerprint}},
	}
	if packed != nil {
		rows = append(rows, row{versionKey(deltaPrefix, version), deltaRow{Packed: packed}})
	}
	for _, row := range rows {
		put, err := putJSON(row.key, row.value)
		if err != nil {
			return platform.Transaction{}, err
		}
		tx.Puts = append(tx.Puts, put)
	}
	return tx, nil
}
