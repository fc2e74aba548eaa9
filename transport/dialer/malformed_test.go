package dialer_test

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"monsoonspar.example/protocol/decoder"
	"monsoonspar.example/protocol/requester"
	"monsoonspar.example/standin/malformer"
	"monsoonspar.example/transport/dialer"
)

// Guards against a malformed response that counts as a response, or whose connection is used again.
func TestMalformedResponsesEndConnection(t *testing.T) {
	for _, c := range append(malformer.MalformedHeads(), malformer.MalformedBodies()...) {
		t.Run(c.Name, func(t *testing.T) {
			s := startServer(t, c.Text("X-Id: new\r\n"), okResponse)
			d := newDialer(t, dialer.Config{})
			echoed := requester.Header{Name: "X-Id", Value: "new"}
			_, err := exchange(t, d, requester.Request{Addr: s.addr, EchoedHeader: echoed})
			assert.ErrorIs(t, err, decoder.ErrMalformed)
			assert.ErrorIs(t, err, requester.ErrOutcomeUnknown)
			assert.Assert(t, !errors.Is(err, requester.ErrNotSent))
			text, err := exchange(t, d, requester.Request{Addr: s.addr})
			assert.NilError(t, err)
			assert.Equal(t, text, "ok")
			assert.Equal(t, s.conns.Load(), int64(2))
		})
	}
}

// Guards against a response to an earlier request that is malformed and is dropped like a sound one.
func TestMalformedStaleResponseEndsConnection(t *testing.T) {
	for _, c := range append(malformer.MalformedHeads(), malformer.MalformedBodies()...) {
		s := startServer(t, c.Text("X-Id: old\r\n")+"HTTP/1.1 200 OK\r\nX-Id: new\r\nContent-Length: 2\r\n\r\nok")
		d := newDialer(t, dialer.Config{})
		_, err := exchange(t, d, requester.Request{Addr: s.addr, EchoedHeader: requester.Header{Name: "X-Id", Value: "new"}})
		assert.ErrorIs(t, err, decoder.ErrMalformed, c.Name)
	}
}

// Guards against rare responses that are refused although they break no rule.
func TestSoundResponsesAreReturned(t *testing.T) {
	for _, c := range malformer.Sound() {
		s := startServer(t, c.Text("X-Id: new\r\n"))
		d := newDialer(t, dialer.Config{})
		text, err := exchange(t, d, requester.Request{Addr: s.addr, EchoedHeader: requester.Header{Name: "X-Id", Value: "new"}})
		assert.NilError(t, err, c.Name)
		assert.Equal(t, text, malformer.Body)
	}
}
