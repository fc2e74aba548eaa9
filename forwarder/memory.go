package forwarder

import (
	"sync"

	"github.com/pkg/errors"

	"monsoonspar.example/state/matcher"
	"monsoonspar.example/state/reserver"
)

// Sizes, in bytes, of what the daemon reserves. See docs/design/memory.md.
const (
	memoryFraction      = 0.25      // Of daemon.memory_mb. The heap limit is 0.6 of it, and must also hold the daemon's own data and garbage.
	callReserveBytes    = 64 << 10  // Reserved before a call runs: enough to pass on a response of any size in pieces.
	streamReserveBytes  = 16 << 10  // Reserved before a generation runs. Events usually have a few hundred bytes.
	requestReserveBytes = 64 << 10  // Step in which the memory for the body of a request is reserved while it is read.
	freeRequestBytes    = 16 << 10  // Size of a request that is covered by the reservation of its response.
	smallResponseBytes  = 256 << 10 // Responses up to this size are buffered whole, so that they can be verified and their requests repeated.
	maxReadAheadBytes   = 4 << 20   // What one connection buffers of a response that is passed on.
	clientSendBytes     = 64 << 10  // Send buffer of client connections. It permits 10 Mbit/s at a round trip of 50 ms.
	socketBytes         = 128 << 10 // Charged for the socket buffers of a response that is passed on, at the client and at the endpoint.
)

// errNoMemory means that the memory for requests and responses is used up.
var errNoMemory = errors.New("the memory of the daemon for requests and responses is used up")

// newReserver returns the reserver of a daemon with the given memory in MB, zero for no limit.
func newReserver(memoryMB int) *reserver.Reserver {
	return reserver.New(int64(memoryFraction * float64(memoryMB) * (1 << 20)))
}

// reservation is the memory that is reserved for the current request of a connection. It is safe for
// concurrent use.
type reservation struct {
	reserver *reserver.Reserver

	mu       sync.Mutex
	customer string // Empty until the request has been read.
	bytes    int64
	closed   bool
}

// grow reserves n more bytes and reports whether there are as many.
func (m *reservation) grow(n int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed || !m.reserver.Grow(m.customer, n) {
		return false
	}
	m.bytes += n
	return true
}

// charge adds n bytes that are in use in any case.
func (m *reservation) charge(n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.closed {
		m.reserver.Charge(m.customer, n)
		m.bytes += n
	}
}

// shrink releases n bytes.
func (m *reservation) shrink(n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	n = min(n, m.bytes)
	m.reserver.Release(m.customer, n)
	m.bytes -= n
}

// admit assigns what is reserved to the customer of the request and reserves n bytes for its
// response. It reports whether there are as many.
func (m *reservation) admit(customer string, n int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reserver.Release(m.customer, m.bytes)
	m.customer = customer
	if !m.closed && m.reserver.Reserve(customer, m.bytes+n) {
		m.bytes += n
		return true
	}
	m.bytes = 0
	return false
}

// release releases all bytes when the request has ended.
func (m *reservation) release() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reserver.Release(m.customer, m.bytes)
	m.customer, m.bytes = "", 0
}

// close releases all bytes for good.
func (m *reservation) close() {
	m.release()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
}

// reserveMemory reserves the memory that a request needs before it may run. It returns the refusal
// if there is none.
func (f *Forwarder) reserveMemory(x *exchange) *Refusal {
	n, name := int64(callReserveBytes), ""
	if x.route.Kind == matcher.Streaming {
		n = streamReserveBytes
	}
	if x.customer != nil {
		name = x.customer.Name
	}
	if x.memory.admit(name, n) {
		return nil
	}
	return &memoryRefusal
}

// memoryRefusal is the refusal of a request for which there is no memory. Responses end within the
// time to return, or after the stall time.
var memoryRefusal = Refusal{Status: 503, Reason: ReasonMemory, RetryAfter: defaultRetryAfter}
