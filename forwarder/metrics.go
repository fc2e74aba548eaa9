package forwarder

import (
	"expvar"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"
)

// metrics are the counters and latency histograms of one daemon.
type metrics struct {
	counters *expvar.Map

	mu         sync.Mutex
	histograms map[string]*hdrhistogram.Histogram // In microseconds.
}

func newMetrics() *metrics {
	return &metrics{counters: new(expvar.Map).Init(), histograms: map[string]*hdrhistogram.Histogram{}}
}

// count adds one to a counter.
func (m *metrics) count(name string) { m.counters.Add(name, 1) }

// add adds n to a counter.
func (m *metrics) add(name string, n int) { m.counters.Add(name, int64(n)) }

// Bounds of the latency histograms in microseconds.
const (
	lowestLatency  = 10
	highestLatency = 120_000_000
)

// observe records a duration in a histogram.
func (m *metrics) observe(name string, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.histograms[name]
	if h == nil {
		h = hdrhistogram.New(lowestLatency, highestLatency, 2)
		m.histograms[name] = h
	}
	// RecordValue returns no error, since the value is clamped to the range.
	_ = h.RecordValue(min(max(d.Microseconds(), lowestLatency), highestLatency))
}

// write prints all metrics, each as a line with a name and a value.
func (m *metrics) write(w io.Writer) {
	m.counters.Do(func(kv expvar.KeyValue) { fmt.Fprintf(w, "%s %s\n", kv.Key, kv.Value) })
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, h := range m.histograms {
		fmt.Fprintf(w, "%s_count %d\n", name, h.TotalCount())
		for _, q := range []float64{50, 90, 99} {
			fmt.Fprintf(w, "%s_us{quantile=\"%g\"} %d\n", name, q/100, h.ValueAtQuantile(q))
		}
	}
}

// serveMetrics serves the metrics until the listener is closed.
func (f *Forwarder) serveMetrics() {
	s := &fasthttp.Server{
		NoDefaultServerHeader: true,
		ReadTimeout:           probeReadTimeout,
		MaxRequestBodySize:    maxProbeBytes,
		Handler: func(ctx *fasthttp.RequestCtx) {
			ctx.SetContentType("text/plain; charset=utf-8")
			f.metrics.write(ctx)
			f.writeCapacities(ctx)
			now := f.clock.Now()
			fmt.Fprintf(ctx, "manifest_age_ms %d\nendpoints_age_ms %d\nbytes_held %d\nmalformed_entries %d\nrequests_in_flight %d\nconnections_busy %d\n",
				f.manifests.ageMillis(now), f.endpointEntries.ageMillis(now), f.memory.Held(), f.store.MalformedEntries(), f.inFlight.Load(), f.clients.busy())
			if f.paths != nil {
				_, n := f.paths.finder.CutOff(now)
				fmt.Fprintf(ctx, "paths_cut %d\ntunnels_carried %d\n", n, f.paths.carried())
			}
			if f.followsEvacuations() {
				fmt.Fprintf(ctx, "evacuations_age_ms %d\nevacuated_domains %d\n", f.evacuations.ageMillis(now), len(f.registry.Evacuations().Domains))
			}
		},
	}
	if err := s.Serve(f.metricsListener); err != nil && f.ctx.Err() == nil {
		f.log.Error().Err(err).Msg("forwarder: metrics listener failed")
	}
}
