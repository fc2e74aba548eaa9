package responder

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"runtime/debug"
	"strconv"

	"monsoonspar.example/coordination/sequencer"

	"github.com/pkg/errors"
)

// eventBatchBytes is the size at which a batch of encoded events is sent even if
// more events are buffered. With its last event and the framing, a batch mostly
// fits into the write buffer of a connection, which is 4 KiB.
const eventBatchBytes = 3800

// eventReader encodes one completion as server-sent events. It is read by the
// goroutine that serves the connection. It is not safe for concurrent use.
type eventReader struct {
	stream  Stream
	pending *Chunk // First chunk of stream, read ahead; nil once it is encoded.
	encoder *chunkEncoder
	checker *sequencer.DeliveryChecker
	buf     []byte
	unread  []byte // Part of buf that Read has not returned yet.
	done    bool   // The end of the completion is in buf.
}

// SupportsBodyWriteTo makes fasthttp call WriteTo, which saves a second buffer.
func (e *eventReader) SupportsBodyWriteTo() bool { return true }

// WriteTo writes the events as they arrive, with one Write for events that are
// available together. It fails if the caller has disconnected.
func (e *eventReader) WriteTo(w io.Writer) (int64, error) {
	var written int64
	for !e.done {
		if err := e.fill(); err != nil {
			return written, err
		}
		n, err := w.Write(e.buf)
		written += int64(n)
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// Read returns the next events, and io.EOF after the last.
func (e *eventReader) Read(p []byte) (int, error) {
	if len(e.unread) == 0 {
		if e.done {
			return 0, io.EOF
		}
		if err := e.fill(); err != nil {
			return 0, err
		}
		e.unread = e.buf
	}
	n := copy(p, e.unread)
	e.unread = e.unread[n:]
	return n, nil
}

// Close closes the stream.
func (e *eventReader) Close() error {
	e.stream.Close()
	return nil
}

// fill waits for an event and encodes it together with buffered ones into buf.
func (e *eventReader) fill() error {
	defer crashOnPanic()
	e.buf = e.buf[:0]
	for len(e.buf) < eventBatchBytes {
		ch, err := e.nextChunk()
		if err != nil {
			e.done = true
			return e.appendEnd(err)
		}
		if ch.KeepAlive {
			e.buf = append(e.buf, ": keep-alive\n\n"...)
			return nil
		}
		if err := e.appendToken(ch); err != nil {
			return err
		}
		if !ch.MoreBuffered {
			return nil
		}
	}
	return nil
}

// nextChunk returns the pending chunk or the next one of the stream.
func (e *eventReader) nextChunk() (Chunk, error) {
	if e.pending == nil {
		return e.stream.Next()
	}
	ch := *e.pending
	e.pending = nil
	return ch, nil
}

// appendToken appends the event for one token to buf.
func (e *eventReader) appendToken(ch Chunk) error {
	e.checker.Check(ch.Token)
	e.buf = append(e.buf, "id: "...)
	e.buf = strconv.AppendInt(e.buf, int64(ch.Token.Index), 10)
	e.buf = append(e.buf, ch.EventIDSuffix...)
	e.buf = append(e.buf, "\ndata: "...)
	var err error
	if e.buf, err = e.encoder.appendChunk(e.buf, ch.Token, ch.Usage); err != nil {
		return err
	}
	e.buf = append(e.buf, "\n\n"...)
	return nil
}

// appendEnd appends the end of the completion to buf: the [DONE] event if err is
// io.EOF, otherwise an error event.
func (e *eventReader) appendEnd(err error) error {
	if errors.Is(err, io.EOF) {
		e.buf = append(e.buf, "data: [DONE]\n\n"...)
		return nil
	}
	body, encodeErr := json.Marshal(newErrorBody(asRequestError(err)))
	if encodeErr != nil {
		return errors.Wrap(encodeErr, "encode error event")
	}
	e.buf = append(e.buf, "event: error\ndata: "...)
	e.buf = append(e.buf, body...)
	e.buf = append(e.buf, "\n\n"...)
	return nil
}

// crashOnPanic is deferred where fasthttp would recover a panic and treat it as a
// lost connection. It ends the process with the panic, which it raises again in a
// goroutine of its own.
func crashOnPanic() {
	v := recover()
	if v == nil {
		return
	}
	text := fmt.Sprintf("%v\n%s", v, debug.Stack())
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	context.AfterFunc(ended, func() { panic(text) })
	select {} // Blocks until the process ends.
}
