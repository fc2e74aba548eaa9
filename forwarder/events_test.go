package forwarder

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func event(id int) string { return fmt.Sprintf("id: %d\ndata: token %d\n\n", id, id) }

func events(from, to int) string {
	var b strings.Builder
	for id := from; id <= to; id++ {
		b.WriteString(event(id))
	}
	return b.String()
}

// feedInPieces feeds text to s in pieces of random sizes and returns the output.
func feedInPieces(t *testing.T, s *eventSequencer, r *rand.Rand, text string) string {
	t.Helper()
	var out []byte
	for len(text) > 0 {
		n := 1 + r.IntN(len(text))
		var err error
		out, err = s.feed(out, []byte(text[:n]))
		assert.NilError(t, err)
		text = text[n:]
	}
	return string(out)
}

// A source may break off in the middle of an event, and the source that continues
// it may repeat some events. The client must still get each event exactly once.
func TestResumedSourcesAreJoinedWithoutGapOrRepeat(t *testing.T) {
	for seed := range uint64(500) {
		r := rand.New(rand.NewPCG(seed, 1))
		s := &eventSequencer{}
		const last = 40
		cut := 1 + r.IntN(last)
		complete := events(1, last)
		at := strings.Index(complete, event(cut)) + r.IntN(len(event(cut)))
		out := feedInPieces(t, s, r, complete[:at])
		s.resumeSource(0)
		next := cut - r.IntN(min(cut, 5))
		out += feedInPieces(t, s, r, events(next, last))
		assert.Equal(t, out, complete, "seed %d", seed)
		assert.Equal(t, s.eventCount, last)
		assert.Equal(t, s.lastEvent(), "40")
	}
}

func TestGapAfterResumeIsAnError(t *testing.T) {
	s := &eventSequencer{}
	_, err := s.feed(nil, []byte(events(1, 3)))
	assert.NilError(t, err)
	s.resumeSource(0)
	_, err = s.feed(nil, []byte(event(5)))
	assert.ErrorIs(t, err, errUnexpectedEvents)
}

func TestRepeatWithinOneSourceIsAnError(t *testing.T) {
	s := &eventSequencer{}
	_, err := s.feed(nil, []byte(events(1, 3)+event(2)))
	assert.ErrorIs(t, err, errUnexpectedEvents)
}

func TestEventsWithoutIdsPassUnchanged(t *testing.T) {
	s := &eventSequencer{}
	text := ": note\n\ndata: a\r\n\r\nx-version: 3\nid:7\ndata: b\n\n"
	out, err := s.feed(nil, []byte(text))
	assert.NilError(t, err)
	assert.Equal(t, string(out), text)
	assert.Equal(t, s.lastEvent(), "7")
}

// Guards against events that are not recognized, or taken for unfinished, because of the ends
// of their lines or of how the bytes arrive.
func TestEndOfSource(t *testing.T) {
	for text, whole := range map[string]bool{
		"id: 1\ndata: a\n\n":               true,
		"id: 1\r\ndata: a\r\n\r\n":         true,
		"id: 1\rdata: a\r\r":               true,
		"id: 1\ndata: a\r\n\n":             true,
		"id: 1\ndata: a\n\n\n: note\n":     true,
		"id: 1\ndata: a\n\n: no":           false,
		"id: 1\ndata: a\n":                 false,
		"id: 1\r\ndata: a\r\n":             false,
		"id: 1\ndata: a":                   false,
		"id: 1\ndata: a\n\nid: 2\ndata: b": false,
	} {
		for seed := range uint64(20) {
			s := &eventSequencer{}
			out := []byte(feedInPieces(t, s, rand.New(rand.NewPCG(seed, 3)), text))
			out, unfinished, err := s.endSource(out)
			assert.NilError(t, err)
			assert.Equal(t, unfinished, !whole, "%q", text)
			if whole {
				assert.Equal(t, string(out), text)
				assert.Equal(t, s.eventCount, 1)
			}
		}
	}
}

// Guards against comments without end that keep a stream alive.
func TestEndlessCommentsAreAnError(t *testing.T) {
	s := &eventSequencer{}
	comments := []byte(strings.Repeat(": comment\n\n", 1000))
	var err error
	for n := 0; err == nil && n <= maxEventBytes; n += len(comments) {
		_, err = s.feed(nil, comments)
	}
	assert.ErrorIs(t, err, errUnexpectedEvents)
}

func FuzzEventSequencer(f *testing.F) {
	f.Add([]byte(events(1, 3)), []byte(events(3, 5)))
	f.Add([]byte("id: 1\n"), []byte("\n\n\r\n"))
	f.Fuzz(func(t *testing.T, a, b []byte) {
		s := &eventSequencer{}
		out, err := s.feed(nil, a)
		if err != nil {
			return
		}
		if len(out)+len(s.partial) != len(a) {
			t.Fatalf("%d bytes passed and %d held of %d", len(out), len(s.partial), len(a))
		}
		s.resumeSource(0)
		// The bytes of the second source are arbitrary: only a panic is a failure.
		_, _ = s.feed(nil, b)
	})
}

// Guards against events without an ID that are passed on twice because the source that continues
// the stream can't know of them.
func TestEventsWithoutIDAreNotRepeated(t *testing.T) {
	for _, first := range []string{"data: a\n\n", "id: 1\ndata: a\n\ndata: b\n\n"} {
		var s eventSequencer
		_, err := s.feed(nil, []byte(first))
		assert.NilError(t, err)
		s.resumeSource(0)
		out, err := s.feed(nil, []byte("data: b\n\nid: 2\ndata: c\n\n"))
		assert.ErrorIs(t, err, errUnexpectedEvents, "%q", out)
	}
}

// Guards against a stream that begins with a later event: its first run brought none, and the one that continues it goes
// on after an event that was not received.
func TestContinuedStreamBeginsWithItsFirstEvent(t *testing.T) {
	for first, whole := range map[int]bool{1: true, 2: false, 0: false} {
		var s eventSequencer
		s.resumeSource(1)
		out, err := s.feed(nil, []byte(event(first)))
		if whole {
			assert.NilError(t, err)
			continue
		}
		assert.ErrorIs(t, err, errUnexpectedEvents, "%q", out)
	}
}
