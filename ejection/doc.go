// Package ejection is described in docs/design.md.
package ejection
