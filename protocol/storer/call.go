package storer

import (
	"context"
	"io"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"monsoonspar.example/coordination/retrier"
	"monsoonspar.example/protocol/requester"
)

const (
	maxAnswerBytes = 64 << 20
	maxErrorBytes  = 64 << 10
)

// read makes a call without effect.
func (c *Client) read(ctx context.Context, path string) ([]byte, error) {
	body, err := c.attempt(ctx, c.request("GET", path, nil), func(error) bool { return true })
	if errors.Is(err, ErrUnknown) {
		return nil, CallError{Kind: ErrUnavailable, Detail: err.Error()}
	}
	return body, err
}

// attempt makes a call, again while the budget and the deadline allow it.
// repeatable tells whether a call with an unknown outcome may be repeated.
func (c *Client) attempt(ctx context.Context, req requester.Request, repeatable func(error) bool) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.CallTimeout)
	defer cancel()
	c.retrier.RecordRequest()
	for n := 1; ; n++ {
		body, err := c.once(ctx, req)
		if err == nil || !isTransient(err) {
			return body, err
		}
		again := repeatable(err)
		delay, refused := c.nextDelay(ctx, n, err, again)
		if refused != nil || c.clock.Sleep(ctx, delay) != nil || ctx.Err() != nil {
			return nil, err
		}
	}
}

func isTransient(err error) bool {
	return errors.Is(err, ErrUnavailable) || errors.Is(err, ErrUnknown) || errors.Is(err, ErrLimited)
}

// nextDelay returns the wait before attempt n+1, or why there is none.
func (c *Client) nextDelay(ctx context.Context, n int, err error, again bool) (time.Duration, error) {
	if RetryAfter(err) > c.cfg.MaxWait {
		return 0, err
	}
	failed := retrier.Attempt{Number: n, Outcome: retrier.NotRun, Idempotent: again, RetryAfter: RetryAfter(err)}
	if errors.Is(err, ErrUnknown) {
		failed.Outcome = retrier.Unknown
	}
	if deadline, ok := ctx.Deadline(); ok {
		failed.Deadline = deadline
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.retrier.Retry(failed, c.rnd, c.clock.Now())
}

// once makes one attempt within the timeout and the rate limit.
func (c *Client) once(ctx context.Context, req requester.Request) ([]byte, error) {
	if err := c.limit(ctx); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	res, err := c.doer.Do(ctx, req)
	if err != nil {
		return nil, transportError(err)
	}
	defer func() { _ = res.Body.Close() }()
	c.noteDate(res.Get("Date"))
	if err := statusError(res); err != nil {
		return nil, err
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes+1))
	if err != nil || len(body) > maxAnswerBytes {
		return nil, CallError{Kind: ErrUnknown, Detail: "answer is incomplete or too long"}
	}
	return body, nil
}

// limit waits for a turn within the client's own rate, at most MaxWait.
func (c *Client) limit(ctx context.Context) error {
	now := c.clock.Now()
	reservation := c.limiter.ReserveN(now, 1)
	delay := reservation.DelayFrom(now)
	if delay > c.cfg.MaxWait {
		reservation.CancelAt(now)
		return CallError{Kind: ErrLimited, RetryAfter: delay, Detail: "rate limit of the client"}
	}
	if delay <= 0 {
		return nil
	}
	if err := c.clock.Sleep(ctx, delay); err != nil {
		return CallError{Kind: ErrUnavailable, Detail: err.Error()}
	}
	return nil
}

func transportError(err error) error {
	if errors.Is(err, requester.ErrNotSent) {
		return CallError{Kind: ErrUnavailable, Detail: err.Error()}
	}
	return CallError{Kind: ErrUnknown, Detail: err.Error()}
}

// statusError returns the error that an answer stands for, nil for success.
func statusError(res requester.Response) error {
	if res.Status >= 200 && res.Status < 300 {
		return nil
	}
	text, _ := io.ReadAll(io.LimitReader(res.Body, maxErrorBytes))
	status := decodeStatus(text)
	failure := CallError{Kind: statusKind(res.Status, status.Reason), Detail: status.Message}
	if seconds, err := strconv.Atoi(res.Get("Retry-After")); err == nil && seconds > 0 {
		failure.RetryAfter = time.Duration(seconds) * time.Second
	}
	return failure
}

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
		return ErrLimited
	case code == 503:
		return ErrUnavailable
	case code >= 400 && code < 500:
		return ErrRejected
	default:
		return ErrUnknown
	}
}
