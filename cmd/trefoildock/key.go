package main

import (
	"context"
	"strconv"

	"github.com/cockroachdb/errors"

	"trefoildock.example/admin"
)

// keyCmd groups the commands for API keys.
type keyCmd struct {
	Issue    keyIssueCmd    `cmd:"" help:"Issue a key for a team. The key is shown once."`
	Withdraw keyWithdrawCmd `cmd:"" help:"Withdraw one key, or all keys of a team."`
}

// keyIssueCmd issues a key.
type keyIssueCmd struct {
	changeFlags

	Team string `arg:"" help:"Name of the team."`
}

// keyWithdrawCmd withdraws keys.
type keyWithdrawCmd struct {
	changeFlags

	Digest string `arg:"" optional:"" help:"Digest of the key, sha256:<64 hex digits>."`
	Team   string `help:"Withdraw all keys of this team."`
}

// Run executes the command.
func (c *keyIssueCmd) Run(a *app) error {
	return a.makeChange(&c.changeFlags, func(ctx context.Context, client *admin.Client, change admin.Change) error {
		issued, err := client.IssueKey(ctx, c.Team, admin.IssueRequest{Change: change})
		if err != nil {
			return err
		}
		if a.JSON {
			writeJSON(a.stdout, issued)
			return acceptanceError(&issued.ChangeResponse)
		}
		a.printTable([][]string{
			{"key", issued.Key},
			{"digest", issued.Digest},
			{"team", c.Team},
			{"version", strconv.FormatUint(issued.Version, 10)},
		})
		return a.showChange(&issued.ChangeResponse, false)
	})
}

// Validate checks that exactly one of a digest and a team is set. It is called by
// kong after parsing.
func (c *keyWithdrawCmd) Validate() error {
	if (c.Digest == "") == (c.Team == "") {
		return errors.New("expected either a digest or --team")
	}
	return nil
}

// Run executes the command.
func (c *keyWithdrawCmd) Run(a *app) error {
	return a.makeChange(&c.changeFlags, func(ctx context.Context, client *admin.Client, change admin.Change) error {
		request := admin.WithdrawRequest{Change: change, Digest: c.Digest, Team: c.Team}
		response, err := client.WithdrawKeys(ctx, request)
		if err != nil {
			return err
		}
		return a.showChange(&response, true)
	})
}
