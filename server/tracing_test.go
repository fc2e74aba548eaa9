package server

import (
	"context"
	"testing"
	"time"

	"monsoonspar.example/state/parser"

	"gotest.tools/v3/assert"
)

func TestHopHeaderCarriesRemainingTime(t *testing.T) {
	tr, err := newTracing(t.Context(), parser.TraceSettings{Exporter: parser.TraceFile, File: t.TempDir() + "/spans"})
	assert.NilError(t, err)
	defer tr.close(context.Background())
	now := time.Now()
	ctx, cancel := context.WithDeadline(t.Context(), now.Add(1500*time.Millisecond))
	defer cancel()
	ctx, span := tr.provider.Tracer("t").Start(ctx, "caller")
	defer span.End()
	fields := hopHeader(ctx, now.Add(time.Second))
	assert.Equal(t, fields[0].Value, "500")
	assert.Equal(t, fields[1].Name, "traceparent")
	assert.Assert(t, len(fields[1].Value) == len("00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"))
}
