package messenger

import (
	"context"

	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

// traceField is the name under which the propagator keeps a span.
const traceField = "traceparent"

// encodeTrace returns the span of ctx, or the empty string if it is not sampled,
// so that requests without a trace carry none.
func encodeTrace(ctx context.Context) string {
	if !trace.SpanContextFromContext(ctx).IsSampled() {
		return ""
	}
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return carrier[traceField]
}

// decodeTrace makes the asker's span the parent of those begun under ctx.
func decodeTrace(ctx context.Context, parent string) context.Context {
	if parent == "" {
		return ctx
	}
	return propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier{traceField: parent})
}
