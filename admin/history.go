package admin

import (
	"context"
	"slices"

	"github.com/cockroachdb/errors"

	"trefoildock.example/configstore"
	"trefoildock.example/platform"
	"trefoildock.example/rules"
)

// maxCommitSearchEntries limits the number of log entries that are searched for an
// earlier commit. At the peak rate of 0.64 changes/s it covers 53 minutes. The store
// also detects older commit ids and rejects them.
const maxCommitSearchEntries = 2048

// loggedCommit is a commit in the configuration log.
type loggedCommit struct {
	entry  configstore.ConfigEntry
	before *rules.Config // configuration that the entry was applied to
}

// findCommit searches the latest entries up to head for a commit id. It returns nil
// if the commit id is not found.
func (h *handler) findCommit(ctx context.Context, id string, head *configstore.ConfigState) (*loggedCommit, error) {
	var inverseDeltas []rules.Delta // inverse deltas of the entries visited so far, latest first
	oldest := head.Version - min(head.Version, maxCommitSearchEntries)
	for to := head.Version; to > oldest; {
		after := to - min(to-oldest, logPageEntries)
		entries, err := h.readEntries(ctx, after, to)
		if err != nil {
			return nil, err
		}
		for _, entry := range slices.Backward(entries) {
			inverseDeltas = append(inverseDeltas, rules.Delta{Removed: entry.Delta.Added, Added: entry.Delta.Removed})
			if entry.CommitID != id {
				continue
			}
			before, err := head.Config.Apply(rules.Merge(inverseDeltas...))
			if err != nil {
				return nil, errors.Wrapf(configstore.ErrCorruptLog, "undo entries from version %d: %v", entry.Version, err)
			}
			return &loggedCommit{entry: entry, before: before}, nil
		}
		to = after
	}
	return nil, nil
}

// readEntries returns all entries with versions greater than after, up to and
// including to.
func (h *handler) readEntries(ctx context.Context, after, to uint64) ([]configstore.ConfigEntry, error) {
	var list []configstore.ConfigEntry
	for after < to {
		page, err := h.config.Store.ConfigEntries(ctx, after, int(to-after))
		if err != nil {
			return nil, errors.Wrap(err, "read configuration log")
		}
		if len(page) == 0 {
			return nil, errors.Wrapf(platform.ErrUnavailable, "configuration log ends at version %d before version %d", after, to)
		}
		list = append(list, page...)
		after = page[len(page)-1].Version
	}
	return list, nil
}
