// Package admin is described in docs/design.md.
package admin
