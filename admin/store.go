package admin

import (
	"context"
	"fmt"
	"time"

	"trefoildock.example/rules"
)

// ConfigEntry is one committed change of the configuration.
type ConfigEntry struct {
	Version uint64
	Delta   rules.Delta
}

// ConfigCommit asks for a change of the configuration.
type ConfigCommit struct {
	ID          string // chosen by the client; a repeat carries the same one
	ReadVersion uint64 // version that the delta is based on
	Delta       rules.Delta
	Operator    string // name that belongs to the token
	Requester   string // comment "requester: reason"
}

// AuditRecord describes one committed change.
type AuditRecord struct {
	Version     uint64 // version made by the change
	ReadVersion uint64 // version that it replaced
	Time        time.Time
	Operator    string
	Requester   string // comment "requester: reason"
	Delta       rules.Delta
}

// ConflictError reports that a commit was based on a version that is no longer the head.
type ConflictError struct {
	Read uint64
	Head uint64
}

// Error names both versions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("conflict: version %d was read, but version %d is the head", e.Read, e.Head)
}

// Store is the log of configuration changes. Errors match those of package platform.
type Store interface {
	// ConfigEntries returns up to limit changes after a version, in order.
	ConfigEntries(ctx context.Context, after uint64, limit int) ([]ConfigEntry, error)
	// CommitConfig commits a change and returns its version. A commit whose ID is
	// in the log already changes nothing and returns the version of the first one.
	// Otherwise a read version that is not the head gives a *ConflictError.
	CommitConfig(ctx context.Context, commit ConfigCommit) (uint64, error)
	// Audit returns up to limit records after a version, in order.
	Audit(ctx context.Context, after uint64, limit int) ([]AuditRecord, error)
}
