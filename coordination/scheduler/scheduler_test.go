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

var testStart = time.Unix(1_000_000, 0)

// fitsAlways reports that every job fits.
func fitsAlways(*entry) bool { return true }

// newJob returns a short job of a customer that arrives the given time after
// testStart.
func newJob(value int, customer string, after time.Duration) item {
	at := testStart.Add(after)
	return item{
		Value: value, Customer: customer, Cost: 100, Work: 1,
		Arrived: at, SortTime: at, DueAt: at.Add(time.Minute),
	}
}

// startAll starts all jobs that may start and returns their values.
func startAll(q *queue, now time.Time, fits func(*entry) bool) []int {
	var values []int
	for e := q.StartNext(now, fits); e != nil; e = q.StartNext(now, fits) {
		values = append(values, e.Value)
	}
	return values
}

func ExampleQueue() {
	q := scheduler.NewQueue[int]()
	for i := range 4 {
		q.Push(testStart, newJob(i, "large", 0))
	}
	q.Push(testStart, newJob(4, "small", 0))
	fmt.Println(startAll(q, testStart, fitsAlways))
	// Output: [0 4 1 2 3]
}

func TestHeapAgainstSorting(t *testing.T) {
	type element struct{ key, index int }
	rapid.Check(t, func(t *rapid.T) {
		h := scheduler.NewHeap(
			func(a, b *element) bool { return a.key < b.key },
			func(e *element, i int) { e.index = i },
		)
		var elements []*element
		for range rapid.IntRange(0, 100).Draw(t, "steps") {
			switch op := rapid.IntRange(0, 3).Draw(t, "op"); {
			case op <= 1 || len(elements) == 0:
				e := &element{key: rapid.IntRange(0, 50).Draw(t, "key")}
				elements = append(elements, e)
				h.Push(e)
			case op == 2:
				i := rapid.IntRange(0, len(elements)-1).Draw(t, "removed")
				h.Remove(elements[i].index)
				assert.Equal(t, elements[i].index, -1)
				elements = slices.Delete(elements, i, i+1)
			default:
				e := rapid.SampledFrom(elements).Draw(t, "moved")
				e.key = rapid.IntRange(0, 50).Draw(t, "new")
				h.Fix(e.index)
			}
			assert.Equal(t, h.Len(), len(elements))
		}
		slices.SortFunc(elements, func(a, b *element) int { return a.key - b.key })
		for _, e := range elements {
			assert.Equal(t, h.Min().key, e.key)
			h.Remove(0)
		}
	})
}

// TestServiceKeepsToWeights guards against unfair service: with customers that
// always have queued jobs, and lanes that fit or not at random, the service per
// weight of no two customers may differ by more than the largest cost per weight
// of a job.
func TestServiceKeepsToWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := scheduler.NewQueue[int]()
		weights := rapid.SliceOfN(rapid.Float64Range(0.5, 4), 2, 5).Draw(t, "weights")
		served := make([]float64, len(weights))
		largest := 0.0
		push := func(customer int) {
			it := newJob(customer, fmt.Sprint(customer), 0)
			it.Weight = weights[customer]
			it.Cost = rapid.Float64Range(1, 1000).Draw(t, "cost")
			if it.Cost > 300 {
				it.Lane = scheduler.Long
			}
			if rapid.Bool().Draw(t, "due") {
				it.DueAt = testStart
			}
			largest = max(largest, it.Cost/it.Weight)
			q.Push(testStart, it)
		}
		for c := range weights {
			for range 3 {
				push(c)
			}
		}
		for range 200 {
			laneFits := [2]bool{rapid.Bool().Draw(t, "short"), rapid.Bool().Draw(t, "long")}
			e := q.StartNext(testStart, func(e *entry) bool { return laneFits[e.Lane] })
			if e == nil {
				continue
			}
			served[e.Value] += e.Cost / e.Weight
			push(e.Value)
			gap := slices.Max(served) - slices.Min(served)
			if gap > largest+1e-6 {
				t.Fatalf("service per weight %v differs by more than that of the largest job, %g", served, largest)
			}
		}
	})
}

func TestIdleCustomerGetsNoCredit(t *testing.T) {
	q := scheduler.NewQueue[int]()
	for i := range 50 {
		q.Push(testStart, newJob(i, "busy", 0))
	}
	for range 20 {
		q.StartNext(testStart, fitsAlways)
	}
	for i := range 10 {
		q.Push(testStart, newJob(100+i, "late", 0))
	}
	values := startAll(q, testStart, fitsAlways)[:10]
	late := 0
	for _, v := range values {
		if v >= 100 {
			late++
		}
	}
	assert.Equal(t, late, 5, "%v", values)
}

func TestLevelsAreServedInOrder(t *testing.T) {
	q := scheduler.NewQueue[int]()
	for i := range 3 {
		it := newJob(i, "c", 0)
		it.Level = 2 - i
		q.Push(testStart, it)
	}
	assert.DeepEqual(t, startAll(q, testStart, fitsAlways), []int{2, 1, 0})
}

