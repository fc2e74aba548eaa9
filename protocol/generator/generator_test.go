package generator

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"monsoonspar.example/coordination/attempter"
	"monsoonspar.example/protocol/requester"

	"gotest.tools/v3/assert"
)

// fakeDoer returns the same response or error for every request.
type fakeDoer struct {
	status int
	body   string
	err    error
	reused bool
}

func (d fakeDoer) Do(context.Context, requester.Request) (requester.Response, error) {
	if d.err != nil {
		return requester.Response{}, d.err
	}
	return requester.Response{Status: d.status, Body: io.NopCloser(strings.NewReader(d.body)), Reused: d.reused}, nil
}

var testConfig = Config{TokenTimeout: func() time.Duration { return time.Second }, CallTimeout: time.Second}

const completeStream = `id: 0
data: {"attempt_id":"a","index":0,"choices":[{"index":0,"text":"x","finish_reason":null}]}

: keep-alive

id: 1
data: {"attempt_id":"a","index":1,"choices":[{"index":0,"text":"y","finish_reason":"stop"}],"usage":{"prompt_tokens":3,"completion_tokens":2}}

data: [DONE]

`

func TestStartReadsCompleteStream(t *testing.T) {
	c := NewClient(fakeDoer{status: 200, body: completeStream}, testConfig)
	s, err := c.Start(t.Context(), "", Request{Attempt: "a"}, nil)
	assert.NilError(t, err)
	var text string
	for {
		ev, err := s.Next()
		if err != nil {
			assert.ErrorIs(t, err, io.EOF)
			break
		}
		text += ev.Token.Text
	}
	assert.Equal(t, text, "xy")
}

func TestFailures(t *testing.T) {
	tests := []struct {
		name string
		doer fakeDoer
		want attempter.Failure
	}{
		{"not sent", fakeDoer{err: requester.ErrNotSent}, attempter.NotSent},
		{"connection lost", fakeDoer{err: requester.ErrOutcomeUnknown}, attempter.ConnectionLost},
		{"shutting down", fakeDoer{status: 503, body: `{"error":{"code":"leaving"}}`}, attempter.Refused},
		{"refused on a shared connection", fakeDoer{status: 503, body: `{"error":{"code":"leaving"}}`, reused: true}, attempter.ConnectionLost},
		{"503 without a code", fakeDoer{status: 503}, attempter.ConnectionLost},
		{"unknown stream", fakeDoer{status: 404}, attempter.StreamNotFound},
		{"error after running", fakeDoer{status: 500}, attempter.ConnectionLost},
		{"truncated", fakeDoer{status: 200, body: completeStream[:90]}, attempter.StreamTruncated},
		{"done too early", fakeDoer{status: 200, body: "data: [DONE]\n\n"}, attempter.StreamTruncated},
		{"malformed JSON", fakeDoer{status: 200, body: "data: {\n\n"}, attempter.StreamTruncated},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s, err := NewClient(tt.doer, testConfig).Start(t.Context(), "", Request{Attempt: "a"}, nil)
			if err == nil {
				_, err = s.Next()
			}
			assert.Equal(t, FailureOf(err), tt.want)
		})
	}
}

// endlessReader repeats a text.
type endlessReader struct{ text string }

func (r endlessReader) Read(p []byte) (int, error) {
	n := 0
	for n < len(p) {
		n += copy(p[n:], r.text)
	}
	return n, nil
}

// Guards against a stream that is read without end although it brings no token.
func TestStreamWithoutTokensIsMalformed(t *testing.T) {
	for _, text := range []string{": keep-alive\n\n", "\n", "event: x\n", "x"} {
		s := newStream(io.NopCloser(endlessReader{text}), "a")
		var err error
		for err == nil {
			_, err = s.Next()
		}
		assert.ErrorIs(t, err, ErrMalformed)
	}
}

func TestLoadRejectsNegativeAge(t *testing.T) {
	c := NewClient(fakeDoer{status: 200, body: `{"age_ms":-5}`}, testConfig)
	_, err := c.Load(t.Context(), "", time.Unix(9, 0), false)
	assert.ErrorIs(t, err, ErrMalformed)
}

func FuzzStream(f *testing.F) {
	f.Add(completeStream)
	f.Add("data: {}\n\n")
	f.Add(": x\n\ndata: [DONE]\n")
	f.Fuzz(func(t *testing.T, body string) {
		s := newStream(io.NopCloser(strings.NewReader(body)), "a")
		for {
			ev, err := s.Next()
			if err != nil {
				return
			}
			if ev.Token.Index < 0 {
				t.Fatal("negative index")
			}
		}
	})
}

func BenchmarkStreamNext(b *testing.B) {
	event := "id: 0\n" + `data: {"attempt_id":"a","index":0,"choices":[{"index":0,"text":"token","finish_reason":null}]}` + "\n\n"
	s := newStream(io.NopCloser(strings.NewReader(strings.Repeat(event, b.N))), "a")
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		if _, err := s.Next(); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkLoad measures decoding a load report by the number of sequences it
// lists.
func BenchmarkLoad(b *testing.B) {
	for _, sequences := range []int{0, 40, 170} {
		b.Run(fmt.Sprintf("sequences=%d", sequences), func(b *testing.B) {
			var list []string
			for i := range sequences {
				list = append(list, fmt.Sprintf(`{"attempt_id":"%024x","produced":%d,"prompt_tokens":300}`, i, 10*i))
			}
			body := `{"age_ms":40,"running":170,"waiting":0,"memory_tokens":400000,"used_tokens":300000,"block_tokens":16,"step_ms":40.5,` +
				`"preemptions":12,"leaving":false,"role":"mixed","boot_id":"0123456789abcdef","models":[{"model":"redazione","version":"2026-11"}],` +
				`"sequences":[` + strings.Join(list, ",") + `]}`
			c := NewClient(fakeDoer{status: 200, body: body}, testConfig)
			b.ReportAllocs()
			for b.Loop() {
				_, err := c.Load(b.Context(), "", time.Unix(1, 0), true)
				assert.NilError(b, err)
			}
			b.ReportMetric(float64(len(body)), "report-B")
		})
	}
}
