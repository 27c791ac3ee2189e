// Package placement assigns partitions to nodes. Idempotency keys, teams and
// services are hashed to Partitions partitions, and the node with the highest
// rendezvous hash for a partition is its coordinator. In metrics, messages and
// log lines the coordinator is called home. The package determines from when a
// coordinator may act and for which period it holds the records of its
// partitions.
//
// Nodes that applied the same member changes up to a version agree on every
// coordinator, whatever state they started from.
//
// A new coordinator may act only after ActivationDelay has passed since a quorum
// of attesters attested the member change (package freshness). By then every
// earlier coordinator that has not applied the change is no longer fresh. An
// earlier coordinator that has applied it has stopped acting at once, because
// its own table names another coordinator.
package placement
