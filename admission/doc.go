// Package admission is described in docs/design.md.
package admission
