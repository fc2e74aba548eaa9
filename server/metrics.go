package server

import (
	"encoding/json"
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"monsoonspar.example/protocol/decoder"
)

// Range of the histograms, in microseconds.
const (
	minMicros         = 1
	maxMicros         = int64(time.Hour / time.Microsecond)
	significantDigits = 2
)

// histogram is an expvar of durations. It is safe for concurrent use.
type histogram struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

// newHistogram returns an empty histogram.
func newHistogram() *histogram {
	return &histogram{h: hdrhistogram.New(minMicros, maxMicros, significantDigits)}
}

// observe records a duration.
func (h *histogram) observe(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.h.RecordValue(min(max(d.Microseconds(), minMicros), maxMicros)) // The value is clamped to the range, so there is no error.
}

// histogramBody is the encoding of a histogram under /debug/vars, in milliseconds.
type histogramBody struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean_ms"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// String returns the histogram as JSON.
func (h *histogram) String() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	body, err := json.Marshal(histogramBody{
		Count: h.h.TotalCount(),
		Mean:  h.h.Mean() / 1000,
		P50:   microsToMillis(h.h.ValueAtQuantile(50)),
		P95:   microsToMillis(h.h.ValueAtQuantile(95)),
		P99:   microsToMillis(h.h.ValueAtQuantile(99)),
		Max:   microsToMillis(h.h.Max()),
	})
	if err != nil {
		return "null"
	}
	return string(body)
}

// microsToMillis converts microseconds to milliseconds.
func microsToMillis(us int64) float64 { return float64(us) / 1000 }

// metrics are the metrics of one daemon.
type metrics struct {
	vars             *expvar.Map
	stall            *histogram // Time by which token gaps exceed the target.
	tokenGap         *histogram
	firstToken       *histogram
	queueWait        *histogram
	outcomes         *expvar.Map
	refusals         *expvar.Map
	malformed        *expvar.Map // Responses of endpoints, by the rule that they break.
	preemptions      expvar.Int
	resumes          expvar.Int
	retries          expvar.Int
	droppedTokens    expvar.Int
	cancelledOrphans expvar.Int
}

// newMetrics returns metrics that are not published.
func newMetrics() *metrics {
	m := &metrics{
		vars:  new(expvar.Map).Init(),
		stall: newHistogram(), tokenGap: newHistogram(),
		firstToken: newHistogram(), queueWait: newHistogram(),
		outcomes: new(expvar.Map).Init(), refusals: new(expvar.Map).Init(), malformed: new(expvar.Map).Init(),
	}
	m.vars.Set("stall_time", m.stall)
	m.vars.Set("token_gap", m.tokenGap)
	m.vars.Set("first_token", m.firstToken)
	m.vars.Set("queue_wait", m.queueWait)
	m.vars.Set("outcomes", m.outcomes)
	m.vars.Set("refusals", m.refusals)
	m.vars.Set("malformed_responses", m.malformed)
	m.vars.Set("preemptions", &m.preemptions)
	m.vars.Set("resumes", &m.resumes)
	m.vars.Set("retries", &m.retries)
	m.vars.Set("dropped_tokens", &m.droppedTokens)
	m.vars.Set("cancelled_orphans", &m.cancelledOrphans)
	return m
}

// countMalformed counts err if it is that of a malformed response.
func (m *metrics) countMalformed(err error) {
	if form := decoder.FormOf(err); form != "" {
		m.malformed.Add(string(form), 1)
	}
}

// gauge publishes a value that is read on demand.
func (m *metrics) gauge(name string, read func() any) { m.vars.Set(name, expvar.Func(read)) }
