package forwarder

import (
	"bytes"
	"strconv"

	"github.com/pkg/errors"

	"monsoonspar.example/state/asserter"
)

// errEvents means that a stream does not hold the events that are due.
var errEvents = errors.New("the stream continues with other events than those due")

// maxEventBytes bounds one event.
const maxEventBytes = 1 << 20

// eventLedger cuts a stream into whole events and passes each on once, in
// order.
type eventLedger struct {
	lastID  int64 // Of the last event passed on.
	started bool  // An event was passed on.
	events  int   // Passed on.
	partial []byte
	joined  bool // The present source continues an earlier one.
}

// join starts reading from a source that continues the stream.
func (l *eventLedger) join() {
	l.partial = l.partial[:0]
	l.joined = true
}

// lastEvent returns the id to resume from.
func (l *eventLedger) lastEvent() string {
	if !l.started {
		return ""
	}
	return strconv.FormatInt(l.lastID, 10)
}

// take adds bytes of the source and appends the whole events that are due to
// out.
func (l *eventLedger) take(out, p []byte) ([]byte, error) {
	l.partial = append(l.partial, p...)
	rest := l.partial
	for {
		end := eventEnd(rest)
		if end < 0 {
			break
		}
		event := rest[:end]
		rest = rest[end:]
		id, ok := eventID(event)
		if ok && l.started && id <= l.lastID {
			if l.joined {
				continue // The source repeats what was passed on.
			}
			return out, errEvents
		}
		if ok && l.joined && l.started && id != l.lastID+1 {
			return out, errEvents
		}
		if ok {
			asserter.That(!l.started || id > l.lastID, asserter.TokensInOrder, "event passed on out of order")
			l.lastID, l.started = id, true
			l.events++
		}
		out = append(out, event...)
	}
	l.partial = append(l.partial[:0], rest...)
	if len(l.partial) > maxEventBytes {
		return out, errEvents
	}
	return out, nil
}

// eventEnd returns the length of the first event with its blank line, or -1.
func eventEnd(p []byte) int {
	best := -1
	for _, blank := range []string{"\n\n", "\r\n\r\n"} {
		if i := bytes.Index(p, []byte(blank)); i >= 0 && (best < 0 || i+len(blank) < best) {
			best = i + len(blank)
		}
	}
	return best
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
