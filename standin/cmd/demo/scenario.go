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

// Times of the scenario.
const (
	settleTime    = time.Second
	zoneOutTime   = 3500 * time.Millisecond
	downTime      = 2 * time.Second // of a killed process until its restart
	freezeTime    = 5 * time.Second // longer than the 2.5 s until a silent node is removed
	outageTime    = 4 * time.Second
	stopTimeout   = 15 * time.Second
	restartedTime = 15 * time.Second // until a restarted node is ready

	// exitUnreachable is the exit code of a command while the platform is away.
	exitUnreachable = 6
)

// period is a span of time in which a step had its effect.
type period struct{ from, to time.Time }

// contains reports whether t lies in the period.
func (p period) contains(t time.Time) bool { return !t.Before(p.from) && !t.After(p.to) }

// scenario breaks parts of a deployment and notes when.
type scenario struct {
	*deployment

	begun time.Time

	withdrawnAt time.Time
	zoneOut     period    // from the command until the zone is back
	zoneOutAt   time.Time // when the command was started
	lastInZone  time.Time // start of the latest execution in the zone while it was out
	killedNode  *vm
	drained     period // of a backend server
	graceful    period // stop of a node
	stopErr     error
	outage      period
	outageCode  int // exit code of a command during the outage
}

// say prints a step with the time since the start.
func (s *scenario) say(format string, args ...any) {
	fmt.Printf("%5.1f s  %s: %s\n", time.Since(s.begun).Seconds(), s.name, fmt.Sprintf(format, args...))
}

// pick returns the first machine of a zone with a service.
func (s *scenario) pick(zone, service int) *vm {
	for i := range s.machines {
		if v := &s.machines[i]; v.zone == s.zones[zone] && v.service == s.services[service].name {
			return v
		}
	}
	panic("no such machine in the layout")
}

// run goes through all steps. Planned changes come before the faults, because a
// home that was lost refuses new keys or answers them as may-have-run for some
// seconds, which would look like a fault of the planned change. An error means that a step could not be made.
func (s *scenario) run(ctx context.Context) error {
	// The admin API of this node is used throughout; nothing happens to it.
	admin := s.pick(2, 2)
	steps := []func(context.Context, *vm) error{
		s.applyChange, s.withdrawKey, s.moveZone, s.drainBackend, s.platformOutage, s.stopNode,
		s.killBackend, s.freezeNode, s.killNode,
	}
	for _, step := range steps {
		if err := pause(ctx, settleTime); err != nil {
			return err
		}
		if err := step(ctx, admin); err != nil {
			return err
		}
	}
	return pause(ctx, settleTime)
}

func (s *scenario) sayChange(c change) {
	s.say("%s: version %d in force on %d of %d nodes after %.2f s", c.reason, c.version, c.inForce, c.nodes, c.done.Sub(c.asked).Seconds())
}

// applyChange changes the rate of a team by a rules file.
func (s *scenario) applyChange(ctx context.Context, admin *vm) error {
	file := s.path("changed.rules")
	if err := os.WriteFile(file, []byte(changeRate(s.rulesText, s.load.changed, "45/s")), 0o600); err != nil {
		return err
	}
	c, err := s.change(ctx, admin, "a higher rate for "+s.load.changed, "apply", file)
	if err == nil {
		s.sayChange(c)
	}
	return err
}

func (s *scenario) withdrawKey(ctx context.Context, admin *vm) error {
	c, err := s.change(ctx, admin, "key of "+s.load.withdrawn+" withdrawn", "key", "withdraw", "--team", s.load.withdrawn)
	if err == nil {
		s.withdrawnAt = c.asked
		s.sayChange(c)
	}
	return err
}

