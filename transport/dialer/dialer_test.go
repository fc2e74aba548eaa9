package dialer_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"monsoonspar.example/protocol/requester"
	"monsoonspar.example/state/timekeeper"
	"monsoonspar.example/transport/dialer"
)

// The goroutines of the library's server outlive it by a sleep.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"))
}

const (
	whole   = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-A: b\r\n\r\nok"
	hang    = "hang"  // Keeps the connection and sends nothing more.
	closing = "close" // Closes the connection.
)

// server reads requests and gives one scripted answer after the other, on
// whichever connections they come. Its answers may be cut or missing.
type server struct {
	addr     string
	requests atomic.Int64
	conns    atomic.Int64

	mu      sync.Mutex
	answers []string
	open    []net.Conn
	head    string // Of the last request.
	stop    chan struct{}
}

func startServer(t *testing.T, answers ...string) *server {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &server{addr: ln.Addr().String(), answers: answers, stop: make(chan struct{})}
	var group conc.WaitGroup
	group.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			s.mu.Lock()
			s.open = append(s.open, c)
			s.mu.Unlock()
			group.Go(func() { s.serve(c) })
		}
	})
	t.Cleanup(func() {
		_ = ln.Close()
		s.closeAll()
		close(s.stop)
		group.Wait()
	})
	return s
}

func (s *server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.open {
		_ = c.Close()
	}
	s.open = nil
}

func (s *server) serve(c net.Conn) {
	r := bufio.NewReader(c)
	for {
		var req fasthttp.Request
		if req.Read(r) != nil {
			return
		}
		s.requests.Add(1)
		s.mu.Lock()
		s.head = req.Header.String()
		answer := closing
		if len(s.answers) > 0 {
			answer, s.answers = s.answers[0], s.answers[1:]
		}
		s.mu.Unlock()
		text, cut := strings.CutSuffix(answer, closing)
		text, hung := strings.CutSuffix(text, hang)
		_, _ = io.WriteString(c, text)
		if hung {
			<-s.stop
		}
		if cut || hung {
			_ = c.Close()
			return
		}
	}
}

func newDialer(t *testing.T, cfg dialer.Config) *dialer.Dialer {
	t.Helper()
	d := dialer.New(cfg, timekeeper.System{})
	t.Cleanup(d.Close)
	return d
}

