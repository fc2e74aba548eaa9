package forwarder

import (
	"fmt"
	"io"
	"maps"
	"time"

	"github.com/rs/zerolog"

	"monsoonspar.example/coordination/balancer"
	"monsoonspar.example/state/registrar"
)

// logCapacity logs a large change of the capacity that an endpoint of a plain service is
// believed to have.
func (f *Forwarder) logCapacity(service string, e registrar.Endpoint) {
	before, after, changed := f.balancer(service).TakeChange(e.Identity, f.clock.Now())
	if !changed {
		return
	}
	f.metrics.count("capacity_changes")
	f.log.Info().Str("service", service).Str("endpoint", e.Name).Dur("unit_ms", after.Unit).
		Float64("slowness", after.Slowness).Float64("slowness_before", before.Slowness).
		Float64("knee", after.Knee).Float64("knee_before", before.Knee).Int("slots", e.Slots).
		Msg("forwarder: capacity of an endpoint is believed to have changed")
}

// addCapacity adds what is believed of an endpoint of a plain service to a log line about a
// request, unless it is believed to be like the others.
func (f *Forwarder) addCapacity(line *zerolog.Event, service string, e registrar.Endpoint) *zerolog.Event {
	c, differs := f.balancer(service).Differs(e.Identity)
	if !differs {
		return line
	}
	return line.Float64("slowness", c.Slowness).Float64("knee", c.Knee)
}

// writeCapacities prints what is believed of each endpoint as metrics.
func (f *Forwarder) writeCapacities(w io.Writer) {
	f.servicesMu.Lock()
	balancers := maps.Clone(f.balancers)
	f.servicesMu.Unlock()
	for service, b := range balancers {
		for id, c := range b.Capacities() {
			writeCapacity(w, service, id.Name, c)
		}
	}
	for service, p := range f.allPlacers() {
		for id, speed := range p.Speeds() {
			fmt.Fprintf(w, "engine_speed{service=%q,endpoint=%q} %.3g\n", service, id.Name, speed)
		}
	}
}

// logSpeeds logs large changes of the speeds that the engines of a service are believed to
// have.
func (f *Forwarder) logSpeeds(service string, p *servicePlacer, now time.Time) {
	for _, c := range p.TakeSpeedChanges(now) {
		f.metrics.count("capacity_changes")
		f.log.Info().Str("service", service).Str("endpoint", c.Engine.Name).Float64("speed", c.After).Float64("speed_before", c.Before).
			Msg("forwarder: speed of an engine is believed to have changed")
	}
}

func writeCapacity(w io.Writer, service, endpoint string, c balancer.Capacity) {
	labels := fmt.Sprintf("{service=%q,endpoint=%q}", service, endpoint)
	fmt.Fprintf(w, "endpoint_unit_us%s %d\nendpoint_slowness%s %.3g\nendpoint_knee%s %.3g\n", labels, c.Unit.Microseconds(), labels, c.Slowness, labels, c.Knee)
}
