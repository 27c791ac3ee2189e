// Package rules is described in docs/design.md.
package rules
