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
	// maxAuditTextBytes bounds the length of the requester and of the action.
	maxAuditTextBytes = 256
	// defaultAction is the action recorded for a commit that specifies none.
	defaultAction = "apply"
)

// CommitConfig commits a change of the configuration and returns its version.
// Commits are idempotent by ID: a repeated commit returns the version of the first
// one. Errors: *ConflictError if the configuration is not at ReadVersion,
// rules.ErrorList if the delta does not apply to the configuration,
// ErrInvalidCommit, ErrCommitIDReused, platform.ErrUnavailable if nothing was
// written, platform.ErrOutcomeUnknown if the commit may have taken effect; in that
// case the caller repeats it with the same ID to determine the outcome.
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
	if version, found, err := s.findCommit(ctx, c.ID, fingerprint); err != nil || found {
		return version, err
	}
	version, revision, err := s.readHead(ctx, configLog)
	if err != nil {
		return 0, err
	}
	if version != c.ReadVersion {
		// An earlier attempt may have been committed between the two reads.
		return s.resolveConflict(ctx, c, fingerprint)
	}
	next, err := s.applyCommit(ctx, c)
	if errors.HasType(err, (*ConflictError)(nil)) {
		return s.resolveConflict(ctx, c, fingerprint)
	}
	if err != nil {
		return 0, err
	}
	tx, err := s.configTransaction(c, revision, fingerprint)
	if err != nil {
		return 0, err
	}
	committed, err := s.transact(ctx, tx, func(ctx context.Context) (bool, error) {
		_, found, err := s.findCommit(ctx, c.ID, fingerprint)
		return found, err
	})
	if err != nil {
		return 0, err
	}
	if !committed {
		return s.resolveConflict(ctx, c, fingerprint)
	}
	s.cacheConfig(&ConfigState{Version: c.ReadVersion + 1, Config: next})
	s.snapshotConfigIfDue(ctx, c.ReadVersion+1)
	return c.ReadVersion + 1, nil
}

// applyCommit returns the configuration that results from the commit.
func (s *Store) applyCommit(ctx context.Context, c ConfigCommit) (*rules.Config, error) {
	state, err := s.LoadConfig(ctx)
	if err != nil {
		return nil, err
	}
	if state.Version != c.ReadVersion {
		return nil, &ConflictError{ReadVersion: c.ReadVersion, HeadVersion: state.Version}
	}
	next, err := state.Config.Apply(c.Delta)
	return next, errors.Wrapf(err, "delta does not apply to version %d", c.ReadVersion)
}

func (c *ConfigCommit) validate() error {
	switch {
	case !rules.ValidName(c.ID):
		return errors.Wrapf(ErrInvalidCommit, "commit id %q is not a name", c.ID)
	case !rules.ValidName(c.Operator):
		return errors.Wrapf(ErrInvalidCommit, "operator %q is not a name", c.Operator)
	case !validAuditText(c.Requester):
		return errors.Wrapf(ErrInvalidCommit, "requester must be a line of 1 to %d bytes", maxAuditTextBytes)
	case !validAuditText(c.Action):
		return errors.Wrapf(ErrInvalidCommit, "action must be a line of 1 to %d bytes", maxAuditTextBytes)
	case c.Delta.Empty():
		return errors.Wrap(ErrInvalidCommit, "the delta changes nothing")
	}
	return nil
}

func validAuditText(text string) bool {
	return strings.TrimSpace(text) != "" && len(text) <= maxAuditTextBytes &&
		utf8.ValidString(text) && !strings.ContainsFunc(text, unicode.IsControl)
}

// fingerprint returns the SHA-256 digest of the content of the commit in hex.
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

// findCommit returns the version of an earlier commit with the id. It fails with
// ErrCommitIDReused if that commit has a different fingerprint.
func (s *Store) findCommit(ctx context.Context, id, fingerprint string) (version uint64, found bool, err error) {
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

// resolveConflict returns the version of the commit if an earlier attempt was
// committed, and otherwise a ConflictError with the current version.
func (s *Store) resolveConflict(ctx context.Context, c ConfigCommit, fingerprint string) (uint64, error) {
	if version, found, err := s.findCommit(ctx, c.ID, fingerprint); err != nil || found {
		return version, err
	}
	version, _, err := s.readHead(ctx, configLog)
	if err != nil {
		return 0, err
	}
	return 0, &ConflictError{ReadVersion: c.ReadVersion, HeadVersion: version}
}

// configTransaction returns the transaction that writes the commit if the head row
// still has the given revision.
func (s *Store) configTransaction(c ConfigCommit, revision uint64, fingerprint string) (platform.Transaction, error) {
	compressed, err := compressDelta(c.Delta)
	if err != nil {
		return platform.Transaction{}, errors.Wrap(err, "compress delta")
	}
	version := c.ReadVersion + 1
	entry := configRow{CommitID: c.ID, Delta: c.Delta}
	if compressed != nil {
		entry = configRow{CommitID: c.ID, HasSeparateDelta: true}
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
	if compressed != nil {
		rows = append(rows, row{versionKey(deltaPrefix, version), deltaRow{Compressed: compressed}})
	}
	for _, row := range rows {
		put, err := jsonPut(row.key, row.value)
		if err != nil {
			return platform.Transaction{}, err
		}
		tx.Puts = append(tx.Puts, put)
	}
	return tx, nil
}
