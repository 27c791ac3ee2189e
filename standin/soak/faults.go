package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"trefoildock.example/standin/rowstore"
)

const (
	// minFaultGap and maxFaultGap bound the time between the starts of two faults,
	// which may overlap.
	minFaultGap = 200 * time.Millisecond
	maxFaultGap = 1500 * time.Millisecond
	// maxFaultDuration is the longest time that a fault lasts.
	maxFaultDuration = 4 * time.Second
	// limitFaultDuration is the time for which a backend server names a limit.
	limitFaultDuration = settleTime + limitWindow + time.Second
	// limitFaultShare is the number of other faults for each fault of kind limitFault.
	limitFaultShare = 4
	// restoreShare is the number of other faults for each restoration of the store, and
	// copyInterval and maxCopies set the ages of the copies from which it is restored.
	restoreShare = 8
	copyInterval = time.Second
	maxCopies    = 8
	// lateWriteDelay is the delay of writes that get no response.
	lateWriteDelay = 2 * time.Second
	// stallThreshold is the timer delay above which a stall counts as a fault of all
	// machines, because all processes share the host.
	stallThreshold = 250 * time.Millisecond
)

// fault is a kind of fault. begin starts it and returns the function that ends it.
type fault struct {
	name  string
	begin func(d *deployment, m *machine, r *rand.Rand) (end func())
	// affectsStore is set for faults of the store, of which at most one is active.
	affectsStore bool
}

// machineFault returns a fault of the process of one machine or of its connections.
func machineFault(name string, begin, end func(m *machine)) fault {
	return fault{name: name, begin: func(d *deployment, m *machine, _ *rand.Rand) func() {
		d.checker.beginFault(m.name)
		begin(m)
		return func() { end(m); d.checker.endFault(m.name) }
	}}
}

func pathFault(name string, proxy func(*machine) *Proxy, f PathFault) fault {
	return machineFault(name, func(m *machine) { proxy(m).SetFault(f) }, func(m *machine) { proxy(m).SetFault(PathHealthy) })
}

func storeFault(name string, f rowstore.Faults) fault {
	return fault{name: name, affectsStore: true, begin: func(d *deployment, _ *machine, _ *rand.Rand) func() {
		d.checker.beginFault("")
		d.store.SetFaults(f)
		return func() { d.store.SetFaults(rowstore.Faults{}); d.checker.endFault("") }
	}}
}

func backendFault(name string, f BackendFault) fault {
	return fault{name: name, begin: func(_ *deployment, m *machine, r *rand.Rand) func() {
		m.backend.SetFault(f, 0.2+0.8*r.Float64())
		return func() { m.backend.SetFault(BackendHealthy, 0) }
	}}
}

// limitFault makes the backend server of a machine name a limit in its responses.
var limitFault = fault{name: "backend limited", begin: func(_ *deployment, m *machine, r *rand.Rand) func() {
	m.backend.SetLimit(1 + 3*r.Float64())
	return func() { m.backend.SetLimit(0) }
}}

// restoreFault makes the store unreachable and brings it back from an older copy.
var restoreFault = fault{name: "store restored", affectsStore: true, begin: func(d *deployment, _ *machine, r *rand.Rand) func() {
	d.checker.beginFault("")
	d.store.SetFaults(rowstore.Faults{Reset: true})
	copied := d.copies[r.IntN(len(d.copies))]
	return func() {
		d.store.Restore(copied, "op")
		d.store.SetFaults(rowstore.Faults{})
		d.checker.endFault("")
	}
}}

// keepCopy takes a copy of the store once a second.
func (d *deployment) keepCopy(now time.Time) {
	if now.Sub(d.copiedAt) < copyInterval {
		return
	}
	d.copiedAt = now
	d.copies = append(d.copies, d.store.Copy())
	if len(d.copies) > maxCopies {
		d.copies = d.copies[1:]
	}
}

func linkProxyOf(m *machine) *Proxy  { return m.linkProxy }
func storeProxyOf(m *machine) *Proxy { return m.storeProxy }
func noop(*machine)                  {}

