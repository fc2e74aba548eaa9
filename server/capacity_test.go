package server

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"

	"monsoonspar.example/coordination/prober"
	"monsoonspar.example/coordination/router"
	"monsoonspar.example/state/cataloger"
	"monsoonspar.example/state/heapmeter"
	"monsoonspar.example/state/timekeeper"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
)

const (
	fleetRegions = 3
	fleetDomains = 10
)

// fleetSizes are the sizes at which the benchmarks measure how cost grows; the last
// one is the target.
var fleetSizes = []struct{ daemons, endpoints int }{{8, 14}, {95, 208}, {190, 415}, {380, 830}}

// member returns the i-th daemon of a fleet.
func member(i int) prober.Member {
	d := i % fleetDomains
	return prober.Member{
		Name: fmt.Sprintf("daemon-%03d", i), Addr: fmt.Sprintf("127.0.0.1:%d", 10000+i), Domain: fmt.Sprintf("domain-%d", d),
		Region: fmt.Sprintf("region-%d", d%fleetRegions), Incarnation: 1, State: prober.StateAlive,
	}
}

// newFleetView returns the membership of the first daemon of a fleet, which contains
// all others.
func newFleetView(daemons int) *membership {
	m := newMembership(member(0), nil, nil, timekeeper.System{}, rand.New(rand.NewPCG(1, 1)))
	for i := range daemons - 1 {
		m.core.Receive(m.clock.Now(), prober.Message{Kind: prober.KindGossip, From: member(i + 1)})
	}
	return m
}

// fleetManifest returns a manifest with the same proportions as that of the target
// fleet.
func fleetManifest(customers, endpoints int) *cataloger.Manifest {
	m := &cataloger.Manifest{Generation: 1}
	for i := range fleetDomains {
		m.Domains = append(m.Domains, cataloger.Domain{Name: fmt.Sprintf("domain-%d", i)})
	}
	for i := range customers {
		m.Customers = append(m.Customers, cataloger.Customer{
			Name: fmt.Sprintf("customer-%d", i), KeyHashes: []string{fmt.Sprintf("%064d", i)}, Priority: "normal", Weight: 1,
		})
	}
	for i := range endpoints {
		m.Endpoints = append(m.Endpoints, cataloger.Endpoint{
			Name: fmt.Sprintf("engine-%d", i), Domain: fmt.Sprintf("domain-%d", i%fleetDomains),
			Addr: fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250), Kind: cataloger.KindEngine,
		})
	}
	return m
}

// The candidates are cached between calls. The cache must be invalidated by every
// change of the membership.
func TestCandidatesFollowMembership(t *testing.T) {
	m := newFleetView(40)
	domain := m.core.Self().Domain
	assert.DeepEqual(t, m.candidates(domain), []string{"daemon-000", "daemon-010", "daemon-020", "daemon-030"})

	left := member(10)
	left.Incarnation, left.State = 2, prober.StateLeft
	m.core.Receive(m.clock.Now(), prober.Message{Kind: prober.KindGossip, From: member(1), Updates: []prober.Member{left}})
	assert.DeepEqual(t, m.candidates(domain), []string{"daemon-000", "daemon-020", "daemon-030"})

	draining := member(20)
	draining.Incarnation, draining.Meta = 2, metaDraining
	m.core.Receive(m.clock.Now(), prober.Message{Kind: prober.KindGossip, From: draining})
	assert.DeepEqual(t, m.candidates(domain), []string{"daemon-000", "daemon-030"})

	m.setDraining()
	assert.DeepEqual(t, m.candidates(domain), []string{"daemon-030"})
	assert.Equal(t, len(m.candidates("domain-without-daemons")), 37)
}

