package main

import (
	"context"
	"fmt"

	"trefoildock.example/admin"
)

// applyCmd replaces the configuration by a rules file.
type applyCmd struct {
	changeFlags

	File          string  `arg:"" help:"Rules file, or - for standard input."`
	ExpectVersion *uint64 `help:"Fail with a conflict unless this is the current version." placeholder:"N"`
}

// Run executes the command. By default, it applies the file to the version that the
// shown diff is based on, so that a concurrent change results in a conflict.
func (c *applyCmd) Run(a *app) error {
	file, _, err := a.readRules(c.File)
	if err != nil {
		return err
	}
	return a.makeChange(&c.changeFlags, func(ctx context.Context, client *admin.Client, change admin.Change) error {
		diff, err := client.Diff(ctx, file)
		if err != nil {
			return err
		}
		readVersion := diff.Version
		if c.ExpectVersion != nil {
			readVersion = *c.ExpectVersion
		}
		if !a.JSON && readVersion == diff.Version {
			a.showDiff(diff.Delta, versionLabel(diff.Version), nil)
		}
		response, err := client.ApplyFile(ctx, admin.FileRequest{Change: change, ReadVersion: &readVersion, File: file})
		if err != nil {
			return err
		}
		return a.showChange(&response, false)
	})
}

func versionLabel(version uint64) string {
	return fmt.Sprintf("version %d", version)
}
