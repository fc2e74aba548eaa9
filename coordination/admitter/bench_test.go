package admitter_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"monsoonspar.example/coordination/admitter"
	"monsoonspar.example/state/heapmeter"
)

// fullOwner returns an Owner with 170 running generations and 10,000 queued
// requests of the given number of customers.
func fullOwner(customers int) (*admitter.Owner, time.Time) { return ownerWithQueue(customers, 10_000) }

// ownerWithQueue returns an Owner with 170 running generations and the given number
// of queued requests.
func ownerWithQueue(customers, requests int) (*admitter.Owner, time.Time) {
	o := admitter.NewOwner(admitter.Config{
		MemoryTokens: 120_000, MaxBatch: 170, TokenGapTarget: time.Second, Step: fastPrefill,
		LongShare: 1, MaxQueueWait: time.Hour,
	}, trainedEstimator())
	running := 0
	for i := range 170 + requests {
		r := shortRequest(fmt.Sprint(i))
		r.Customer = fmt.Sprint("c", i%customers)
		r.Deadline = testStart.Add(24 * time.Hour)
		for _, a := range o.Enqueue(testStart, r) {
			if a.Kind == admitter.Grant {
				running++
			}
		}
	}
	if running != 170 {
		panic(fmt.Sprint("running ", running))
	}
	return o, testStart
}

// benchmarkAdmission measures a Release, which grants a queued request, followed by
// an Enqueue.
func benchmarkAdmission(b *testing.B, customers int) {
	o, now := fullOwner(customers)
	next := make([]admitter.Request, b.N)
	for i := range next {
		next[i] = shortRequest(fmt.Sprint("new", i))
		next[i].Customer = fmt.Sprint("c", i%customers)
		next[i].Deadline = testStart.Add(24 * time.Hour)
	}
	held := []admitter.PermitID{}
	for i := range 170 {
		held = append(held, admitter.PermitID(fmt.Sprint(i)))
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		now = now.Add(time.Millisecond)
		for _, a := range o.Release(now, held[i], admitter.Result{}) {
			held = append(held, a.ID)
		}
		o.Enqueue(now, next[i])
	}
}

func BenchmarkAdmission10Customers(b *testing.B)   { benchmarkAdmission(b, 10) }
func BenchmarkAdmission1300Customers(b *testing.B) { benchmarkAdmission(b, 1300) }

func BenchmarkTick(b *testing.B) {
	o, now := fullOwner(1300)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		now = now.Add(100 * time.Millisecond)
		o.Tick(now)
	}
}

func BenchmarkEstimate(b *testing.B) {
	o, now := fullOwner(1300)
	r := shortRequest("estimate")
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		o.Estimate(now, r)
	}
}

// BenchmarkQueue measures the heap size of queued requests and the time of a Tick.
func BenchmarkQueue(b *testing.B) {
	for _, requests := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprintf("queued=%d", requests), func(b *testing.B) {
			before := heapmeter.HeapBytes()
			o, now := ownerWithQueue(130, requests)
			held := heapmeter.HeapBytes() - before
			for b.Loop() {
				now = now.Add(100 * time.Millisecond)
				o.Tick(now)
			}
			b.ReportMetric(float64(held), "heap-B")
			runtime.KeepAlive(o)
		})
	}
}
