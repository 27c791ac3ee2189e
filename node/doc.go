// Package node is described in docs/design.md.
package node
