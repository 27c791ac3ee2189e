// Package measure is the root of the module with the measurement programs, which
// docs/design.md describes.
package measure
