package responder

import (
	"fmt"
	"strconv"
	"time"

	"monsoonspar.example/coordination/attempter"

	"github.com/gofiber/fiber/v2"
	"github.com/pkg/errors"
)

// The outcomes, as they go over the wire.
const (
	outcomeNotRun  = attempter.NotRun
	outcomeUnknown = attempter.Unknown
)

// RequestError is the final answer to a request that is not served. Its zero
// outcome means not_run.
type RequestError struct {
	Status     int
	Code       string // For programs, in snake case.
	Message    string // For people.
	Outcome    attempter.Outcome
	RetryAfter time.Duration // When to come back; zero if that can't help.
}

// Error returns the code and the message.
func (e *RequestError) Error() string { return e.Code + ": " + e.Message }

// errorBody is the wire form of a RequestError.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message      string            `json:"message"`
	Type         string            `json:"type"`
	Code         string            `json:"code"`
	Outcome      attempter.Outcome `json:"outcome"`
	RetryAfterMS int64             `json:"retry_after_ms,omitempty"`
}

// newErrorBody returns the wire form of e.
func newErrorBody(e *RequestError) errorBody {
	kind := "invalid_request_error"
	if e.Status >= fiber.StatusInternalServerError {
		kind = "server_error"
	}
	if e.Status == fiber.StatusTooManyRequests {
		kind = "rate_limit_error"
	}
	return errorBody{Error: errorDetail{
		Message: e.Message, Type: kind, Code: e.Code,
		Outcome: e.outcome(), RetryAfterMS: e.RetryAfter.Milliseconds(),
	}}
}

// outcome returns the outcome to tell the caller.
func (e *RequestError) outcome() attempter.Outcome {
	if e.Outcome == "" {
		return outcomeNotRun
	}
	return e.Outcome
}

// retryAfterSeconds returns the value of Retry-After, rounded up.
func (e *RequestError) retryAfterSeconds() string {
	return strconv.FormatInt(int64((e.RetryAfter+time.Second-1)/time.Second), 10)
}

// badRequest returns an error for input that will never be served.
func badRequest(code, format string, args ...any) *RequestError {
	return &RequestError{Status: fiber.StatusBadRequest, Code: code, Message: fmt.Sprintf(format, args...)}
}

// asRequestError returns the final answer for err.
func asRequestError(err error) *RequestError {
	var re *RequestError
	if errors.As(err, &re) {
		return re
	}
	var fe *fiber.Error
	if errors.As(err, &fe) {
		return &RequestError{Status: fe.Code, Code: "http_error", Message: fe.Message}
	}
	return &RequestError{Status: fiber.StatusInternalServerError, Code: "internal", Message: "internal error", Outcome: outcomeUnknown}
}

// handleError writes the final answer for a failed request.
func (r *Responder) handleError(c *fiber.Ctx, err error) error {
	e := asRequestError(err)
	c.Set(HeaderOutcome, string(e.outcome()))
	if e.RetryAfter > 0 {
		c.Set(fiber.HeaderRetryAfter, e.retryAfterSeconds())
	}
	r.log.Debug().Str("code", e.Code).Int("status", e.Status).Str("outcome", string(e.outcome())).
		Msg("responder: request not served")
	return c.Status(e.Status).JSON(newErrorBody(e))
}
