// Package caller is a test double of a caller. It sends one request to a
// daemon, records what comes back and when, and checks what must always hold
// of an answer.
package caller

import (
	"context"
	"encoding/json"
	"io"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"monsoonspar.example/protocol/requester"
	"monsoonspar.example/standin/marker"
)

const maxAnswerBytes = 64 << 20

// Call is one request to a daemon.
type Call struct {
	Addr           string
	Key            string // API key.
	Model          string // Of a generation; empty for a call to a service.
	Prompt         string
	MaxTokens      int
	Chat           bool
	Stream         bool
	Method         string // Of a call to a service.
	Path           string // Of a call to a service, from /services on.
	Body           string // Of a call to a service.
	Timeout        time.Duration
	NonIdempotent  bool
	IdempotencyKey string
	LastEventID    string // Resumes a stream.
}

// Answer is what came back.
type Answer struct {
	Status     int
	Outcome    string
	Code       string // Of an error.
	RetryAfter time.Duration
	Text       string // Of a service.
	Tokens     []marker.Token
	Whole      bool // The answer says that it is complete.
	Finish     string
	Completion int  // Tokens of the whole answer, as its usage says.
	ErrorEvent bool // The stream ended by an error event.

	LastEventID string
	FirstToken  time.Duration // From the start of the request.
	Gaps        []time.Duration
	Total       time.Duration
	Err         error // Of the connection.
}

// Caller sends calls. It is safe for concurrent use.
type Caller struct {
	doer    requester.Doer
	silence time.Duration
}

// New returns a Caller that gives a connection up after a silence.
func New(doer requester.Doer, silence time.Duration) *Caller {
	return &Caller{doer: doer, silence: silence}
}

type completionRequest struct {
	Model     string    `json:"model"`
	Prompt    string    `json:"prompt,omitempty"`
	Messages  []message `json:"messages,omitempty"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	Stream    bool      `json:"stream"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Do sends call and reads its whole answer. What went wrong stands in the
// answer.
func (c *Caller) Do(ctx context.Context, call Call) Answer {
	start := time.Now()
	a := c.exchange(ctx, call, start)
	a.Total = time.Since(start)
	return a
}

func (c *Caller) exchange(ctx context.Context, call Call, start time.Time) Answer {
	req, err := c.request(call)
	if err != nil {
		return Answer{Err: err}
	}
	res, err := c.doer.Do(ctx, req)
	if err != nil {
		return Answer{Err: err}
	}
	defer func() { _ = res.Body.Close() }()
	a := Answer{Status: res.Status, Outcome: res.Get("Outcome")}
	if seconds, err := strconv.Atoi(res.Get("Retry-After")); err == nil {
		a.RetryAfter = time.Duration(seconds) * time.Second
	}
	if res.Status == 200 && call.Stream {
		a.readStream(res.Body, start)
		return a
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
	a.Text, a.Err = string(body), err
	switch {
	case err != nil:
	case res.Status >= 400:
		a.readError(body)
	case call.Model != "":
		a.readWhole(body, start)
	}
	return a
}

func (c *Caller) request(call Call) (requester.Request, error) {
	req := requester.Request{
		Method:        "POST",
		Addr:          call.Addr,
		Path:          "/v1/completions",
		NonIdempotent: true,
		Silence:       c.silence,
	}
	req.Header = headers(call)
	if call.Model == "" && call.Path != "" {
		req.Method, req.Path, req.Body = call.Method, call.Path, []byte(call.Body)
		return req, nil
	}
	body := completionRequest{Model: call.Model, Prompt: call.Prompt, MaxTokens: call.MaxTokens, Stream: call.Stream}
	if call.Chat {
		req.Path = "/v1/chat/completions"
		body.Prompt, body.Messages = "", []message{{Role: "user", Content: call.Prompt}}
	}
	var err error
	req.Body, err = json.Marshal(body)
	return req, errors.Wrap(err, "encode request")
}

func headers(call Call) []requester.Header {
	hs := []requester.Header{
		{Name: "Authorization", Value: "Bearer " + call.Key},
		{Name: "Content-Type", Value: "application/json"},
	}
	add := func(name, value string) {
		if value != "" {
			hs = append(hs, requester.Header{Name: name, Value: value})
		}
	}
	add("Idempotency-Key", call.IdempotencyKey)
	add("Last-Event-ID", call.LastEventID)
	if call.Timeout > 0 {
		add("Request-Timeout-Ms", strconv.FormatInt(call.Timeout.Milliseconds(), 10))
	}
	if call.NonIdempotent {
		add("Non-Idempotent", "true")
	}
	return hs
}
