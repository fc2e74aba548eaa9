package forwarder

import (
	"bytes"
	"strconv"

	"github.com/pkg/errors"

	"monsoonspar.example/state/asserter"
)

// errUnexpectedEvents means that the events of a stream are out of sequence or too
// large.
var errUnexpectedEvents = errors.New("events of the stream are out of sequence or too large")

// maxEventBytes limits the size of one event.
const maxEventBytes = 1 << 20

// eventSequencer splits a stream into complete events and passes on each of them
// once, in order, also if the stream is continued from another source.
type eventSequencer struct {
	lastID     int64  // ID of the last event passed on.
	hasLast    bool   // An event with an ID was passed on.
	eventCount int    // Number of events with an ID that were passed on.
	partial    []byte // Bytes of an incomplete event.
	resumed    bool   // The current source continues an earlier one.
}

// resumeSource prepares for a new source that continues the stream. An incomplete
// event of the previous source is dropped.
func (s *eventSequencer) resumeSource() {
	s.partial = s.partial[:0]
	s.resumed = true
}

// lastEvent returns the ID of the last event, from which to resume, or "".
func (s *eventSequencer) lastEvent() string {
	if !s.hasLast {
		return ""
	}
	return strconv.FormatInt(s.lastID, 10)
}

// feed takes the next bytes of the source and appends the complete events that
// have not been passed on yet to out.
func (s *eventSequencer) feed(out, p []byte) ([]byte, error) {
	s.partial = append(s.partial, p...)
	rest := s.partial
	for {
		end := firstEventLen(rest)
		if end < 0 {
			break
		}
		event := rest[:end]
		rest = rest[end:]
		id, ok := eventID(event)
		if ok && s.hasLast && id <= s.lastID {
			if s.resumed {
				continue // The source repeats an event that was passed on.
			}
			return out, errUnexpectedEvents
		}
		if ok && s.resumed && s.hasLast && id != s.lastID+1 {
			return out, errUnexpectedEvents
		}
		if ok {
			asserter.That(!s.hasLast || id > s.lastID, asserter.TokensInOrder, "event passed on out of order")
			s.lastID, s.hasLast = id, true
			s.eventCount++
		}
		out = append(out, event...)
	}
	s.partial = append(s.partial[:0], rest...)
	if len(s.partial) > maxEventBytes {
		return out, errUnexpectedEvents
	}
	return out, nil
}

// firstEventLen returns the length of the first event including the blank line that
// ends it, or -1 if there is no complete event.
func firstEventLen(p []byte) int {
	shortest := -1
	for _, blank := range []string{"\n\n", "\r\n\r\n"} {
		if i := bytes.Index(p, []byte(blank)); i >= 0 && (shortest < 0 || i+len(blank) < shortest) {
			shortest = i + len(blank)
		}
	}
	return shortest
}

// eventID returns the number in the id field of an event.
func eventID(event []byte) (int64, bool) {
	for len(event) > 0 {
		line := event
		if i := bytes.IndexByte(event, '\n'); i >= 0 {
			line, event = event[:i], event[i+1:]
		} else {
			event = nil
		}
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
			return id, err == nil
		}
	}
	return 0, false
}
