// Package idempotency is described in docs/design.md.
package idempotency
