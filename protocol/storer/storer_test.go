package storer_test

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"monsoonspar.example/protocol/decoder"
	"monsoonspar.example/protocol/requester"
	"monsoonspar.example/protocol/storer"
	"monsoonspar.example/state/timekeeper"
)

// sleeper is a clock whose Sleep advances it and returns at once.
type sleeper struct{ timekeeper.Manual }

func (s *sleeper) Sleep(_ context.Context, d time.Duration) error {
	s.Advance(d)
	return nil
}

// reply is the scripted result of one call: a response or an error.
type reply struct {
	status int
	body   string
	header []requester.Header
	err    error
	cut    error // Of a read of the body, in place of its end.
}

// script is a Doer that returns its replies in order.
type script struct {
	replies []reply
	calls   []requester.Request
}

func (s *script) Do(_ context.Context, req requester.Request) (requester.Response, error) {
	s.calls = append(s.calls, req)
	if len(s.replies) == 0 {
		return requester.Response{}, errors.New("call without a scripted reply")
	}
	r := s.replies[0]
	s.replies = s.replies[1:]
	if r.err != nil {
		return requester.Response{}, r.err
	}
	var body io.Reader = strings.NewReader(r.body)
	if r.cut != nil {
		body = io.MultiReader(body, iotest.ErrReader(r.cut))
	}
	return requester.Response{Status: r.status, Header: r.header, Body: io.NopCloser(body)}, nil
}

func newClient(replies ...reply) (*storer.Client, *script) {
	doer := &script{replies: replies}
	cfg := storer.Config{Addr: "127.0.0.1:1", Deployment: "d"}
	return storer.New(cfg, doer, &sleeper{}, rand.New(rand.NewPCG(1, 2))), doer
}

const (
	ours   = `{"metadata":{"name":"a","resourceVersion":"7"},"spec":{"writer":"w1"}}`
	theirs = `{"metadata":{"name":"a","resourceVersion":"8"},"spec":{"writer":"w2"}}`
	other  = `{"metadata":{"name":"b","resourceVersion":"9"},"spec":{"writer":"w3"}}`
)

var (
	lostResponse = reply{err: requester.FailureError{Kind: requester.ErrOutcomeUnknown, Cause: io.EOF}}
	notSent      = reply{err: requester.FailureError{Kind: requester.ErrNotSent, Cause: io.EOF}}
	outage       = reply{status: 503, header: []requester.Header{{Name: "Retry-After", Value: "30"}}}
	exists       = reply{status: 409, body: `{"reason":"AlreadyExists"}`}
	conflict     = reply{status: 409, body: `{"reason":"Conflict"}`}
	notFound     = reply{status: 404}
	foundOurs    = reply{status: 200, body: ours}
	foundTheirs  = reply{status: 200, body: theirs}
)

