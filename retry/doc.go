// Package retry decides whether a failed request may be sent again.
//
// A Budget bounds retries and hedges of one service to a part of its requests,
// so that a failing service is not loaded several times over. May combines the
// budget with the verdict, the number of attempts and the deadline. Hedge gives
// the delay after which an idempotent request is sent a second time.
//
// Callers hold the lock of a Budget and a Latency and pass the time.
package retry
