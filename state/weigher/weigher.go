// Package weigher weighs the memory that benchmarks hold.
package weigher

import "runtime"

// HeapBytes returns the bytes of the heap that are reachable. It collects
// garbage twice, since the first time only queues finalizers.
func HeapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
