package slopes

import (
	"runtime"
	"syscall"
	"time"
)

const (
	// leastTime is the processor time that one measurement of work lasts, so that
	// the resolution of the accounting (below 1 ms) stays under 5%.
	leastTime = 20 * time.Millisecond
	// mostCalls bounds the calls of one measurement.
	mostCalls = 1 << 20
)

// processorTime returns the user and system time of this process.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err) // It fails only for a wrong argument.
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// work returns the processor time of one call of f in nanoseconds. The number
// of calls grows until they last leastTime together.
func work(f func()) float64 {
	f() // The first call may allocate what later ones reuse.
	for calls := 1; ; calls *= 4 {
		start := processorTime()
		for range calls {
			f()
		}
		if spent := processorTime() - start; spent >= leastTime || calls >= mostCalls {
			return float64(spent.Nanoseconds()) / float64(calls)
		}
	}
}

// workOnce returns the processor time of a single call of f in nanoseconds.
func workOnce(f func()) float64 {
	runtime.GC()
	start := processorTime()
	f()
	return float64((processorTime() - start).Nanoseconds())
}

// heapInUse returns the bytes of live objects and of goroutine stacks.
func heapInUse() (heap, stacks float64) {
	runtime.GC()
	runtime.GC() // The second run frees what finalizers and pools held.
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc), float64(m.StackInuse)
}

// heapOf returns the bytes of live objects that the result of build holds.
func heapOf[T any](build func() T) float64 {
	before, _ := heapInUse()
	v := build()
	after, _ := heapInUse()
	runtime.KeepAlive(v)
	return after - before
}
