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

func TestCheckFindsBrokenPromises(t *testing.T) {
	whole := Answer{Status: 200, Whole: true, Finish: "stop", Completion: 3}
	for _, c := range []struct {
		name   string
		tokens []marker.Token
		change func(*Answer)
		broken bool
	}{
		{"whole", tokens("x", "g", 0, 1, 2), nil, false},
		{"a token is missing", tokens("x", "g", 0, 2), nil, true},
		{"a token is repeated", tokens("x", "g", 0, 1, 1), nil, true},
		{"tokens are out of order", tokens("x", "g", 0, 2, 1), nil, true},
		{"the last token is missing", tokens("x", "g", 0, 1), nil, true},
		{"a token of another request", append(tokens("x", "g", 0, 1), tokens("y", "g", 2)...), nil, true},
		{"a token of another generation", append(tokens("x", "g", 0, 1), tokens("x", "h", 2)...), nil, true},
		{"another's answer", tokens("y", "g", 0, 1, 2), nil, true},
		{"cut", tokens("x", "g", 0, 1), func(a *Answer) { a.Whole = false }, false},
		{"no finish reason", tokens("x", "g", 0, 1, 2), func(a *Answer) { a.Finish = "" }, true},
		{"error event", tokens("x", "g", 0), func(a *Answer) { *a = Answer{Status: 200, ErrorEvent: true, Outcome: "unknown"} }, false},
		{"error event after tokens says not run", tokens("x", "g", 0), func(a *Answer) { *a = Answer{Status: 200, ErrorEvent: true, Outcome: "not_run"} }, true},
		{"refusal", nil, func(a *Answer) { *a = Answer{Status: 429, Outcome: "not_run", RetryAfter: time.Second} }, false},
		{"refusal without a time", nil, func(a *Answer) { *a = Answer{Status: 503, Outcome: "not_run"} }, true},
		{"refusal without an outcome", nil, func(a *Answer) { *a = Answer{Status: 400} }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := whole
			if c.change != nil {
				c.change(&a)
			}
			a.Tokens = c.tokens
			err := a.Check("x")
			if c.broken {
				assert.ErrorIs(t, err, ErrBroken)
				return
			}
			assert.NilError(t, err)
		})
	}
}

func chunkOf(index int, finish string) string {
	reason := "null"
	if finish != "" {
		reason = `"` + finish + `"`
	}
	text := marker.Token{ID: "x", Generation: "g", Index: index}.String()
	return "id: " + strconv.Itoa(index) + "\ndata: {\"choices\":[{\"text\":\"" + text + "\",\"finish_reason\":" + reason + "}]}\n\n"
}

func TestStreamIsReadToItsEnd(t *testing.T) {
	var a Answer
	a.readStream(strings.NewReader(chunkOf(0, "")+": keep-alive\n\n"+chunkOf(1, "stop")+"data: [DONE]\n\n"), time.Now())
	assert.NilError(t, a.Err)
	assert.Assert(t, a.Whole)
	assert.DeepEqual(t, a.Tokens, tokens("x", "g", 0, 1))
	assert.Equal(t, a.LastEventID, "1")

	var cut Answer
	cut.readStream(strings.NewReader(chunkOf(0, "")), time.Now())
	assert.ErrorIs(t, cut.Err, io.ErrUnexpectedEOF)
	assert.Assert(t, !cut.Whole)

	var failed Answer
	failed.readStream(strings.NewReader(chunkOf(0, "")+"event: error\ndata: {\"error\":{\"code\":\"lost\",\"outcome\":\"unknown\"}}\n\n"), time.Now())
	assert.Assert(t, failed.ErrorEvent)
	assert.Equal(t, failed.Code, "lost")
}

func TestAppendContinuesAnAnswer(t *testing.T) {
	a := Answer{Status: 200, Tokens: tokens("x", "g", 0), FirstToken: time.Second, LastEventID: "0", Err: io.ErrUnexpectedEOF}
	a.Append(Answer{Status: 200, Tokens: tokens("x", "g", 1), Whole: true, Finish: "stop", Completion: 2})
	assert.NilError(t, a.Err)
	assert.NilError(t, a.Check("x"))
	assert.Equal(t, a.FirstToken, time.Second)
}

func FuzzReadStream(f *testing.F) {
	f.Add(chunkOf(0, "") + "data: [DONE]\n\n")
	f.Add("event: error\ndata: {}\n\n")
	f.Add("data: a\ndata: b\n\n:\n\nid\n\n")
	f.Fuzz(func(t *testing.T, text string) {
		var a Answer
		a.readStream(strings.NewReader(text), time.Now())
		assert.Assert(t, a.Err != nil || a.Whole || a.ErrorEvent)
	})
}
