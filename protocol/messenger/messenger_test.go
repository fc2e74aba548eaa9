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

// loopback hands each call to a dispatcher and notes its size.
type loopback struct {
	to   *Dispatcher
	size int
}

func (l *loopback) Call(_ context.Context, _, method string, body []byte) ([]byte, error) {
	l.size = len(body)
	return l.to.HandleCall(context.Background(), "entry-1", method, body) // As on the other side of a connection.
}

func (l *loopback) Send(ctx context.Context, addr, method string, body []byte) error {
	_, err := l.Call(ctx, addr, method, body)
	return err
}

// fakeOwners grants everything and keeps what it was asked.
type fakeOwners struct {
	trace            trace.SpanContext
	endpoint, daemon string
	request          admitter.Request
	held             []admitter.HeldPermit
	result           admitter.Result
	answer           Answer
}

func (o *fakeOwners) Permit(ctx context.Context, endpoint string, r admitter.Request, _ time.Duration) (Answer, error) {
	o.endpoint, o.request = endpoint, r
	o.trace = trace.SpanContextFromContext(ctx)
	return o.answer, nil
}

func (o *fakeOwners) Release(_, daemon string, _ admitter.PermitID, res admitter.Result) (bool, error) {
	o.daemon, o.result = daemon, res
	return true, nil
}

func (o *fakeOwners) Hold(_, daemon string, held []admitter.HeldPermit) error {
	o.daemon, o.held = daemon, held
	return nil
}

// knownNames knows some names by their hashes.
type knownNames []string

func (k knownNames) Name(hash uint32) (string, bool) {
	for _, n := range k {
		if Hash(n) == hash {
			return n, true
		}
	}
	return "", false
}

// newPair returns a messenger whose calls arrive at owners.
func newPair(owners *fakeOwners, names knownNames) (*Messenger, *loopback, *timekeeper.Manual) {
	clock := timekeeper.NewManual(time.Unix(100, 0))
	l := &loopback{to: NewDispatcher(owners, nil, names, clock)}
	return New(l, clock), l, clock
}

func request(now time.Time) admitter.Request {
	return admitter.Request{
		ID: "0123456789abcdef01234567", Daemon: "entry-1", Customer: "agenzia-pianura",
		Model: "redazione", Version: "2026-11", Adapter: "rettifica", Kind: "draft",
		PromptTokens: 1200, CachedTokens: 400, Prefix: 1 << 31, MaxTokens: 2048,
		Arrived: now.Add(-1500 * time.Millisecond), Deadline: now.Add(time.Minute),
	}
}

func TestPermitKeepsTheRequest(t *testing.T) {
	for _, names := range []knownNames{{"engine-1", "agenzia-pianura", "redazione@2026-11:rettifica"}, nil} {
		owners := &fakeOwners{answer: Answer{Action: admitter.Action{EnginePriority: 7}}}
		m, _, clock := newPair(owners, names)
		r := request(clock.Now())
		a, err := m.Permit(t.Context(), "", "engine-1", r, NoBound)
		assert.NilError(t, err)
		assert.Equal(t, a.Action.EnginePriority, 7)
		assert.Equal(t, owners.endpoint, "engine-1")
		assert.DeepEqual(t, owners.request, r)
	}
}

func TestPermitCarriesASampledTrace(t *testing.T) {
	for _, flags := range []trace.TraceFlags{0, trace.FlagsSampled} {
		owners := &fakeOwners{}
		m, _, clock := newPair(owners, nil)
		span := trace.NewSpanContext(trace.SpanContextConfig{TraceID: trace.TraceID{1}, SpanID: trace.SpanID{2}, TraceFlags: flags})
		ctx := trace.ContextWithSpanContext(context.Background(), span)
		_, err := m.Permit(ctx, "", "engine-1", request(clock.Now()), NoBound)
		assert.NilError(t, err)
		assert.Equal(t, owners.trace.IsValid(), flags == trace.FlagsSampled)
	}
}

func TestAnswersKeepTheirMeaning(t *testing.T) {
	answers := []Answer{
		{Busy: true, Quote: admitter.Estimate{QueueWait: time.Second, RunTime: 2 * time.Second, Feasible: true, Available: true}},
		{Busy: true, Quote: admitter.Estimate{}},
		{Action: admitter.Action{Kind: admitter.Refuse, ID: "x", Reason: admitter.ReasonDeadline, RetryAfter: time.Second}},
		{Action: admitter.Action{Kind: admitter.Grant, ID: "x", EnginePriority: 3}},
	}
	for _, want := range answers {
		assert.DeepEqual(t, newAnswerMessage(want).answer("x"), want)
	}
}

func TestHoldAndRelease(t *testing.T) {
	owners := &fakeOwners{}
	m, _, clock := newPair(owners, knownNames{"engine-1"})
	held := []admitter.HeldPermit{{Request: request(clock.Now()), Produced: 40}}
	assert.NilError(t, m.Hold(t.Context(), "", "engine-1", held))
	assert.DeepEqual(t, owners.held, held)
	holder, err := m.Release(t.Context(), "", "engine-1", held[0].Request.ID, admitter.Result{Produced: 50})
	assert.NilError(t, err)
	assert.Assert(t, holder)
	assert.Equal(t, owners.daemon, "entry-1")
	assert.Equal(t, owners.result, admitter.Result{Produced: 50})
}

// TestSizes keeps the messages of a request within the control budget of
// docs/CAPACITY.md.
func TestSizes(t *testing.T) {
	owners := &fakeOwners{}
	m, l, clock := newPair(owners, knownNames{"engine-1", "agenzia-pianura", "redazione@2026-11:rettifica"})
	_, err := m.Permit(t.Context(), "", "engine-1", request(clock.Now()), 0)
	assert.NilError(t, err)
	t.Logf("permit: %d bytes", l.size)
	assert.Assert(t, l.size <= 70, "a request for a permit has %d bytes", l.size)
	assert.NilError(t, m.Finish(t.Context(), "", "engine-1", "0123456789abcdef01234567", admitter.Result{Produced: 900, Finished: true}))
	t.Logf("finish: %d bytes", l.size)
	assert.Assert(t, l.size <= 30, "the end of a permit has %d bytes", l.size)
}

func FuzzHandleCall(f *testing.F) {
	m, l, clock := newPair(&fakeOwners{}, nil)
	_, err := m.Permit(f.Context(), "", "engine-1", request(clock.Now()), 0)
	assert.NilError(f, err)
	f.Add(methodPermit, []byte{0x90})
	f.Add(methodRelease, []byte{0x94, 1, 0xc4, 1, 1, 1, 0xc3})
	f.Add(methodNews, []byte{0x80})
	f.Add("x", []byte{})
	f.Fuzz(func(_ *testing.T, method string, body []byte) {
		if method == methodGossip || method == methodConfig || method == methodStatus || method == methodNews {
			return // These need the daemon's handlers.
		}
		_, _ = l.to.HandleCall(context.Background(), "a", method, body)
	})
}
