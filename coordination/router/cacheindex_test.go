package router_test

import (
	"fmt"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"monsoonspar.example/coordination/router"
	"monsoonspar.example/state/heapmeter"
)

func ExampleCacheIndex() {
	var x router.CacheIndex
	x.Apply("b1", []router.CacheEvent{{Seq: 1, Hash: 7}, {Seq: 3, Hash: 8}})
	fmt.Println(x.Stale(), x.Has(7))
	x.Apply("b1", []router.CacheEvent{{Seq: 1, Hash: 7}, {Seq: 2, Type: router.CacheEvicted, Hash: 7}, {Seq: 3, Hash: 8}})
	fmt.Println(x.Stale(), x.Has(7), x.Has(8))
	// Output:
	// true false
	// false false true
}

func TestCacheClearedRebuildsIndex(t *testing.T) {
	var x router.CacheIndex
	x.Apply("b1", []router.CacheEvent{{Seq: 5, Hash: 7}})
	assert.Assert(t, x.Stale())
	x.Apply("b1", []router.CacheEvent{{Seq: 9, Type: router.CacheCleared}, {Seq: 10, Hash: 8}})
	assert.Assert(t, !x.Stale())
	assert.Assert(t, x.Has(8))
	x.Apply("b2", nil)
	assert.Assert(t, !x.Has(8), "cache is empty after a new boot")
}

// TestCacheIndexNeverReportsAnEvictedPrefix applies the events of an engine
// with losses, repeats and replays, and compares the index with the engine's
// own set.
func TestCacheIndexNeverReportsAnEvictedPrefix(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var x router.CacheIndex
		var history []router.CacheEvent
		cached := map[uint64]bool{}
		for range rapid.IntRange(1, 60).Draw(rt, "events") {
			ev := router.CacheEvent{
				Seq:  uint64(len(history) + 1),
				Type: router.CacheEventType(rapid.IntRange(0, 1).Draw(rt, "type")),
				Hash: rapid.Uint64Range(0, 5).Draw(rt, "hash"),
			}
			history = append(history, ev)
			cached[ev.Hash] = ev.Type == router.CacheStored
			switch rapid.IntRange(0, 5).Draw(rt, "delivery") {
			case 0: // Lost.
				continue
			case 1: // Replayed from the start.
				x.Apply("b1", history)
			default:
				x.Apply("b1", history[len(history)-1:])
			}
			if x.Stale() {
				continue
			}
			for hash, want := range cached {
				assert.Equal(rt, x.Has(hash), want)
			}
		}
	})
}

// BenchmarkCacheIndex measures the time of two events and the memory of an
// index.
func BenchmarkCacheIndex(b *testing.B) {
	for _, prefixes := range []int{1 << 10, 1 << 12, 1 << 14} {
		b.Run(fmt.Sprintf("prefixes=%d", prefixes), func(b *testing.B) {
			before := heapmeter.HeapBytes()
			var x router.CacheIndex
			events := make([]router.CacheEvent, 1)
			seq := uint64(0)
			apply := func(t router.CacheEventType, hash uint64) {
				seq++
				events[0] = router.CacheEvent{Seq: seq, Type: t, Hash: hash}
				x.Apply("b", events)
			}
			for i := range prefixes {
				apply(router.CacheStored, uint64(i))
			}
			heapBytes := heapmeter.HeapBytes() - before
			for b.Loop() {
				apply(router.CacheEvicted, seq%uint64(prefixes))
				apply(router.CacheStored, seq%uint64(prefixes))
			}
			b.ReportMetric(float64(heapBytes), "heap-B")
			runtime.KeepAlive(&x)
		})
	}
}
