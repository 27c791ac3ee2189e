// Package ratelimit is described in docs/design.md.
package ratelimit
