package pacer

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"monsoonspar.example/standin/caller"
)

const (
	maxMicros    = int64(time.Hour / time.Microsecond)
	precision    = 3
	maxViolation = 20 // Broken promises that are told in full.
)

// Quantiles describes a distribution in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean_ms"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// Ending counts the requests that ended in one way.
type Ending struct {
	Outcome string `json:"outcome"` // whole, an outcome that a daemon told, or lost.
	Code    string `json:"code,omitempty"`
	Count   int    `json:"count"`
}

// Report is what came of a run.
type Report struct {
	Requests       int       `json:"requests"`
	Tokens         int       `json:"tokens"`
	Returned       int       `json:"returned"`        // Came back after a refusal or an unknown outcome.
	ReturnedServed int       `json:"returned_served"` // Of these, those served then.
	Endings        []Ending  `json:"endings"`
	FirstToken     Quantiles `json:"first_token"`
	Gap            Quantiles `json:"gap"`
	Total          Quantiles `json:"total"`
	BrokenCount    int       `json:"broken_count"`
	Broken         []string  `json:"broken"` // The first broken promises.
}

// tally collects results. It is safe for concurrent use.
type tally struct {
	mu         sync.Mutex
	out        Report
	endings    map[Ending]int
	firstToken *hdrhistogram.Histogram
	gap        *hdrhistogram.Histogram
	total      *hdrhistogram.Histogram
}

func newTally() *tally {
	return &tally{
		endings:    make(map[Ending]int),
		firstToken: hdrhistogram.New(1, maxMicros, precision),
		gap:        hdrhistogram.New(1, maxMicros, precision),
		total:      hdrhistogram.New(1, maxMicros, precision),
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// Values are clamped to the range of the histogram, so none is refused.
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxMicros))
}

func (t *tally) add(r result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := r.answer
	t.out.Requests++
	t.out.Tokens += len(a.Tokens)
	ending := endingOf(r)
	t.endings[ending]++
	if r.returns > 0 {
		t.out.Returned++
		if ending.Outcome == "whole" {
			t.out.ReturnedServed++
		}
	}
	if !r.job.file {
		if err := a.Check(r.job.id); err != nil {
			t.breakPromise(err.Error())
		}
	}
	if ending.Outcome == "whole" {
		record(t.total, a.Total)
	}
	if a.FirstToken > 0 && r.job.call.Stream {
		record(t.firstToken, a.FirstToken)
	}
	for _, gap := range a.Gaps {
		record(t.gap, gap)
	}
}

func (t *tally) breakPromise(text string) {
	t.out.BrokenCount++
	if len(t.out.Broken) < maxViolation {
		t.out.Broken = append(t.out.Broken, text)
	}
}

func endingOf(r result) Ending {
	a := r.answer
	switch {
	case a.Complete, r.job.file && a.Err == nil && a.Status == 200:
		return Ending{Outcome: "whole"}
	case a.Err != nil:
		return Ending{Outcome: "lost"}
	}
	return Ending{Outcome: a.Outcome, Code: a.Code}
}

func (t *tally) report() Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.out.FirstToken = quantiles(t.firstToken)
	t.out.Gap = quantiles(t.gap)
	t.out.Total = quantiles(t.total)
	for e, n := range t.endings {
		e.Count = n
		t.out.Endings = append(t.out.Endings, e)
	}
	slices.SortFunc(t.out.Endings, func(a, b Ending) int {
		return cmp.Or(cmp.Compare(a.Outcome, b.Outcome), cmp.Compare(a.Code, b.Code))
	})
	return t.out
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{
		Count: h.TotalCount(),
		Mean:  h.Mean() / 1000,
		P50:   at(50),
		P95:   at(95),
		P99:   at(99),
		Max:   float64(h.Max()) / 1000,
	}
}

// RunCount is how often a service ran a request.
type RunCount struct {
	ID    string
	Count int
}

// AddRuns checks the runs that services counted: each filing runs at most once
// on all of them together.
func (r *Report) AddRuns(runs []RunCount) {
	totals := make(map[string]int)
	for _, run := range runs {
		totals[run.ID] += run.Count
	}
	for _, id := range slices.Sorted(maps.Keys(totals)) {
		n := totals[id]
		if n <= 1 {
			continue
		}
		r.BrokenCount++
		if len(r.Broken) < maxViolation {
			r.Broken = append(r.Broken, fmt.Sprintf("%v: filing %s ran %d times", caller.ErrViolation, id, n))
		}
	}
}

// WriteTable writes the report for people.
func (r Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "requests\t%d\ntokens\t%d\n", r.Requests, r.Tokens)
	fmt.Fprintf(t, "returned\t%d\nreturned and served\t%d\n", r.Returned, r.ReturnedServed)
	for _, e := range r.Endings {
		fmt.Fprintf(t, "ended %s %s\t%d\n", e.Outcome, e.Code, e.Count)
	}
	fmt.Fprintln(t, "\nms\tcount\tmean\tp50\tp95\tp99\tmax")
	for _, row := range []struct {
		name string
		q    Quantiles
	}{{"first token", r.FirstToken}, {"gap", r.Gap}, {"total", r.Total}} {
		q := row.q
		fmt.Fprintf(t, "%s\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\n", row.name, q.Count, q.Mean, q.P50, q.P95, q.P99, q.Max)
	}
	fmt.Fprintf(t, "\nbroken promises\t%d\n", r.BrokenCount)
	for _, text := range r.Broken {
		fmt.Fprintln(t, text)
	}
	return t.Flush()
}
