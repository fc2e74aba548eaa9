package forwarder

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"monsoonspar.example/state/matcher"
	"monsoonspar.example/state/registrar"
)

// Parameters of relays.
const (
	relayChunkBytes   = 32 << 10
	relayBaseChunks   = callReserveBytes / relayChunkBytes // Covered by the reservation of the call.
	relayRoomInterval = 250 * time.Millisecond             // Memory that others release is looked for after this time.
	prefixGrowth      = smallResponseBytes / callReserveBytes
	minPrefixBytes    = 512 // First buffer of a response of unknown length.
)

// errNotPassedOn means that a response is too large to be buffered, and is not passed on in pieces:
// it is a failure whose request may be repeated, or its client can't tell that it breaks off.
var errNotPassedOn = errors.New("the response is too large to be buffered")

// relayChunk is a piece of a response. Chunks are reused to spare the garbage collector.
type relayChunk struct {
	bytes [relayChunkBytes]byte
	n     int // Number of bytes that have been read from the endpoint.
}

var relayChunks = sync.Pool{New: func() any { return new(relayChunk) }}

// relay passes on a response that is too large to be buffered whole. One goroutine reads from the
// endpoint, ahead of the client as far as memory can be reserved; the goroutine that serves the
// client calls Read and Close. Read returns io.EOF only when the response is known to be complete.
// On any other error the HTTP library closes the connection before the end that the framing
// of the response marks.
type relay struct {
	f        *Forwarder
	x        *exchange
	endpoint registrar.Endpoint
	response Response
	ctx      context.Context
	cancel   context.CancelCauseFunc
	took     time.Duration // From the start of the attempt to the begin of the response.
	release  func()        // Ends the request; called by Close.
	readable waker         // Wakes Read.
	room     waker         // Wakes the goroutine that reads from the endpoint.

	mu          sync.Mutex
	prefixGrown int64         // Bytes reserved for prefix beyond the reservation of the call.
	prefix      []byte        // Read before the relay was started; it takes the place of the base chunks.
	chunks      []*relayChunk // Not yet returned by Read; only the last one may still be filled.
	taken       int           // Number of bytes of the first chunk that Read has returned.
	grown       int           // Number of chunks with a reservation of their own.
	err         error         // Set when the response has ended; io.EOF if it is complete.

	passedOn int  // Number of bytes that Read has returned.
	ended    bool // Read has returned io.EOF.
}

// passesOn reports whether a response that is too large to be buffered may be passed on in pieces.
func passesOn(x *exchange, res *Response, mayRetry bool) error {
	switch {
	case !res.FromEndpoint:
		return errUnverifiedResponse
	case x.route.Kind != matcher.Safe && promisesNotRun(res.Status):
		return errUnprovenRefusal
	case x.http10 && res.ContentLength < 0:
		return errNotPassedOn // Without chunks, a response that breaks off would look complete.
	case x.route.Kind == matcher.Safe && mayRetry && res.Status >= fasthttp.StatusInternalServerError:
		return errNotPassedOn
	}
	return nil
}

// readPrefix reads a body that is small to its end and closes it. Otherwise it returns what it has
// read, as far as there is memory for it, and false.
func (f *Forwarder) readPrefix(x *exchange, res *Response) (text []byte, whole bool, err error) {
	limit, maxLimit := callReserveBytes, smallResponseBytes
	if x.http10 && res.ContentLength < 0 {
		maxLimit = maxReadAheadBytes // It can't be passed on.
	}
	hasBody := x.req.Method != fasthttp.MethodHead && res.Status != fasthttp.StatusNoContent && res.Status != fasthttp.StatusNotModified
	if hasBody && res.ContentLength > smallResponseBytes {
		return nil, false, nil
	}
	text = make([]byte, 0, min(max(res.ContentLength+1, minPrefixBytes), limit))
	for {
		if len(text) == limit {
			next := min(prefixGrowth*limit, maxLimit)
			if next == limit || !x.memory.grow(int64(next-limit)) {
				return text, false, nil
			}
			limit = next
		}
		if len(text) == cap(text) {
			text = append(make([]byte, 0, min(2*cap(text), limit)), text...)
		}
		n, err := res.Body.Read(text[len(text):cap(text)])
		text = text[:len(text)+n]
		if err == io.EOF { //nolint:errorlint // A wrapped io.EOF marks a response that was truncated.
			return text, true, res.Body.Close()
		}
		if err != nil {
			_ = res.Body.Close() // The response is lost.
			f.countMalformed(err)
			return nil, false, errors.Wrap(err, "read response")
		}
	}
}

// newRelay returns a relay for a response of which prefix has been read. Call start to start it.
func newRelay(ctx context.Context, cancel context.CancelCauseFunc, f *Forwarder, x *exchange, e registrar.Endpoint, res Response, prefix []byte) *relay {
	return &relay{f: f, x: x, endpoint: e, response: res, ctx: ctx, cancel: cancel, readable: newWaker(), room: newWaker(), prefix: prefix, prefixGrown: int64(max(len(prefix)-callReserveBytes, 0))}
}

// start starts to read from the endpoint. It gets the time that the attempt took until now.
func (r *relay) start(took time.Duration) {
	r.took = took
	r.x.responding.Store(true)
	r.x.memory.charge(socketBytes)
	r.f.metrics.count("responses_passed_on")
	r.f.addRequestFields(r.f.log.Info(), r.x).Str("endpoint", r.endpoint.Name).Int("status", r.response.Status).Int("length", r.response.ContentLength).
		Stringer("framing", r.response.Framing).Msg("forwarder: response is passed on in pieces")
	r.f.spawn(r.run)
}

