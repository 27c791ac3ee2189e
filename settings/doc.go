// Package settings reads the static settings of a node from a TOML file.
//
// Settings change only with a restart of the process; everything that operators
// change under traffic is in the rules file (package rules). Unknown keys are
// refused, every value is checked against its range, and all errors of a file
// are reported at once with the path of their key. Parse starts from Default,
// so a key that is left out keeps its default.
package settings
