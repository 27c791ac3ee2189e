package slopes

import (
	"runtime"
	"syscall"
	"time"
)

const (
	// minMeasuredTime is the minimum CPU time of one measurement. It keeps the
	// error from the resolution of CPU accounting (below 1 ms) under 5%.
	minMeasuredTime = 20 * time.Millisecond
	// maxCalls limits the number of calls in one measurement.
	maxCalls = 1 << 20
)

// cpuTime returns the user and system CPU time of this process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err) // Getrusage fails only for an invalid argument.
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// cpuTimePerCall returns the mean CPU time of a call of f in nanoseconds. It
// increases the number of calls until their total reaches minMeasuredTime.
func cpuTimePerCall(f func()) float64 {
	f() // The first call may allocate memory that later calls reuse.
	for calls := 1; ; calls *= 4 {
		start := cpuTime()
		for range calls {
			f()
		}
		if spent := cpuTime() - start; spent >= minMeasuredTime || calls >= maxCalls {
			return float64(spent.Nanoseconds()) / float64(calls)
		}
	}
}

// cpuTimeOfCall returns the CPU time of a single call of f in nanoseconds.
func cpuTimeOfCall(f func()) float64 {
	runtime.GC()
	start := cpuTime()
	f()
	return float64((cpuTime() - start).Nanoseconds())
}

// heapInUse returns the size of live objects and of goroutine stacks in bytes.
func heapInUse() (heap, stacks float64) {
	runtime.GC()
	runtime.GC() // The second run frees objects that finalizers and pools retained.
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc), float64(m.StackInuse)
}

// retainedHeap returns the size in bytes of the objects that the result of build
// keeps alive.
func retainedHeap[T any](build func() T) float64 {
	before, _ := heapInUse()
	v := build()
	after, _ := heapInUse()
	runtime.KeepAlive(v)
	return after - before
}
