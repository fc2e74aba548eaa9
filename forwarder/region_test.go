package forwarder

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonspar.example/state/matcher"
	"monsoonspar.example/state/registrar"
)

// exclusionFleet returns a daemon with 60 endpoints in 4 failure domains, each of another region.
func exclusionFleet(evacuated ...string) *Forwarder {
	f := &Forwarder{registry: registrar.New(time.Second), metrics: newMetrics(), cfg: Settings{Regions: matcher.Regions{}}}
	for i := range 60 {
		domain := fmt.Sprint("z", i%4)
		f.cfg.Regions[domain] = "region of " + domain
		f.registry.Set(registrar.Endpoint{Identity: registrar.Identity{Name: fmt.Sprint("e", i)}, Service: "s", Domain: domain, Revision: int64(i + 1)})
	}
	f.registry.SetEvacuations(registrar.Evacuations{Domains: evacuated, Revision: 100})
	return f
}

// Guards against a wrong reason when evacuations and allowed regions together leave no endpoint.
func TestReasonWithoutAllowedEndpoint(t *testing.T) {
	f := exclusionFleet("z0", "z1")
	for _, c := range []struct {
		allowed []string
		reason  Reason
	}{
		{nil, ""},
		{[]string{"region of z1", "region of z2"}, ""},
		{[]string{"region of z1"}, ReasonDomainEvacuated},
		{[]string{"elsewhere"}, ReasonNoAllowedRegion},
		{[]string{}, ReasonNoAllowedRegion}, // Of a route and a customer that allow no region together.
	} {
		reason := Reason("")
		if r := f.noEndpointRefusal(&exchange{service: "s", allowedRegions: c.allowed}); r != nil {
			reason = r.Reason
		}
		assert.Equal(t, reason, c.reason, "%v", c.allowed)
	}
}

// BenchmarkExclusions measures what evacuations and allowed regions cost a request: the choice among
// the endpoints and the check before the send.
func BenchmarkExclusions(b *testing.B) {
	for _, c := range []struct {
		name      string
		evacuated []string
		customer  matcher.Customer
	}{
		{"none", nil, matcher.Customer{}},
		{"evacuated", []string{"z3"}, matcher.Customer{}},
		{"restricted", nil, matcher.Customer{AllowedRegions: []string{"region of z0", "region of z1"}}},
	} {
		b.Run(c.name, func(b *testing.B) {
			f := exclusionFleet(c.evacuated...)
			e := registrar.Endpoint{Domain: "z1"}
			for b.Loop() {
				x := &exchange{service: "s", allowedRegions: matcher.AllowedRegions(&matcher.Route{}, &c.customer)}
				if f.noEndpointRefusal(x) != nil || len(f.allowedEndpoints(x, f.registry.Usable("s"))) == 0 || f.mayStartWork(x, e) != nil {
					b.Fatal("no endpoint")
				}
			}
		})
	}
}
