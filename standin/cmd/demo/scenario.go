package main

import (
	"context"
	"fmt"
	"os"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"trefoildock.example/standin/platformserver"
)

// Durations and timeouts of the scenario.
const (
	settleTime      = time.Second
	zoneOutDuration = 3500 * time.Millisecond
	processDownTime = 2 * time.Second // from the kill of a process to its restart
	freezeDuration  = 5 * time.Second // longer than the 2.5 s after which an unresponsive node is removed
	outageDuration  = 4 * time.Second
	stopTimeout     = 15 * time.Second
	restartTimeout  = 15 * time.Second // for a restarted node to become ready

	// exitUnreachable is the exit code of a command during an outage of the platform.
	exitUnreachable = 6
)

// timeRange is the time range in which a step affects requests.
type timeRange struct{ from, to time.Time }

// contains reports whether t is in the range, both ends included.
func (r timeRange) contains(t time.Time) bool { return !t.Before(r.from) && !t.After(r.to) }

// scenario changes a deployment, injects faults and records their times.
type scenario struct {
	*deployment

	startedAt time.Time

	keyRevokedAt      time.Time
	zoneOutRange      timeRange // from the command until the zone is back in service
	zoneOutAt         time.Time // when the command was started
	lastStartedInZone time.Time // start of the latest execution in the zone before it returned to service
	killedNode        *vm
	drainRange        timeRange // drain and restart of a backend server
	shutdownRange     timeRange // graceful shutdown of a node
	shutdownErr       error
	outageRange       timeRange
	outageExitCode    int // exit code of a command during the outage
}

// logf prints a step with the time since the start.
func (s *scenario) logf(format string, args ...any) {
	fmt.Printf("%5.1f s  %s: %s\n", time.Since(s.startedAt).Seconds(), s.name, fmt.Sprintf(format, args...))
}

// firstVM returns the first VM of a service in a zone, both given by index.
func (s *scenario) firstVM(zone, service int) *vm {
	for i := range s.vms {
		if v := &s.vms[i]; v.zone == s.zones[zone] && v.service == s.services[service].name {
			return v
		}
	}
	panic("layout has no VM with this zone and service")
}

// run runs all steps. Planned changes come before the kills and the freeze of
// processes, because for some seconds after the loss of a coordinator, requests with
// new idempotency keys are refused or answered as may-have-run, which would be
// attributed to the planned change. An error means that a step could not be executed.
func (s *scenario) run(ctx context.Context) error {
	// The admin API of this node is used in all steps, so no step affects the node.
	admin := s.firstVM(2, 2)
	steps := []func(context.Context, *vm) error{
		s.applyChange, s.revokeKey, s.moveZone, s.drainBackend, s.platformOutage, s.stopNode,
		s.killBackend, s.freezeNode, s.killNode,
	}
	for _, step := range steps {
		if err := sleep(ctx, settleTime); err != nil {
			return err
		}
		if err := step(ctx, admin); err != nil {
			return err
		}
	}
	return sleep(ctx, settleTime)
}

func (s *scenario) logChange(c change) {
	s.logf("%s: version %d in force on %d of %d nodes after %.2f s", c.reason, c.version, c.inForce, c.nodes, c.finishedAt.Sub(c.startedAt).Seconds())
}

// applyChange applies a rules file that changes the rate of a team.
func (s *scenario) applyChange(ctx context.Context, admin *vm) error {
	file := s.path("changed.rules")
	if err := os.WriteFile(file, []byte(changeRate(s.rulesText, s.traffic.changedTeam, "45/s")), 0o600); err != nil {
		return err
	}
	c, err := s.makeChange(ctx, admin, "a higher rate for "+s.traffic.changedTeam, "apply", file)
	if err == nil {
		s.logChange(c)
	}
	return err
}

func (s *scenario) revokeKey(ctx context.Context, admin *vm) error {
	c, err := s.makeChange(ctx, admin, "key of "+s.traffic.revokedTeam+" withdrawn", "key", "withdraw", "--team", s.traffic.revokedTeam)
	if err == nil {
		s.keyRevokedAt = c.startedAt
		s.logChange(c)
	}
	return err
}

// moveZone takes a zone out of service, records the latest execution there and puts
// the zone back into service.
func (s *scenario) moveZone(ctx context.Context, admin *vm) error {
	zone := s.zones[0]
	out, err := s.makeChange(ctx, admin, zone+" out", "zone", "out", zone)
	if err != nil {
		return err
	}
	s.logChange(out)
	s.zoneOutAt = out.startedAt
	if err := sleep(ctx, zoneOutDuration); err != nil {
		return err
	}
	for i := range s.vms {
		v := &s.vms[i]
		if v.zone != zone {
			continue
		}
		st, err := s.stats(ctx, v)
		if err != nil {
			return errors.Wrapf(err, "counts of %s", v.backend)
		}
		if st.LastStarted.After(s.lastStartedInZone) {
			s.lastStartedInZone = st.LastStarted
		}
	}
	in, err := s.makeChange(ctx, admin, zone+" in", "zone", "in", zone)
	if err != nil {
		return err
	}
	s.logChange(in)
	s.zoneOutRange = timeRange{out.startedAt, in.finishedAt.Add(settleTime / 2)}
	return nil
}

