package balancer

import (
	"math"
	"time"

	"monsoonspar.example/state/gauger"
	"monsoonspar.example/state/registrar"
)

// Bounds of the changes that TakeChange returns.
const (
	toldRatio    = 1.5              // Smaller changes of the capacity are not worth a log line.
	toldInterval = 10 * time.Second // Minimum time between two changes of an endpoint.
)

// Capacity is what is believed of an endpoint, in relation to the other endpoints of
// the service.
type Capacity struct {
	Unit     time.Duration // Time of a request up to the knee; zero if unknown.
	Slowness float64       // Ratio of Unit to that of the typical endpoint; 1 if it equals it within the uncertainty.
	Knee     float64       // Load in requests beyond which more load only adds waiting; the slots if the endpoint has no lower one.
}

// capacityOf returns a relation as a Capacity.
func capacityOf(r gauger.Relation) Capacity {
	return Capacity{Unit: time.Duration(r.Unit * float64(time.Second)), Slowness: r.Slowness, Knee: r.Knee}
}

// Capacities returns what was believed of the endpoints at the last Pick.
func (b *Balancer) Capacities() map[registrar.Identity]Capacity {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := make(map[registrar.Identity]Capacity, len(b.states))
	for id, s := range b.states {
		all[id] = capacityOf(s.relation)
	}
	return all
}

// Differs returns what was believed of an endpoint at the last Pick, and whether it is not
// believed to be like the others.
func (b *Balancer) Differs(id registrar.Identity) (Capacity, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.states[id]
	if s == nil || s.relation.Slowness == 0 {
		return Capacity{}, false
	}
	return capacityOf(s.relation), s.relation.Slowness != 1 || s.relation.Knee != float64(s.slots)
}

// TakeChange reports whether the capacity of an endpoint has changed by a factor of at
// least toldRatio since it last did so, at most once in toldInterval, and returns the
// capacities before and now.
func (b *Balancer) TakeChange(id registrar.Identity, now time.Time) (before, after Capacity, changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.states[id]
	if s == nil || s.relation.Unit == 0 || now.Sub(s.toldAt) < toldInterval {
		return Capacity{}, Capacity{}, false
	}
	old := s.told
	if old.Slowness == 0 { // Until the first change, it is believed to be like the others.
		old = gauger.Relation{Slowness: 1, Knee: float64(s.slots)}
	}
	ratio := math.Log((s.relation.Knee / s.relation.Slowness) / (old.Knee / old.Slowness))
	if math.Abs(ratio) < math.Log(toldRatio) {
		return Capacity{}, Capacity{}, false
	}
	s.told, s.toldAt = s.relation, now
	return capacityOf(old), capacityOf(s.relation), true
}
