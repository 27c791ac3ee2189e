// Package crashguard is described in docs/design.md.
package crashguard
