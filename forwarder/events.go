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
	lastID       int64  // ID of the last event passed on.
	hasLast      bool   // An event with an ID was passed on.
	eventCount   int    // Number of events with an ID that were passed on.
	partial      []byte // Bytes of an incomplete event.
	scanner      lineScanner
	sourceEvents int   // Number of events with fields that the current source has sent.
	commentBytes int   // Size of the blocks without fields since the last event.
	resumed      bool  // The current source continues an earlier one.
	unnumbered   bool  // An event without an ID was passed on after the last one that has an ID.
	firstID      int64 // ID of the first event passed on, if an event with an ID was.
	expected     int64 // ID that the next event must have, if none was passed on before; zero for any.
}

// noEvent stands for the ID of an event where there is none.
const noEvent = int64(-1)

// startAfter makes the stream go on after the event with an ID that the client has received
// before. It is called before the first source.
func (s *eventSequencer) startAfter(id int64) {
	s.lastID, s.hasLast, s.resumed = id, true, true
}

// resumeSource prepares for a new source that continues the stream. An incomplete
// event of the previous source is dropped. The first event of a stream that has brought
// none must have the ID first, unless that is zero.
func (s *eventSequencer) resumeSource(first int64) {
	s.expected = first
	s.partial, s.scanner = s.partial[:0], lineScanner{}
	s.sourceEvents, s.commentBytes = 0, 0
	s.resumed = true
}

// endSource handles the end of the source. It appends what is left of a source that did
// not end inside an event, and otherwise reports that bytes of an event are unfinished.
func (s *eventSequencer) endSource(out []byte) (_ []byte, unfinished bool, err error) {
	if out, err = s.appendEvents(out, true); err != nil {
		return out, true, err
	}
	if len(s.partial) > 0 && (hasField(s.partial) || !bytes.HasSuffix(s.partial, []byte("\n"))) {
		return out, true, nil
	}
	out = append(out, s.partial...)
	s.partial = s.partial[:0]
	return out, false, nil
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
	out, err := s.appendEvents(out, false)
	if err == nil && len(s.partial) > maxEventBytes {
		err = errUnexpectedEvents
	}
	return out, err
}

// appendEvents appends the complete events of partial that have not been passed on yet.
func (s *eventSequencer) appendEvents(out []byte, atEOF bool) ([]byte, error) {
	rest := s.partial
	for {
		end := s.scanner.blockEnd(rest, atEOF)
		if end < 0 {
			break
		}
		event := rest[:end]
		rest, s.scanner = rest[end:], lineScanner{}
		id, ok := eventID(event)
		if err := s.countBlock(event); err != nil {
			return out, err
		}
		switch repeated, err := s.record(id, ok, hasField(event)); {
		case err != nil:
			return out, err
		case repeated:
			continue
		}
		out = append(out, event...)
	}
	s.partial = append(s.partial[:0], rest...)
	return out, nil
}

// record records a complete block that is to be passed on. It reports whether the block is an event
// that was passed on before and that a resumed source repeats.
func (s *eventSequencer) record(id int64, hasID, isEvent bool) (repeated bool, err error) {
	if s.resumed && s.unnumbered && isEvent {
		return false, errUnexpectedEvents // The source may repeat the events without an ID.
	}
	if !hasID {
		s.unnumbered = s.unnumbered || isEvent
		return false, nil
	}
	if s.hasLast && id <= s.lastID {
		if s.resumed {
			return true, nil
		}
		return false, errUnexpectedEvents
	}
	if !s.mayFollow(id) {
		return false, errUnexpectedEvents
	}
	asserter.That(!s.hasLast || id > s.lastID, asserter.TokensInOrder, "event passed on out of order")
	if s.eventCount == 0 {
		s.firstID = id
	}
	s.lastID, s.hasLast, s.unnumbered = id, true, false
	s.eventCount++
	return false, nil
}

// mayFollow reports whether no event is missing before the one with an ID, as far as that can be told: the current source
// continues an earlier one.
func (s *eventSequencer) mayFollow(id int64) bool {
	if s.hasLast {
		return !s.resumed || id == s.lastID+1
	}
	return s.expected == 0 || id == s.expected
}

// countBlock counts a complete block. It returns an error if the source sends too many
// blocks that hold only comments and blank lines.
func (s *eventSequencer) countBlock(block []byte) error {
	if hasField(block) {
		s.sourceEvents++
		s.commentBytes = 0
		return nil
	}
	if s.commentBytes += len(block); s.commentBytes > maxEventBytes {
		return errUnexpectedEvents
	}
	return nil
}

// hasField reports whether a line of the block is neither blank nor a comment.
func hasField(block []byte) bool {
	lineStart := true
	for _, c := range block {
		if lineStart && c != '\n' && c != '\r' && c != ':' {
			return true
		}
		lineStart = c == '\n' || c == '\r'
	}
	return false
}

// lineScanner finds the end of the first block of a stream: lines up to and including a
// blank one. It does not scan bytes again when more of the block arrives. Lines end with
// CRLF, LF or CR, as in the specification of server-sent events.
type lineScanner struct {
	scanned int  // Number of bytes scanned.
	inLine  bool // The line at this position has characters before it.
}

// blockEnd returns the length of the first block of p, or -1 if it is not complete. Unless
// atEOF is set, a CR at the end of p may be the first half of a CRLF.
func (l *lineScanner) blockEnd(p []byte, atEOF bool) int {
	for l.scanned < len(p) {
		n := bytes.IndexAny(p[l.scanned:], "\r\n")
		if n != 0 {
			l.inLine = true
		}
		if n < 0 {
			l.scanned = len(p)
			return -1
		}
		i := l.scanned + n
		width := 1
		if p[i] == '\r' {
			if i+1 == len(p) && !atEOF {
				l.scanned = i
				return -1
			}
			if i+1 < len(p) && p[i+1] == '\n' {
				width = 2
			}
		}
		l.scanned = i + width
		if !l.inLine {
			return l.scanned
		}
		l.inLine = false
	}
	return -1
}

// errMalformedEventID means that a client resumes a stream after an event whose ID is no number.
var errMalformedEventID = errors.New("ID of the last event is not a whole number from 0 to 2^63-1")

// parseEventID parses the ID of an event as a client sends it. It is stricter than eventID: what a
// client resumes after is not guessed.
func parseEventID(text string) (int64, error) {
	for _, c := range []byte(text) {
		if c < '0' || c > '9' {
			return noEvent, errMalformedEventID
		}
	}
	id, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return noEvent, errMalformedEventID
	}
	return id, nil
}

// eventID returns the number in the id field of an event.
func eventID(event []byte) (int64, bool) {
	for len(event) > 0 {
		line := event
		if i := bytes.IndexAny(event, "\r\n"); i >= 0 {
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
