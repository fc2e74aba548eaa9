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

// TestMain checks that no goroutine is leaked, except for two of the fasthttp
// server that end only after a sleep.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"))
}

const (
	okResponse  = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-A: b\r\n\r\nok"
	hangSuffix  = "hang"  // The server sends nothing more on the open connection.
	closeSuffix = "close" // The server closes the connection.
)

// server is a scripted HTTP server: each request, on any connection, gets the
// next response. Responses may be truncated or missing.
type server struct {
	addr     string
	requests atomic.Int64
	conns    atomic.Int64

	mu         sync.Mutex
	responses  []string
	open       []net.Conn
	lastHeader string // Of the last request.
	stop       chan struct{}
}

func startServer(t *testing.T, responses ...string) *server {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &server{addr: ln.Addr().String(), responses: responses, stop: make(chan struct{})}
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
		s.lastHeader = req.Header.String()
		response := closeSuffix
		if len(s.responses) > 0 {
			response, s.responses = s.responses[0], s.responses[1:]
		}
		s.mu.Unlock()
		text, closes := strings.CutSuffix(response, closeSuffix)
		text, hangs := strings.CutSuffix(text, hangSuffix)
		_, _ = io.WriteString(c, text)
		if hangs {
			<-s.stop
		}
		if closes || hangs {
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

// exchange sends a request and reads the complete response.
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

func TestConnectionIsReused(t *testing.T) {
	s := startServer(t, okResponse, okResponse, okResponse)
	d := newDialer(t, dialer.Config{})
	for range 3 {
		text, err := exchange(t, d, requester.Request{Addr: s.addr})
		assert.NilError(t, err)
		assert.Equal(t, text, "ok")
	}
	assert.Equal(t, s.conns.Load(), int64(1))
}

// Guards against a response that counts as the only one of its connection: a late copy of an
// earlier refusal would prove that the request did not run.
func TestResponsesOnReusedConnectionsAreTold(t *testing.T) {
	s := startServer(t, okResponse, okResponse, okResponse)
	d := newDialer(t, dialer.Config{})
	for n, own := range []bool{false, false, true} {
		res, err := d.Do(t.Context(), requester.Request{Method: "GET", Path: "/", Addr: s.addr, OwnConnection: own})
		assert.NilError(t, err)
		_, err = res.ReadAll(100)
		assert.NilError(t, err)
		assert.Equal(t, res.Reused, n == 1, "%d", n)
	}
}

// A request is not sent again if the server closes the connection after reading
// it, whatever its method and whether or not the connection came from the pool.
func TestNoHiddenRetry(t *testing.T) {
	for _, method := range []string{"GET", "HEAD", "PUT", "DELETE", "POST"} {
		for _, nonIdempotent := range []bool{false, true} {
			for _, pooled := range []bool{false, true} {
				s := startServer(t, closeSuffix)
				d := newDialer(t, dialer.Config{NonIdempotentMaxIdleAge: time.Hour})
				want := int64(1)
				if pooled {
					s.responses = []string{okResponse, closeSuffix}
					_, err := exchange(t, d, requester.Request{Addr: s.addr})
					assert.NilError(t, err)
					want = 2
				}
				req := requester.Request{Method: method, Addr: s.addr, NonIdempotent: nonIdempotent, Body: []byte("x")}
				_, err := exchange(t, d, req)
				assert.ErrorIs(t, err, requester.ErrOutcomeUnknown)
				assert.Equal(t, s.requests.Load(), want, "%s %v %v", method, nonIdempotent, pooled)
			}
		}
	}
}

func TestErrNotSentOnlyIfNothingWasWritten(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := ln.Addr().String()
	assert.NilError(t, ln.Close())
	d := newDialer(t, dialer.Config{})
	_, err = exchange(t, d, requester.Request{Addr: addr})
	assert.ErrorIs(t, err, requester.ErrNotSent)
	assert.Assert(t, !errors.Is(err, requester.ErrOutcomeUnknown))

	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = d.Do(ctx, requester.Request{Method: "GET", Path: "/", Addr: addr})
	assert.ErrorIs(t, err, requester.ErrNotSent)
	assert.ErrorIs(t, err, context.Canceled)
}

// An idle connection that the server has closed, or on which it has sent data
// that no request asked for, is not reused.
func TestBrokenIdleConnectionsAreNotUsed(t *testing.T) {
	twoResponses := okResponse + okResponse
	for _, response := range []string{okResponse, twoResponses} {
		s := startServer(t, response, okResponse)
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

func TestNonIdempotentRequestAvoidsLongIdleConnection(t *testing.T) {
	s := startServer(t, okResponse, okResponse, okResponse)
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

// shiftedClock is the system clock with an offset.
type shiftedClock struct{ shift atomic.Int64 }

func (c *shiftedClock) Now() time.Time { return time.Now().Add(time.Duration(c.shift.Load())) }

func TestUnreadBodyClosesConnection(t *testing.T) {
	s := startServer(t, okResponse, okResponse)
	d := newDialer(t, dialer.Config{})
	res, err := d.Do(t.Context(), requester.Request{Method: "GET", Path: "/", Addr: s.addr})
	assert.NilError(t, err)
	assert.NilError(t, res.Body.Close())
	_, err = exchange(t, d, requester.Request{Addr: s.addr})
	assert.NilError(t, err)
	assert.Equal(t, s.conns.Load(), int64(2))
}

func TestTimeoutsAndTruncationAreDetected(t *testing.T) {
	const (
		chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		one     = "3\r\nabc\r\n"
	)
	for _, c := range []struct {
		name     string
		response string
		text     string
		want     error
	}{
		{"no header", hangSuffix, "", requester.ErrReadTimeout},
		{"truncated header", "HTTP/1.1 200 OK\r\nX", "", requester.ErrOutcomeUnknown},
		{"timeout after a chunk", chunked + one + hangSuffix, "abc", requester.ErrReadTimeout},
		{"truncated after a chunk", chunked + one + closeSuffix, "abc", io.ErrUnexpectedEOF},
		{"truncated in a chunk size", chunked + one + "1" + closeSuffix, "abc", requester.ErrOutcomeUnknown},
		{"truncated in a chunk", chunked + one + "5\r\nde" + closeSuffix, "abcde", requester.ErrOutcomeUnknown},
		{"truncated before the last line", chunked + one + "0\r\n" + closeSuffix, "abc", requester.ErrOutcomeUnknown},
		{"truncated in a body of known length", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc" + closeSuffix, "abc", io.ErrUnexpectedEOF},
		{"not HTTP", "\x00\x01\x02\r\n\r\n" + closeSuffix, "", requester.ErrOutcomeUnknown},
		{"complete", chunked + one + "0\r\n\r\n", "abc", nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := startServer(t, c.response)
			d := newDialer(t, dialer.Config{ReadTimeout: 50 * time.Millisecond})
			text, err := exchange(t, d, requester.Request{Addr: s.addr})
			assert.Equal(t, text, c.text)
			if c.want == nil {
				assert.NilError(t, err)
				return
			}
			assert.ErrorIs(t, err, c.want)
			assert.ErrorIs(t, err, requester.ErrOutcomeUnknown)
		})
	}
}

func TestCanceledContextEndsRead(t *testing.T) {
	s := startServer(t, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc"+hangSuffix)
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

func TestConnectionHeadersAreNotForwarded(t *testing.T) {
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
	assert.Assert(t, strings.HasPrefix(s.lastHeader, "GET /a%2Fb?c=d HTTP/1.1\r\n"), s.lastHeader)
	assert.Assert(t, !strings.Contains(s.lastHeader, "\nX-D"), s.lastHeader)
	assert.Assert(t, !strings.Contains(s.lastHeader, "Content-Length: 7"), s.lastHeader)
}

// A request to a server that no longer responds on an open connection fails after
// the read timeout of the request, which overrides the longer default.
func TestRequestReadTimeoutOverridesDefault(t *testing.T) {
	s := startServer(t, hangSuffix)
	d := newDialer(t, dialer.Config{ReadTimeout: time.Hour})
	_, err := exchange(t, d, requester.Request{Addr: s.addr, ReadTimeout: 20 * time.Millisecond})
	assert.ErrorIs(t, err, requester.ErrReadTimeout)
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
