// Package generator speaks the API of the model engines: it starts, resumes
// and cancels generations, and reads load reports and cache events.
package generator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"strconv"
	"time"

	"monsoonspar.example/coordination/attempter"
	"monsoonspar.example/coordination/sequencer"
	"monsoonspar.example/protocol/requester"

	"github.com/pkg/errors"
)

// Errors of the engine API.
var (
	ErrRefused    = errors.New("generator: engine refused before running")
	ErrLeaving    = errors.Wrap(ErrRefused, "leaving")
	ErrNotLoaded  = errors.Wrap(ErrRefused, "model is not loaded")
	ErrOverloaded = errors.Wrap(ErrRefused, "overloaded")
	ErrStaleFence = errors.New("generator: engine refused an old fencing number")
	ErrGone       = errors.New("generator: engine does not know the stream")
	ErrCut        = errors.New("generator: stream ended before the answer was complete")
	ErrMalformed  = errors.New("generator: malformed answer of an engine")
	ErrStatus     = errors.New("generator: unexpected status of an engine")
)

// Limits of what is read from an engine.
const (
	maxLineBytes  = 64 << 10
	maxBodyBytes  = 4 << 20
	statusOK      = 200
	statusUnknown = 404
	statusClash   = 409
	statusRefused = 503
)

// Request describes one attempt at a generation.
type Request struct {
	Attempt   sequencer.AttemptID
	Model     string
	Version   string
	Adapter   string
	Prompt    string
	MaxTokens int // Upper bound of the output.
	Priority  int // Lower numbers go first.
}

// completionRequest is the wire form of Request.
type completionRequest struct {
	AttemptID string `json:"attempt_id"`
	Model     string `json:"model"`
	Version   string `json:"version,omitempty"`
	Adapter   string `json:"adapter,omitempty"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Priority  int    `json:"priority"`
	Stream    bool   `json:"stream"`
}

// errorBody is the wire form of an engine's error.
type errorBody struct {
	Error struct {
		Code    string `json:"code"`
		Message string `json:"message"`
	} `json:"error"`
}

// Config holds the time limits of a Client.
type Config struct {
	TokenTimeout func() time.Duration // Longest silence of a stream; asked for each.
	CallTimeout  time.Duration        // Bound on calls other than streams.
}

// Client calls engines. It is safe for concurrent use.
type Client struct {
	doer requester.Doer
	cfg  Config
}

// NewClient returns a Client that sends through doer.
func NewClient(doer requester.Doer, cfg Config) *Client {
	return &Client{doer: doer, cfg: cfg}
}

// Start begins a generation at the engine at addr.
func (c *Client) Start(ctx context.Context, addr string, r Request, trace []requester.Header) (*Stream, error) {
	body, err := json.Marshal(completionRequest{
		AttemptID: string(r.Attempt), Model: r.Model, Version: r.Version, Adapter: r.Adapter,
		Prompt: r.Prompt, MaxTokens: r.MaxTokens, Priority: r.Priority, Stream: true,
	})
	if err != nil {
		return nil, errors.Wrap(err, "encode completion request")
	}
	header := append([]requester.Header{{Name: "Content-Type", Value: "application/json"}}, trace...)
	return c.open(ctx, requester.Request{
		Method: "POST", Addr: addr, Path: "/v1/completions", Header: header, Body: body,
		Silence: c.cfg.TokenTimeout(),
	}, r.Attempt)
}

// Resume continues a generation from the token at offset, on a connection of
// its own.
func (c *Client) Resume(ctx context.Context, addr string, attempt sequencer.AttemptID, offset int) (*Stream, error) {
	path := fmt.Sprintf("/v1/streams/%s?offset=%d", url.PathEscape(string(attempt)), offset)
	return c.open(ctx, requester.Request{
		Method: "GET", Addr: addr, Path: path, NonIdempotent: true, Silence: c.cfg.TokenTimeout(),
	}, attempt)
}

// open sends a request whose answer is a stream of tokens.
func (c *Client) open(ctx context.Context, r requester.Request, attempt sequencer.AttemptID) (*Stream, error) {
	res, err := c.doer.Do(ctx, r)
	if err != nil {
		return nil, err
	}
	if res.Status != statusOK {
		return nil, refusal(res)
	}
	return newStream(res.Body, attempt), nil
}

// Cancel ends a generation. It succeeds if the engine does not know it.
func (c *Client) Cancel(ctx context.Context, addr string, attempt sequencer.AttemptID) error {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.CallTimeout)
	defer cancel()
	res, err := c.doer.Do(ctx, requester.Request{
		Method: "DELETE", Addr: addr, Path: "/v1/streams/" + url.PathEscape(string(attempt)),
		Silence: c.cfg.CallTimeout,
	})
	if err != nil {
		return err
	}
	return res.Body.Close()
}

// call performs a short call and decodes its JSON answer into out.
func (c *Client) call(ctx context.Context, r requester.Request, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.CallTimeout)
	defer cancel()
	r.Silence = c.cfg.CallTimeout
	res, err := c.doer.Do(ctx, r)
	if err != nil {
		return err
	}
	if res.Status != statusOK {
		return refusal(res)
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxBodyBytes))
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, out); err != nil {
		return errors.Wrap(ErrMalformed, err.Error())
	}
	return nil
}

// refusal returns the error for an answer other than 200 and closes it.
func refusal(res requester.Response) error {
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxLineBytes))
	if err != nil {
		return errors.Wrapf(ErrStatus, "%d", res.Status)
	}
	var e errorBody
	_ = json.Unmarshal(body, &e) // An answer that is no JSON has no code.
	switch {
	case res.Status == statusUnknown:
		return ErrGone
	case res.Status == statusClash && e.Error.Code == "stale_fence":
		return ErrStaleFence
	case res.Status != statusRefused:
		return errors.Wrap(ErrStatus, strconv.Itoa(res.Status)+" "+e.Error.Message)
	}
	switch e.Error.Code {
	case "leaving":
		return ErrLeaving
	case "not_loaded":
		return ErrNotLoaded
	case "overloaded":
		return ErrOverloaded
	}
	return errors.Wrap(ErrStatus, "503 without a code")
}

// FailureOf returns what an error of Start, Resume or Stream.Next proves about
// the attempt.
func FailureOf(err error) attempter.Failure {
	switch {
	case errors.Is(err, requester.ErrNotSent):
		return attempter.NotSent
	case errors.Is(err, ErrRefused):
		return attempter.Refused
	case errors.Is(err, ErrGone):
		return attempter.StreamNotFound
	case errors.Is(err, requester.ErrSilent):
		return attempter.TokenTimeout
	case errors.Is(err, ErrCut), errors.Is(err, ErrMalformed):
		return attempter.StreamTruncated
	}
	return attempter.ConnectionLost
}
