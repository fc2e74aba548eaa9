// Package heapmeter measures heap memory in benchmarks.
package heapmeter

import "runtime"

// HeapBytes returns the size of the reachable heap objects in bytes. It runs the
// garbage collector twice, because the first run only queues finalizers.
func HeapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