// run reads the response from the endpoint and records how it ended.
func (r *relay) run() {
	err := r.readAll()
	if err == nil {
		err = r.f.confirmEnd(r.ctx, r.endpoint, r.response)
	}
	_ = r.response.Body.Close() // Nothing more is read.
	r.f.countMalformed(err)
	a := callAttempt{response: r.response, err: err}
	if err != nil && r.ctx.Err() != nil {
		a.err = context.Cause(r.ctx)
	}
	// Before the client learns of the end: it closes the response, which cancels the context, and a
	// failure of the endpoint would count as the client's.
	r.f.finishAttempt(r.ctx, r.x, r.endpoint, &a, r.took)
	r.mu.Lock()
	r.err = err
	if err == nil {
		r.err = io.EOF
	}
	r.mu.Unlock()
	r.readable.wake()
}

// readAll reads the body until its end.
func (r *relay) readAll() error {
	for {
		c, err := r.awaitRoom()
		if err != nil {
			return err
		}
		n, err := r.response.Body.Read(c.bytes[c.n:])
		r.mu.Lock()
		c.n += n
		r.mu.Unlock()
		if n > 0 {
			r.readable.wake()
		}
		if err == io.EOF { //nolint:errorlint // A wrapped io.EOF marks a response that was truncated.
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// awaitRoom returns a chunk that is not full. It waits until there is memory for one.
func (r *relay) awaitRoom() (*relayChunk, error) {
	for {
		if c := r.tryRoom(); c != nil {
			return c, nil
		}
		if err := r.room.wait(r.ctx, r.f.clock, relayRoomInterval); err != nil {
			return nil, err
		}
	}
}

func (r *relay) tryRoom() *relayChunk {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := len(r.chunks)
	if n > 0 && r.chunks[n-1].n < relayChunkBytes {
		return r.chunks[n-1]
	}
	if len(r.prefix) > 0 || n-r.grown >= relayBaseChunks {
		if (n+1)*relayChunkBytes > maxReadAheadBytes || !r.x.memory.grow(relayChunkBytes) {
			return nil
		}
		r.grown++
	}
	c := relayChunks.Get().(*relayChunk)
	c.n = 0
	r.chunks = append(r.chunks, c)
	return c
}

// Read implements io.Reader.
func (r *relay) Read(p []byte) (int, error) {
	for {
		n, err := r.take(p)
		if n > 0 || err != nil {
			r.passedOn += n
			r.ended = err == io.EOF //nolint:errorlint // See err.
			return n, err
		}
		<-r.readable // The goroutine that reads from the endpoint ends with the context at the latest.
	}
}

// take returns the next bytes, or zero if there are none yet. A response that has failed ends at
// once, so that its bytes don't hold memory while a slow client reads them.
func (r *relay) take(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err != nil && r.err != io.EOF { //nolint:errorlint // See err.
		return 0, r.err
	}
	if len(r.prefix) > 0 {
		n := copy(p, r.prefix)
		if r.prefix = r.prefix[n:]; len(r.prefix) == 0 {
			r.prefix = nil
			r.x.memory.shrink(r.prefixGrown)
		}
		return n, nil
	}
	if len(r.chunks) == 0 {
		return 0, r.err
	}
	c := r.chunks[0]
	n := copy(p, c.bytes[r.taken:c.n])
	r.taken += n
	if r.taken == relayChunkBytes {
		r.chunks[0] = nil
		r.chunks, r.taken = r.chunks[1:], 0
		relayChunks.Put(c)
		if r.grown > 0 {
			r.grown--
			r.x.memory.shrink(relayChunkBytes)
		}
		r.room.wake()
	}
	if n == 0 {
		return 0, r.err
	}
	return n, nil
}

// Close implements io.Closer. It ends the request, and the work of the endpoint if the response has
// not been read to its end.
func (r *relay) Close() error {
	if r.release == nil {
		return nil
	}
	r.mu.Lock()
	err := r.err
	r.mu.Unlock()
	if r.ended || r.passedOn == r.response.ContentLength {
		r.f.recordAnswered(r.x, r.endpoint, &r.response, r.passedOn)
	} else {
		r.logCut(err)
	}
	r.cancel(errClientDisconnected)
	r.release()
	r.release = nil
	return nil
}

// logCut logs that the response did not reach the client whole.
func (r *relay) logCut(err error) {
	reason := ReasonResponseCut
	switch cause := context.Cause(r.ctx); {
	case r.x.stalled:
		reason = ReasonCallerStalled
	case errors.Is(cause, errTimeout):
		reason = ReasonTimeout
	case errors.Is(cause, errClientDisconnected), err == nil, err == io.EOF: //nolint:errorlint // See err.
		reason = ReasonClientDisconnected
	}
	r.f.metrics.count("responses_" + string(reason))
	r.f.addRequestFields(r.f.log.Warn(), r.x).Err(err).Str("reason", string(reason)).Str("endpoint", r.endpoint.Name).Int("status", r.response.Status).
		Int("bytes", r.passedOn).Stringer("framing", r.response.Framing).Msg("forwarder: response ended early")
}
