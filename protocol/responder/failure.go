package responder

import (
	"fmt"
	"strconv"
	"time"

	"monsoonspar.example/coordination/attempter"

	"github.com/gofiber/fiber/v2"
	"github.com/pkg/errors"
)

// The outcomes in responses.
const (
	outcomeNotRun  = attempter.NotRun
	outcomeUnknown = attempter.Unknown
)

// RequestError is the error response to a request. Its zero Outcome means
// not_run.
type RequestError struct {
	Status     int
	Code       string // Stable and machine-readable, in snake case.
	Message    string // Human-readable.
	Outcome    attempter.Outcome
	RetryAfter time.Duration // Delay before a retry; zero if a retry can't succeed.
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
	errorType := "invalid_request_error"
	if e.Status >= fiber.StatusInternalServerError {
		errorType = "server_error"
	}
	if e.Status == fiber.StatusTooManyRequests {
		errorType = "rate_limit_error"
	}
	return errorBody{Error: errorDetail{
		Message: e.Message, Type: errorType, Code: e.Code,
		Outcome: e.outcome(), RetryAfterMS: e.RetryAfter.Milliseconds(),
	}}
}

// outcome returns the outcome to report to the caller.
func (e *RequestError) outcome() attempter.Outcome {
	if e.Outcome == "" {
		return outcomeNotRun
	}
	return e.Outcome
}

// retryAfterSeconds returns the value of Retry-After in seconds, rounded up.
func (e *RequestError) retryAfterSeconds() string {
	return strconv.FormatInt(int64((e.RetryAfter+time.Second-1)/time.Second), 10)
}

// badRequest returns an error for invalid input, with status 400.
func badRequest(code, format string, args ...any) *RequestError {
	return &RequestError{Status: fiber.StatusBadRequest, Code: code, Message: fmt.Sprintf(format, args...)}
}

// asRequestError returns err as a RequestError. The details of an internal error
// are not disclosed to the caller.
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

// handleError writes the error response for a failed request.
func (r *Responder) handleError(c *fiber.Ctx, err error) error {
	e := asRequestError(err)
	c.Set(HeaderOutcome, string(e.outcome()))
	if e.RetryAfter > 0 {
		c.Set(fiber.HeaderRetryAfter, e.retryAfterSeconds())
	}
	r.log.Debug().Str("code", e.Code).Int("status", e.Status).Str("outcome", string(e.outcome())).
		Msg("responder: request failed")
	return c.Status(e.Status).JSON(newErrorBody(e))
}
