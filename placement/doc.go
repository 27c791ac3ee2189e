// Package placement is described in docs/design.md.
package placement
