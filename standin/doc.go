// Package standin is described in docs/design.md.
package standin
