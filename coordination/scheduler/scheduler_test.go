package scheduler_test

import (
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"monsoonspar.example/coordination/scheduler"

	"monsoonspar.example/state/seeder"
)

func TestMain(m *testing.M) { os.Exit(seeder.Main(m, 1000)) }

type (
	item  = scheduler.Item[int]
	entry = scheduler.Entry[int]
	queue = scheduler.Queue[int]
)

var start = time.Unix(1_000_000, 0)

// always lets every job start.
func always(*entry) bool { return true }

// job returns a short job of a customer that arrives after a while.
func job(value int, customer string, after time.Duration) item {
	at := start.Add(after)
	return item{
		Value: value, Customer: customer, Cost: 100, Work: 1,
		Arrived: at, Order: at, Due: at.Add(time.Minute),
	}
}

// drain starts all jobs that may start and returns their values.
func drain(q *queue, now time.Time, fits func(*entry) bool) []int {
	var values []int
	for e := q.Next(now, fits); e != nil; e = q.Next(now, fits) {
		values = append(values, e.Value)
	}
	return values
}

func ExampleQueue() {
	q := scheduler.NewQueue[int]()
	for i := range 4 {
		q.Push(start, job(i, "large", 0))
	}
	q.Push(start, job(4, "small", 0))
	fmt.Println(drain(q, start, always))
	// Output: [0 4 1 2 3]
}

func TestHeapAgainstSorting(t *testing.T) {
	type element struct{ key, index int }
	rapid.Check(t, func(t *rapid.T) {
		h := scheduler.NewHeap(
			func(a, b *element) bool { return a.key < b.key },
			func(e *element, i int) { e.index = i },
		)
		var in []*element
		for range rapid.IntRange(0, 100).Draw(t, "steps") {
			switch op := rapid.IntRange(0, 3).Draw(t, "op"); {
			case op <= 1 || len(in) == 0:
				e := &element{key: rapid.IntRange(0, 50).Draw(t, "key")}
				in = append(in, e)
				h.Push(e)
			case op == 2:
				i := rapid.IntRange(0, len(in)-1).Draw(t, "removed")
				h.Remove(in[i].index)
				assert.Equal(t, in[i].index, -1)
				in = slices.Delete(in, i, i+1)
			default:
				e := rapid.SampledFrom(in).Draw(t, "moved")
				e.key = rapid.IntRange(0, 50).Draw(t, "new")
				h.Fix(e.index)
			}
			assert.Equal(t, h.Len(), len(in))
		}
		slices.SortFunc(in, func(a, b *element) int { return a.key - b.key })
		for _, e := range in {
			assert.Equal(t, h.Min().key, e.key)
			h.Remove(0)
		}
	})
}

// TestServiceKeepsToWeights starts jobs of customers that always have some
// queued, with room for either lane coming and going, and checks that no
// customer falls behind its weight by more than one largest request.
func TestServiceKeepsToWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := scheduler.NewQueue[int]()
		weights := rapid.SliceOfN(rapid.Float64Range(0.5, 4), 2, 5).Draw(t, "weights")
		served := make([]float64, len(weights))
		largest := 0.0
		push := func(customer int) {
			it := job(customer, fmt.Sprint(customer), 0)
			it.Weight = weights[customer]
			it.Cost = rapid.Float64Range(1, 1000).Draw(t, "cost")
			if it.Cost > 300 {
				it.Lane = scheduler.Long
			}
			if rapid.Bool().Draw(t, "due") {
				it.Due = start
			}
			largest = max(largest, it.Cost/it.Weight)
			q.Push(start, it)
		}
		for c := range weights {
			for range 3 {
				push(c)
			}
		}
		for range 200 {
			room := [2]bool{rapid.Bool().Draw(t, "short"), rapid.Bool().Draw(t, "long")}
			e := q.Next(start, func(e *entry) bool { return room[e.Lane] })
			if e == nil {
				continue
			}
			served[e.Value] += e.Cost / e.Weight
			push(e.Value)
			gap := slices.Max(served) - slices.Min(served)
			if gap > largest+1e-6 {
				t.Fatalf("served %v, largest request %g", served, largest)
			}
		}
	})
}

func TestNoCreditForAPause(t *testing.T) {
	q := scheduler.NewQueue[int]()
	for i := range 50 {
		q.Push(start, job(i, "busy", 0))
	}
	for range 20 {
		q.Next(start, always)
	}
	for i := range 10 {
		q.Push(start, job(100+i, "late", 0))
	}
	values := drain(q, start, always)[:10]
	late := 0
	for _, v := range values {
		if v >= 100 {
			late++
		}
	}
	assert.Equal(t, late, 5, "%v", values)
}

