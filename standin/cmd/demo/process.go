package main

import (
	"context"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// process is a program that the demo started.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
	err  error // result of Wait; valid after done is closed
}

// processes is the set of programs that the demo started.
type processes struct {
	mu   sync.Mutex
	list []*process
}

// start starts a program and appends its output to a log file.
func (ps *processes) start(name, logFile, program string, args ...string) (*process, error) {
	log, err := os.OpenFile(logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "open log")
	}
	defer func() { _ = log.Close() }() // The program has its own file descriptor.
	cmd := exec.Command(program, args...)
	cmd.Stdout, cmd.Stderr = log, log
	// A separate process group does not receive Ctrl-C from the terminal, so that the
	// demo stops its programs itself. If the demo is killed, the kernel kills them.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s", name)
	}
	p := &process{name: name, cmd: cmd, done: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		close(p.done)
	}()
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.list = append(ps.list, p)
	return p, nil
}

// signal sends a signal to the program. It returns an error if the program has exited.
func (p *process) signal(sig os.Signal) error {
	return errors.Wrapf(p.cmd.Process.Signal(sig), "signal %v to %s", sig, p.name)
}

// kill kills the program and waits until it has exited.
func (p *process) kill() {
	_ = p.cmd.Process.Kill() // Fails only if the program has exited.
	<-p.done
}

// wait waits until the program exits and returns its error. It also returns an error
// if ctx ends first.
func (p *process) wait(ctx context.Context) error {
	select {
	case <-p.done:
		return errors.Wrapf(p.err, "%s ended", p.name)
	case <-ctx.Done():
		return errors.Newf("%s did not end in time", p.name)
	}
}

// running reports whether the program is running.
func (p *process) running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// killAll kills all programs and waits until they have exited.
func (ps *processes) killAll() {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	for _, proc := range ps.list {
		_ = proc.cmd.Process.Kill() // Fails only if the program has exited.
	}
	for _, proc := range ps.list {
		<-proc.done
	}
}

// count returns the number of programs that were started and that are running.
func (ps *processes) count() (started, running int) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	for _, s := range ps.list {
		if s.running() {
			running++
		}
	}
	return len(ps.list), running
}

// sleep waits for d and returns an error if ctx ends first.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