// A daemon that owns many endpoints one after another must keep the estimators of
// the endpoints that it owns, and only maxUnownedEstimators of others.
func TestEstimatorsAreBounded(t *testing.T) {
	m := fleetManifest(1, 100)
	lookup := func(name string) (cataloger.Endpoint, *cataloger.Manifest, bool) {
		return cataloger.Endpoint{Name: name, MemoryTokens: 1000, MaxBatch: 1}, m, true
	}
	o := newOwners(timekeeper.System{}, nil, lookup, func() []string { return nil }, nil)
	_, err := o.getOrCreate("engine-0")
	assert.NilError(t, err)
	kept := o.estimators["engine-0"]
	for _, e := range m.Endpoints[1:] {
		_, err := o.getOrCreate(e.Name)
		assert.NilError(t, err)
		o.drop(e.Name)
	}
	assert.Equal(t, o.estimators["engine-0"], kept)
	assert.Equal(t, len(o.estimators), 1+maxUnownedEstimators)
	_, present := o.estimators["engine-99"]
	assert.Assert(t, present, "the estimator that was used last has been evicted")
}

// BenchmarkUpdateOwned measures how long a daemon takes to recompute its endpoints
// after a change of the membership.
func BenchmarkUpdateOwned(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("daemons=%d/endpoints=%d", size.daemons, size.endpoints), func(b *testing.B) {
			s := &Server{members: newFleetView(size.daemons)}
			s.catalog.Store(newCatalog(fleetManifest(1, size.endpoints)))
			b.ReportAllocs()
			for b.Loop() {
				s.members.candidatesByDomain = nil // Invalidate the cache, as a change does.
				s.updateOwned()
			}
		})
	}
}

// BenchmarkOwnersOf measures the time per request to find the owners of an endpoint.
func BenchmarkOwnersOf(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("daemons=%d", size.daemons), func(b *testing.B) {
			p := newPermits(newFleetView(size.daemons), nil, nil, timekeeper.System{}, zerolog.Nop())
			e := cataloger.Endpoint{Name: "engine-1", Domain: "domain-1"}
			b.ReportAllocs()
			for b.Loop() {
				p.ownersOf(e)
			}
		})
	}
}

// BenchmarkCatalog measures the time to index a manifest, and the memory of the
// index, of the routers with its endpoints, and of the membership.
func BenchmarkCatalog(b *testing.B) {
	for _, size := range []struct{ customers, endpoints, daemons int }{{10, 14, 8}, {130, 83, 38}, {650, 415, 190}, {1300, 830, 380}} {
		b.Run(fmt.Sprintf("customers=%d/endpoints=%d", size.customers, size.endpoints), func(b *testing.B) {
			m := fleetManifest(size.customers, size.endpoints)
			before := heapmeter.HeapBytes()
			c := newCatalog(m)
			indexed := heapmeter.HeapBytes()
			routers := newRouterShards("domain-0", rand.New(rand.NewPCG(1, 1)))
			for _, sh := range routers {
				sh.router.SetEndpoints(m.Endpoints)
			}
			routed := heapmeter.HeapBytes()
			view := newFleetView(size.daemons)
			viewed := heapmeter.HeapBytes()
			for b.Loop() {
				newCatalog(m)
			}
			b.ReportMetric(float64(indexed-before), "index-B")
			b.ReportMetric(float64(routed-indexed), "routers-B")
			b.ReportMetric(float64(viewed-routed), "view-B")
			runtime.KeepAlive(c)
			runtime.KeepAlive(routers)
			runtime.KeepAlive(view)
		})
	}
}

// BenchmarkHandleEndpointStatus measures the time to handle an endpoint status from
// another daemon.
func BenchmarkHandleEndpointStatus(b *testing.B) {
	for _, endpoints := range []int{14, 208, 830} {
		b.Run(fmt.Sprintf("endpoints=%d", endpoints), func(b *testing.B) {
			s := &Server{routers: newRouterShards("domain-0", rand.New(rand.NewPCG(1, 1)))}
			s.setEndpoints(fleetManifest(1, endpoints))
			status := router.EndpointStatus{Endpoint: "engine-1", BootID: "0123456789abcdef", Ready: []cataloger.Placement{{Model: "redazione", Version: "v1"}}}
			for b.Loop() {
				s.HandleEndpointStatus(status)
			}
		})
	}
}
