package caller

import (
	"bufio"
	"io"
	"strings"

	"github.com/pkg/errors"
)

// maxLineBytes bounds a line of an event stream.
const maxLineBytes = 1 << 20

// event is one server-sent event.
type event struct {
	name string
	id   string
	data string
}

// eventReader reads server-sent events. Comments and unknown fields are ignored,
// and so is an event that is not terminated by an empty line.
type eventReader struct {
	scanner *bufio.Scanner
}

func newEventReader(r io.Reader) *eventReader {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	return &eventReader{scanner: scanner}
}

// next returns the next event that has data. At the end of the body it returns
// io.ErrUnexpectedEOF, since a complete stream ends with a [DONE] event.
func (r *eventReader) next() (event, error) {
	var e event
	var data []string
	for r.scanner.Scan() {
		line := r.scanner.Text()
		if line == "" {
			if data != nil {
				e.data = strings.Join(data, "\n")
				return e, nil
			}
			e = event{}
			continue
		}
		field, value, _ := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		switch field {
		case "event":
			e.name = value
		case "id":
			e.id = value
		case "data":
			data = append(data, value)
		}
	}
	if err := r.scanner.Err(); err != nil {
		return event{}, err
	}
	return event{}, errors.WithStack(io.ErrUnexpectedEOF)
}