func TestCreateOutcomes(t *testing.T) {
	withWriter := storer.Object{Resource: "claims", Name: "a", Spec: json.RawMessage(`{"writer":"w1"}`)}
	withoutWriter := storer.Object{Resource: "claims", Name: "a", Spec: json.RawMessage(`{}`)}
	for _, c := range []struct {
		name    string
		object  storer.Object
		replies []reply
		want    error
	}{
		{"created", withWriter, []reply{{status: 201, body: ours}}, nil},
		{"already exists", withWriter, []reply{exists}, storer.ErrExists},
		{"outage is not retried if Retry-After is too long", withWriter, []reply{outage}, storer.ErrUnavailable},
		{"not sent, then created", withoutWriter, []reply{notSent, foundOurs}, nil},
		{"response lost, no writer", withoutWriter, []reply{lostResponse}, storer.ErrOutcomeUnknown},
		{"response lost after the write took effect", withWriter, []reply{lostResponse, exists, foundOurs}, nil},
		{"request lost, another writer's object exists", withWriter, []reply{lostResponse, exists, foundTheirs}, storer.ErrExists},
		{"lost, then an outage", withWriter, []reply{lostResponse, outage, outage}, storer.ErrOutcomeUnknown},
		{"lost, read back missing", withWriter, []reply{lostResponse, lostResponse, lostResponse, notFound}, storer.ErrOutcomeUnknown},
		{"lost, read back ours", withWriter, []reply{lostResponse, lostResponse, lostResponse, foundOurs}, nil},
		{"malformed response, read back ours", withWriter, []reply{{status: 201, body: "{"}, foundOurs}, nil},
		{"response to an earlier write, read back missing", withWriter, []reply{{status: 201, body: other}, notFound}, storer.ErrOutcomeUnknown},
		{"response to an earlier write, read back ours", withWriter, []reply{{status: 201, body: other}, foundOurs}, nil},
		{"response to an earlier write of the object, read back ours", withWriter, []reply{foundTheirs, foundOurs}, nil},
		{"response to an earlier write, no writer", withoutWriter, []reply{{status: 201, body: other}}, storer.ErrOutcomeUnknown},
		{"malformed response, no writer", withoutWriter, []reply{{status: 201, body: "{"}}, storer.ErrOutcomeUnknown},
		{"server error", withoutWriter, []reply{{status: 500}}, storer.ErrOutcomeUnknown},
		{"refused", withoutWriter, []reply{{status: 403}}, storer.ErrRejected},
		{"refused in a malformed response", withoutWriter, []reply{{status: 409, body: exists.body, cut: decoder.MalformedError{Form: decoder.FormChunkSize}}}, storer.ErrOutcomeUnknown},
		{"rate limited", withoutWriter, []reply{{status: 429, header: outage.header}}, storer.ErrRateLimited},
	} {
		t.Run(c.name, func(t *testing.T) {
			client, doer := newClient(c.replies...)
			_, err := client.Create(t.Context(), c.object)
			if c.want == nil {
				assert.NilError(t, err)
			} else {
				assert.ErrorIs(t, err, c.want)
			}
			assert.Equal(t, len(doer.replies), 0)
			for _, call := range doer.calls {
				assert.Equal(t, call.NonIdempotent, call.Method != "GET")
			}
		})
	}
}

func TestUpdateResolvesLostResponses(t *testing.T) {
	object := storer.Object{Resource: "leases", Name: "a", Version: 3, Spec: json.RawMessage(`{"writer":"w1"}`)}
	for _, c := range []struct {
		name    string
		replies []reply
		want    error
	}{
		{"conflict", []reply{conflict}, storer.ErrConflict},
		{"took effect", []reply{lostResponse, conflict, foundOurs}, nil},
		{"another writer's write is stored now", []reply{lostResponse, conflict, foundTheirs}, storer.ErrOutcomeUnknown},
		{"an earlier write of the same writer is stored", []reply{lostResponse, lostResponse, lostResponse, {status: 200, body: `{"metadata":{"resourceVersion":"3"},"spec":{"writer":"w1"}}`}}, storer.ErrOutcomeUnknown},
		{"stale read-back", []reply{lostResponse, conflict, {status: 200, body: `{"metadata":{"resourceVersion":"3"},"spec":{}}`}}, storer.ErrOutcomeUnknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			client, doer := newClient(c.replies...)
			o, err := client.Update(t.Context(), object)
			if c.want == nil {
				assert.NilError(t, err)
				assert.Equal(t, o.Version, uint64(7))
			} else {
				assert.ErrorIs(t, err, c.want)
			}
			assert.Equal(t, len(doer.replies), 0)
		})
	}
}

func TestDeleteAfterLostResponse(t *testing.T) {
	client, _ := newClient(lostResponse, notFound)
	assert.NilError(t, client.Delete(t.Context(), "claims", "a", 7))
	client, _ = newClient(notFound)
	assert.ErrorIs(t, client.Delete(t.Context(), "claims", "a", 7), storer.ErrNotFound)
	client, _ = newClient(lostResponse, outage)
	assert.ErrorIs(t, client.Delete(t.Context(), "claims", "a", 7), storer.ErrOutcomeUnknown)
}

