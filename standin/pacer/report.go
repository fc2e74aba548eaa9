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
	maxMicroseconds     = int64(time.Hour / time.Microsecond)
	significantDigits   = 3
	maxListedViolations = 20 // Violations that a report lists; the others are only counted.
)

// Quantiles summarizes a distribution of durations in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean_ms"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// OutcomeCount is the number of requests with the same outcome and error code.
type OutcomeCount struct {
	Outcome string `json:"outcome"` // "whole" for a complete response, "lost" without one, or the outcome that a daemon reported.
	Code    string `json:"code,omitempty"`
	Count   int    `json:"count"`
}

// Report summarizes a run.
type Report struct {
	Requests        int            `json:"requests"`
	Tokens          int            `json:"tokens"`
	Retried         int            `json:"returned"`        // Requests retried after a refusal or an unknown outcome.
	RetriedComplete int            `json:"returned_served"` // Retried requests that completed.
	Outcomes        []OutcomeCount `json:"endings"`
	FirstToken      Quantiles      `json:"first_token"`
	Gap             Quantiles      `json:"gap"`
	Total           Quantiles      `json:"total"`
	ViolationCount  int            `json:"broken_count"`
	Violations      []string       `json:"broken"` // Texts of the first violations of guarantees, see caller.Result.Check.
}

// collector aggregates results. It is safe for concurrent use.
type collector struct {
	mu         sync.Mutex
	totals     Report
	outcomes   map[OutcomeCount]int
	firstToken *hdrhistogram.Histogram
	gap        *hdrhistogram.Histogram
	total      *hdrhistogram.Histogram
}

func newCollector() *collector {
	return &collector{
		outcomes:   make(map[OutcomeCount]int),
		firstToken: hdrhistogram.New(1, maxMicroseconds, significantDigits),
		gap:        hdrhistogram.New(1, maxMicroseconds, significantDigits),
		total:      hdrhistogram.New(1, maxMicroseconds, significantDigits),
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// The value is clamped to the range of the histogram, so there is no error.
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxMicroseconds))
}

func (c *collector) add(r callResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := r.result
	c.totals.Requests++
	c.totals.Tokens += len(last.Tokens)
	outcome := classify(r)
	c.outcomes[outcome]++
	if r.retries > 0 {
		c.totals.Retried++
		if outcome.Outcome == "whole" {
			c.totals.RetriedComplete++
		}
	}
	if !r.planned.filing {
		if err := last.Check(r.planned.id); err != nil {
			c.addViolation(err.Error())
		}
	}
	if outcome.Outcome == "whole" {
		record(c.total, last.Total)
	}
	if last.FirstToken > 0 && r.planned.call.Stream {
		record(c.firstToken, last.FirstToken)
	}
	for _, gap := range last.Gaps {
		record(c.gap, gap)
	}
}

func (c *collector) addViolation(text string) {
	c.totals.ViolationCount++
	if len(c.totals.Violations) < maxListedViolations {
		c.totals.Violations = append(c.totals.Violations, text)
	}
}

func classify(r callResult) OutcomeCount {
	last := r.result
	switch {
	case last.Complete, r.planned.filing && last.Err == nil && last.Status == 200:
		return OutcomeCount{Outcome: "whole"}
	case last.Err != nil:
		return OutcomeCount{Outcome: "lost"}
	}
	return OutcomeCount{Outcome: last.Outcome, Code: last.Code}
}

func (c *collector) report() Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.totals.FirstToken = quantiles(c.firstToken)
	c.totals.Gap = quantiles(c.gap)
	c.totals.Total = quantiles(c.total)
	for outcome, n := range c.outcomes {
		outcome.Count = n
		c.totals.Outcomes = append(c.totals.Outcomes, outcome)
	}
	slices.SortFunc(c.totals.Outcomes, func(a, b OutcomeCount) int {
		return cmp.Or(cmp.Compare(a.Outcome, b.Outcome), cmp.Compare(a.Code, b.Code))
	})
	return c.totals
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	quantile := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{
		Count: h.TotalCount(),
		Mean:  h.Mean() / 1000,
		P50:   quantile(50),
		P95:   quantile(95),
		P99:   quantile(99),
		Max:   float64(h.Max()) / 1000,
	}
}

// RunCount is the number of times that a service ran a request.
type RunCount struct {
	ID    string
	Count int
}

// AddRuns adds a violation for each filing that ran more than once, summed over
// the counts of all services.
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
		r.ViolationCount++
		if len(r.Violations) < maxListedViolations {
			r.Violations = append(r.Violations, fmt.Sprintf("%v: filing %s ran %d times", caller.ErrViolation, id, n))
		}
	}
}

// WriteTable writes the report as human-readable text.
func (r Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "requests\t%d\ntokens\t%d\n", r.Requests, r.Tokens)
	fmt.Fprintf(t, "retried\t%d\nretried and complete\t%d\n", r.Retried, r.RetriedComplete)
	for _, e := range r.Outcomes {
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
	fmt.Fprintf(t, "\nviolated guarantees\t%d\n", r.ViolationCount)
	for _, text := range r.Violations {
		fmt.Fprintln(t, text)
	}
	return t.Flush()
}
