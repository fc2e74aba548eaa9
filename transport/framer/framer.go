// Package framer carries calls between daemons over TCP.
//
// A connection begins with a handshake in which both sides prove possession of
// the shared key. After that it carries frames: a 4-byte big-endian length, then
// a msgpack envelope. The replies to calls arrive in any order. While a call is
// pending, the calling side sends pings that the peer's process answers, so that
// an unresponsive peer is detected although its connection is open, and the
// connection is closed.
package framer

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// Limits of the frame format.
const (
	Version           = 1
	MaxFrameBytes     = 2 << 20 // Of an encoded envelope.
	lengthBytes       = 4       // Of the length before each block.
	maxHandshakeBytes = 4 << 10 // Of one message of the handshake.
)

// Errors of the frame format and of calls.
var (
	ErrFrame       = errors.New("framer: malformed frame")
	ErrTooLong     = errors.New("framer: frame exceeds the size limit")
	ErrVersion     = errors.New("framer: unknown frame version")
	ErrKey         = errors.New("framer: peer does not hold the shared key")
	ErrUnreachable = errors.New("framer: peer cannot be reached")
	ErrLost        = errors.New("framer: connection to the peer was lost")
	ErrRemote      = errors.New("framer: peer returned an error")
	ErrClosed      = errors.New("framer: node is closed")

	errHeartbeatTimeout = errors.New("framer: heartbeat was not answered")
	errIdleTimeout      = errors.New("framer: connection was not used")
)

// frameKind is the type of a frame.
type frameKind uint8

const (
	kindCall frameKind = iota + 1
	kindReply
	kindError
	kindOneWay
	kindPing
	kindPong
	kindOpen // Turns the connection into a tunnel; Method is the target.
)

// envelope is the wire form of every frame after the handshake.
type envelope struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // Read by the codec.
	Version  uint8
	Kind     frameKind
	ID       uint64
	Method   string
	Body     []byte
}

// writeFrame writes one frame and flushes it.
func writeFrame(w *bufio.Writer, e envelope) (int, error) {
	e.Version = Version
	body, err := msgpack.Marshal(&e)
	if err != nil {
		return 0, errors.Wrap(err, "encode frame")
	}
	if len(body) > MaxFrameBytes {
		return 0, ErrTooLong
	}
	if err := writeBytes(w, body); err != nil {
		return 0, err
	}
	return lengthBytes + len(body), nil
}

// writeBytes writes one length-prefixed block and flushes it.
func writeBytes(w *bufio.Writer, body []byte) error {
	var length [lengthBytes]byte
	binary.BigEndian.PutUint32(length[:], uint32(len(body)))
	if _, err := w.Write(length[:]); err != nil {
		return errors.Wrap(err, "write frame length")
	}
	if _, err := w.Write(body); err != nil {
		return errors.Wrap(err, "write frame body")
	}
	return errors.Wrap(w.Flush(), "flush frame")
}

// readBytes reads one length-prefixed block of at most limit bytes.
func readBytes(r io.Reader, limit int) ([]byte, error) {
	var length [lengthBytes]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return nil, errors.Wrap(err, "read frame length")
	}
	n := binary.BigEndian.Uint32(length[:])
	if uint64(n) > uint64(limit) {
		return nil, ErrTooLong
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, errors.Wrap(err, "read frame body")
	}
	return body, nil
}

// readFrame reads one frame.
func readFrame(r io.Reader) (envelope, error) {
	body, err := readBytes(r, MaxFrameBytes)
	if err != nil {
		return envelope{}, err
	}
	return decodeFrame(body)
}

// decodeFrame decodes the envelope of one frame.
func decodeFrame(body []byte) (envelope, error) {
	var e envelope
	if err := msgpack.Unmarshal(body, &e); err != nil {
		return envelope{}, errors.Wrap(ErrFrame, err.Error())
	}
	if e.Version != Version {
		return envelope{}, ErrVersion
	}
	if e.Kind < kindCall || e.Kind > kindOpen {
		return envelope{}, ErrFrame
	}
	return e, nil
}
