package main

import (
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"trefoildock.example/settings"
)

// nodeCmd runs a node, or checks its settings.
type nodeCmd struct {
	Settings      string `help:"Settings file." required:"" placeholder:"FILE"`
	CheckSettings bool   `help:"Check the settings and exit."`
}

// settingsResult is the JSON result of --check-settings.
type settingsResult struct {
	File string `json:"file"`
	Node string `json:"node"`
}

// Run executes the command.
func (c *nodeCmd) Run(a *app) error {
	s, err := loadSettings(c.Settings)
	if err != nil {
		return err
	}
	if !c.CheckSettings {
		return runNode(a.ctx, s, newLogger(a, s))
	}
	if a.JSON {
		writeJSON(a.stdout, settingsResult{File: c.Settings, Node: s.Node.Name})
		return nil
	}
	a.printf("%s: settings of node %s, no faults\n", c.Settings, s.Node.Name)
	return nil
}

// loadSettings reads and checks a settings file. The error is a fileError
// or a settingsError.
func loadSettings(name string) (*settings.Settings, error) {
	text, err := readFile(name)
	if err != nil {
		return nil, err
	}
	s, err := settings.Parse(text)
	var list settings.ErrorList
	if errors.As(err, &list) {
		return nil, &settingsError{name, list}
	}
	return s, err
}

// settingsError holds all faults of a settings file.
type settingsError struct {
	file string
	list settings.ErrorList
}

// Error returns the file and the number of faults.
func (e *settingsError) Error() string {
	return fmt.Sprintf("%s: %d faults in the settings", e.file, len(e.list))
}

// lines returns the faults, each with the name of the file.
func (e *settingsError) lines() []string {
	lines := make([]string, len(e.list))
	for i, fault := range e.list {
		lines[i] = e.file + ": " + fault.Error()
	}
	return lines
}

// Unwrap returns the faults.
func (e *settingsError) Unwrap() error { return e.list }

// newLogger returns the log of a node on stderr.
func newLogger(a *app, s *settings.Settings) log.Logger {
	logger := log.NewLogfmtLogger(log.NewSyncWriter(a.stderr))
	logger = level.NewFilter(logger, level.Allow(level.ParseDefault(s.Process.LogLevel, level.InfoValue())))
	return log.With(logger, "ts", log.DefaultTimestampUTC, "instance", s.Node.Name)
}
