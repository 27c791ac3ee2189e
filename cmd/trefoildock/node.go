package main

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"trefoildock.example/settings"
)

// runNode runs a node until the context ends.
func runNode(context.Context, *settings.Settings, log.Logger) error {
	return errors.New("this build does not contain the node module")
}
