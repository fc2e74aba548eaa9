package explainer_test

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"monsoonspar.example/explainer"
)

// The logs are those of a recorded run with a stream that broke off. The lines have
// the prefix of a log collector, and some are about other requests.
func TestExplainCutStream(t *testing.T) {
	f, err := os.Open("testdata/cut-stream.log")
	assert.NilError(t, err)
	defer func() { _ = f.Close() }()
	lines, err := explainer.Read(f, "e659121c73956a6c")
	assert.NilError(t, err)
	var b bytes.Buffer
	assert.NilError(t, explainer.Explain(&b, "e659121c73956a6c", lines))
	golden.Assert(t, b.String(), "cut-stream.golden")
}

func TestExplainDeferredRequest(t *testing.T) {
	lines, err := explainer.Read(strings.NewReader(`{"level":"warn","request":"r1","attempts":1,"status":503,"reason":"endpoints_deferred","retry_after_ms":2990,"time":"2026-12-04T12:40:00Z","message":"forwarder: request refused"}`), "r1")
	assert.NilError(t, err)
	var b bytes.Buffer
	assert.NilError(t, explainer.Explain(&b, "r1", lines))
	golden.Assert(t, b.String(), "deferred.golden")
}

// The daemon of a stream was killed, and the client went on at another one.
func TestExplainResumedStream(t *testing.T) {
	lines, err := explainer.Read(strings.NewReader(`{"daemon":"d-1","request":"r1","stream_key":"ab","time":"2026-12-04T12:40:00Z","message":"forwarder: generation placed"}
{"daemon":"d-2","request":"r2","stream_key":"ab","resumed_after":17,"time":"2026-12-04T12:40:01Z","message":"forwarder: generation placed"}
{"daemon":"d-2","request":"r2","stream_key":"ab","resumed_after":17,"events":43,"reason":"served","time":"2026-12-04T12:40:02Z","message":"forwarder: stream answered"}
{"daemon":"d-3","request":"r3","stream_key":"cd","resumed_after":3,"reason":"served","time":"2026-12-04T12:40:02Z","message":"forwarder: stream answered"}
`), "r1")
	assert.NilError(t, err)
	var b bytes.Buffer
	assert.NilError(t, explainer.Explain(&b, "r1", lines))
	golden.Assert(t, b.String(), "resumed.golden")
}

// The second endpoint has responded with a refusal that it did not prove.
func TestExplainPromiseWithoutProof(t *testing.T) {
	lines, err := explainer.Read(strings.NewReader(`{"daemon":"d-1","request":"r1","endpoint":"i-1","proof":"refused_by_endpoint","not_run":true,"status":503,"time":"2026-12-04T12:40:00Z","message":"forwarder: attempt failed"}
{"daemon":"d-1","request":"r1","endpoint":"i-2","proof":"none","written":312,"not_run":false,"time":"2026-12-04T12:40:01Z","message":"forwarder: attempt failed"}
{"daemon":"d-1","request":"r1","proof":"none","sent":2,"status":503,"reason":"refused_by_endpoints","time":"2026-12-04T12:40:01Z","message":"forwarder: request refused"}
`), "r1")
	assert.NilError(t, err)
	var b bytes.Buffer
	assert.NilError(t, explainer.Explain(&b, "r1", lines))
	golden.Assert(t, b.String(), "unproven.golden")
}

// The daemon of a stream did not run while a second run continued it. Another daemon, and the same one later, did not run
// either.
func TestExplainSecondRunDuringPause(t *testing.T) {
	lines, err := explainer.Read(strings.NewReader(`{"daemon":"d-1","paused_ms":400,"since_ms":500,"pauses":1,"time":"2026-12-04T12:39:58Z","message":"forwarder: daemon did not run"}
{"daemon":"d-1","request":"r1","held_ms":1000,"endpoint":"i-1","time":"2026-12-04T12:40:00Z","message":"forwarder: generation placed"}
{"daemon":"d-1","request":"r1","held_ms":2000,"first_run":"reset","first_over_ms":0.4,"from":"i-1","endpoint":"i-2","time":"2026-12-04T12:40:01Z","message":"forwarder: another run requested"}
{"daemon":"d-1","request":"r1","held_ms":2900,"reason":"served","time":"2026-12-04T12:40:01.900Z","message":"forwarder: stream answered"}
{"daemon":"d-2","paused_ms":700,"since_ms":790,"pauses":1,"time":"2026-12-04T12:40:01.810Z","message":"forwarder: daemon did not run"}
{"daemon":"d-1","paused_ms":700,"since_ms":1290,"pauses":2,"time":"2026-12-04T12:40:02.310Z","message":"forwarder: daemon did not run"}
{"daemon":"d-1","paused_ms":700,"since_ms":790,"pauses":1,"time":"2026-12-04T12:40:09Z","message":"forwarder: daemon did not run"}
`), "r1")
	assert.NilError(t, err)
	var b bytes.Buffer
	assert.NilError(t, explainer.Explain(&b, "r1", lines))
	golden.Assert(t, b.String(), "second-run.golden")
}

func TestExplainUnknownRequest(t *testing.T) {
	lines, err := explainer.Read(strings.NewReader("no json\n{\"request\":\"other\"}\n{bad r1}\n"), "r1")
	assert.NilError(t, err)
	assert.ErrorIs(t, explainer.Explain(&bytes.Buffer{}, "r1", lines), explainer.ErrNoLines)
}
