// Package placement assigns partitions to nodes and says from when a node may
// act as the home of a partition and how far back its memory of it reaches.
//
// Keys, teams and services are hashed to Partitions partitions. The node with
// the highest rendezvous hash for a partition is its home. Nodes that applied
// the same member changes up to a version agree on every home, whatever they
// started from.
//
// A new home may act only ActivationWait after a quorum of attesters attested
// the member change (package freshness): then every earlier home that does not
// know the change has stopped being fresh. An earlier home that knows it has
// stopped at once, because it is no longer the home in its own table.
package placement
