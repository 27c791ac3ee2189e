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
	err  error // how it ended; read after done
}

// processes are all programs that the demo started.
type processes struct {
	mu   sync.Mutex
	list []*process
}

// start runs a program whose output goes to a log file.
func (p *processes) start(name, logFile, program string, args ...string) (*process, error) {
	log, err := os.OpenFile(logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "open log")
	}
	defer func() { _ = log.Close() }() // The program has its own descriptor.
	cmd := exec.Command(program, args...)
	cmd.Stdout, cmd.Stderr = log, log
	// A group of its own keeps Ctrl-C of the terminal away, so that the demo ends
	// its programs itself. Should it be killed, the system ends them.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s", name)
	}
	s := &process{name: name, cmd: cmd, done: make(chan struct{})}
	go func() {
		s.err = cmd.Wait()
		close(s.done)
	}()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list = append(p.list, s)
	return s, nil
}

// signal sends a signal to the program unless it has ended.
func (s *process) signal(sig os.Signal) error {
	return errors.Wrapf(s.cmd.Process.Signal(sig), "signal %v to %s", sig, s.name)
}

// kill ends the program at once and waits until it is gone.
func (s *process) kill() {
	_ = s.cmd.Process.Kill() // Fails only if it has ended.
	<-s.done
}

// wait waits for the end of the program.
func (s *process) wait(ctx context.Context) error {
	select {
	case <-s.done:
		return errors.Wrapf(s.err, "%s ended", s.name)
	case <-ctx.Done():
		return errors.Newf("%s did not end in time", s.name)
	}
}

// running reports whether the program has not ended.
func (s *process) running() bool {
	select {
	case <-s.done:
		return false
	default:
		return true
	}
}

// killAll ends every program.
func (p *processes) killAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.list {
		_ = s.cmd.Process.Kill() // Fails only if it has ended.
	}
	for _, s := range p.list {
		<-s.done
	}
}

// count returns how many programs were started and how many still run.
func (p *processes) count() (started, running int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.list {
		if s.running() {
			running++
		}
	}
	return len(p.list), running
}

// pause sleeps until d has passed and returns an error if ctx ended first.
func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
