package reserver_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"monsoonspar.example/state/reserver"
)

const kib = 1 << 10

// fill grows a customer's reservation until it is denied and returns its size.
func fill(r *reserver.Reserver, customer string) int64 {
	total := int64(0)
	for r.Grow(customer, 32*kib) {
		total += 32 * kib
	}
	return total
}

// Guards against a customer whose large responses take the memory that others need.
func TestCustomersShareMemory(t *testing.T) {
	const limit = 27 * 1024 * kib
	r := reserver.New(limit)
	first := fill(r, "a")
	assert.Assert(t, first <= limit/3 && first > limit/3-64*kib, "%d bytes", first)
	second := fill(r, "b")
	assert.Assert(t, second >= limit/6-64*kib, "%d bytes", second)
	assert.Assert(t, r.Reserve("c", 64*kib))
	r.Release("a", first)
	assert.Assert(t, fill(r, "b")+second > limit/3-64*kib)
}

// Guards against small reservations that are denied while large responses use the memory, and
// against a customer that takes all of it with small reservations.
func TestSmallReservationsStayPossible(t *testing.T) {
	const limit = 28 * 1024 * kib
	r := reserver.New(limit)
	for i := range 24 {
		fill(r, fmt.Sprint("large ", i))
	}
	assert.Assert(t, r.Reserve("small", 64*kib))
	r = reserver.New(limit)
	for r.Reserve("many", 64*kib) {
	}
	assert.Assert(t, r.Held() > limit*8/10)
	assert.Assert(t, r.Reserve("other", 64*kib))
}

// Guards against reservations that are granted beyond the limit or get lost when they are released.
func TestReservationsStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Int64Range(1, 1<<20).Draw(t, "limit")
		r := reserver.New(limit)
		held := map[string]int64{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			customer := rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "customer")
			n := rapid.Int64Range(0, limit).Draw(t, "n")
			switch rapid.IntRange(0, 2).Draw(t, "operation") {
			case 0:
				if r.Reserve(customer, n) {
					held[customer] += n
				}
			case 1:
				if r.Grow(customer, n) {
					held[customer] += n
				}
			default:
				r.Release(customer, held[customer])
				held[customer] = 0
			}
			if total := held[""] + held["a"] + held["b"]; r.Held() != total || total > limit {
				t.Fatalf("%d bytes held, %d reserved, limit %d", r.Held(), total, limit)
			}
		}
	})
}

// Guards against denials without a limit, and against charged bytes that are not counted.
func TestChargesCount(t *testing.T) {
	assert.Assert(t, reserver.New(0).Reserve("a", 1<<40))
	r := reserver.New(100)
	r.Charge("a", 150)
	assert.Assert(t, !r.Reserve("b", 1))
	r.Release("a", 150)
	assert.Assert(t, r.Reserve("b", 1))
}

func BenchmarkReserve(b *testing.B) {
	r := reserver.New(28 << 20)
	for i := range 24 {
		r.Reserve(fmt.Sprint("customer ", i), 64*kib)
	}
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if r.Reserve("customer 7", 64*kib) {
				r.Release("customer 7", 64*kib)
			}
		}
	})
}