func TestRetryAfterIsReturned(t *testing.T) {
	client, _ := newClient(outage)
	_, err := client.Get(t.Context(), "claims", "a")
	assert.ErrorIs(t, err, storer.ErrUnavailable)
	assert.Equal(t, storer.RetryAfter(err), 30*time.Second)
}

func TestListFollowsPages(t *testing.T) {
	client, doer := newClient(
		reply{status: 200, body: `{"metadata":{"resourceVersion":"9","continue":"a"},"items":[` + ours + `]}`},
		reply{status: 200, body: `{"metadata":{"resourceVersion":"12"},"items":[` + theirs + `]}`},
	)
	list, err := client.List(t.Context(), "claims", map[string]string{"k": "v"})
	assert.NilError(t, err)
	assert.Equal(t, len(list.Items), 2)
	assert.Equal(t, list.Version, uint64(9))
	assert.Assert(t, strings.Contains(doer.calls[1].Path, "continue=a"))
	assert.Assert(t, strings.Contains(doer.calls[1].Path, "labelSelector=k%3Dv"))
}

func TestWatch(t *testing.T) {
	lines := `{"type":"ADDED","object":` + ours + "}\n" +
		`{"type":"BOOKMARK","object":{"metadata":{"resourceVersion":"9"}}}` + "\n"
	for _, c := range []struct {
		name  string
		reply reply
		seen  int
		want  error
	}{
		{"ends", reply{status: 200, body: lines}, 2, storer.ErrUnavailable},
		{"too old", reply{status: 410}, 0, storer.ErrGone},
		{"too old later", reply{status: 200, body: lines + `{"type":"ERROR","object":{"code":410}}`}, 2, storer.ErrGone},
		{"truncated line", reply{status: 200, body: lines + `{"type":"ADDED","obj`}, 2, storer.ErrUnavailable},
		{"blank lines", reply{status: 200, body: lines + strings.Repeat("\n", 3<<20) + lines}, 2, storer.ErrUnavailable},
		{"unknown type", reply{status: 200, body: `{"type":"MOVED","object":{}}`}, 0, storer.ErrUnavailable},
		{"read timeout", reply{err: requester.FailureError{Kind: requester.ErrOutcomeUnknown, Cause: requester.ErrReadTimeout}}, 0, storer.ErrUnavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			client, doer := newClient(c.reply)
			seen := 0
			err := client.Watch(t.Context(), "manifests", 3, func(storer.Event) error {
				seen++
				return nil
			})
			assert.ErrorIs(t, err, c.want)
			assert.Equal(t, seen, c.seen)
			assert.Equal(t, doer.calls[0].ReadTimeout, 4*time.Second)
		})
	}
}

// Guards against one deeply nested object that fails the list or the watch of all others.
func TestNestedObjectCostsOnlyItself(t *testing.T) {
	nested := `{"metadata":{"name":"n","resourceVersion":"8"},"spec":` + strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000) + "}"
	c, _ := newClient(reply{status: 200, body: `{"metadata":{"resourceVersion":"9"},"items":[` + ours + "," + nested + "," + other + `]}`})
	list, err := c.List(t.Context(), "things", nil)
	assert.NilError(t, err)
	assert.Equal(t, len(list.Items), 3)
	assert.Equal(t, list.Items[2].Name, "b")
	assert.Assert(t, !json.Valid(list.Items[1].Spec))

	lines := `{"type":"ADDED","object":` + nested + "}\n" + `{"type":"MODIFIED","object":` + other + "}\n"
	c, _ = newClient(reply{status: 200, body: lines})
	var names []string
	err = c.Watch(t.Context(), "things", 1, func(e storer.Event) error {
		names = append(names, e.Object.Name)
		return nil
	})
	assert.ErrorIs(t, err, storer.ErrUnavailable) // The end of the script.
	assert.DeepEqual(t, names, []string{"n", "b"})
}

