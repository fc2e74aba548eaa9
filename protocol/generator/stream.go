package generator

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"monsoonspar.example/coordination/sequencer"

	"github.com/pkg/errors"
)

// Usage counts the tokens of a complete answer.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// Event is one thing that an engine sent on a stream.
type Event struct {
	KeepAlive bool // Nothing but a sign of life.
	Token     sequencer.Token
	Usage     Usage // Set with the last token.
}

// chunk is the wire form of a token.
type chunk struct {
	AttemptID string `json:"attempt_id"`
	Index     int    `json:"index"`
	Choices   []struct {
		Text         string `json:"text"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Usage *Usage `json:"usage"`
}

var (
	dataPrefix = []byte("data:")
	doneData   = []byte("[DONE]")
)

// Stream reads the events of one generation. It is not safe for concurrent use.
type Stream struct {
	attempt  sequencer.AttemptID
	body     io.ReadCloser
	r        *bufio.Reader
	finished bool
}

// newStream returns a stream over the body of an answer.
func newStream(body io.ReadCloser, attempt sequencer.AttemptID) *Stream {
	return &Stream{attempt: attempt, body: body, r: bufio.NewReaderSize(body, bufferBytes)}
}

const bufferBytes = 2 << 10

// Attempt returns the attempt that the stream was opened for.
func (s *Stream) Attempt() sequencer.AttemptID { return s.attempt }

// Buffered reports whether the next event can be read without waiting.
func (s *Stream) Buffered() bool {
	b, _ := s.r.Peek(s.r.Buffered())
	return bytes.Contains(b, []byte("\n\n"))
}

// Next returns the next event. After the last token it returns io.EOF; a stream
// that ends before it returns ErrCut.
func (s *Stream) Next() (Event, error) {
	for {
		line, err := s.line()
		if err != nil {
			return Event{}, err
		}
		switch {
		case len(line) == 0:
			continue
		case line[0] == ':':
			return Event{KeepAlive: true}, nil
		case !bytes.HasPrefix(line, dataPrefix):
			continue
		}
		data := bytes.TrimSpace(line[len(dataPrefix):])
		if bytes.Equal(data, doneData) {
			return Event{}, s.end()
		}
		return s.decode(data)
	}
}

// line returns the next line without its end.
func (s *Stream) line() ([]byte, error) {
	line, err := s.r.ReadSlice('\n')
	if err == nil {
		return bytes.TrimRight(line, "\r\n"), nil
	}
	if errors.Is(err, bufio.ErrBufferFull) {
		return s.longLine(line)
	}
	if errors.Is(err, io.EOF) {
		return nil, s.end()
	}
	return nil, err
}

// longLine returns a line that exceeds the buffer.
func (s *Stream) longLine(start []byte) ([]byte, error) {
	line := bytes.Clone(start)
	for len(line) <= maxLineBytes {
		more, err := s.r.ReadSlice('\n')
		line = append(line, more...)
		if err == nil {
			return bytes.TrimRight(line, "\r\n"), nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, ErrCut
		}
	}
	return nil, errors.Wrap(ErrMalformed, "line too long")
}

// end returns the error for the end of the stream.
func (s *Stream) end() error {
	if s.finished {
		return io.EOF
	}
	return ErrCut
}

// decode returns the token in data.
func (s *Stream) decode(data []byte) (Event, error) {
	if t, ok := scanToken(data, s.attempt); ok {
		return Event{Token: t}, nil
	}
	ev, err := decodeToken(data)
	if err != nil {
		return Event{}, err
	}
	if ev.Token.Finish != "" && ev.Token.Attempt == s.attempt {
		s.finished = true
	}
	return ev, nil
}

// decodeToken returns the token in data of any form.
func decodeToken(data []byte) (Event, error) {
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return Event{}, errors.Wrap(ErrMalformed, err.Error())
	}
	if len(c.Choices) != 1 || c.Index < 0 {
		return Event{}, errors.Wrap(ErrMalformed, "token without a choice or index")
	}
	ev := Event{Token: sequencer.Token{
		Attempt: sequencer.AttemptID(c.AttemptID), Index: c.Index,
		Text: c.Choices[0].Text, Finish: c.Choices[0].FinishReason,
	}}
	if c.Usage != nil {
		ev.Usage = *c.Usage
	}
	return ev, nil
}

// Close closes the stream. The engine keeps the generation for resuming.
func (s *Stream) Close() error { return s.body.Close() }
