// Command trefoildock runs a node and the operator commands.
//
// Exit codes: 0 success; 1 failure; 2 usage error; 3 invalid rules file or
// settings; 4 conflict with another change; 5 committed but not yet accepted;
// 6 server or platform unreachable.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/uuid"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], environment{
		stdin:       os.Stdin,
		stdout:      os.Stdout,
		stderr:      os.Stderr,
		getenv:      os.Getenv,
		newCommitID: newCommitID,
	})
	stop()
	os.Exit(code)
}

// newCommitID returns a UUIDv7, so that commit ids sort by creation time.
func newCommitID() (string, error) {
	id, err := uuid.NewV7()
	return id.String(), err
}
