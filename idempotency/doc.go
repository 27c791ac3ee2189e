// Package idempotency keeps the claims of idempotency keys at their home, so
// that a request with a key runs at most once.
//
// An entry claims the key before it dispatches the request, and reports the
// result. The home remembers a claim for Retention and answers resends from
// it. It runs a key that it does not remember only if no earlier home can have
// granted it: a UUIDv7 key must have been created after the home's memory of
// the partition began, any other key needs a memory that covers Window.
//
// # When the home checks that it may serve
//
// The home reads its monotonic clock after the claim message has arrived and
// evaluates with that reading, in one critical section with Store.Claim, that
// it is fresh (package freshness) and the active home of the partition
// (package placement). Two things follow:
//
//   - The key was created before the check. A home that is paused after the
//     check may answer at any later time: its successor began to remember only
//     after the check could last succeed, so it takes the key for too old and
//     does not run it. A check made before the message arrived, for instance a
//     flag set by a timer, is not enough.
//   - A key without a time gives the successor no such order. There the
//     successor's wait of Window covers the pause: an entry does not dispatch
//     after the deadline of the request, which must be shorter than Window.
//   - Store.Export runs in the same critical section and seals the store, so no
//     claim is granted that the handover lacks.
//
// # What the entry owes
//
// An entry dispatches at most once per request id, and only before the
// deadline that it sent. It sends Release only if the request certainly did
// not run, and uses a new request id for a claim after a Release.
package idempotency