// moveZone takes a zone out, notes the latest execution there, and takes it back.
func (s *scenario) moveZone(ctx context.Context, admin *vm) error {
	zone := s.zones[0]
	out, err := s.change(ctx, admin, zone+" out", "zone", "out", zone)
	if err != nil {
		return err
	}
	s.sayChange(out)
	s.zoneOutAt = out.asked
	if err := pause(ctx, zoneOutTime); err != nil {
		return err
	}
	for i := range s.machines {
		v := &s.machines[i]
		if v.zone != zone {
			continue
		}
		st, err := s.stats(ctx, v)
		if err != nil {
			return errors.Wrapf(err, "counts of %s", v.backend)
		}
		if st.LastStarted.After(s.lastInZone) {
			s.lastInZone = st.LastStarted
		}
	}
	in, err := s.change(ctx, admin, zone+" in", "zone", "in", zone)
	if err != nil {
		return err
	}
	s.sayChange(in)
	s.zoneOut = period{out.asked, in.done.Add(settleTime / 2)}
	return nil
}

// drainBackend stops a backend server with notice and starts it again.
func (s *scenario) drainBackend(ctx context.Context, _ *vm) error {
	v := s.pick(2, 0)
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
	s.say("backend server %s drained and stopped in %.1f s", v.backend, time.Since(from).Seconds())
	err := errors.Join(s.startBackend(v), pause(ctx, settleTime))
	s.drained = period{from, time.Now()}
	return err
}

// killBackend kills a backend server while the node of its VM stays.
func (s *scenario) killBackend(ctx context.Context, _ *vm) error {
	v := s.pick(1, 0)
	s.backendProcess(v).kill()
	s.say("backend server %s killed", v.backend)
	if err := pause(ctx, downTime); err != nil {
		return err
	}
	s.say("backend server %s restarted", v.backend)
	return s.startBackend(v)
}

// killNode kills a node and starts it again, as the platform does.
func (s *scenario) killNode(ctx context.Context, _ *vm) error {
	v := s.pick(1, 1)
	s.killedNode = v
	s.node(v).kill()
	s.say("node %s killed", v.name)
	if err := pause(ctx, downTime); err != nil {
		return err
	}
	if err := s.startNode(v); err != nil {
		return err
	}
	begun := time.Now()
	ctx, cancel := context.WithTimeout(ctx, restartedTime)
	defer cancel()
	if err := s.until(ctx, v.name+" to be ready again", func() bool { return s.ready(ctx, v) }); err != nil {
		return err
	}
	s.say("node %s restarted and ready after %.1f s", v.name, time.Since(begun).Seconds())
	return pause(ctx, downTime)
}

// freezeNode stops a node for longer than its members tolerate.
func (s *scenario) freezeNode(ctx context.Context, _ *vm) error {
	v := s.pick(2, 1)
	node := s.node(v)
	if err := node.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	s.say("node %s frozen", v.name)
	paused := pause(ctx, freezeTime)
	err := node.signal(syscall.SIGCONT)
	s.say("node %s continued", v.name)
	return errors.Join(paused, err)
}

// stopNode stops a node gracefully.
func (s *scenario) stopNode(ctx context.Context, _ *vm) error {
	v := s.pick(0, 2)
	s.graceful.from = time.Now()
	if err := s.node(v).signal(syscall.SIGTERM); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	s.stopErr = s.node(v).wait(ctx)
	s.graceful.to = time.Now()
	s.say("node %s stopped gracefully in %.1f s", v.name, s.graceful.to.Sub(s.graceful.from).Seconds())
	return nil
}

// platformOutage takes the platform down, tries a change, brings the platform
// back and makes a change.
func (s *scenario) platformOutage(ctx context.Context, admin *vm) error {
	if err := s.setPlatform(ctx, platformserver.ModeDown); err != nil {
		return err
	}
	from := time.Now()
	s.say("platform is down")
	_, s.outageCode, _ = s.command(ctx, admin, "--timeout", "2s", "zone", "out", s.zones[1],
		"--requester", requester, "--reason", "must fail without the platform") // The exit code is judged later.
	if err := pause(ctx, time.Until(from.Add(outageTime))); err != nil {
		return err
	}
	s.outage = period{from, time.Now()}
	if err := s.setPlatform(ctx, platformserver.ModeNone); err != nil {
		return err
	}
	s.say("platform is back; the command meanwhile ended with exit code %d", s.outageCode)
	if err := pause(ctx, settleTime); err != nil {
		return err
	}
	c, err := s.change(ctx, admin, "a key issued after the outage", "key", "issue", s.load.changed)
	if err == nil {
		s.sayChange(c)
	}
	return err
}
