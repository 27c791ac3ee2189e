package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"trefoildock.example/admin"
)

const (
	tokenVariable = "TREFOILDOCK_TOKEN"
	description   = `Proxy fleet for backend servers that can fail quietly.

Exit codes: 0 success; 1 failure; 2 usage error; 3 invalid rules file or settings; 4 conflict with another change; 5 committed but not yet accepted; 6 server or platform unreachable.`
)

// cli defines the commands and flags.
type cli struct {
	globalFlags

	Check   checkCmd   `cmd:"" help:"Check a rules file without a server."`
	Diff    diffCmd    `cmd:"" help:"Show what a rules file would change."`
	Apply   applyCmd   `cmd:"" help:"Replace the configuration by a rules file."`
	Zone    zoneCmd    `cmd:"" help:"Take an availability zone out of service or back."`
	Backend backendCmd `cmd:"" help:"Take a backend server out of service or back."`
	Key     keyCmd     `cmd:"" help:"Issue and withdraw keys of teams."`
	Status  statusCmd  `cmd:"" help:"Show the cluster as the server's node sees it."`
	Audit   auditCmd   `cmd:"" help:"Show who changed the configuration, when, how and at whose request."`
	Node    nodeCmd    `cmd:"" help:"Run a node."`
	Sidecar sidecarCmd `cmd:"" help:"Run a node on the platform whose settings file TREFOILDOCK_SETTINGS names."`
	Explain explainCmd `cmd:"" help:"Show what the logs of sidecars say of one request."`
	Version versionCmd `cmd:"" help:"Show the version of this program."`
}

// globalFlags are the flags of all commands.
type globalFlags struct {
	Server    string        `help:"Address of the admin API." default:"http://127.0.0.1:7402" placeholder:"URL"`
	TokenFile string        `help:"File with the operator token; otherwise the variable TREFOILDOCK_TOKEN is used." placeholder:"FILE"`
	JSON      bool          `help:"Write JSON." name:"json"`
	Timeout   time.Duration `help:"Bound on the whole command." default:"30s"`
}

// environment contains the process resources that commands use.
type environment struct {
	stdin          io.Reader
	stdout, stderr io.Writer
	getenv         func(name string) string
	newCommitID    func() (string, error)
	// httpClient and initialBackoff are set by tests. Default: those of package admin.
	httpClient     *http.Client
	initialBackoff time.Duration
}

// app is the argument of the Run method of each command.
type app struct {
	environment
	globalFlags
	ctx context.Context //nolint:containedctx // kong passes one value to Run
}

// exitRequest is the panic value that replaces the exit call of kong, for example
// after --help. It contains the exit code.
type exitRequest int

// run executes a command line and returns the exit code.
func run(ctx context.Context, args []string, env environment) (code int) {
	defer func() {
		if cause := recover(); cause != nil {
			request, ok := cause.(exitRequest)
			if !ok {
				panic(cause)
			}
			code = int(request)
		}
	}()
	var c cli
	parser, err := kong.New(&c, kong.Name("trefoildock"), kong.Description(description),
		kong.Writers(env.stdout, env.stderr), kong.Exit(func(code int) { panic(exitRequest(code)) }),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}))
	if err != nil {
		panic(errors.Wrap(err, "define the command line"))
	}
	command, err := parser.Parse(args)
	if err != nil {
		_, _ = fmt.Fprintf(env.stderr, "trefoildock: %v\n", err)
		return exitUsage
	}
	a := &app{environment: env, globalFlags: c.globalFlags, ctx: ctx}
	if err := command.Run(a); err != nil {
		return a.reportError(err)
	}
	return exitOK
}

// withTimeout returns a context with the timeout of --timeout. The commands that run
// a node do not use it.
func (a *app) withTimeout() (context.Context, context.CancelFunc) {
	return context.WithTimeout(a.ctx, a.Timeout)
}

// client returns an admin API client with the operator's token.
func (a *app) client() (*admin.Client, error) {
	token, err := a.token()
	if err != nil {
		return nil, err
	}
	client, err := admin.NewClient(admin.ClientConfig{URL: a.Server, Token: token, HTTPClient: a.httpClient, InitialBackoff: a.initialBackoff})
	if err != nil {
		return nil, &usageError{err}
	}
	return client, nil
}

// token returns the operator token. A token file takes precedence over the
// environment variable.
func (a *app) token() (string, error) {
	token := a.getenv(tokenVariable)
	if a.TokenFile != "" {
		text, err := readFile(a.TokenFile)
		if err != nil {
			return "", err
		}
		token = string(text)
	}
	token = strings.TrimSpace(token)
	if token == "" {
		return "", &usageError{errors.Newf("no operator token: use --token-file or set %s", tokenVariable)}
	}
	return token, nil
}