// exchange makes one request and reads its whole answer.
func exchange(t *testing.T, d *dialer.Dialer, req requester.Request) (string, error) {
	t.Helper()
	if req.Method == "" {
		req.Method = "GET"
	}
	if req.Path == "" {
		req.Path = "/"
	}
	res, err := d.Do(t.Context(), req)
	if err != nil {
		return "", err
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	return string(text), err
}

func TestAnswerAndReuse(t *testing.T) {
	s := startServer(t, whole, whole, whole)
	d := newDialer(t, dialer.Config{})
	for range 3 {
		text, err := exchange(t, d, requester.Request{Addr: s.addr})
		assert.NilError(t, err)
		assert.Equal(t, text, "ok")
	}
	assert.Equal(t, s.conns.Load(), int64(1))
}

// A server that closes the connection after it has read a request sees that
// request once, whatever its method and whether or not the connection was new.
func TestNoHiddenRetry(t *testing.T) {
	for _, method := range []string{"GET", "HEAD", "PUT", "DELETE", "POST"} {
		for _, nonIdempotent := range []bool{false, true} {
			for _, pooled := range []bool{false, true} {
				s := startServer(t, closing)
				d := newDialer(t, dialer.Config{FreshAge: time.Hour})
				want := int64(1)
				if pooled {
					s.answers = []string{whole, closing}
					_, err := exchange(t, d, requester.Request{Addr: s.addr})
					assert.NilError(t, err)
					want = 2
				}
				req := requester.Request{Method: method, Addr: s.addr, NonIdempotent: nonIdempotent, Body: []byte("x")}
				_, err := exchange(t, d, req)
				assert.ErrorIs(t, err, requester.ErrUnknown)
				assert.Equal(t, s.requests.Load(), want, "%s %v %v", method, nonIdempotent, pooled)
			}
		}
	}
}

func TestNotSentIsSaidOnlyWhenNothingWasWritten(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := ln.Addr().String()
	assert.NilError(t, ln.Close())
	d := newDialer(t, dialer.Config{})
	_, err = exchange(t, d, requester.Request{Addr: addr})
	assert.ErrorIs(t, err, requester.ErrNotSent)
	assert.Assert(t, !errors.Is(err, requester.ErrUnknown))

	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = d.Do(ctx, requester.Request{Method: "GET", Path: "/", Addr: addr})
	assert.ErrorIs(t, err, requester.ErrNotSent)
	assert.ErrorIs(t, err, context.Canceled)
}

// A connection that the other side has closed or written to out of turn is not
// used for a request.
func TestBrokenIdleConnectionsAreNotUsed(t *testing.T) {
	stray := whole + whole
	for _, answer := range []string{whole, stray} {
		s := startServer(t, answer, whole)
		d := newDialer(t, dialer.Config{})
		_, err := exchange(t, d, requester.Request{Addr: s.addr})
		assert.NilError(t, err)
		s.closeAll()
		text, err := exchange(t, d, requester.Request{Addr: s.addr, Method: "POST", NonIdempotent: true})
		assert.NilError(t, err)
		assert.Equal(t, text, "ok")
		assert.Equal(t, s.conns.Load(), int64(2))
	}
}

func TestNonIdempotentRequestTakesAFreshConnection(t *testing.T) {
	s := startServer(t, whole, whole, whole)
	clock := &shiftedClock{}
	d := dialer.New(dialer.Config{}, clock)
	t.Cleanup(d.Close)
	_, err := exchange(t, d, requester.Request{Addr: s.addr})
	assert.NilError(t, err)
	clock.shift.Store(int64(301 * time.Millisecond))
	_, err = exchange(t, d, requester.Request{Addr: s.addr, Method: "POST", NonIdempotent: true})
	assert.NilError(t, err)
	assert.Equal(t, s.conns.Load(), int64(2))
	_, err = exchange(t, d, requester.Request{Addr: s.addr})
	assert.NilError(t, err)
	assert.Equal(t, s.conns.Load(), int64(2))
}

// shiftedClock is the system's clock, moved forward.
type shiftedClock struct{ shift atomic.Int64 }

func (c *shiftedClock) Now() time.Time { return time.Now().Add(time.Duration(c.shift.Load())) }

func TestAbandonedAnswerClosesItsConnection(t *testing.T) {
	s := startServer(t, whole, whole)
	d := newDialer(t, dialer.Config{})
	res, err := d.Do(t.Context(), requester.Request{Method: "GET", Path: "/", Addr: s.addr})
	assert.NilError(t, err)
	assert.NilError(t, res.Body.Close())
	_, err = exchange(t, d, requester.Request{Addr: s.addr})
	assert.NilError(t, err)
	assert.Equal(t, s.conns.Load(), int64(2))
}

func TestSilenceAndCutsAreFound(t *testing.T) {
	const (
		chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		one     = "3\r\nabc\r\n"
	)
	for _, c := range []struct {
		name   string
		answer string
		text   string
		want   error
	}{
		{"no head", hang, "", requester.ErrSilent},
		{"half a head", "HTTP/1.1 200 OK\r\nX", "", requester.ErrUnknown},
		{"silent after a chunk", chunked + one + hang, "abc", requester.ErrSilent},
		{"cut after a chunk", chunked + one + closing, "abc", io.ErrUnexpectedEOF},
		{"cut in a chunk size", chunked + one + "1" + closing, "abc", requester.ErrUnknown},
		{"cut in a chunk", chunked + one + "5\r\nde" + closing, "abcde", requester.ErrUnknown},
		{"cut before the last line", chunked + one + "0\r\n" + closing, "abc", requester.ErrUnknown},
		{"cut in a body of known length", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc" + closing, "abc", io.ErrUnexpectedEOF},
		{"no HTTP", "\x00\x01\x02\r\n\r\n" + closing, "", requester.ErrUnknown},
		{"whole", chunked + one + "0\r\n\r\n", "abc", nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := startServer(t, c.answer)
			d := newDialer(t, dialer.Config{Silence: 50 * time.Millisecond})
			text, err := exchange(t, d, requester.Request{Addr: s.addr})
			assert.Equal(t, text, c.text)
			if c.want == nil {
				assert.NilError(t, err)
				return
			}
			assert.ErrorIs(t, err, c.want)
			assert.ErrorIs(t, err, requester.ErrUnknown)
		})
	}
}

func TestEndOfContextEndsARead(t *testing.T) {
	s := startServer(t, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc"+hang)
	d := newDialer(t, dialer.Config{})
	ctx, cancel := context.WithCancel(t.Context())
	res, err := d.Do(ctx, requester.Request{Method: "GET", Path: "/", Addr: s.addr})
	assert.NilError(t, err)
	defer func() { _ = res.Body.Close() }()
	_, err = io.ReadFull(res.Body, make([]byte, 3))
	assert.NilError(t, err)
	cancel()
	_, err = res.Body.Read(make([]byte, 1))
	assert.ErrorIs(t, err, context.Canceled)
}

func TestHeadersOfTheConnectionStayHere(t *testing.T) {
	s := startServer(t, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\nX-A: b\r\n\r\n")
	d := newDialer(t, dialer.Config{})
	res, err := d.Do(t.Context(), requester.Request{
		Method: "GET", Path: "/a%2Fb?c=d", Addr: s.addr,
		Header: []requester.Header{{Name: "Content-Length", Value: "7"}, {Name: "X-C", Value: "d\r\nX-D: e"}},
	})
	assert.NilError(t, err)
	assert.NilError(t, res.Body.Close())
	assert.DeepEqual(t, res.Header, []requester.Header{{Name: "X-A", Value: "b"}})
	s.mu.Lock()
	defer s.mu.Unlock()
	assert.Assert(t, strings.HasPrefix(s.head, "GET /a%2Fb?c=d HTTP/1.1\r\n"), s.head)
	assert.Assert(t, !strings.Contains(s.head, "\nX-D"), s.head)
	assert.Assert(t, !strings.Contains(s.head, "Content-Length: 7"), s.head)
}

// What a dead process leaves open is no reason to wait for longer than the
// silence that the request allows.
func TestRequestSetsItsOwnSilence(t *testing.T) {
	s := startServer(t, hang)
	d := newDialer(t, dialer.Config{Silence: time.Hour})
	_, err := exchange(t, d, requester.Request{Addr: s.addr, Silence: 20 * time.Millisecond})
	assert.ErrorIs(t, err, requester.ErrSilent)
}

func BenchmarkExchange(b *testing.B) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	var group conc.WaitGroup
	group.Go(func() {
		_ = fasthttp.Serve(ln, func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("ok") })
	})
	d := dialer.New(dialer.Config{}, timekeeper.System{})
	defer func() {
		d.Close()
		_ = ln.Close()
		group.Wait()
	}()
	b.ReportAllocs()
	for b.Loop() {
		res, err := d.Do(b.Context(), requester.Request{Method: "GET", Path: "/", Addr: ln.Addr().String()})
		assert.NilError(b, err)
		_, _ = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
	}
}
