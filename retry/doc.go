// Package retry is described in docs/design.md.
package retry
