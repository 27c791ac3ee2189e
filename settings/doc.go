// Package settings is described in docs/design.md.
package settings
