// Package idempotency stores a record for each claimed idempotency key at the
// coordinator of the key, so that a request with a key runs at most once.
//
// An entry node claims the key before it dispatches the request, and reports
// the result. The coordinator keeps the record for Retention and derives the
// responses to repeated claims from it. A key without a record is granted only
// if no earlier coordinator can have granted it: a UUIDv7 key must have been
// created after the coordinator's coverage of the partition began, any other
// key requires a coverage of at least Retention.
//
// # When the coordinator checks that it may act
//
// The coordinator reads its monotonic clock after the claim message has
// arrived. With that reading it checks, in one critical section with
// Store.Claim, that it is fresh (package freshness) and the active coordinator
// of the partition (package placement). This has three consequences:
//
//   - The key was created before the check. A coordinator that is paused after
//     the check may respond at any later time: the coverage of its successor
//     begins only after the last time at which the check could succeed, so the
//     successor treats the key as too old and does not grant it. A check made
//     before the message arrived, for instance a flag set by a timer, is not
//     sufficient.
//   - A key without a timestamp gives the successor no such order. Here the
//     pause is covered by DeduplicationWindow, for which the successor waits:
//     an entry node does not dispatch after the deadline of the request, which
//     must be shorter than DeduplicationWindow.
//   - Store.Export runs in the same critical section and seals the store, so no
//     claim is granted that the handover does not contain.
//
// # Obligations of the entry node
//
// An entry node dispatches at most once per request ID, and only before the
// deadline that it sent. It sends Release only if the request certainly did not
// run, and uses a new request ID for a claim after a Release.
package idempotency
