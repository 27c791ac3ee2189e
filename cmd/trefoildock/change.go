package main

import (
	"context"
	"strings"

	"github.com/cockroachdb/errors"

	"trefoildock.example/admin"
)

// changeFlags are the flags of the commands that change the configuration.
type changeFlags struct {
	Requester string `help:"Person who asked for the change." required:""`
	Reason    string `help:"Reason for the change." required:""`
	CommitID  string `help:"Identity of the change, to repeat a command whose outcome is unknown. Default: a new one." name:"commit-id" placeholder:"ID"`
}

// comment returns the audit comment of the change. The error is a usageError.
func (f *changeFlags) comment() (string, error) {
	if strings.Contains(f.Requester, ":") {
		return "", &usageError{errors.New("--requester must not contain a colon")}
	}
	comment, ok := admin.NormalizeComment(f.Requester + ": " + f.Reason)
	if !ok {
		return "", &usageError{errors.New("--requester and --reason must be text without control characters, together at most 254 bytes")}
	}
	return comment, nil
}

// makeChange sends a change with a commit id. An error contains the commit id.
func (a *app) makeChange(flags *changeFlags, send func(ctx context.Context, client *admin.Client, change admin.Change) error) error {
	comment, err := flags.comment()
	if err != nil {
		return err
	}
	client, err := a.client()
	if err != nil {
		return err
	}
	id := flags.CommitID
	if id == "" {
		if id, err = a.newCommitID(); err != nil {
			return errors.Wrap(err, "generate a commit id")
		}
	}
	ctx, cancel := a.withTimeout()
	defer cancel()
	err = send(ctx, client, admin.Change{CommitID: id, Comment: comment})
	if err != nil && !errors.Is(err, errNotAccepted) {
		return &changeError{id, err}
	}
	return err
}

// showChange writes the result of a change. It returns errNotAccepted if the change
// is not accepted.
func (a *app) showChange(r *admin.ChangeResponse, showDelta bool) error {
	if a.JSON {
		writeJSON(a.stdout, r)
	} else {
		if showDelta {
			a.printDelta(r.Delta, "")
		}
		a.printChange(r)
	}
	return acceptanceError(r)
}

// acceptanceError returns errNotAccepted for a change that is not accepted.
func acceptanceError(r *admin.ChangeResponse) error {
	if !r.Accepted() {
		return errNotAccepted
	}
	return nil
}

// setStateFunc is a client method that takes a zone or backend server out of service
// or back into service.
type setStateFunc func(c *admin.Client, ctx context.Context, name string, r admin.StateRequest) (admin.ChangeResponse, error)

// setState takes a zone or backend server out of service or back into service.
func (a *app) setState(flags *changeFlags, name, state string, set setStateFunc) error {
	return a.makeChange(flags, func(ctx context.Context, client *admin.Client, change admin.Change) error {
		response, err := set(client, ctx, name, admin.StateRequest{Change: change, State: state})
		if err != nil {
			return err
		}
		return a.showChange(&response, true)
	})
}
