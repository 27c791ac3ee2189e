// Command demo runs two example deployments as separate processes on loopback
// addresses, injects faults while callers send requests, and checks the guarantees of
// the proxy from outside. "demo serve" starts one deployment and keeps it running.
//
// The demo terminates the processes that it started, and no others, by process ID,
// also after a failure or a stop signal. Exit codes: 0 every guarantee held, 1 a
// guarantee was violated or the run failed.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
)

// globalFlags are the flags that both commands share.
type globalFlags struct {
	Bin     string `help:"Folder of the programs trefoildock and standin." default:"bin" type:"existingdir"`
	Rules   string `help:"Folder of the rules files of the deployments." default:"settings/examples" type:"existingdir"`
	Keep    bool   `help:"Keep the temporary folder with settings, journals and logs."`
	Network int    `help:"Second octet of the loopback addresses of ffon; cola uses the number plus 10." default:"20"`
}

type cli struct {
	globalFlags

	Run   runCmd   `cmd:"" default:"withargs" help:"Run both deployments through faults and check every promise."`
	Serve serveCmd `cmd:"" help:"Leave one deployment up until Ctrl-C."`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	var c cli
	k := kong.Parse(&c, kong.Name("demo"), kong.Description("The system as separate processes."),
		kong.BindTo(ctx, (*context.Context)(nil)), kong.Bind(&c.globalFlags))
	err := k.Run()
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

// workspace is the temporary directory of a run and the paths of its programs.
type workspace struct {
	dir                  string
	trefoildock, standin string
	rulesDir             string
}

// newWorkspace creates the temporary directory. cleanup removes it unless Keep is set.
func (g *globalFlags) newWorkspace() (w *workspace, cleanup func(), err error) {
	w = &workspace{
		trefoildock: filepath.Join(g.Bin, "trefoildock"),
		standin:     filepath.Join(g.Bin, "standin"),
		rulesDir:    g.Rules,
	}
	if w.dir, err = os.MkdirTemp("", "trefoildock-demo-"); err != nil {
		return nil, nil, errors.Wrap(err, "create the temporary folder")
	}
	cleanup = func() {
		if g.Keep {
			fmt.Println("kept:", w.dir)
			return
		}
		_ = os.RemoveAll(w.dir) // Best effort: the directory is in the system's temporary directory.
	}
	return w, cleanup, nil
}
