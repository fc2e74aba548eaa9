package generator

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"monsoonspar.example/coordination/sequencer"
	"monsoonspar.example/coordination/verifier"

	"github.com/pkg/errors"
)

// Usage counts the tokens of a complete generation.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// Event is a token or a keep-alive received on a stream.
type Event struct {
	KeepAlive bool // The engine sent a keep-alive comment; the other fields are unset.
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
	dataField  = []byte("data:")
	doneMarker = []byte("[DONE]")
)

// Stream reads the events of one generation. It is not safe for concurrent use.
type Stream struct {
	attempt  sequencer.AttemptID
	body     io.ReadCloser
	reader   *bufio.Reader
	total    verifier.Body // Of the whole stream.
	idle     verifier.Body // Of the stream since the last token.
	finished bool
}

// newStream returns a Stream that reads the body of a response.
func newStream(body io.ReadCloser, attempt sequencer.AttemptID) *Stream {
	return &Stream{
		attempt: attempt, body: body, reader: bufio.NewReaderSize(body, readBufferBytes),
		total: verifier.Body{Limit: maxStreamBytes}, idle: verifier.Body{Limit: maxIdleBytes},
	}
}

// readBufferBytes is the size of the read buffer. Longer lines are copied.
const readBufferBytes = 2 << 10

// Attempt returns the attempt for which the stream was opened.
func (s *Stream) Attempt() sequencer.AttemptID { return s.attempt }

// Buffered reports whether a complete event is buffered, so that Next does not
// block.
func (s *Stream) Buffered() bool {
	b, _ := s.reader.Peek(s.reader.Buffered())
	return bytes.Contains(b, []byte("\n\n"))
}

// Next returns the next event. It returns io.EOF after the last token, and
// ErrTruncated if the stream ends before it.
func (s *Stream) Next() (Event, error) {
	for {
		line, err := s.readLine()
		if err != nil {
			return Event{}, err
		}
		if err := s.addLine(line); err != nil {
			return Event{}, err
		}
		switch {
		case len(line) == 0:
			continue
		case line[0] == ':':
			return Event{KeepAlive: true}, nil
		case !bytes.HasPrefix(line, dataField):
			continue
		}
		data := bytes.TrimSpace(line[len(dataField):])
		if bytes.Equal(data, doneMarker) {
			return Event{}, s.endError()
		}
		s.idle.Size = 0
		return s.decode(data)
	}
}

// addLine records the size of a line that was read.
func (s *Stream) addLine(line []byte) error {
	err := s.total.Add(len(line) + 1)
	if err == nil {
		err = s.idle.Add(len(line) + 1)
	}
	if err != nil {
		return errors.Wrap(ErrMalformed, err.Error())
	}
	return nil
}

// readLine returns the next line without its line ending.
func (s *Stream) readLine() ([]byte, error) {
	line, err := s.reader.ReadSlice('\n')
	if err == nil {
		return bytes.TrimRight(line, "\r\n"), nil
	}
	if errors.Is(err, bufio.ErrBufferFull) {
		return s.readLongLine(line)
	}
	if errors.Is(err, io.EOF) {
		return nil, s.endError()
	}
	return nil, err
}

// readLongLine returns a line that begins with start and exceeds the read buffer.
func (s *Stream) readLongLine(start []byte) ([]byte, error) {
	line := bytes.Clone(start)
	for len(line) <= maxLineBytes {
		part, err := s.reader.ReadSlice('\n')
		line = append(line, part...)
		if err == nil {
			return bytes.TrimRight(line, "\r\n"), nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, ErrTruncated
		}
	}
	return nil, errors.Wrap(ErrMalformed, "line exceeds 64 KiB")
}

// endError returns the error for the end of the stream: io.EOF if the last token
// was read, otherwise ErrTruncated.
func (s *Stream) endError() error {
	if s.finished {
		return io.EOF
	}
	return ErrTruncated
}

// decode decodes the data of an event and records whether it is the last token
// of the attempt.
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

// decodeToken decodes a token of any form with encoding/json.
func decodeToken(data []byte) (Event, error) {
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return Event{}, errors.Wrap(ErrMalformed, err.Error())
	}
	if len(c.Choices) != 1 || c.Index < 0 {
		return Event{}, errors.Wrap(ErrMalformed, "token without exactly one choice or with a negative index")
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

// Close closes the connection. The engine retains the generation, so that it can
// be resumed.
func (s *Stream) Close() error { return s.body.Close() }
