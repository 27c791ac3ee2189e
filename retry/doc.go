// Package retry decides whether a failed request may be retried or hedged.
//
// A Budget is a token bucket that limits the retries and hedges of one service
// to a fraction of its requests, so that a failing service does not receive a
// multiple of its normal load. A retry also depends on the verdict of the
// failed attempt, the number of attempts and the deadline. Latency.HedgeDelay
// returns the delay after which an idempotent request is hedged.
//
// Budget and Latency are not safe for concurrent use: the caller holds a lock
// and passes the current time.
package retry
