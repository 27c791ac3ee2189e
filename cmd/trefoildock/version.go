package main

import (
	"runtime"
	"runtime/debug"
)

// versionCmd shows the version of this program.
type versionCmd struct{}

// versionResult is the JSON output of the command.
type versionResult struct {
	Version  string `json:"version"`
	Revision string `json:"revision"`
	Go       string `json:"go"`
}

// Run executes the command.
func (*versionCmd) Run(a *app) error { //nolint:unparam // kong requires the error result
	result := versionResult{Version: "unknown", Revision: "unknown", Go: runtime.Version()}
	if info, ok := debug.ReadBuildInfo(); ok {
		result.Version = info.Main.Version
		for _, setting := range info.Settings {
			if setting.Key == "vcs.revision" {
				result.Revision = setting.Value
			}
		}
	}
	if a.JSON {
		writeJSON(a.stdout, result)
		return nil
	}
	a.printf("trefoildock %s revision %s %s\n", result.Version, result.Revision, result.Go)
	return nil
}
