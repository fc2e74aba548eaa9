package storer

import (
	"context"
	"io"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"monsoonspar.example/coordination/retrier"
	"monsoonspar.example/protocol/decoder"
	"monsoonspar.example/protocol/requester"
)

// Limits on the bodies of responses.
const (
	maxResponseBytes = 64 << 20 // Of a success.
	maxErrorBytes    = 64 << 10 // Of an error; longer ones are truncated.
)

// read makes a GET request. Since it has no effect, its errors match
// ErrUnavailable where those of a write would match ErrOutcomeUnknown.
func (c *Client) read(ctx context.Context, path string) ([]byte, error) {
	body, err := c.callWithRetries(ctx, c.request("GET", path, nil), func(error) bool { return true })
	if errors.Is(err, ErrOutcomeUnknown) {
		return nil, CallError{Kind: ErrUnavailable, Detail: err.Error()}
	}
	return body, err
}

// callWithRetries makes a call and retries transient errors while the retry
// budget and the deadline allow it. repeatable reports whether a call that failed
// with an error may be repeated although its outcome is unknown.
func (c *Client) callWithRetries(ctx context.Context, req requester.Request, repeatable func(error) bool) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.CallTimeout)
	defer cancel()
	c.retrier.RecordRequest()
	for n := 1; ; n++ {
		body, err := c.callOnce(ctx, req)
		if err == nil || !isTransient(err) {
			return body, err
		}
		idempotent := repeatable(err)
		delay, refused := c.nextDelay(ctx, n, err, idempotent)
		if refused != nil || c.clock.Sleep(ctx, delay) != nil || ctx.Err() != nil {
			return nil, err
		}
	}
}

// isTransient reports whether a later attempt may succeed.
func isTransient(err error) bool {
	return errors.Is(err, ErrUnavailable) || errors.Is(err, ErrOutcomeUnknown) || errors.Is(err, ErrRateLimited)
}

// nextDelay returns the delay before attempt n+1, or an error if there must be no
// further attempt.
func (c *Client) nextDelay(ctx context.Context, n int, err error, idempotent bool) (time.Duration, error) {
	if RetryAfter(err) > c.cfg.MaxDelay {
		return 0, err
	}
	failed := retrier.Attempt{Number: n, Outcome: retrier.NotRun, Idempotent: idempotent, RetryAfter: RetryAfter(err)}
	if errors.Is(err, ErrOutcomeUnknown) {
		failed.Outcome = retrier.Unknown
	}
	if deadline, ok := ctx.Deadline(); ok {
		failed.Deadline = deadline
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.retrier.Retry(failed, c.rng, c.clock.Now())
}

// callOnce makes one attempt, subject to the rate limit and the attempt timeout.
func (c *Client) callOnce(ctx context.Context, req requester.Request) ([]byte, error) {
	if err := c.waitForRateLimit(ctx); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.cfg.AttemptTimeout)
	defer cancel()
	res, err := c.doer.Do(ctx, req)
	if err != nil {
		return nil, transportError(err)
	}
	defer func() { _ = res.Body.Close() }()
	c.recordDate(res.Get("Date"))
	if err := statusError(res); err != nil {
		return nil, err
	}
	body, err := res.ReadAll(maxResponseBytes)
	if err != nil {
		return nil, CallError{Kind: ErrOutcomeUnknown, Detail: err.Error()}
	}
	return body, nil
}

// waitForRateLimit waits until the client's rate limit permits a call. It returns
// ErrRateLimited at once if that takes longer than MaxDelay.
func (c *Client) waitForRateLimit(ctx context.Context) error {
	now := c.clock.Now()
	reservation := c.limiter.ReserveN(now, 1)
	delay := reservation.DelayFrom(now)
	if delay > c.cfg.MaxDelay {
		reservation.CancelAt(now)
		return CallError{Kind: ErrRateLimited, RetryAfter: delay, Detail: "rate limit of the client"}
	}
	if delay <= 0 {
		return nil
	}
	if err := c.clock.Sleep(ctx, delay); err != nil {
		return CallError{Kind: ErrUnavailable, Detail: err.Error()}
	}
	return nil
}

// transportError converts an error of the transport.
func transportError(err error) error {
	if errors.Is(err, requester.ErrNotSent) {
		return CallError{Kind: ErrUnavailable, Detail: err.Error()}
	}
	return CallError{Kind: ErrOutcomeUnknown, Detail: err.Error()}
}

// statusError returns the error for the status of a response, or nil for success.
func statusError(res requester.Response) error {
	if res.Status >= 200 && res.Status < 300 {
		return nil
	}
	text, err := io.ReadAll(io.LimitReader(res.Body, maxErrorBytes))
	if errors.Is(err, decoder.ErrMalformed) { // The status of what is no response says nothing.
		return CallError{Kind: ErrOutcomeUnknown, Detail: err.Error()}
	}
	status := decodeStatus(text)
	failure := CallError{Kind: statusKind(res.Status, status.Reason), Detail: status.Message}
	if seconds, err := strconv.Atoi(res.Get("Retry-After")); err == nil && seconds > 0 {
		failure.RetryAfter = time.Duration(seconds) * time.Second
	}
	return failure
}

// statusKind returns the kind of error for an HTTP status code and the reason in
// the body of the response.
func statusKind(code int, reason string) error {
	switch {
	case code == 404:
		return ErrNotFound
	case code == 409 && reason == "AlreadyExists":
		return ErrExists
	case code == 409:
		return ErrConflict
	case code == 410:
		return ErrGone
	case code == 429:
		return ErrRateLimited
	case code == 503:
		return ErrUnavailable
	case code >= 400 && code < 500:
		return ErrRejected
	default:
		return ErrOutcomeUnknown
	}
}
