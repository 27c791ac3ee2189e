package main

import (
	"trefoildock.example/admin"
	"trefoildock.example/rules"
)

// diffCmd compares a rules file with the current version or with another file.
type diffCmd struct {
	File string `arg:"" help:"Rules file, or - for standard input."`
	From string `help:"Compare with this file in place of the server's current version." placeholder:"FILE"`
}

// fileDiff is the JSON output of a comparison of two files.
type fileDiff struct {
	Delta rules.Delta `json:"delta"`
}

// Run executes the command.
func (c *diffCmd) Run(a *app) error {
	file, to, err := a.readRules(c.File)
	if err != nil {
		return err
	}
	if c.From != "" {
		_, from, err := a.readRules(c.From)
		if err != nil {
			return err
		}
		a.showDiff(rules.Diff(from, to), c.From, fileDiff{rules.Diff(from, to)})
		return nil
	}
	diff, err := a.serverDiff(file)
	if err != nil {
		return err
	}
	a.showDiff(diff.Delta, versionLabel(diff.Version), diff)
	return nil
}

// serverDiff compares a rules file with the server's current version.
func (a *app) serverDiff(file admin.RulesFile) (admin.DiffResponse, error) {
	client, err := a.client()
	if err != nil {
		return admin.DiffResponse{}, err
	}
	ctx, cancel := a.withTimeout()
	defer cancel()
	return client.Diff(ctx, file)
}

// showDiff writes a delta, or result as JSON if --json is set.
func (a *app) showDiff(delta rules.Delta, from string, result any) {
	if a.JSON {
		writeJSON(a.stdout, result)
		return
	}
	a.printDelta(delta, "")
	a.printf("rules removed: %d, added: %d, since %s\n", len(delta.Removed), len(delta.Added), from)
}
