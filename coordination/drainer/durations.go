package drainer

import (
	"sync"
	"time"

	"monsoonspar.example/state/estimator"
)

// Durations estimates how long requests take, so that a daemon that is stopping can refuse
// those that it would cut off. It is safe for concurrent use.
type Durations struct {
	mu        sync.Mutex
	estimator *estimator.Estimator // Of durations in milliseconds.
}

// NewDurations returns Durations without samples.
func NewDurations() *Durations { return &Durations{estimator: estimator.New()} }

// Record adds a request on a route of a service that took some time. If it has not ended,
// it would have taken longer.
func (d *Durations) Record(service, route string, took time.Duration, ended bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := estimator.Class{Model: service, Kind: route}
	if ended {
		d.estimator.Record(c, int(took.Milliseconds()))
	} else {
		d.estimator.RecordCensored(c, int(took.Milliseconds()))
	}
}

// Survival returns the probability that a request on a route of a service takes longer than
// left. Without samples it decreases with the logarithm of left.
func (d *Durations) Survival(service, route string, left time.Duration) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.estimator.Distribution(estimator.Class{Model: service, Kind: route}).Survival(int(left.Milliseconds()) + 1)
}
