// Package configstore stores the configuration and the membership of a cluster
// in the platform's table.
//
// There are two logs, config and members, each with a head row that contains its
// current version and one entry row per version. A commit is one transaction that
// checks the revision of the head row (optimistic concurrency control): of two
// commits based on the same version, one succeeds and the other fails with a
// ConflictError. The membership has a separate log, so that membership changes do
// not conflict with commits by operators.
//
// A configuration commit also writes an audit row and a row keyed by its commit
// id. The commit id row shows whether a commit whose response was lost took effect,
// and makes commits idempotent: a repeated commit returns the version of the first
// one.
//
// Snapshots in the object store bound the work of loading a log: the current state
// is the latest snapshot with the entries after it applied. Snapshots are an
// optimization only. If the snapshot is missing or corrupt, the log is read from
// its beginning.
package configstore
