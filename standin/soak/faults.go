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
	// maxFault is the longest time that a fault lasts.
	maxFault = 4 * time.Second
	// lateWrite is the delay of writes without an answer.
	lateWrite = 2 * time.Second
	// stall is the delay of a timer from which the machine of the soak itself counts
	// as disturbed, because all processes share it.
	stall = 250 * time.Millisecond
)

// fault is one kind of trouble. It returns what ends it.
type fault struct {
	name  string
	begin func(d *deployment, m *machine, r *rand.Rand) (end func())
	// store is set for faults of the store, of which one is in force at a time.
	store bool
}

// onMachine harms the way to or the process of one machine.
func onMachine(name string, begin, end func(m *machine)) fault {
	return fault{name: name, begin: func(d *deployment, m *machine, _ *rand.Rand) func() {
		d.checks.begin(m.name)
		begin(m)
		return func() { end(m); d.checks.end(m.name) }
	}}
}

func onPath(name string, proxy func(*machine) *Proxy, f PathFault) fault {
	return onMachine(name, func(m *machine) { proxy(m).Set(f) }, func(m *machine) { proxy(m).Set(PathSound) })
}

func onStore(name string, f rowstore.Faults) fault {
	return fault{name: name, store: true, begin: func(d *deployment, _ *machine, _ *rand.Rand) func() {
		d.checks.begin("")
		d.store.SetFaults(f)
		return func() { d.store.SetFaults(rowstore.Faults{}); d.checks.end("") }
	}}
}

func onBackend(name string, f BackendFault) fault {
	return fault{name: name, begin: func(_ *deployment, m *machine, r *rand.Rand) func() {
		m.backend.SetFault(f, 0.2+0.8*r.Float64())
		return func() { m.backend.SetFault(BackendSound, 0) }
	}}
}

func linksOf(m *machine) *Proxy { return m.links }
func storeOf(m *machine) *Proxy { return m.store }
func nothing(*machine)          {}

var faults = []fault{
	onMachine("kill", func(m *machine) { m.signal(syscall.SIGKILL) }, nothing),
	onMachine("term", func(m *machine) { m.signal(syscall.SIGTERM) }, nothing),
	onMachine("pause", func(m *machine) { m.signal(syscall.SIGSTOP) }, func(m *machine) { m.signal(syscall.SIGCONT) }),
	onMachine("hangup", func(m *machine) { m.signal(syscall.SIGHUP) }, nothing),
	onPath("links slow", linksOf, PathSlow),
	onPath("links deaf", linksOf, PathDeaf),
	onPath("links mute", linksOf, PathMute),
	onPath("links silent", linksOf, PathSilent),
	onMachine("links reset", func(m *machine) { m.links.Reset() }, nothing),
	onPath("store way slow", storeOf, PathSlow),
	onPath("store way silent", storeOf, PathSilent),
	onMachine("store way reset", func(m *machine) { m.store.Reset() }, nothing),
	onStore("store busy", rowstore.Faults{Busy: true}),
	onStore("store reset", rowstore.Faults{Reset: true}),
	onStore("store slow", rowstore.Faults{Delay: 250 * time.Millisecond}),
	onStore("answers lost", rowstore.Faults{LoseAnswers: true}),
	onStore("late writes", rowstore.Faults{LateWrites: lateWrite}),
	onStore("feeds silent", rowstore.Faults{SilentFeeds: true}),
	{name: "history dropped", begin: func(d *deployment, _ *machine, _ *rand.Rand) func() { d.store.DropHistory(); return func() {} }},
	onBackend("backend fails", BackendFails),
	onBackend("backend sheds", BackendSheds),
	onBackend("backend hangs", BackendHangs),
	onBackend("backend drops", BackendDrops),
	{name: "backend restarts", begin: func(_ *deployment, m *machine, _ *rand.Rand) func() { m.backend.Restart(true); return func() {} }},
	{name: "backend leaves", begin: func(_ *deployment, m *machine, _ *rand.Rand) func() {
		m.backend.Drain()
		return func() { m.backend.Restart(true) }
	}},
	{name: "configuration", begin: func(d *deployment, _ *machine, _ *rand.Rand) func() { d.configure(); return func() {} }},
	{name: "key withdrawn", begin: func(d *deployment, _ *machine, r *rand.Rand) func() {
		withdrawn := d.newKey(teams[r.IntN(len(teams))])
		d.configure()
		d.checks.mu.Lock()
		d.checks.revoked[withdrawn] = time.Now()
		d.checks.mu.Unlock()
		return func() {}
	}},
	{name: "evacuation", begin: func(d *deployment, m *machine, _ *rand.Rand) func() {
		d.store.Put("op", "evacuate/"+m.zone, []byte("{}"))
		d.checks.mu.Lock()
		if _, out := d.checks.evacuated[m.zone]; !out {
			d.checks.evacuated[m.zone] = time.Now()
		}
		d.checks.mu.Unlock()
		return func() {
			d.checks.mu.Lock()
			delete(d.checks.evacuated, m.zone)
			d.checks.mu.Unlock()
			d.store.Delete("op", "evacuate/"+m.zone)
		}
	}},
}

// harm begins faults by the seed until ctx ends, and then ends all of them. A
// process is stopped by one fault at a time; all others overlap.
func (d *deployment) harm(ctx context.Context, seed uint64, logf func(string, ...any)) {
	r := rand.New(rand.NewPCG(seed, 0))
	started := time.Now()
	busy := make(map[string]bool)
	type ending struct {
		at  time.Time
		key string
		end func()
	}
	var endings []ending
	finish := func(now time.Time, all bool) {
		rest := endings[:0]
		for _, e := range endings {
			if all || !now.Before(e.at) {
				e.end()
				delete(busy, e.key)
			} else {
				rest = append(rest, e)
			}
		}
		endings = rest
	}
	next := started
	for ctx.Err() == nil {
		now := time.Now()
		finish(now, false)
		if !now.Before(next) {
			f, m := faults[r.IntN(len(faults))], d.machines[r.IntN(len(d.machines))]
			lasts := time.Duration(r.Int64N(int64(maxFault)))
			next = now.Add(minFaultGap + time.Duration(r.Int64N(int64(maxFaultGap-minFaultGap))))
			// One fault of a kind and place at a time, so that its end is its own.
			key := f.name + "/" + m.name
			if f.store {
				key = "store"
			}
			if !busy[key] {
				busy[key] = true
				logf("%7.2f s  %-18s %-4s for %s", now.Sub(started).Seconds(), f.name, m.name, lasts.Round(10*time.Millisecond))
				endings = append(endings, ending{now.Add(lasts), key, f.begin(d, m, r)})
			}
		}
		pause(ctx, 20*time.Millisecond)
	}
	finish(time.Now(), true)
	for _, m := range d.machines {
		m.links.Set(PathSound)
		m.store.Set(PathSound)
		m.signal(syscall.SIGCONT)
	}
}

// watchStalls notes when this process itself is not scheduled in time, since the
// processes under test are then not either.
func (d *deployment) watchStalls(ctx context.Context, logf func(string, ...any)) {
	const step = 20 * time.Millisecond
	for ctx.Err() == nil {
		before := time.Now()
		pause(ctx, step)
		if late := time.Since(before) - step; late > stall {
			d.checks.begin("")
			d.checks.end("")
			logf("%s", fmt.Sprintf("          the soak itself was late by %s", late.Round(time.Millisecond)))
		}
	}
}
