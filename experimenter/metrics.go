package experimenter

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Histograms count microseconds up to an hour with three significant digits.
const (
	histogramMax    = int64(time.Hour / time.Microsecond)
	histogramDigits = 3
)

// metrics gathers what one run shows about the requests that arrived in the
// measured window.
type metrics struct {
	stall     *hdrhistogram.Histogram
	gap       *hdrhistogram.Histogram
	waitShort *hdrhistogram.Histogram
	waitLong  *hdrhistogram.Histogram
	stallSum  time.Duration
	stalls    int

	requests       int // First arrivals.
	started        int // At an engine.
	hits           int // Of these, with their prefix cached.
	inTime         int
	late           int // Given up at the deadline.
	failed         int // Cut off after the first token.
	refused        int
	returned       int
	returnedInTime int
	preemptions    int
	serviceGap     float64 // Tokens over weight.
}

func newMetrics() *metrics {
	return &metrics{
		stall:     newHistogram(),
		gap:       newHistogram(),
		waitShort: newHistogram(),
		waitLong:  newHistogram(),
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMax, histogramDigits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(d.Microseconds(), histogramMax)) // Never out of range.
}

func (m *metrics) recordStall(d time.Duration) {
	record(m.stall, d)
	m.stallSum += d
	m.stalls++
}

func (m *metrics) recordWait(k *Kind, d time.Duration) {
	if k.Long {
		record(m.waitLong, d)
		return
	}
	record(m.waitShort, d)
}

// Figures are the results of one run.
type Figures struct {
	StallMean      float64 `json:"stall_mean_ms"`
	StallP95       float64 `json:"stall_p95_ms"`
	StallP99       float64 `json:"stall_p99_ms"`
	Preemptions    float64 `json:"preemptions_per_1000"`
	GapP95         float64 `json:"gap_p95_ms"`
	GapP99         float64 `json:"gap_p99_ms"`
	InTime         float64 `json:"in_time_per_engine_s"`
	InTimePart     float64 `json:"in_time_part"`
	FirstInTime    float64 `json:"first_in_time_part"` // Answered in time without a return.
	WaitShortP95   float64 `json:"wait_short_p95_ms"`
	WaitLongP99    float64 `json:"wait_long_p99_ms"`
	WaitLongMax    float64 `json:"wait_long_max_ms"`
	ServiceGap     float64 `json:"service_gap_tokens"`
	Refused        float64 `json:"refused_part"`
	Returned       float64 `json:"returned"`
	ReturnedInTime float64 `json:"returned_in_time_part"`
	Late           float64 `json:"late_part"`
	Failed         float64 `json:"failed_part"`
	PrefixHits     float64 `json:"prefix_hit_part"`
}

func (m *metrics) figures(engines int, window time.Duration) Figures {
	ms := func(h *hdrhistogram.Histogram, q float64) float64 {
		return float64(h.ValueAtQuantile(q)) / 1000
	}
	arrived := m.requests + m.returned
	return Figures{
		StallMean:      ratio(float64(m.stallSum.Microseconds())/1000, m.stalls),
		StallP95:       ms(m.stall, 95),
		StallP99:       ms(m.stall, 99),
		Preemptions:    ratio(1000*float64(m.preemptions), m.started),
		GapP95:         ms(m.gap, 95),
		GapP99:         ms(m.gap, 99),
		InTime:         float64(m.inTime) / (float64(engines) * window.Seconds()),
		InTimePart:     ratio(float64(m.inTime), m.requests),
		FirstInTime:    ratio(float64(m.inTime-m.returnedInTime), m.requests),
		WaitShortP95:   ms(m.waitShort, 95),
		WaitLongP99:    ms(m.waitLong, 99),
		WaitLongMax:    ms(m.waitLong, 100),
		ServiceGap:     m.serviceGap,
		Refused:        ratio(float64(m.refused), arrived),
		Returned:       float64(m.returned),
		ReturnedInTime: ratio(float64(m.returnedInTime), m.returned),
		Late:           ratio(float64(m.late), arrived),
		Failed:         ratio(float64(m.failed), arrived),
		PrefixHits:     ratio(float64(m.hits), m.started),
	}
}

func ratio(sum float64, n int) float64 {
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}
