package drainer

import (
	"slices"
	"time"

	"monsoonspar.example/state/asserter"
)

// maxDepartures bounds the endpoints that are remembered as leaving.
const maxDepartures = 4096

// departure is one endpoint that is leaving.
type departure struct {
	boot    string
	until   time.Time // End of the notice; zero if none was given.
	expired bool
}

// Departures holds the endpoints that are leaving. From the first news on, an
// endpoint gets no new work; its streams go on until its notice runs out. Only
// a new life of the endpoint ends its departure. It is not safe for concurrent
// use.
type Departures struct {
	leaving map[string]departure
	present map[string]string // Latest boot id of each endpoint.
	past    map[string]string // The boot id before that.

	off departureMechanisms
}

// departureMechanisms are parts that tests switch off to show what they are for.
type departureMechanisms struct {
	sticky bool // Hold to the first news against a report that says otherwise.
	boots  bool // Ignore news of an earlier life.
}

// NewDepartures returns a Departures without endpoints.
func NewDepartures() *Departures {
	return &Departures{
		leaving: make(map[string]departure),
		present: make(map[string]string),
		past:    make(map[string]string),
	}
}

// Leave takes in news that endpoint is leaving, from the VM list, a report, a
// refusal, an operator or another daemon. An empty boot stands for the present
// life; a zero notice is one of unknown length. Leave reports whether this is
// the first news.
func (d *Departures) Leave(now time.Time, endpoint, boot string, notice time.Duration) bool {
	if boot != "" && boot == d.past[endpoint] && !d.off.boots {
		return false
	}
	if boot == "" {
		boot = d.present[endpoint]
	}
	var until time.Time
	if notice > 0 {
		until = now.Add(notice)
	}
	old, known := d.leaving[endpoint]
	if known {
		d.leaving[endpoint] = old.shorten(until)
		return false
	}
	if len(d.leaving) >= maxDepartures {
		return false
	}
	d.leaving[endpoint] = departure{boot: boot, until: until}
	return true
}

// shorten returns the departure with the earlier of two ends.
func (dep departure) shorten(until time.Time) departure {
	if dep.until.IsZero() || (!until.IsZero() && until.Before(dep.until)) {
		dep.until = until
	}
	return dep
}

// Observe takes in a report of endpoint that does not say that it is leaving.
// Only the report of a new life ends a departure.
func (d *Departures) Observe(endpoint, boot string) {
	if boot == d.past[endpoint] {
		return
	}
	if last := d.present[endpoint]; last != boot {
		d.past[endpoint] = last
		d.present[endpoint] = boot
	}
	if dep, ok := d.leaving[endpoint]; ok && (dep.boot != boot || d.off.sticky) {
		delete(d.leaving, endpoint)
	}
}

// Forget drops what is known of an endpoint that the manifest no longer names.
func (d *Departures) Forget(endpoint string) {
	delete(d.leaving, endpoint)
	delete(d.present, endpoint)
	delete(d.past, endpoint)
}

// MayStart reports whether endpoint may get new work.
func (d *Departures) MayStart(endpoint string) bool {
	_, leaving := d.leaving[endpoint]
	return !leaving
}

// Started must be called for each new piece of work. It checks that endpoint is
// not leaving.
func (d *Departures) Started(endpoint string) {
	asserter.That(d.MayStart(endpoint), asserter.NoWorkWhileLeaving, "new work at "+endpoint)
}

// Expired returns, once each, the endpoints whose notice has run out at now,
// sorted. What still runs there has ended, and need not wait for its timeouts.
func (d *Departures) Expired(now time.Time) []string {
	var out []string
	for name, dep := range d.leaving {
		if !dep.expired && !dep.until.IsZero() && !now.Before(dep.until) {
			dep.expired = true
			d.leaving[name] = dep
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}
