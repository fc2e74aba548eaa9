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

// take passes text through l in pieces of random sizes.
func take(t *testing.T, l *eventLedger, r *rand.Rand, text string) string {
	t.Helper()
	var out []byte
	for len(text) > 0 {
		n := 1 + r.IntN(len(text))
		var err error
		out, err = l.take(out, []byte(text[:n]))
		assert.NilError(t, err)
		text = text[n:]
	}
	return string(out)
}

// A source that is cut in the middle of an event, and others that repeat some
// events or begin at the next one, make one whole stream.
func TestSourcesAreJoinedWithoutGapOrRepeat(t *testing.T) {
	for seed := range uint64(500) {
		r := rand.New(rand.NewPCG(seed, 1))
		l := &eventLedger{}
		const last = 40
		cut := 1 + r.IntN(last)
		whole := events(1, last)
		at := strings.Index(whole, event(cut)) + r.IntN(len(event(cut)))
		out := take(t, l, r, whole[:at])
		l.join()
		next := cut - r.IntN(min(cut, 5))
		out += take(t, l, r, events(next, last))
		assert.Equal(t, out, whole, "seed %d", seed)
		assert.Equal(t, l.events, last)
		assert.Equal(t, l.lastEvent(), "40")
	}
}

func TestGapAfterAJoinIsAnError(t *testing.T) {
	l := &eventLedger{}
	_, err := l.take(nil, []byte(events(1, 3)))
	assert.NilError(t, err)
	l.join()
	_, err = l.take(nil, []byte(event(5)))
	assert.ErrorIs(t, err, errEvents)
}

func TestRepeatWithinOneSourceIsAnError(t *testing.T) {
	l := &eventLedger{}
	_, err := l.take(nil, []byte(events(1, 3)+event(2)))
	assert.ErrorIs(t, err, errEvents)
}

func TestEventsWithoutIdsPassUnchanged(t *testing.T) {
	l := &eventLedger{}
	text := ": note\n\ndata: a\r\n\r\nx-version: 3\nid:7\ndata: b\n\n"
	out, err := l.take(nil, []byte(text))
	assert.NilError(t, err)
	assert.Equal(t, string(out), text)
	assert.Equal(t, l.lastEvent(), "7")
}

func FuzzEventLedger(f *testing.F) {
	f.Add([]byte(events(1, 3)), []byte(events(3, 5)))
	f.Add([]byte("id: 1\n"), []byte("\n\n\r\n"))
	f.Fuzz(func(t *testing.T, a, b []byte) {
		l := &eventLedger{}
		out, err := l.take(nil, a)
		if err != nil {
			return
		}
		if len(out)+len(l.partial) != len(a) {
			t.Fatalf("%d bytes passed and %d held of %d", len(out), len(l.partial), len(a))
		}
		l.join()
		// Only the absence of a panic counts after a join with any bytes.
		_, _ = l.take(nil, b)
	})
}
