// Package generator is a client of the HTTP API of the inference engines: it
// starts, resumes and cancels generations, reads load reports and KV cache
// events, and sends orders.
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

// Errors returned by an engine or caused by its response.
var (
	ErrRefused           = errors.New("generator: engine refused the request before running it")
	ErrShuttingDown      = errors.Wrap(ErrRefused, "leaving")
	ErrNotLoaded         = errors.Wrap(ErrRefused, "model is not loaded")
	ErrOverloaded        = errors.Wrap(ErrRefused, "overloaded")
	ErrStaleFencingToken = errors.New("generator: engine refused a stale fencing token")
	ErrStreamNotFound    = errors.New("generator: stream not found at the engine")
	ErrTruncated         = errors.New("generator: stream ended before the generation was complete")
	ErrMalformed         = errors.New("generator: malformed response from an engine")
	ErrUnexpectedStatus  = errors.New("generator: unexpected HTTP status from an engine")
)

// Limits on the size of responses, and the status codes that the client
// distinguishes.
const (
	maxLineBytes      = 64 << 10 // Of a line of a stream, and of the body of an error.
	maxBodyBytes      = 4 << 20  // Of the body of any other response.
	maxStreamBytes    = 64 << 20 // Of a stream.
	maxIdleBytes      = 1 << 20  // Of a stream, between two tokens.
	statusOK          = 200
	statusNotFound    = 404
	statusConflict    = 409
	statusUnavailable = 503
)

// Request describes one attempt at a generation.
type Request struct {
	Attempt   sequencer.AttemptID
	Model     string
	Version   string
	Adapter   string
	Prompt    string
	MaxTokens int // Maximum number of output tokens.
	Priority  int // Lower numbers are scheduled first.

	// NonIdempotent means that the attempt must run at most once. It gets its own
	// connection, on which no refusal of an earlier request can arrive.
	NonIdempotent bool
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

// errorBody is the wire form of an error returned by an engine.
type errorBody struct {
	Error struct {
		Code    string `json:"code"`
		Message string `json:"message"`
	} `json:"error"`
}

// Config holds the timeouts of a Client.
type Config struct {
	TokenTimeout func() time.Duration // Maximum time without a byte on a stream; called once per stream.
	CallTimeout  time.Duration        // Limit on each call that is not a stream.
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
	return c.openStream(ctx, requester.Request{
		Method: "POST", Addr: addr, Path: "/v1/completions", Header: header, Body: body,
		NonIdempotent: r.NonIdempotent, OwnConnection: r.NonIdempotent, ReadTimeout: c.cfg.TokenTimeout(),
	}, r.Attempt)
}

// Resume reads the stream of an existing generation from the token at offset,
// on a separate connection.
func (c *Client) Resume(ctx context.Context, addr string, attempt sequencer.AttemptID, offset int) (*Stream, error) {
	path := fmt.Sprintf("/v1/streams/%s?offset=%d", url.PathEscape(string(attempt)), offset)
	return c.openStream(ctx, requester.Request{
		Method: "GET", Addr: addr, Path: path, NonIdempotent: true, ReadTimeout: c.cfg.TokenTimeout(),
	}, attempt)
}

// openStream sends a request whose response is a stream of tokens.
func (c *Client) openStream(ctx context.Context, r requester.Request, attempt sequencer.AttemptID) (*Stream, error) {
	res, err := c.doer.Do(ctx, r)
	if err != nil {
		return nil, err
	}
	if res.Status != statusOK {
		return nil, responseError(res)
	}
	return newStream(res.Body, attempt), nil
}

// Cancel ends a generation. Any response counts as success, even one that says
// that the engine does not have the attempt.
func (c *Client) Cancel(ctx context.Context, addr string, attempt sequencer.AttemptID) error {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.CallTimeout)
	defer cancel()
	res, err := c.doer.Do(ctx, requester.Request{
		Method: "DELETE", Addr: addr, Path: "/v1/streams/" + url.PathEscape(string(attempt)),
		ReadTimeout: c.cfg.CallTimeout,
	})
	if err != nil {
		return err
	}
	return res.Body.Close()
}

// call sends a request that is not a stream and decodes the JSON response into
// out.
func (c *Client) call(ctx context.Context, r requester.Request, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.CallTimeout)
	defer cancel()
	r.ReadTimeout = c.cfg.CallTimeout
	res, err := c.doer.Do(ctx, r)
	if err != nil {
		return err
	}
	if res.Status != statusOK {
		return responseError(res)
	}
	body, err := res.ReadAll(maxBodyBytes)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, out); err != nil {
		return errors.Wrap(ErrMalformed, err.Error())
	}
	return nil
}

// responseError returns the error for a response whose status is not 200, and
// closes its body. A refusal that may belong to an earlier request on the connection
// matches requester.ErrOutcomeUnknown as well.
func responseError(res requester.Response) error {
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxLineBytes))
	if err != nil {
		return errors.Wrapf(ErrUnexpectedStatus, "%d", res.Status)
	}
	var e errorBody
	_ = json.Unmarshal(body, &e) // A body that is not JSON carries no error code.
	switch {
	case res.Status == statusNotFound:
		return ErrStreamNotFound
	case res.Status == statusConflict && e.Error.Code == "stale_fence":
		return ErrStaleFencingToken
	case res.Status != statusUnavailable:
		return errors.Wrap(ErrUnexpectedStatus, strconv.Itoa(res.Status)+" "+e.Error.Message)
	}
	refusal := refusalOf(e.Error.Code)
	switch {
	case refusal == nil:
		return errors.Wrap(ErrUnexpectedStatus, "status 503 without a known error code")
	case res.Reused:
		return requester.FailureError{Kind: requester.ErrOutcomeUnknown, Cause: refusal}
	}
	return refusal
}

// refusalOf returns the refusal with an error code, or nil if there is none.
func refusalOf(code string) error {
	switch code {
	case "leaving":
		return ErrShuttingDown
	case "not_loaded":
		return ErrNotLoaded
	case "overloaded":
		return ErrOverloaded
	}
	return nil
}

// FailureOf classifies an error of Start, Resume or Stream.Next as a failure of
// the attempt.
func FailureOf(err error) attempter.Failure {
	switch {
	case errors.Is(err, requester.ErrNotSent):
		return attempter.NotSent
	case errors.Is(err, ErrRefused) && !errors.Is(err, requester.ErrOutcomeUnknown):
		return attempter.Refused
	case errors.Is(err, ErrStreamNotFound):
		return attempter.StreamNotFound
	case errors.Is(err, requester.ErrReadTimeout):
		return attempter.TokenTimeout
	case errors.Is(err, ErrTruncated), errors.Is(err, ErrMalformed):
		return attempter.StreamTruncated
	}
	return attempter.ConnectionLost
}