func TestRateLimitDelaysOrRefusesCalls(t *testing.T) {
	replies := make([]reply, 10)
	for i := range replies {
		replies[i] = foundOurs
	}
	doer := &script{replies: replies}
	clock := &sleeper{}
	cfg := storer.Config{Deployment: "d", CallsPerSecond: 1}
	client := storer.New(cfg, doer, clock, rand.New(rand.NewPCG(1, 2)))
	_, err := client.Get(t.Context(), "claims", "a")
	assert.NilError(t, err)
	_, err = client.Get(t.Context(), "claims", "a")
	assert.ErrorIs(t, err, storer.ErrRateLimited)
	assert.Assert(t, storer.RetryAfter(err) > 0)
	clock.Advance(900 * time.Millisecond)
	_, err = client.Get(t.Context(), "claims", "a")
	assert.NilError(t, err)
	assert.Equal(t, len(doer.calls), 2)
}

func FuzzWatch(f *testing.F) {
	f.Add(`{"type":"ADDED","object":` + ours + `}`)
	f.Add(`{"type":"ERROR","object":{"code":410}}`)
	f.Add("\n\n[]\n")
	f.Fuzz(func(t *testing.T, text string) {
		client, _ := newClient(reply{status: 200, body: text})
		err := client.Watch(t.Context(), "manifests", 3, func(e storer.Event) error {
			switch e.Type {
			case storer.Added, storer.Modified, storer.Deleted, storer.Bookmark:
				return nil
			}
			return errors.New("event of unknown type")
		})
		assert.Assert(t, errors.Is(err, storer.ErrUnavailable) || errors.Is(err, storer.ErrGone), "%v", err)
	})
}

func FuzzGet(f *testing.F) {
	f.Add(200, ours)
	f.Add(409, `{"reason":"Conflict"}`)
	f.Add(200, `{"metadata":{"resourceVersion":"-1"}}`)
	f.Fuzz(func(t *testing.T, status int, text string) {
		client, _ := newClient(reply{status: status, body: text}, reply{status: status, body: text}, reply{status: status, body: text})
		o, err := client.Get(t.Context(), "manifests", "current")
		assert.Assert(t, err != nil || o.Resource == "manifests")
		assert.Assert(t, !errors.Is(err, storer.ErrOutcomeUnknown))
	})
}

// hangingDoer is a Doer that never responds. It records the deadlines of the POST
// requests.
type hangingDoer struct{ deadlines []time.Time }

func (h *hangingDoer) Do(ctx context.Context, req requester.Request) (requester.Response, error) {
	if deadline, ok := ctx.Deadline(); ok && req.Method == "POST" {
		h.deadlines = append(h.deadlines, deadline)
	}
	<-ctx.Done()
	return requester.Response{}, requester.FailureError{Kind: requester.ErrOutcomeUnknown, Cause: ctx.Err()}
}

func TestAttemptsShareOneTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		doer := &hangingDoer{}
		cfg := storer.Config{Deployment: "d", AttemptTimeout: 20 * time.Millisecond, CallTimeout: 30 * time.Millisecond}
		client := storer.New(cfg, doer, &sleeper{}, rand.New(rand.NewPCG(1, 2)))
		_, err := client.Create(t.Context(), storer.Object{Resource: "claims", Name: "a", Spec: json.RawMessage(`{"writer":"w"}`)})
		assert.ErrorIs(t, err, storer.ErrOutcomeUnknown)
		assert.Equal(t, len(doer.deadlines), 2)
		// The second attempt ends with the call, not by its own timeout.
		assert.Assert(t, doer.deadlines[1].Sub(doer.deadlines[0]) < cfg.AttemptTimeout)
	})
}
