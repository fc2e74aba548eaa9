package caller

import (
	"encoding/json"
	"io"
	"time"

	"github.com/pkg/errors"

	"monsoonspar.example/standin/marker"
)

// ErrBroken is wrapped by every error of Check.
var ErrBroken = errors.New("broken promise")

type errorBody struct {
	Error struct {
		Code         string `json:"code"`
		Outcome      string `json:"outcome"`
		RetryAfterMS int64  `json:"retry_after_ms"`
	} `json:"error"`
}

type completionBody struct {
	Choices []struct {
		Text         string  `json:"text"`
		Delta        content `json:"delta"`
		Message      content `json:"message"`
		FinishReason string  `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
}

type content struct {
	Content string `json:"content"`
}

// readError reads the body of a refusal or of an error event.
func (a *Answer) readError(body []byte) {
	var e errorBody
	if err := json.Unmarshal(body, &e); err != nil {
		a.Err = errors.Wrap(err, "body of an error")
		return
	}
	a.Code = e.Error.Code
	a.Outcome = e.Error.Outcome
	if e.Error.RetryAfterMS > 0 {
		a.RetryAfter = time.Duration(e.Error.RetryAfterMS) * time.Millisecond
	}
}

// readWhole reads an answer that came in one piece.
func (a *Answer) readWhole(body []byte, start time.Time) {
	a.FirstToken = time.Since(start)
	a.Err = a.add(body)
	a.Whole = a.Err == nil
}

// readStream reads server-sent events up to the end of the stream.
func (a *Answer) readStream(body io.Reader, start time.Time) {
	events := newEventReader(body)
	last := start
	for {
		e, err := events.next()
		if err != nil {
			a.Err = err
			return
		}
		if e.id != "" {
			a.LastEventID = e.id
		}
		switch {
		case e.name == "error":
			a.ErrorEvent = true
			a.readError([]byte(e.data))
			return
		case e.data == "[DONE]":
			a.Whole = true
			return
		}
		if a.Err = a.add([]byte(e.data)); a.Err != nil {
			return
		}
		now := time.Now()
		if len(a.Tokens) == 1 && a.FirstToken == 0 {
			a.FirstToken = now.Sub(start)
		} else {
			a.Gaps = append(a.Gaps, now.Sub(last))
		}
		last = now
	}
}

// add appends the tokens of a chunk or of a whole answer.
func (a *Answer) add(data []byte) error {
	var body completionBody
	if err := json.Unmarshal(data, &body); err != nil {
		return errors.Wrap(err, "body of a completion")
	}
	if body.Usage != nil {
		a.Completion = body.Usage.CompletionTokens
	}
	for _, choice := range body.Choices {
		tokens, err := marker.ParseTokens(choice.Text + choice.Delta.Content + choice.Message.Content)
		if err != nil {
			return err
		}
		a.Tokens = append(a.Tokens, tokens...)
		if choice.FinishReason != "" {
			a.Finish = choice.FinishReason
		}
	}
	return nil
}

// Append continues a by the answer to a call that resumed it.
func (a *Answer) Append(next Answer) {
	tokens, gaps, first, total := a.Tokens, a.Gaps, a.FirstToken, a.Total
	lastID := a.LastEventID
	*a = next
	a.Tokens = append(tokens, next.Tokens...)
	a.Gaps = append(gaps, next.Gaps...)
	if first != 0 {
		a.FirstToken = first
	}
	a.Total = total + next.Total
	if a.LastEventID == "" {
		a.LastEventID = lastID
	}
}

// Check returns an error if what came back breaks a promise: a token that is
// missing, repeated, out of order, of another request or of another generation,
// or an answer that ends without saying how. The id is that of the request's
// mark.
func (a Answer) Check(id string) error {
	for i, token := range a.Tokens {
		want := marker.Token{ID: id, Generation: a.Tokens[0].Generation, Index: i}
		if token != want {
			return errors.Wrapf(ErrBroken, "request %s: token %d is %v", id, i, token)
		}
	}
	if a.Whole && (a.Finish == "" || len(a.Tokens) != a.Completion) {
		return errors.Wrapf(ErrBroken, "request %s: %d tokens of %d, finish %q", id, len(a.Tokens), a.Completion, a.Finish)
	}
	if a.Status >= 400 || a.ErrorEvent {
		return a.checkError(id)
	}
	return nil
}

func (a Answer) checkError(id string) error {
	switch a.Outcome {
	case "not_run", "unknown", "ran":
	default:
		return errors.Wrapf(ErrBroken, "request %s: status %d with outcome %q", id, a.Status, a.Outcome)
	}
	if a.Outcome == "not_run" && len(a.Tokens) > 0 {
		return errors.Wrapf(ErrBroken, "request %s: not run, after %d tokens", id, len(a.Tokens))
	}
	if (a.Status == 429 || a.Status == 503) && a.RetryAfter <= 0 {
		return errors.Wrapf(ErrBroken, "request %s: status %d without a time to come back", id, a.Status)
	}
	return nil
}