var faults = []fault{
	machineFault("kill", func(m *machine) { m.signal(syscall.SIGKILL) }, noop),
	machineFault("term", func(m *machine) { m.signal(syscall.SIGTERM) }, noop),
	machineFault("pause", func(m *machine) { m.signal(syscall.SIGSTOP) }, func(m *machine) { m.signal(syscall.SIGCONT) }),
	machineFault("hangup", func(m *machine) { m.signal(syscall.SIGHUP) }, noop),
	pathFault("links slow", linkProxyOf, PathSlow),
	pathFault("links drop inbound", linkProxyOf, PathDropToTarget),
	pathFault("links drop replies", linkProxyOf, PathDropFromTarget),
	pathFault("links drop all", linkProxyOf, PathDropAll),
	machineFault("links reset", func(m *machine) { m.linkProxy.Reset() }, noop),
	pathFault("store path slow", storeProxyOf, PathSlow),
	pathFault("store path drop", storeProxyOf, PathDropAll),
	machineFault("store path reset", func(m *machine) { m.storeProxy.Reset() }, noop),
	storeFault("store busy", rowstore.Faults{Busy: true}),
	storeFault("store reset", rowstore.Faults{Reset: true}),
	storeFault("store slow", rowstore.Faults{Delay: 250 * time.Millisecond}),
	storeFault("answers lost", rowstore.Faults{LoseResponses: true}),
	storeFault("late writes", rowstore.Faults{WriteDelay: lateWriteDelay}),
	storeFault("feeds silent", rowstore.Faults{StallFeeds: true}),
	{name: "history dropped", begin: func(d *deployment, _ *machine, _ *rand.Rand) func() { d.store.CompactHistory(); return func() {} }},
	backendFault("backend fails", BackendFails),
	backendFault("backend sheds", BackendSheds),
	backendFault("backend hangs", BackendHangs),
	backendFault("backend drops", BackendDrops),
	{name: "backend restarts", begin: func(_ *deployment, m *machine, _ *rand.Rand) func() { m.backend.Restart(true); return func() {} }},
	{name: "backend leaves", begin: func(_ *deployment, m *machine, _ *rand.Rand) func() {
		m.backend.Drain()
		return func() { m.backend.Restart(true) }
	}},
	{name: "configuration", begin: func(d *deployment, _ *machine, _ *rand.Rand) func() { d.writeConfig(); return func() {} }},
	{name: "key withdrawn", begin: func(d *deployment, _ *machine, r *rand.Rand) func() {
		revoked := d.rotateKey(teams[r.IntN(len(teams))])
		d.writeConfig()
		d.checker.mu.Lock()
		d.checker.revoked[revoked] = time.Now()
		d.checker.mu.Unlock()
		return func() {}
	}},
	{name: "evacuation", begin: func(d *deployment, m *machine, _ *rand.Rand) func() {
		d.store.Put("op", "evacuate/"+m.zone, []byte("{}"))
		d.checker.mu.Lock()
		if _, evacuated := d.checker.evacuated[m.zone]; !evacuated {
			d.checker.evacuated[m.zone] = time.Now()
		}
		d.checker.mu.Unlock()
		return func() {
			d.checker.mu.Lock()
			delete(d.checker.evacuated, m.zone)
			d.checker.mu.Unlock()
			d.store.Delete("op", "evacuate/"+m.zone)
		}
	}},
}

// injectFaults starts faults that are selected by the seed until ctx ends, and then
// ends all of them. At most one fault of each kind is active on a machine; faults of
// different kinds overlap.
func (d *deployment) injectFaults(ctx context.Context, seed uint64, logf func(string, ...any)) {
	r := rand.New(rand.NewPCG(seed, 0))
	// Streams of their own leave the other faults of a seed as they were.
	limits, restorations := rand.New(rand.NewPCG(seed, 1)), rand.New(rand.NewPCG(seed, 2))
	startedAt := time.Now()
	active := make(map[string]bool)
	type ending struct {
		at  time.Time
		key string
		end func()
	}
	var endings []ending
	endFaults := func(now time.Time, all bool) {
		rest := endings[:0]
		for _, e := range endings {
			if all || !now.Before(e.at) {
				e.end()
				delete(active, e.key)
			} else {
				rest = append(rest, e)
			}
		}
		endings = rest
	}
	// At most one fault of a kind is active on a machine, because the end of one would
	// also end the other.
	start := func(now time.Time, f fault, m *machine, duration time.Duration, r *rand.Rand) {
		key := f.name + "/" + m.name
		if f.affectsStore {
			key = "store"
		}
		if active[key] {
			return
		}
		active[key] = true
		logf("%7.2f s  %-18s %-4s for %s", now.Sub(startedAt).Seconds(), f.name, m.name, duration.Round(10*time.Millisecond))
		endings = append(endings, ending{now.Add(duration), key, f.begin(d, m, r)})
	}
	next := startedAt
	for ctx.Err() == nil {
		now := time.Now()
		endFaults(now, false)
		d.keepCopy(now)
		if !now.Before(next) {
			f, m := faults[r.IntN(len(faults))], d.machines[r.IntN(len(d.machines))]
			duration := time.Duration(r.Int64N(int64(maxFaultDuration)))
			next = now.Add(minFaultGap + time.Duration(r.Int64N(int64(maxFaultGap-minFaultGap))))
			start(now, f, m, duration, r)
			if limits.IntN(limitFaultShare) == 0 {
				start(now, limitFault, d.machines[limits.IntN(len(d.machines))], limitFaultDuration, limits)
			}
			if restorations.IntN(restoreShare) == 0 {
				start(now, restoreFault, d.machines[0], time.Duration(restorations.Int64N(int64(maxFaultDuration/2))), restorations)
			}
		}
		sleep(ctx, 20*time.Millisecond)
	}
	endFaults(time.Now(), true)
	for _, m := range d.machines {
		m.linkProxy.SetFault(PathHealthy)
		m.storeProxy.SetFault(PathHealthy)
		m.signal(syscall.SIGCONT)
	}
}

// watchStalls records a fault when this process is not scheduled in time, since the
// processes under test are then delayed as well.
func (d *deployment) watchStalls(ctx context.Context, logf func(string, ...any)) {
	const interval = 20 * time.Millisecond
	for ctx.Err() == nil {
		before := time.Now()
		sleep(ctx, interval)
		if delay := time.Since(before) - interval; delay > stallThreshold {
			d.checker.beginFault("")
			d.checker.endFault("")
			logf("%s", fmt.Sprintf("          the soak itself was late by %s", delay.Round(time.Millisecond)))
		}
	}
}
