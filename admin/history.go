package admin

import (
	"context"
	"slices"

	"github.com/cockroachdb/errors"

	"trefoildock.example/configstore"
	"trefoildock.example/platform"
	"trefoildock.example/rules"
)

// maxRepeatDistance bounds the entries that are searched for a repeated commit.
// At the peak of 0.64 changes/s it covers 53 minutes. The store recognises older
// commit ids as well and refuses them.
const maxRepeatDistance = 2048

// madeCommit is a commit found in the log.
type madeCommit struct {
	entry  configstore.ConfigEntry
	before *rules.Config // configuration that the entry was applied to
}

// findCommit searches the latest entries up to a state for a commit id. It
// returns nil if they do not hold it.
func (h *handler) findCommit(ctx context.Context, id string, head *configstore.ConfigState) (*madeCommit, error) {
	var later []rules.Delta // inverse deltas after the entries that are searched, latest first
	oldest := head.Version - min(head.Version, maxRepeatDistance)
	for to := head.Version; to > oldest; {
		after := to - min(to-oldest, entryPage)
		entries, err := h.entries(ctx, after, to)
		if err != nil {
			return nil, err
		}
		for _, entry := range slices.Backward(entries) {
			later = append(later, rules.Delta{Removed: entry.Delta.Added, Added: entry.Delta.Removed})
			if entry.CommitID != id {
				continue
			}
			before, err := head.Config.Apply(rules.Merge(later...))
			if err != nil {
				return nil, errors.Wrapf(configstore.ErrCorruptLog, "undo entries from version %d: %v", entry.Version, err)
			}
			return &madeCommit{entry: entry, before: before}, nil
		}
		to = after
	}
	return nil, nil
}

// entries returns all entries after one version up to another.
func (h *handler) entries(ctx context.Context, after, to uint64) ([]configstore.ConfigEntry, error) {
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
