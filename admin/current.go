package admin

import (
	"context"

	"github.com/cockroachdb/errors"

	"trefoildock.example/platform"
	"trefoildock.example/rules"
)

// maxRewind bounds the entries that are undone to verify a repeated commit.
const maxRewind = 10_000

// currentConfig is the configuration read from the log so far. Each read fetches
// only the entries after the version that is held.
type currentConfig struct {
	store Store

	lock    chan struct{} // holds one token while locked, so that a wait can be cancelled
	config  *rules.Config
	version uint64
}

func newCurrentConfig(store Store) *currentConfig {
	return &currentConfig{store: store, lock: make(chan struct{}, 1), config: rules.NewConfig()}
}

// read returns the configuration at the head of the log.
func (c *currentConfig) read(ctx context.Context) (*rules.Config, uint64, error) {
	select {
	case c.lock <- struct{}{}:
		defer func() { <-c.lock }()
	case <-ctx.Done():
		return nil, 0, errors.Wrap(platform.ErrUnavailable, "wait for another read of the configuration")
	}
	for {
		entries, err := c.store.ConfigEntries(ctx, c.version, entryPage)
		if err != nil {
			return nil, 0, errors.Wrap(err, "read configuration log")
		}
		if err := c.apply(entries); err != nil {
			return nil, 0, err
		}
		if len(entries) < entryPage {
			return c.config, c.version, nil
		}
	}
}

func (c *currentConfig) apply(entries []ConfigEntry) error {
	for _, entry := range entries {
		if entry.Version != c.version+1 {
			return errors.Newf("configuration log: version %d follows version %d", entry.Version, c.version)
		}
		next, err := c.config.Apply(entry.Delta)
		if err != nil {
			return errors.Newf("configuration log: version %d does not apply: %v", entry.Version, err)
		}
		c.config, c.version = next, entry.Version
	}
	return nil
}

// before returns the entry that made a version and the configuration that it was
// applied to. The configuration is found by undoing entries from the head.
func (c *currentConfig) before(ctx context.Context, version uint64) (*rules.Config, ConfigEntry, error) {
	config, head, err := c.read(ctx)
	if err != nil {
		return nil, ConfigEntry{}, err
	}
	if version == 0 || version > head {
		return nil, ConfigEntry{}, errors.Newf("configuration log: version %d is not in the log", version)
	}
	if head-version >= maxRewind {
		return nil, ConfigEntry{}, newCommitIDReused("version %d, too old to be compared with this request", version)
	}
	entries, err := c.entries(ctx, version-1, head)
	if err != nil {
		return nil, ConfigEntry{}, err
	}
	for i := len(entries) - 1; i >= 0; i-- {
		undo := rules.Delta{Removed: entries[i].Delta.Added, Added: entries[i].Delta.Removed}
		if config, err = config.Apply(undo); err != nil {
			return nil, ConfigEntry{}, errors.Newf("configuration log: version %d cannot be undone: %v", entries[i].Version, err)
		}
	}
	return config, entries[0], nil
}

// entries returns the entries after one version up to another.
func (c *currentConfig) entries(ctx context.Context, after, to uint64) ([]ConfigEntry, error) {
	var list []ConfigEntry
	for after < to {
		page, err := c.store.ConfigEntries(ctx, after, int(min(to-after, entryPage)))
		if err != nil {
			return nil, errors.Wrap(err, "read configuration log")
		}
		if len(page) == 0 {
			return nil, errors.Newf("configuration log: ends at version %d before version %d", after, to)
		}
		list = append(list, page...)
		after = page[len(page)-1].Version
	}
	return list, nil
}