func TestLevelsGoInOrder(t *testing.T) {
	q := scheduler.NewQueue[int]()
	for i := range 3 {
		it := job(i, "c", 0)
		it.Level = 2 - i
		q.Push(start, it)
	}
	assert.DeepEqual(t, drain(q, start, always), []int{2, 1, 0})
}

func TestDueJobOfALowerLevelGetsATurn(t *testing.T) {
	q := scheduler.NewQueue[int]()
	low := job(100, "low", 0)
	low.Level = 1
	q.Push(start, low)
	now := start.Add(2 * time.Minute)
	for i := range 20 {
		q.Push(now, job(i, "high", 2*time.Minute))
	}
	values := drain(q, now, always)
	assert.Assert(t, slices.Index(values, 100) <= 4, "%v", values)
}

func TestDueJobIsNotPassedByLaterOnes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := scheduler.NewQueue[int]()
		now := start
		for i := range rapid.IntRange(1, 60).Draw(t, "jobs") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
			it := job(i, "c", now.Sub(start))
			it.Lane = scheduler.Lane(rapid.IntRange(0, 1).Draw(t, "lane"))
			it.Order = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "order")) * time.Second)
			q.Push(now, it)
		}
		var waiting []*entry
		now = now.Add(time.Duration(rapid.IntRange(0, 90).Draw(t, "later")) * time.Second)
		for e := q.Next(now, always); e != nil; e = q.Next(now, always) {
			waiting = append(waiting, e)
		}
		for i, e := range waiting {
			for _, after := range waiting[i+1:] {
				due := !after.Due.After(now) && after.Arrived.Before(e.Arrived)
				if due && after.Lane == e.Lane {
					t.Fatalf("job %d passed job %d, which was due", e.Value, after.Value)
				}
			}
		}
	})
}

func TestDueLongJobIsNotPassedByShortOnesOfItsCustomer(t *testing.T) {
	q := scheduler.NewQueue[int]()
	long := job(0, "c", 0)
	long.Lane = scheduler.Long
	q.Push(start, long)
	q.Push(start, job(1, "c", time.Second))
	q.Push(start, job(2, "c", time.Second))
	noLong := func(e *entry) bool { return e.Lane == scheduler.Short }
	assert.Equal(t, q.Next(start.Add(30*time.Second), noLong).Value, 1)
	assert.Assert(t, q.Next(start.Add(61*time.Second), noLong) == nil)
	assert.DeepEqual(t, drain(q, start.Add(61*time.Second), always), []int{0, 2})
}

func TestRunningLimitHoldsOneCustomerOnly(t *testing.T) {
	q := scheduler.NewQueue[int]()
	for i := range 4 {
		it := job(i, "capped", 0)
		it.MaxRunning = 1
		q.Push(start, it)
		q.Push(start, job(10+i, "free", 0))
	}
	first := q.Next(start, always)
	assert.Equal(t, len(drain(q, start, always)), 4)
	if first.Value >= 10 {
		t.Fatalf("free goes first")
	}
	q.Finish(start, first)
	assert.DeepEqual(t, drain(q, start, always), []int{1})
}

func TestRateLimitNamesWhenItFrees(t *testing.T) {
	q := scheduler.NewQueue[int]()
	for i := range 3 {
		it := job(i, "c", 0)
		it.TokensPerSecond = 10
		q.Push(start, it)
	}
	assert.DeepEqual(t, drain(q, start, always), []int{0})
	at, ok := q.NextFree()
	assert.Assert(t, ok)
	assert.Equal(t, at.Sub(start).Round(time.Second), 6*time.Second)
	q.Tick(at.Add(-time.Second))
	assert.Equal(t, len(drain(q, at, always)), 0)
	q.Tick(at)
	assert.DeepEqual(t, drain(q, at, always), []int{1})
}

func TestExpiredJobsAreTakenOut(t *testing.T) {
	q := scheduler.NewQueue[int]()
	for i := range 5 {
		it := job(i, "c", 0)
		it.Expires = start.Add(time.Duration(5-i) * time.Second)
		q.Push(start, it)
	}
	var values []int
	for _, e := range q.Expired(start.Add(3500 * time.Millisecond)) {
		values = append(values, e.Value)
	}
	assert.DeepEqual(t, values, []int{4, 3, 2})
	assert.Equal(t, q.Len(), 2)
}

func TestAheadCountsTheShareOfOthers(t *testing.T) {
	q := scheduler.NewQueue[int]()
	for i := range 100 {
		q.Push(start, job(i, "large", 0))
	}
	own := job(100, "large", 0)
	other := job(101, "small", 0)
	assert.Equal(t, q.Ahead(own), 100.0)
	assert.Equal(t, q.Ahead(other), 1.0)
}
