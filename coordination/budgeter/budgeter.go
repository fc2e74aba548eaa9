// Package budgeter limits the retries of each service. A retry is any arrival of
// a request at an endpoint after its first.
//
// The limit applies to all daemons together: in any window of time, the number of
// retries may be at most a ratio of the number of requests, plus a fixed slack.
// Both terms are additive, so each daemon enforces the ratio on its own requests
// and an equal share of the slack, without coordinating with the others.
package budgeter

import (
	"sync"
	"time"
)

// Config is the limit of one service. All fields are required.
type Config struct {
	Ratio  float64       // Retries per request.
	Slack  float64       // Retries in a window regardless of requests, for all daemons together.
	Window time.Duration // The limit holds in any interval of this length.
}

// slicesPerWindow is the number of time slices in a window; the window slides
// by one slice.
const slicesPerWindow = 20

// safetyFactor keeps the daemons together below the limit while they disagree
// on the number of daemons.
const safetyFactor = 0.8

// Budgeter enforces the limits of all services. It is safe for concurrent use.
type Budgeter struct {
	cfg Config

	mu       sync.Mutex
	daemons  int
	epoch    time.Time // Start of slice 0, on the monotonic clock.
	services map[string]*serviceCounts
}

// serviceCounts are the requests and retries of a service by time slice, as
// ring buffers.
type serviceCounts struct {
	requests    [slicesPerWindow + 1]int
	retries     [slicesPerWindow + 1]int
	newestSlice int64 // Index of the newest slice, counted from the epoch.
}

// New returns a Budgeter with no requests or retries recorded.
func New(cfg Config) *Budgeter {
	return &Budgeter{cfg: cfg, daemons: 1, services: map[string]*serviceCounts{}}
}

// SetDaemons sets the number of daemons that share the slack.
func (b *Budgeter) SetDaemons(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.daemons = max(n, 1)
}

// SetLimits changes the ratio and the slack. The window does not change.
func (b *Budgeter) SetLimits(ratio, slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cfg.Ratio, b.cfg.Slack = ratio, slack
}

// RecordRequest records a client request for a service.
func (b *Budgeter) RecordRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.advance(service, now)
	c.requests[c.newestSlice%(slicesPerWindow+1)]++
}

// TryRetry reports whether a request for the service may be retried, and records
// the retry if so. The reserve is the fraction of the budget, from 0 to 1, that
// this retry must not use; it is kept for retries with a smaller reserve.
func (b *Budgeter) TryRetry(service string, reserve float64, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.advance(service, now)
	requests, retries := 0, 0
	for i := range c.requests {
		requests += c.requests[i]
		retries += c.retries[i]
	}
	limit := safetyFactor * (b.cfg.Ratio*float64(requests) + b.cfg.Slack/float64(b.daemons))
	if float64(retries+1) > limit*(1-reserve) {
		return false
	}
	c.retries[c.newestSlice%(slicesPerWindow+1)]++
	return true
}

// advance returns the counts of a service after clearing the slices that have
// expired by now. The mutex must be held.
func (b *Budgeter) advance(service string, now time.Time) *serviceCounts {
	if b.epoch.IsZero() {
		b.epoch = now
	}
	slice := int64(now.Sub(b.epoch) / (b.cfg.Window / slicesPerWindow))
	c := b.services[service]
	if c == nil {
		c = &serviceCounts{newestSlice: slice}
		b.services[service] = c
	}
	for n := 0; c.newestSlice < slice && n <= slicesPerWindow; n++ {
		c.newestSlice++
		c.requests[c.newestSlice%(slicesPerWindow+1)] = 0
		c.retries[c.newestSlice%(slicesPerWindow+1)] = 0
	}
	c.newestSlice = max(c.newestSlice, slice)
	return c
}
