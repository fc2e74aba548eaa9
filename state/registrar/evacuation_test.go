package registrar_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonspar.example/state/registrar"
)

func inDomain(name, domain string, revision int64) registrar.Endpoint {
	return registrar.Endpoint{Identity: registrar.Identity{Name: name, Started: 1}, Service: "s", Domain: domain, Revision: revision}
}

// Guards against work for endpoints of evacuated domains, also for one that joins meanwhile, against
// their loss from the list of known ones, and against an older set that ends an evacuation.
func TestEndpointsOfEvacuatedDomainsAreUnusable(t *testing.T) {
	g := registrar.New(time.Second)
	g.Replace([]registrar.Endpoint{inDomain("a", "z0", 1), inDomain("b", "z1", 1)}, 1, false, time.Time{})
	begun, ended := g.SetEvacuations(registrar.Evacuations{Domains: []string{"z1", "z0", "z1"}, Revision: 5})
	assert.DeepEqual(t, begun, []string{"z0", "z1"})
	assert.Equal(t, len(ended)+len(g.Usable("s")), 0)
	g.Set(inDomain("c", "z1", 6))
	assert.Equal(t, len(g.Usable("s")), 0)
	assert.Equal(t, len(g.Serving("s")), 3)
	for _, older := range []int64{4, 5} {
		g.SetEvacuations(registrar.Evacuations{Revision: older})
		assert.Assert(t, g.Evacuated("z0"))
	}
	assert.Assert(t, !g.Accepts(inDomain("a", "z0", 1).Identity) && !g.ShuttingDown(inDomain("a", "z0", 1).Identity))
	_, ended = g.SetEvacuations(registrar.Evacuations{Domains: []string{"z1"}, Revision: registrar.NewRevision(1, 2)}) // A new era.
	assert.DeepEqual(t, ended, []string{"z0"})
	assert.Assert(t, g.Accepts(inDomain("a", "z0", 1).Identity) && !g.Accepts(inDomain("c", "z1", 6).Identity))
	assert.Equal(t, len(g.Usable("s")), 1)
}

// BenchmarkEvacuated measures what a request costs while no domain is evacuated, and while one of four is.
func BenchmarkEvacuated(b *testing.B) {
	for _, domains := range [][]string{nil, {"z3"}} {
		b.Run(fmt.Sprint(len(domains)), func(b *testing.B) {
			g := registrar.New(time.Second)
			for i := range 60 {
				g.Set(inDomain(fmt.Sprint("e", i), fmt.Sprint("z", i%4), int64(i+1)))
			}
			g.SetEvacuations(registrar.Evacuations{Domains: domains, Revision: 100})
			for b.Loop() {
				if len(g.Usable("s")) == 0 || g.Evacuated("z1") {
					b.Fatal("no endpoint")
				}
			}
		})
	}
}
