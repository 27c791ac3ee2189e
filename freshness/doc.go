// Package freshness is described in docs/design.md.
package freshness
