package admin

import (
	"context"

	"trefoildock.example/configstore"
)

var _ Store = (*configstore.Store)(nil)

// Store is the log of configuration changes; *configstore.Store implements it.
type Store interface {
	// LoadConfig returns the configuration at the head of the log.
	LoadConfig(ctx context.Context) (*configstore.ConfigState, error)
	// ConfigEntries returns up to limit changes after a version, in version order.
	ConfigEntries(ctx context.Context, after uint64, limit int) ([]configstore.ConfigEntry, error)
	// CommitConfig commits a change and returns its version.
	CommitConfig(ctx context.Context, commit configstore.ConfigCommit) (uint64, error)
	// Audit returns up to limit audit records after a version, in version order.
	Audit(ctx context.Context, after uint64, limit int) ([]configstore.AuditRecord, error)
}