// drainBackend shuts a backend server down gracefully and restarts it.
func (s *scenario) drainBackend(ctx context.Context, _ *vm) error {
	v := s.firstVM(2, 0)
	from := time.Now()
	p := s.backendProcess(v)
	if err := p.signal(syscall.SIGTERM); err != nil {
		return err
	}
	stopCtx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	if err := p.wait(stopCtx); err != nil {
		return err
	}
	s.logf("backend server %s drained and stopped in %.1f s", v.backend, time.Since(from).Seconds())
	err := errors.Join(s.startBackend(v), sleep(ctx, settleTime))
	s.drainRange = timeRange{from, time.Now()}
	return err
}

// killBackend kills a backend server, but not the node on its VM, and restarts it.
func (s *scenario) killBackend(ctx context.Context, _ *vm) error {
	v := s.firstVM(1, 0)
	s.backendProcess(v).kill()
	s.logf("backend server %s killed", v.backend)
	if err := sleep(ctx, processDownTime); err != nil {
		return err
	}
	s.logf("backend server %s restarted", v.backend)
	return s.startBackend(v)
}

// killNode kills a node and restarts it, as the platform does.
func (s *scenario) killNode(ctx context.Context, _ *vm) error {
	v := s.firstVM(1, 1)
	s.killedNode = v
	s.nodeProcess(v).kill()
	s.logf("node %s killed", v.name)
	if err := sleep(ctx, processDownTime); err != nil {
		return err
	}
	if err := s.startNode(v); err != nil {
		return err
	}
	restartedAt := time.Now()
	ctx, cancel := context.WithTimeout(ctx, restartTimeout)
	defer cancel()
	if err := s.waitUntil(ctx, v.name+" to be ready again", func() bool { return s.isReady(ctx, v) }); err != nil {
		return err
	}
	s.logf("node %s restarted and ready after %.1f s", v.name, time.Since(restartedAt).Seconds())
	return sleep(ctx, processDownTime)
}

// freezeNode suspends a node for longer than the membership timeout.
func (s *scenario) freezeNode(ctx context.Context, _ *vm) error {
	v := s.firstVM(2, 1)
	node := s.nodeProcess(v)
	if err := node.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	s.logf("node %s frozen", v.name)
	sleepErr := sleep(ctx, freezeDuration)
	err := node.signal(syscall.SIGCONT)
	s.logf("node %s continued", v.name)
	return errors.Join(sleepErr, err)
}

// stopNode shuts a node down gracefully.
func (s *scenario) stopNode(ctx context.Context, _ *vm) error {
	v := s.firstVM(0, 2)
	s.shutdownRange.from = time.Now()
	if err := s.nodeProcess(v).signal(syscall.SIGTERM); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	s.shutdownErr = s.nodeProcess(v).wait(ctx)
	s.shutdownRange.to = time.Now()
	s.logf("node %s stopped gracefully in %.1f s", v.name, s.shutdownRange.to.Sub(s.shutdownRange.from).Seconds())
	return nil
}

// platformOutage attempts a change while the platform is down and makes a change after
// the outage.
func (s *scenario) platformOutage(ctx context.Context, admin *vm) error {
	if err := s.setPlatform(ctx, platformserver.ModeDown); err != nil {
		return err
	}
	from := time.Now()
	s.logf("platform is down")
	_, s.outageExitCode, _ = s.runCommand(ctx, admin, "--timeout", "2s", "zone", "out", s.zones[1],
		"--requester", requester, "--reason", "must fail without the platform") // The exit code is checked with the guarantees.
	if err := sleep(ctx, time.Until(from.Add(outageDuration))); err != nil {
		return err
	}
	s.outageRange = timeRange{from, time.Now()}
	if err := s.setPlatform(ctx, platformserver.ModeNone); err != nil {
		return err
	}
	s.logf("platform is back; the command meanwhile ended with exit code %d", s.outageExitCode)
	if err := sleep(ctx, settleTime); err != nil {
		return err
	}
	c, err := s.makeChange(ctx, admin, "a key issued after the outage", "key", "issue", s.traffic.changedTeam)
	if err == nil {
		s.logChange(c)
	}
	return err
}
