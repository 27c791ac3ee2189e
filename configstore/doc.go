// Package configstore keeps the configuration and the membership of a cluster
// in the platform's table.
//
// There are two logs, config and members, each with a head row that holds its
// version and one row per version. A commit is one transaction that checks the
// head row, so that of two commits based on the same version one gets a
// ConflictError. Members have a log of their own, so that membership changes do
// not make commits of operators conflict.
//
// A commit of configuration also writes its audit row and a row under its
// commit id. The commit id tells whether a commit whose answer was lost took
// effect, and makes a repeated commit return the version of the first one.
//
// Snapshots in the object store bound the work of loading a log: the latest
// snapshot plus the entries after it give the current state. A snapshot only
// saves work. If it is missing or damaged, the log is read from its beginning.
package configstore
