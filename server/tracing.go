package server

import (
	"context"
	"io"
	"os"
	"strconv"
	"time"

	"monsoonspar.example/protocol/requester"
	"monsoonspar.example/protocol/responder"
	"monsoonspar.example/state/parser"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/trace"
)

// propagator carries the trace context in the traceparent header.
var propagator = propagation.TraceContext{}

// tracing holds the trace provider and the file that it exports to, if any.
type tracing struct {
	provider *trace.TracerProvider
	file     io.Closer
}

// newTracing creates a provider with the exporter in the settings, or one that
// records no spans if there is none.
func newTracing(ctx context.Context, cfg parser.TraceSettings) (*tracing, error) {
	t := &tracing{}
	var exporter trace.SpanExporter
	var err error
	switch cfg.Exporter {
	case parser.TraceStdout:
		exporter, err = stdouttrace.New()
	case parser.TraceFile:
		var f *os.File
		if f, err = os.OpenFile(cfg.File, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
			return nil, errors.Wrap(err, "open the trace file")
		}
		t.file = f
		exporter, err = stdouttrace.New(stdouttrace.WithWriter(f))
	case parser.TraceOTLP:
		exporter, err = otlptracehttp.New(ctx, otlptracehttp.WithEndpoint(cfg.OTLPAddr), otlptracehttp.WithInsecure())
	default:
		t.provider = trace.NewTracerProvider(trace.WithSampler(trace.NeverSample()))
		return t, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "set up the trace exporter")
	}
	t.provider = trace.NewTracerProvider(trace.WithBatcher(exporter))
	return t, nil
}

// close exports the remaining spans and closes the file.
func (t *tracing) close(ctx context.Context) {
	_ = t.provider.Shutdown(ctx)
	if t.file != nil {
		_ = t.file.Close()
	}
}

// hopHeader returns the header fields that carry the span of ctx and the time until
// its deadline to the next hop.
func hopHeader(ctx context.Context, now time.Time) []requester.Header {
	carrier := propagation.MapCarrier{}
	propagator.Inject(ctx, carrier)
	fields := make([]requester.Header, 0, len(carrier)+1)
	if deadline, ok := ctx.Deadline(); ok {
		remaining := max(deadline.Sub(now).Milliseconds(), 0)
		fields = append(fields, requester.Header{Name: responder.HeaderTimeout, Value: strconv.FormatInt(remaining, 10)})
	}
	for _, name := range carrier.Keys() {
		fields = append(fields, requester.Header{Name: name, Value: carrier.Get(name)})
	}
	return fields
}
