package dialer_test

import (
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"monsoonspar.example/protocol/requester"
	"monsoonspar.example/transport/dialer"
)

// endlessServer answers each connection with a text and then repeats a part until the
// client closes the connection, or until it has sent maxEndlessBytes.
type endlessServer struct {
	addr string
	sent atomic.Int64
	done chan struct{} // Closed when the first connection has ended.
}

// maxEndlessBytes is the size after which an endless response ends all the same.
const maxEndlessBytes = 256 << 20

func startEndlessServer(t *testing.T, text, part string, pause time.Duration) *endlessServer {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &endlessServer{addr: ln.Addr().String(), done: make(chan struct{})}
	var group conc.WaitGroup
	t.Cleanup(func() { _ = ln.Close(); group.Wait() })
	group.Go(func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer close(s.done)
		defer func() { _ = c.Close() }()
		_, err = c.Read(make([]byte, 4096))
		if err == nil {
			_, err = io.WriteString(c, text)
		}
		for err == nil && s.sent.Load() < maxEndlessBytes {
			var n int
			n, err = io.WriteString(c, part)
			s.sent.Add(int64(n))
			time.Sleep(pause)
		}
	})
	return s
}

// Guards against a response to an earlier request that has no end and is read without a
// bound, and against heads, chunk sizes and trailers without end.
func TestEndlessResponsesEndConnection(t *testing.T) {
	const ok, stale = "HTTP/1.1 200 OK\r\nX-Id: new\r\n", "HTTP/1.1 200 OK\r\nX-Id: old\r\n"
	kilobyte := strings.Repeat("x", 1<<10)
	for _, c := range []struct{ name, text, part string }{
		{"stale body", stale + "\r\n", kilobyte},
		{"stale chunks", stale + "Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + kilobyte + "\r\n"},
		{"stale small chunks", stale + "Transfer-Encoding: chunked\r\n\r\n", strings.Repeat("1\r\nx\r\n", 100)},
		{"stale length", stale + "Content-Length: 99999999999\r\n\r\n", kilobyte},
		{"stale responses", "", stale + "Content-Length: 2\r\n\r\nok"},
		{"interim responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{"status line", "HTTP/1.1 200 ", kilobyte},
		{"field", ok + "X-A: ", kilobyte},
		{"fields", ok, "X-A: b\r\n"},
		{"chunk size", ok + "Transfer-Encoding: chunked\r\n\r\n", "0000000000"},
		{"chunk extension", ok + "Transfer-Encoding: chunked\r\n\r\n5;", kilobyte},
		{"trailer field", ok + "Transfer-Encoding: chunked\r\n\r\n0\r\nX-A: ", kilobyte},
		{"trailer fields", ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-A: b\r\n"},
		{"no response", "", kilobyte},
		{"blank lines", "", "\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := startEndlessServer(t, c.text, c.part, 0)
			d := newDialer(t, dialer.Config{})
			_, err := exchange(t, d, requester.Request{Addr: s.addr, EchoedHeader: requester.Header{Name: "X-Id", Value: "new"}})
			assert.ErrorIs(t, err, requester.ErrOutcomeUnknown)
			assert.Assert(t, len(err.Error()) <= 320, "%d bytes of error", len(err.Error()))
			<-s.done
			assert.Assert(t, s.sent.Load() < 16<<20, "%d bytes", s.sent.Load())
		})
	}
}

// Guards against a head or a response to an earlier request that arrives a byte now and
// then and holds up its request for ever.
func TestSlowEndlessResponsesEndConnection(t *testing.T) {
	for name, text := range map[string]string{
		"head":       "HTTP/1.1 200 OK\r\nX-A: ",
		"stale body": "HTTP/1.1 200 OK\r\nX-Id: old\r\nContent-Length: 100000\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := startEndlessServer(t, text, "x", 5*time.Millisecond)
			d := newDialer(t, dialer.Config{ReadTimeout: 100 * time.Millisecond})
			_, err := exchange(t, d, requester.Request{Addr: s.addr, EchoedHeader: requester.Header{Name: "X-Id", Value: "new"}})
			assert.ErrorIs(t, err, requester.ErrReadTimeout)
			<-s.done
		})
	}
}

// A response to an earlier request of moderate size is dropped, and the response behind
// it is returned.
func TestLargeStaleResponseIsDropped(t *testing.T) {
	stale := "HTTP/1.1 200 OK\r\nX-Id: old\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("x", 100000)
	s := startServer(t, stale+"HTTP/1.1 200 OK\r\nX-Id: new\r\nContent-Length: 2\r\n\r\nok")
	text, err := exchange(t, newDialer(t, dialer.Config{}), requester.Request{Addr: s.addr, EchoedHeader: requester.Header{Name: "X-Id", Value: "new"}})
	assert.NilError(t, err)
	assert.Equal(t, text, "ok")
}
