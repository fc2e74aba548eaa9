// Package budgeter limits the requests that daemons send once more.
//
// The limit of a service holds for all daemons together: in any window, the
// arrivals beyond the first of each request may be at most a ratio of the
// requests, plus a fixed number. Both are linear, so each daemon keeps to the
// ratio of its own requests and an even part of the fixed number, without
// talking to the others.
package budgeter

import (
	"sync"
	"time"
)

// Config is the limit of one service. All fields are needed.
type Config struct {
	Ratio  float64       // Repeats per request.
	Slack  float64       // Repeats in a window whatever the requests, for all daemons.
	Window time.Duration // Any span of this length counts.
}

// slices divide the window, so that it slides in steps.
const slices = 20

// margin keeps the daemons together below the limit while their counts of each
// other differ.
const margin = 0.8

// Budgeter holds the limits of all services. It is safe for concurrent use.
type Budgeter struct {
	cfg Config

	mu       sync.Mutex
	daemons  int
	start    time.Time // Slices are counted from here, on the monotonic clock.
	services map[string]*counts
}

// counts are the requests and repeats of a service by slice of time.
type counts struct {
	requests [slices + 1]int
	repeats  [slices + 1]int
	slice    int64 // Number of the newest slice.
}

// New returns a Budgeter in which nothing has been counted.
func New(cfg Config) *Budgeter {
	return &Budgeter{cfg: cfg, daemons: 1, services: map[string]*counts{}}
}

// SetDaemons sets the number of daemons that share the fixed number.
func (b *Budgeter) SetDaemons(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.daemons = max(n, 1)
}

// SetLimits changes the ratio and the fixed number. The window stays.
func (b *Budgeter) SetLimits(ratio, slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cfg.Ratio, b.cfg.Slack = ratio, slack
}

// Request counts a client's request for a service.
func (b *Budgeter) Request(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.advance(service, now)
	c.requests[c.slice%(slices+1)]++
}

// Repeat reports whether a request for the service may be sent once more, and
// counts it if so. The reserve is the part of the budget, from 0 to 1, that is
// left to more important repeats.
func (b *Budgeter) Repeat(service string, reserve float64, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.advance(service, now)
	requests, repeats := 0, 0
	for i := range c.requests {
		requests += c.requests[i]
		repeats += c.repeats[i]
	}
	limit := margin * (b.cfg.Ratio*float64(requests) + b.cfg.Slack/float64(b.daemons))
	if float64(repeats+1) > limit*(1-reserve) {
		return false
	}
	c.repeats[c.slice%(slices+1)]++
	return true
}

// advance moves the counts of a service to now. The mutex is held.
func (b *Budgeter) advance(service string, now time.Time) *counts {
	if b.start.IsZero() {
		b.start = now
	}
	slice := int64(now.Sub(b.start) / (b.cfg.Window / slices))
	c := b.services[service]
	if c == nil {
		c = &counts{slice: slice}
		b.services[service] = c
	}
	for n := 0; c.slice < slice && n <= slices; n++ {
		c.slice++
		c.requests[c.slice%(slices+1)] = 0
		c.repeats[c.slice%(slices+1)] = 0
	}
	c.slice = max(c.slice, slice)
	return c
}
