package main

import (
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"trefoildock.example/settings"
)

// nodeCmd runs a node or checks its settings file.
type nodeCmd struct {
	Settings      string `help:"Settings file." required:"" placeholder:"FILE"`
	CheckSettings bool   `help:"Check the settings and exit."`
}

// settingsResult is the JSON output of --check-settings.
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

// loadSettings reads and validates a settings file. It returns a fileError if the
// file cannot be read, and a settingsError if the settings are invalid.
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

// settingsError contains all errors in a settings file.
type settingsError struct {
	file string
	list settings.ErrorList
}

// Error returns the file name and the number of errors.
func (e *settingsError) Error() string {
	return fmt.Sprintf("%s: %d faults in the settings", e.file, len(e.list))
}

// lines returns the errors, each prefixed with the file name.
func (e *settingsError) lines() []string {
	lines := make([]string, len(e.list))
	for i, settingError := range e.list {
		lines[i] = e.file + ": " + settingError.Error()
	}
	return lines
}

// Unwrap returns the list of errors.
func (e *settingsError) Unwrap() error { return e.list }

// newLogger returns a logger for a node that writes to stderr.
func newLogger(a *app, s *settings.Settings) log.Logger {
	logger := log.NewLogfmtLogger(log.NewSyncWriter(a.stderr))
	logger = level.NewFilter(logger, level.Allow(level.ParseDefault(s.Process.LogLevel, level.InfoValue())))
	return log.With(logger, "ts", log.DefaultTimestampUTC, "instance", s.Node.Name)
}
