package experimenter

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Histograms record microseconds, up to an hour, with three significant digits.
const (
	histogramMax    = int64(time.Hour / time.Microsecond)
	histogramDigits = 3
)

// metrics collects the measurements of a run for the requests that arrived after
// the warm-up.
type metrics struct {
	stall     *hdrhistogram.Histogram
	tokenGap  *hdrhistogram.Histogram
	waitShort *hdrhistogram.Histogram
	waitLong  *hdrhistogram.Histogram
	stallSum  time.Duration
	stalls    int

	requests      int // Without retries.
	started       int // Requests whose prefill has begun.
	prefixHits    int // Started requests whose prefix was cached.
	inTime        int
	late          int // Not answered by the deadline.
	failed        int // Ended with an incomplete answer.
	refused       int
	retries       int
	retriesInTime int
	preemptions   int
	soundRefused  int     // Refused requests that crash no engine.
	serviceGap    float64 // Output tokens divided by weight.

	crashes       int           // Of engines, because of parts of prompts.
	lateSendsFrom time.Duration // Time from which on sends of requests that crash engines are late; zero for none.
	lateSends     int
}

func newMetrics() *metrics {
	return &metrics{
		stall:     newHistogram(),
		tokenGap:  newHistogram(),
		waitShort: newHistogram(),
		waitLong:  newHistogram(),
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMax, histogramDigits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(d.Microseconds(), histogramMax)) // Cannot fail: the value is in range.
}

// crashes reports whether the request crashes the engine that begins to respond to it.
func (r *request) crashes() bool { return slices.Contains(r.parts, crashingPart) }

// recordSend records that a request reaches an engine.
func (m *metrics) recordSend(r *request, now time.Duration) {
	if r.crashes() && m.lateSendsFrom > 0 && now > m.lateSendsFrom {
		m.lateSends++
	}
}

func (m *metrics) recordStall(d time.Duration) {
	record(m.stall, d)
	m.stallSum += d
	m.stalls++
}

func (m *metrics) recordWait(k *JobKind, d time.Duration) {
	if k.Long {
		record(m.waitLong, d)
		return
	}
	record(m.waitShort, d)
}

// Results are the measurements of one run. The stall of a request is the time for
// which it waited for the engine or was preempted, and the part of its token gaps
// beyond TokenGapTarget. The fractions of refused, late and failed requests count a
// retry as another request; the in-time fractions do not.
type Results struct {
	StallMean                  float64 `json:"stall_mean_ms"`
	StallP95                   float64 `json:"stall_p95_ms"`
	StallP99                   float64 `json:"stall_p99_ms"`
	PreemptionsPer1000         float64 `json:"preemptions_per_1000"`
	TokenGapP95                float64 `json:"gap_p95_ms"`
	TokenGapP99                float64 `json:"gap_p99_ms"`
	InTimePerEngineSecond      float64 `json:"in_time_per_engine_s"`
	InTimeFraction             float64 `json:"in_time_part"`
	InTimeFirstAttemptFraction float64 `json:"first_in_time_part"` // Answered in time without a retry.
	WaitShortP95               float64 `json:"wait_short_p95_ms"`
	WaitLongP99                float64 `json:"wait_long_p99_ms"`
	WaitLongMax                float64 `json:"wait_long_max_ms"`
	ServiceGap                 float64 `json:"service_gap_tokens"`
	RefusedFraction            float64 `json:"refused_part"`
	Retried                    float64 `json:"returned"`
	RetriedInTimeFraction      float64 `json:"returned_in_time_part"`
	LateFraction               float64 `json:"late_part"`
	FailedFraction             float64 `json:"failed_part"`
	PrefixHitFraction          float64 `json:"prefix_hit_part"`
	Crashes                    float64 `json:"crashes"`       // Of engines, because of parts of prompts.
	LateSends                  float64 `json:"late_sends"`    // Requests that crash engines and reached one after several crashes.
	SoundRefused               float64 `json:"sound_refused"` // Refused requests that crash no engine.
}

func (m *metrics) results(engines int, window time.Duration) Results {
	ms := func(h *hdrhistogram.Histogram, q float64) float64 {
		return float64(h.ValueAtQuantile(q)) / 1000
	}
	arrived := m.requests + m.retries
	return Results{
		StallMean:                  ratio(float64(m.stallSum.Microseconds())/1000, m.stalls),
		StallP95:                   ms(m.stall, 95),
		StallP99:                   ms(m.stall, 99),
		PreemptionsPer1000:         ratio(1000*float64(m.preemptions), m.started),
		TokenGapP95:                ms(m.tokenGap, 95),
		TokenGapP99:                ms(m.tokenGap, 99),
		InTimePerEngineSecond:      float64(m.inTime) / (float64(engines) * window.Seconds()),
		InTimeFraction:             ratio(float64(m.inTime), m.requests),
		InTimeFirstAttemptFraction: ratio(float64(m.inTime-m.retriesInTime), m.requests),
		WaitShortP95:               ms(m.waitShort, 95),
		WaitLongP99:                ms(m.waitLong, 99),
		WaitLongMax:                ms(m.waitLong, 100),
		ServiceGap:                 m.serviceGap,
		RefusedFraction:            ratio(float64(m.refused), arrived),
		Retried:                    float64(m.retries),
		RetriedInTimeFraction:      ratio(float64(m.retriesInTime), m.retries),
		LateFraction:               ratio(float64(m.late), arrived),
		FailedFraction:             ratio(float64(m.failed), arrived),
		PrefixHitFraction:          ratio(float64(m.prefixHits), m.started),
		Crashes:                    float64(m.crashes),
		LateSends:                  float64(m.lateSends),
		SoundRefused:               float64(m.soundRefused),
	}
}

func ratio(sum float64, n int) float64 {
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}