func TestDueJobOfLowerLevelIsNotStarved(t *testing.T) {
	q := scheduler.NewQueue[int]()
	low := newJob(100, "low", 0)
	low.Level = 1
	q.Push(testStart, low)
	now := testStart.Add(2 * time.Minute)
	for i := range 20 {
		q.Push(now, newJob(i, "high", 2*time.Minute))
	}
	values := startAll(q, now, fitsAlways)
	assert.Assert(t, slices.Index(values, 100) <= 4, "%v", values)
}

func TestDueJobIsNotOvertakenByLaterArrivals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := scheduler.NewQueue[int]()
		now := testStart
		for i := range rapid.IntRange(1, 60).Draw(t, "jobs") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
			it := newJob(i, "c", now.Sub(testStart))
			it.Lane = scheduler.Lane(rapid.IntRange(0, 1).Draw(t, "lane"))
			it.SortTime = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "order")) * time.Second)
			q.Push(now, it)
		}
		var started []*entry
		now = now.Add(time.Duration(rapid.IntRange(0, 90).Draw(t, "later")) * time.Second)
		for e := q.StartNext(now, fitsAlways); e != nil; e = q.StartNext(now, fitsAlways) {
			started = append(started, e)
		}
		for i, e := range started {
			for _, later := range started[i+1:] {
				due := !later.DueAt.After(now) && later.Arrived.Before(e.Arrived)
				if due && later.Lane == e.Lane {
					t.Fatalf("job %d started before job %d, which was due and arrived first", e.Value, later.Value)
				}
			}
		}
	})
}

func TestDueLongJobIsNotOvertakenByShortJobsOfItsCustomer(t *testing.T) {
	q := scheduler.NewQueue[int]()
	long := newJob(0, "c", 0)
	long.Lane = scheduler.Long
	q.Push(testStart, long)
	q.Push(testStart, newJob(1, "c", time.Second))
	q.Push(testStart, newJob(2, "c", time.Second))
	noLong := func(e *entry) bool { return e.Lane == scheduler.Short }
	assert.Equal(t, q.StartNext(testStart.Add(30*time.Second), noLong).Value, 1)
	assert.Assert(t, q.StartNext(testStart.Add(61*time.Second), noLong) == nil)
	assert.DeepEqual(t, startAll(q, testStart.Add(61*time.Second), fitsAlways), []int{0, 2})
}

func TestMaxRunningBlocksOneCustomerOnly(t *testing.T) {
	q := scheduler.NewQueue[int]()
	for i := range 4 {
		it := newJob(i, "capped", 0)
		it.MaxRunning = 1
		q.Push(testStart, it)
		q.Push(testStart, newJob(10+i, "free", 0))
	}
	first := q.StartNext(testStart, fitsAlways)
	assert.Equal(t, len(startAll(q, testStart, fitsAlways)), 4)
	if first.Value >= 10 {
		t.Fatalf("the first job to start is not one of the customer with a limit")
	}
	q.Finish(testStart, first)
	assert.DeepEqual(t, startAll(q, testStart, fitsAlways), []int{1})
}

func TestRateLimitEndUnblocksTheCustomer(t *testing.T) {
	q := scheduler.NewQueue[int]()
	for i := range 3 {
		it := newJob(i, "c", 0)
		it.TokensPerSecond = 10
		q.Push(testStart, it)
	}
	assert.DeepEqual(t, startAll(q, testStart, fitsAlways), []int{0})
	at, ok := q.NextRateLimitEnd()
	assert.Assert(t, ok)
	assert.Equal(t, at.Sub(testStart).Round(time.Second), 6*time.Second)
	q.Tick(at.Add(-time.Second))
	assert.Equal(t, len(startAll(q, at, fitsAlways)), 0)
	q.Tick(at)
	assert.DeepEqual(t, startAll(q, at, fitsAlways), []int{1})
}

func TestExpiredJobsAreRemoved(t *testing.T) {
	q := scheduler.NewQueue[int]()
	for i := range 5 {
		it := newJob(i, "c", 0)
		it.LatestStart = testStart.Add(time.Duration(5-i) * time.Second)
		q.Push(testStart, it)
	}
	var values []int
	for _, e := range q.TakeExpired(testStart.Add(3500 * time.Millisecond)) {
		values = append(values, e.Value)
	}
	assert.DeepEqual(t, values, []int{4, 3, 2})
	assert.Equal(t, q.Len(), 2)
}

func TestWorkAheadCountsTheShareOfOtherCustomers(t *testing.T) {
	q := scheduler.NewQueue[int]()
	for i := range 100 {
		q.Push(testStart, newJob(i, "large", 0))
	}
	own := newJob(100, "large", 0)
	other := newJob(101, "small", 0)
	assert.Equal(t, q.WorkAhead(own), 100.0)
	assert.Equal(t, q.WorkAhead(other), 1.0)
}
