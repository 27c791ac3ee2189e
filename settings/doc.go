// Package settings reads the static settings of a node from a TOML file.
//
// Settings are read once at startup; a change requires a restart of the process.
// Configuration that operators change at run time is in the rules file (package
// rules). Unknown keys are rejected, every value is checked against its range, and
// all errors of a file are reported together with the paths of their keys. Parse
// starts from Default, so an omitted key keeps its default.
package settings
