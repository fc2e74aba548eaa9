package messenger

import (
	"context"

	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

// traceparentKey is the key under which the propagator stores a span context.
const traceparentKey = "traceparent"

// encodeTrace returns the span context of ctx in traceparent form, or the empty
// string if it is not sampled, so that such a request carries no trace.
func encodeTrace(ctx context.Context) string {
	if !trace.SpanContextFromContext(ctx).IsSampled() {
		return ""
	}
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return carrier[traceparentKey]
}

// decodeTrace returns ctx with the span of the caller as the parent of new spans.
func decodeTrace(ctx context.Context, parent string) context.Context {
	if parent == "" {
		return ctx
	}
	return propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier{traceparentKey: parent})
}
