// Package caller is a stand-in for a client. It sends requests to daemons,
// records the responses and their timing, and checks the guarantees that hold
// for every response.
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

// maxBodyBytes bounds the part of a response that is read, unless it is a stream.
const maxBodyBytes = 64 << 20

// Call describes one request to a daemon.
type Call struct {
	Addr           string
	Key            string // API key of the customer.
	Model          string // For a generation; empty for a call to a service.
	Prompt         string
	MaxTokens      int
	Chat           bool
	Stream         bool
	Method         string // For a call to a service.
	Path           string // For a call to a service; begins with /services.
	Body           string // For a call to a service.
	Timeout        time.Duration
	NonIdempotent  bool
	IdempotencyKey string
	LastEventID    string // Resumes a stream.
}

// Result is the response to a call, or its error, and its timing.
type Result struct {
	Status           int
	Outcome          string // Whether the request ran: not_run, ran or unknown; empty if the response does not say.
	Code             string // Error code.
	RetryAfter       time.Duration
	Text             string // Body of a response that was not streamed.
	Tokens           []marker.Token
	Complete         bool // The completion was received to its end.
	FinishReason     string
	CompletionTokens int  // Number of tokens according to the usage in the response.
	ErrorEvent       bool // The stream ended with an error event.

	LastEventID string
	FirstToken  time.Duration   // Time to first token.
	Gaps        []time.Duration // Between consecutive chunks.
	Total       time.Duration
	Err         error // The connection failed, or the response could not be decoded.
}

// Caller sends calls. It is safe for concurrent use.
type Caller struct {
	doer        requester.Doer
	readTimeout time.Duration
}

// New returns a Caller. A connection fails when it receives nothing for
// readTimeout.
func New(doer requester.Doer, readTimeout time.Duration) *Caller {
	return &Caller{doer: doer, readTimeout: readTimeout}
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

// Do sends call and reads the complete response. Failures are reported in the
// result.
func (c *Caller) Do(ctx context.Context, call Call) Result {
	start := time.Now()
	result := c.roundTrip(ctx, call, start)
	result.Total = time.Since(start)
	return result
}

func (c *Caller) roundTrip(ctx context.Context, call Call, start time.Time) Result {
	req, err := c.buildRequest(call)
	if err != nil {
		return Result{Err: err}
	}
	res, err := c.doer.Do(ctx, req)
	if err != nil {
		return Result{Err: err}
	}
	defer func() { _ = res.Body.Close() }()
	result := Result{Status: res.Status, Outcome: res.Get("Outcome")}
	if seconds, err := strconv.Atoi(res.Get("Retry-After")); err == nil {
		result.RetryAfter = time.Duration(seconds) * time.Second
	}
	if res.Status == 200 && call.Stream {
		result.readStream(res.Body, start)
		return result
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, maxBodyBytes))
	result.Text, result.Err = string(body), err
	switch {
	case err != nil:
	case res.Status >= 400:
		result.parseError(body)
	case call.Model != "":
		result.parseCompletion(body, start)
	}
	return result
}

func (c *Caller) buildRequest(call Call) (requester.Request, error) {
	req := requester.Request{
		Method:        "POST",
		Addr:          call.Addr,
		Path:          "/v1/completions",
		NonIdempotent: true,
		ReadTimeout:   c.readTimeout,
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
