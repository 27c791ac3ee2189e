package main

import (
	"bytes"
	"io"
	"os"

	"github.com/cockroachdb/errors"

	"trefoildock.example/admin"
	"trefoildock.example/rules"
)

const (
	// stdinName is the file argument that selects standard input.
	stdinName = "-"
	// stdinLabel is the name of standard input in messages.
	stdinLabel = "<stdin>"
)

// readFile reads a file. The error is a fileError.
func readFile(name string) ([]byte, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		var path *os.PathError
		if errors.As(err, &path) {
			err = path.Err
		}
		return nil, &fileError{name, err}
	}
	return text, nil
}

// readRules reads and parses a rules file, or standard input if name is "-".
func (a *app) readRules(name string) (admin.RulesFile, *rules.Config, error) {
	var text []byte
	var err error
	if name == stdinName {
		name = stdinLabel
		if text, err = io.ReadAll(a.stdin); err != nil {
			err = &fileError{name, err}
		}
	} else {
		text, err = readFile(name)
	}
	if err != nil {
		return admin.RulesFile{}, nil, err
	}
	config, err := rules.Parse(name, bytes.NewReader(text))
	return admin.RulesFile{Name: name, Text: string(text)}, config, err
}
