// Package detection is described in docs/design.md.
package detection
