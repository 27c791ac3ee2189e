// Package freshness decides whether a node may rely on the configuration and
// the member list that it holds.
//
// Attesters are three nodes per availability zone. An Attestation says that an
// attester held certain versions at a certain age. Attestations are relayed
// from node to node; a relay adds the time for which it held them and the
// round trip of the pull, so an age is never too small. A node is fresh while
// it holds at least the highest version ever attested to it and, within
// Window, either one attestation is based on a read of the table or a quorum
// of attesters attested.
//
// Once a quorum has attested a version at time T, every node that is fresh
// after T+Window (plus 1% clock rate error) holds that version. This depends
// on four rules:
//
//   - An attester attests only what it holds, and versions only grow.
//   - Quorums of two attester sets that differ by one replacement intersect.
//   - A commit that changes the attester set follows only after the previous
//     such change is attested by a quorum (State.AttestersSettled).
//   - A new or restarted attester attests nothing before it has read the table
//     or heard a quorum of the others. It counts only attestations made more
//     than Window after its start: by then each quorum that counted one of its
//     earlier attestations is complete, so the others know the result.
//
// The package does no I/O and starts no goroutine. Times are readings of the
// node's monotonic clock.
package freshness
