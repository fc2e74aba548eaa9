package configurer_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"monsoonspar.example/coordination/configurer"
	"monsoonspar.example/state/cataloger"
	"monsoonspar.example/state/heapmeter"
	"monsoonspar.example/state/partitioner"
)

// BenchmarkInstall measures the installation of a change of one customer that is
// delivered by a peer.
func BenchmarkInstall(b *testing.B) {
	for _, customers := range []int{10, 130, 1300} {
		b.Run(fmt.Sprint(customers, "-customers"), func(b *testing.B) {
			now := time.Unix(60, 0)
			core := newCore()
			current := snapshot(b, customers, 1)
			installFromPlatform(b, core, now, 1, current)
			g := cataloger.Generation(1)
			b.ReportAllocs()
			for b.Loop() {
				b.StopTimer()
				g++
				next := partitioner.Change{Put: current.Sections()[:1]}
				next.Put[0].Text = fmt.Sprintf("[customer c0]\npriority = normal\nweight = %d\n", g)
				after, _ := current.Apply(next)
				change := partitioner.Compare(current, after)
				b.StartTimer()
				core.Handle(now, configurer.DeliveryReceived{From: "b", Delivery: configurer.Delivery{
					Generation: g, Root: after.Root, Base: current.Root, Change: &change,
				}})
				current = after
			}
			if core.Generation() != g {
				b.Fatal("a change was not installed")
			}
			b.ReportMetric(float64(heapmeter.HeapBytes()), "heap-B")
			runtime.KeepAlive(core)
		})
	}
}
