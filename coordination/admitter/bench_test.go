package admitter_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"monsoonspar.example/coordination/admitter"
	"monsoonspar.example/state/weigher"
)

// crowded returns an Owner with 170 running generations and 10,000 queued
// requests of customers.
func crowded(customers int) (*admitter.Owner, time.Time) { return queued(customers, 10_000) }

// queued returns an Owner with 170 running generations and some queued requests.
func queued(customers, requests int) (*admitter.Owner, time.Time) {
	o := admitter.NewOwner(admitter.Config{
		MemoryTokens: 120_000, MaxBatch: 170, GapTarget: time.Second, Step: fastPrefill,
		LongShare: 1, AgeBound: time.Hour,
	}, learned())
	running := 0
	for i := range 170 + requests {
		r := check(fmt.Sprint(i))
		r.Customer = fmt.Sprint("c", i%customers)
		r.Deadline = start.Add(24 * time.Hour)
		for _, a := range o.Enqueue(start, r) {
			if a.Kind == admitter.Grant {
				running++
			}
		}
	}
	if running != 170 {
		panic(fmt.Sprint("running ", running))
	}
	return o, start
}

// benchmarkAdmission measures a release with the grant that follows, and the
// arrival of the next request.
func benchmarkAdmission(b *testing.B, customers int) {
	o, now := crowded(customers)
	next := make([]admitter.Request, b.N)
	for i := range next {
		next[i] = check(fmt.Sprint("new", i))
		next[i].Customer = fmt.Sprint("c", i%customers)
		next[i].Deadline = start.Add(24 * time.Hour)
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
	o, now := crowded(1300)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		now = now.Add(100 * time.Millisecond)
		o.Tick(now)
	}
}

func BenchmarkQuote(b *testing.B) {
	o, now := crowded(1300)
	r := check("quote")
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		o.Quote(now, r)
	}
}

// BenchmarkQueue measures the memory of queued requests, and a tick over them.
func BenchmarkQueue(b *testing.B) {
	for _, requests := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprintf("queued=%d", requests), func(b *testing.B) {
			before := weigher.HeapBytes()
			o, now := queued(130, requests)
			held := weigher.HeapBytes() - before
			for b.Loop() {
				now = now.Add(100 * time.Millisecond)
				o.Tick(now)
			}
			b.ReportMetric(float64(held), "heap-B")
			runtime.KeepAlive(o)
		})
	}
}
