package messenger

import (
	"context"
	"testing"
	"time"

	"monsoonspar.example/coordination/admitter"
	"monsoonspar.example/state/timekeeper"

	"go.opentelemetry.io/otel/trace"
	"gotest.tools/v3/assert"
)

// loopback is a Transport that passes each call to a Dispatcher and records the
// size of its body.
type loopback struct {
	dispatcher *Dispatcher
	lastSize   int
}

func (l *loopback) Call(_ context.Context, _, method string, body []byte) ([]byte, error) {
	l.lastSize = len(body)
	return l.dispatcher.HandleCall(context.Background(), "entry-1", method, body) // A context does not cross a connection.
}

func (l *loopback) Send(ctx context.Context, addr, method string, body []byte) error {
	_, err := l.Call(ctx, addr, method, body)
	return err
}

// fakePermitHandler returns a fixed result and records its arguments.
type fakePermitHandler struct {
	trace            trace.SpanContext
	endpoint, daemon string
	request          admitter.Request
	held             []admitter.HeldPermit
	result           admitter.Result
	permitResult     PermitResult
}

func (h *fakePermitHandler) Permit(ctx context.Context, endpoint string, r admitter.Request, _ time.Duration) (PermitResult, error) {
	h.endpoint, h.request = endpoint, r
	h.trace = trace.SpanContextFromContext(ctx)
	return h.permitResult, nil
}

func (h *fakePermitHandler) Release(_, daemon string, _ admitter.PermitID, res admitter.Result) (bool, error) {
	h.daemon, h.result = daemon, res
	return true, nil
}

func (h *fakePermitHandler) Restore(_, daemon string, held []admitter.HeldPermit) error {
	h.daemon, h.held = daemon, held
	return nil
}

// knownNames resolves the hashes of its names.
type knownNames []string

func (k knownNames) Name(hash uint32) (string, bool) {
	for _, n := range k {
		if Hash(n) == hash {
			return n, true
		}
	}
	return "", false
}

// newPair returns a Messenger whose calls are handled by handler.
func newPair(handler *fakePermitHandler, names knownNames) (*Messenger, *loopback, *timekeeper.Manual) {
	clock := timekeeper.NewManual(time.Unix(100, 0))
	l := &loopback{dispatcher: NewDispatcher(handler, nil, names, clock)}
	return New(l, clock), l, clock
}

func newRequest(now time.Time) admitter.Request {
	return admitter.Request{
		ID: "0123456789abcdef01234567", Daemon: "entry-1", Customer: "agenzia-pianura",
		Model: "redazione", Version: "2026-11", Adapter: "rettifica", Kind: "draft",
		PromptTokens: 1200, CachedTokens: 400, Prefix: 1 << 31, MaxTokens: 2048,
		Arrived: now.Add(-1500 * time.Millisecond), Deadline: now.Add(time.Minute),
	}
}

func TestPermitRequestRoundTrip(t *testing.T) {
	for _, names := range []knownNames{{"engine-1", "agenzia-pianura", "redazione@2026-11:rettifica"}, nil} {
		handler := &fakePermitHandler{permitResult: PermitResult{Action: admitter.Action{EnginePriority: 7}}}
		m, _, clock := newPair(handler, names)
		r := newRequest(clock.Now())
		result, err := m.Permit(t.Context(), "", "engine-1", r, UnlimitedWait)
		assert.NilError(t, err)
		assert.Equal(t, result.Action.EnginePriority, 7)
		assert.Equal(t, handler.endpoint, "engine-1")
		assert.DeepEqual(t, handler.request, r)
	}
}

func TestPermitPropagatesSampledTrace(t *testing.T) {
	for _, flags := range []trace.TraceFlags{0, trace.FlagsSampled} {
		handler := &fakePermitHandler{}
		m, _, clock := newPair(handler, nil)
		span := trace.NewSpanContext(trace.SpanContextConfig{TraceID: trace.TraceID{1}, SpanID: trace.SpanID{2}, TraceFlags: flags})
		ctx := trace.ContextWithSpanContext(context.Background(), span)
		_, err := m.Permit(ctx, "", "engine-1", newRequest(clock.Now()), UnlimitedWait)
		assert.NilError(t, err)
		assert.Equal(t, handler.trace.IsValid(), flags == trace.FlagsSampled)
	}
}

func TestPermitReplyRoundTrip(t *testing.T) {
	results := []PermitResult{
		{Busy: true, Estimate: admitter.Estimate{QueueWait: time.Second, RunTime: 2 * time.Second, Feasible: true, Available: true}},
		{Busy: true, Estimate: admitter.Estimate{}},
		{Action: admitter.Action{Kind: admitter.Refuse, ID: "x", Reason: admitter.ReasonDeadline, RetryAfter: time.Second}},
		{Action: admitter.Action{Kind: admitter.Grant, ID: "x", EnginePriority: 3}},
	}
	for _, want := range results {
		assert.DeepEqual(t, newPermitReply(want).result("x"), want)
	}
}

func TestReportHeldAndRelease(t *testing.T) {
	handler := &fakePermitHandler{}
	m, _, clock := newPair(handler, knownNames{"engine-1"})
	held := []admitter.HeldPermit{{Request: newRequest(clock.Now()), Produced: 40}}
	assert.NilError(t, m.ReportHeld(t.Context(), "", "engine-1", held))
	assert.DeepEqual(t, handler.held, held)
	holder, err := m.Release(t.Context(), "", "engine-1", held[0].Request.ID, admitter.Result{Produced: 50})
	assert.NilError(t, err)
	assert.Assert(t, holder)
	assert.Equal(t, handler.daemon, "entry-1")
	assert.Equal(t, handler.result, admitter.Result{Produced: 50})
}

// TestMessageSizes checks that the messages of a request stay within the budget
// for control traffic in docs/CAPACITY.md.
func TestMessageSizes(t *testing.T) {
	handler := &fakePermitHandler{}
	m, l, clock := newPair(handler, knownNames{"engine-1", "agenzia-pianura", "redazione@2026-11:rettifica"})
	_, err := m.Permit(t.Context(), "", "engine-1", newRequest(clock.Now()), 0)
	assert.NilError(t, err)
	t.Logf("permit: %d bytes", l.lastSize)
	assert.Assert(t, l.lastSize <= 70, "a request for a permit has %d bytes", l.lastSize)
	assert.NilError(t, m.Finish(t.Context(), "", "engine-1", "0123456789abcdef01234567", admitter.Result{Produced: 900, Finished: true}))
	t.Logf("finish: %d bytes", l.lastSize)
	assert.Assert(t, l.lastSize <= 30, "the end of a permit has %d bytes", l.lastSize)
}

func FuzzHandleCall(f *testing.F) {
	m, l, clock := newPair(&fakePermitHandler{}, nil)
	_, err := m.Permit(f.Context(), "", "engine-1", newRequest(clock.Now()), 0)
	assert.NilError(f, err)
	f.Add(methodPermit, []byte{0x90})
	f.Add(methodRelease, []byte{0x94, 1, 0xc4, 1, 1, 1, 0xc3})
	f.Add(methodEndpointStatus, []byte{0x80})
	f.Add("x", []byte{})
	f.Fuzz(func(_ *testing.T, method string, body []byte) {
		if method == methodGossip || method == methodConfig || method == methodDaemonStatus || method == methodEndpointStatus {
			return // These need a ClusterHandler.
		}
		_, _ = l.dispatcher.HandleCall(context.Background(), "a", method, body)
	})
}
