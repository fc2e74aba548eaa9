package caller

import (
	"io"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonspar.example/standin/marker"
)

func tokens(id, generation string, indexes ...int) []marker.Token {
	var ts []marker.Token
	for _, i := range indexes {
		ts = append(ts, marker.Token{ID: id, Generation: generation, Index: i})
	}
	return ts
}

func TestCheckFindsViolations(t *testing.T) {
	complete := Result{Status: 200, Complete: true, FinishReason: "stop", CompletionTokens: 3}
	for _, c := range []struct {
		name   string
		tokens []marker.Token
		change func(*Result)
		broken bool
	}{
		{"complete", tokens("x", "g", 0, 1, 2), nil, false},
		{"a token is missing", tokens("x", "g", 0, 2), nil, true},
		{"a token is repeated", tokens("x", "g", 0, 1, 1), nil, true},
		{"tokens are out of order", tokens("x", "g", 0, 2, 1), nil, true},
		{"the last token is missing", tokens("x", "g", 0, 1), nil, true},
		{"a token of another request", append(tokens("x", "g", 0, 1), tokens("y", "g", 2)...), nil, true},
		{"a token of another generation", append(tokens("x", "g", 0, 1), tokens("x", "h", 2)...), nil, true},
		{"tokens of another request", tokens("y", "g", 0, 1, 2), nil, true},
		{"truncated", tokens("x", "g", 0, 1), func(r *Result) { r.Complete = false }, false},
		{"no finish reason", tokens("x", "g", 0, 1, 2), func(a *Result) { a.FinishReason = "" }, true},
		{"error event", tokens("x", "g", 0), func(a *Result) { *a = Result{Status: 200, ErrorEvent: true, Outcome: "unknown"} }, false},
		{"error event with not_run after tokens", tokens("x", "g", 0), func(a *Result) { *a = Result{Status: 200, ErrorEvent: true, Outcome: "not_run"} }, true},
		{"refusal", nil, func(a *Result) { *a = Result{Status: 429, Outcome: "not_run", RetryAfter: time.Second} }, false},
		{"refusal without a retry delay", nil, func(a *Result) { *a = Result{Status: 503, Outcome: "not_run"} }, true},
		{"refusal without an outcome", nil, func(a *Result) { *a = Result{Status: 400} }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := complete
			if c.change != nil {
				c.change(&a)
			}
			a.Tokens = c.tokens
			err := a.Check("x")
			if c.broken {
				assert.ErrorIs(t, err, ErrViolation)
				return
			}
			assert.NilError(t, err)
		})
	}
}

func streamChunk(index int, finish string) string {
	reason := "null"
	if finish != "" {
		reason = `"` + finish + `"`
	}
	text := marker.Token{ID: "x", Generation: "g", Index: index}.String()
	return "id: " + strconv.Itoa(index) + "\ndata: {\"choices\":[{\"text\":\"" + text + "\",\"finish_reason\":" + reason + "}]}\n\n"
}

func TestReadStream(t *testing.T) {
	var complete Result
	complete.readStream(strings.NewReader(streamChunk(0, "")+": keep-alive\n\n"+streamChunk(1, "stop")+"data: [DONE]\n\n"), time.Now())
	assert.NilError(t, complete.Err)
	assert.Assert(t, complete.Complete)
	assert.DeepEqual(t, complete.Tokens, tokens("x", "g", 0, 1))
	assert.Equal(t, complete.LastEventID, "1")

	var truncated Result
	truncated.readStream(strings.NewReader(streamChunk(0, "")), time.Now())
	assert.ErrorIs(t, truncated.Err, io.ErrUnexpectedEOF)
	assert.Assert(t, !truncated.Complete)

	var failed Result
	failed.readStream(strings.NewReader(streamChunk(0, "")+"event: error\ndata: {\"error\":{\"code\":\"lost\",\"outcome\":\"unknown\"}}\n\n"), time.Now())
	assert.Assert(t, failed.ErrorEvent)
	assert.Equal(t, failed.Code, "lost")
}

func TestAppendContinuesAStream(t *testing.T) {
	r := Result{Status: 200, Tokens: tokens("x", "g", 0), FirstToken: time.Second, LastEventID: "0", Err: io.ErrUnexpectedEOF}
	r.Append(Result{Status: 200, Tokens: tokens("x", "g", 1), Complete: true, FinishReason: "stop", CompletionTokens: 2})
	assert.NilError(t, r.Err)
	assert.NilError(t, r.Check("x"))
	assert.Equal(t, r.FirstToken, time.Second)
}

func FuzzReadStream(f *testing.F) {
	f.Add(streamChunk(0, "") + "data: [DONE]\n\n")
	f.Add("event: error\ndata: {}\n\n")
	f.Add("data: a\ndata: b\n\n:\n\nid\n\n")
	f.Fuzz(func(t *testing.T, text string) {
		var r Result
		r.readStream(strings.NewReader(text), time.Now())
		assert.Assert(t, r.Err != nil || r.Complete || r.ErrorEvent)
	})
}
