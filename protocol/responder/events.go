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

// eventBatchBytes is the size of encoded events from which on they are sent
// although more could follow at once. A batch with its last event and its framing
// mostly fits into the write buffer of a connection, which is 4 KiB.
const eventBatchBytes = 3800

// eventReader is one answer as server-sent events. It is read by the goroutine
// that serves the connection. It is not safe for concurrent use.
type eventReader struct {
	s       Stream
	first   *Chunk // What s has returned already, until it is encoded.
	encoder *chunkEncoder
	ledger  *sequencer.DeliveryChecker
	buf     []byte
	unread  []byte // Part of buf that Read has not returned.
	ended   bool   // Nothing follows what is in buf.
}

// SupportsBodyWriteTo tells fasthttp to send by WriteTo, which needs no second
// buffer.
func (e *eventReader) SupportsBodyWriteTo() bool { return true }

// WriteTo writes the events as they come, with one Write for those that are
// there at once. It fails if the caller is gone.
func (e *eventReader) WriteTo(w io.Writer) (int64, error) {
	var written int64
	for !e.ended {
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
		if e.ended {
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

// Close ends the reading of the answer.
func (e *eventReader) Close() error {
	e.s.Close()
	return nil
}

// fill waits for an event and encodes it with those that are there as well.
func (e *eventReader) fill() error {
	defer escalatePanic()
	e.buf = e.buf[:0]
	for len(e.buf) < eventBatchBytes {
		ch, err := e.next()
		if err != nil {
			e.ended = true
			return e.appendEnd(err)
		}
		if ch.KeepAlive {
			e.buf = append(e.buf, ": keep-alive\n\n"...)
			return nil
		}
		if err := e.appendToken(ch); err != nil {
			return err
		}
		if !ch.More {
			return nil
		}
	}
	return nil
}

// next returns the next chunk of the answer.
func (e *eventReader) next() (Chunk, error) {
	if e.first == nil {
		return e.s.Next()
	}
	ch := *e.first
	e.first = nil
	return ch, nil
}

// appendToken encodes the event of one token.
func (e *eventReader) appendToken(ch Chunk) error {
	e.ledger.Check(ch.Token)
	e.buf = append(e.buf, "id: "...)
	e.buf = strconv.AppendInt(e.buf, int64(ch.Token.Index), 10)
	e.buf = append(e.buf, ch.Resume...)
	e.buf = append(e.buf, "\ndata: "...)
	var err error
	if e.buf, err = e.encoder.appendChunk(e.buf, ch.Token, ch.Usage); err != nil {
		return err
	}
	e.buf = append(e.buf, "\n\n"...)
	return nil
}

// appendEnd encodes the end of the answer, which is an error event unless err
// is io.EOF.
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

// escalatePanic is deferred where fasthttp would recover a panic and take it
// for a lost connection. It lets the panic end the process.
func escalatePanic() {
	v := recover()
	if v == nil {
		return
	}
	text := fmt.Sprintf("%v\n%s", v, debug.Stack())
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	context.AfterFunc(ended, func() { panic(text) })
	select {} // The process ends.
}
