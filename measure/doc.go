// Package measure is described in docs/design.md.
package measure
