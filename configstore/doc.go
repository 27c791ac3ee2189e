// Package configstore is described in docs/design.md.
package configstore
