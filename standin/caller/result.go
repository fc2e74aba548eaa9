package caller

import (
	"encoding/json"
	"io"
	"time"

	"github.com/pkg/errors"

	"monsoonspar.example/standin/marker"
)

// ErrViolation is wrapped by every error of Check.
var ErrViolation = errors.New("guarantee violated")

type errorBody struct {
	Error struct {
		Code         string `json:"code"`
		Outcome      string `json:"outcome"`
		RetryAfterMS int64  `json:"retry_after_ms"`
	} `json:"error"`
}

type completionBody struct {
	Choices []struct {
		Text         string      `json:"text"`
		Delta        textContent `json:"delta"`
		Message      textContent `json:"message"`
		FinishReason string      `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
}

type textContent struct {
	Content string `json:"content"`
}

// parseError decodes the body of an error response or the data of an error event.
func (r *Result) parseError(body []byte) {
	var e errorBody
	if err := json.Unmarshal(body, &e); err != nil {
		r.Err = errors.Wrap(err, "decode error body")
		return
	}
	r.Code = e.Error.Code
	r.Outcome = e.Error.Outcome
	if e.Error.RetryAfterMS > 0 {
		r.RetryAfter = time.Duration(e.Error.RetryAfterMS) * time.Millisecond
	}
}

// parseCompletion decodes a completion that was not streamed.
func (r *Result) parseCompletion(body []byte, start time.Time) {
	r.FirstToken = time.Since(start)
	r.Err = r.appendTokens(body)
	r.Complete = r.Err == nil
}

// readStream reads server-sent events until [DONE], an error event or the end of
// the body.
func (r *Result) readStream(body io.Reader, start time.Time) {
	events := newEventReader(body)
	lastTokenAt := start
	for {
		e, err := events.next()
		if err != nil {
			r.Err = err
			return
		}
		if e.id != "" {
			r.LastEventID = e.id
		}
		switch {
		case e.name == "error":
			r.ErrorEvent = true
			r.parseError([]byte(e.data))
			return
		case e.data == "[DONE]":
			r.Complete = true
			return
		}
		if r.Err = r.appendTokens([]byte(e.data)); r.Err != nil {
			return
		}
		now := time.Now()
		if len(r.Tokens) == 1 && r.FirstToken == 0 {
			r.FirstToken = now.Sub(start)
		} else {
			r.Gaps = append(r.Gaps, now.Sub(lastTokenAt))
		}
		lastTokenAt = now
	}
}

// appendTokens appends the tokens of a chunk or of a completion that was not
// streamed.
func (r *Result) appendTokens(data []byte) error {
	var body completionBody
	if err := json.Unmarshal(data, &body); err != nil {
		return errors.Wrap(err, "decode completion body")
	}
	if body.Usage != nil {
		r.CompletionTokens = body.Usage.CompletionTokens
	}
	for _, choice := range body.Choices {
		tokens, err := marker.ParseTokens(choice.Text + choice.Delta.Content + choice.Message.Content)
		if err != nil {
			return err
		}
		r.Tokens = append(r.Tokens, tokens...)
		if choice.FinishReason != "" {
			r.FinishReason = choice.FinishReason
		}
	}
	return nil
}

// Append adds the result of a call that resumed the stream of r.
func (r *Result) Append(next Result) {
	tokens, gaps, first, total := r.Tokens, r.Gaps, r.FirstToken, r.Total
	lastEventID := r.LastEventID
	*r = next
	r.Tokens = append(tokens, next.Tokens...)
	r.Gaps = append(gaps, next.Gaps...)
	if first != 0 {
		r.FirstToken = first
	}
	r.Total = total + next.Total
	if r.LastEventID == "" {
		r.LastEventID = lastEventID
	}
}

// Check returns an error that wraps ErrViolation if a token is missing, repeated,
// out of order, or of another request or generation, if a complete response has
// no finish reason or another number of tokens than it states, or if an error
// response has no valid outcome, contradicts its outcome or lacks a required retry
// delay. The id is that of the directive in the request, see marker.Parse.
func (r Result) Check(id string) error {
	for i, token := range r.Tokens {
		want := marker.Token{ID: id, Generation: r.Tokens[0].Generation, Index: i}
		if token != want {
			return errors.Wrapf(ErrViolation, "request %s: token %d is %v", id, i, token)
		}
	}
	if r.Complete && (r.FinishReason == "" || len(r.Tokens) != r.CompletionTokens) {
		return errors.Wrapf(ErrViolation, "request %s: got %d of %d tokens, finish reason %q", id, len(r.Tokens), r.CompletionTokens, r.FinishReason)
	}
	if r.Status >= 400 || r.ErrorEvent {
		return r.checkError(id)
	}
	return nil
}

func (r Result) checkError(id string) error {
	switch r.Outcome {
	case "not_run", "unknown", "ran":
	default:
		return errors.Wrapf(ErrViolation, "request %s: status %d with outcome %q", id, r.Status, r.Outcome)
	}
	if r.Outcome == "not_run" && len(r.Tokens) > 0 {
		return errors.Wrapf(ErrViolation, "request %s: outcome not_run after %d tokens", id, len(r.Tokens))
	}
	if (r.Status == 429 || r.Status == 503) && r.RetryAfter <= 0 {
		return errors.Wrapf(ErrViolation, "request %s: status %d without a retry delay", id, r.Status)
	}
	return nil
}
