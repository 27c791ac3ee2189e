// Package freshness bounds the staleness of the configuration and the member
// list on a node. A node that cannot show that its copies are recent enough is
// not fresh and must not act on them.
//
// Three nodes in each availability zone are attesters. An Attestation states
// that an attester had applied certain versions at a certain age. Nodes relay
// attestations: a relay adds the time for which it kept an attestation, and the
// receiver adds the round trip of the pull, so an age is never underestimated.
// A node is fresh while it has applied at least the highest version that it
// observed and, within MaxAttestationAge, either one attestation is based on a
// read of the table of the platform or a quorum of attesters attested.
//
// Once a quorum has attested a version at time T, every node that is fresh
// after T+MaxAttestationAge (plus 1% clock drift) has applied that version.
// This depends on four rules:
//
//   - An attester attests only versions that it has applied, and versions only
//     increase.
//   - Quorums of two attester sets that differ by one replacement intersect.
//   - A commit that changes the attester set follows only after the previous
//     such change is attested by a quorum (State.AttesterSetConfirmed).
//   - A new or restarted attester attests nothing before it has read the table
//     or received attestations of a quorum of the others. It counts only
//     attestations made more than MaxAttestationAge after its start: by then
//     each quorum that counted one of its earlier attestations is complete, so
//     the other attesters have the result.
//
// The package does no I/O and starts no goroutine. Times are readings of the
// monotonic clock of the node.
package freshness
