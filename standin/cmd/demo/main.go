// Command demo runs both deployments of the design page as separate processes on
// loopback addresses, breaks them while callers send requests, and checks from
// outside that every promise held. "demo serve" leaves one deployment up.
//
// It is the only program of this repository that starts processes. It ends
// exactly those that it started, by their ids, also after a failure or a stop
// signal. Exit codes: 0 every promise held, 1 a promise was broken or the run
// failed.
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

// globals are the flags of both commands.
type globals struct {
	Bin     string `help:"Folder of the programs trefoildock and standin." default:"bin" type:"existingdir"`
	Rules   string `help:"Folder of the rules files of the deployments." default:"settings/examples" type:"existingdir"`
	Keep    bool   `help:"Keep the temporary folder with settings, journals and logs."`
	Network int    `help:"Second octet of the loopback addresses of ffon; cola uses the number plus 10." default:"20"`
}

type cli struct {
	globals

	Run   runCmd   `cmd:"" default:"withargs" help:"Run both deployments through faults and check every promise."`
	Serve serveCmd `cmd:"" help:"Leave one deployment up until Ctrl-C."`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	var c cli
	k := kong.Parse(&c, kong.Name("demo"), kong.Description("The system as separate processes."),
		kong.BindTo(ctx, (*context.Context)(nil)), kong.Bind(&c.globals))
	err := k.Run()
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

// workspace is the temporary folder of a run and the programs it uses.
type workspace struct {
	dir                   string
	trefoildock, standins string
	rules                 string
}

// newWorkspace creates the folder; cleanup removes it unless it is to be kept.
func (g *globals) newWorkspace() (w *workspace, cleanup func(), err error) {
	w = &workspace{
		trefoildock: filepath.Join(g.Bin, "trefoildock"),
		standins:    filepath.Join(g.Bin, "standin"),
		rules:       g.Rules,
	}
	if w.dir, err = os.MkdirTemp("", "trefoildock-demo-"); err != nil {
		return nil, nil, errors.Wrap(err, "create the temporary folder")
	}
	cleanup = func() {
		if g.Keep {
			fmt.Println("kept:", w.dir)
			return
		}
		_ = os.RemoveAll(w.dir) // The folder of the system's temporary files is cleaned anyway.
	}
	return w, cleanup, nil
}
