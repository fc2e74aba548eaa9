package limiter

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonspar.example/state/registrar"
)

// The rule for a cold endpoint: in any second it gets at most coldRatio times what it can
// handle per second, and coldSlack requests.
const (
	coldWindow = time.Second
	coldRatio  = 1.5
	coldSlack  = 5
)

// slowLatency is the latency of a tenth of the requests; quotaWindow allows for it.
const slowLatency = 180 * time.Millisecond

// coldFleet simulates daemons that send requests to cold endpoints.
type coldFleet struct {
	*fleet
	endpoints []registrar.Endpoint
	bound     Bound
	got       [][]time.Time // Arrivals at each endpoint.
	listed    []Daemon      // The list of daemons in the store.
}

func newColdFleet(seed uint64, daemons, domains, endpoints int, rate, perSecond float64) *coldFleet {
	c := &coldFleet{fleet: newFleet(seed, daemons, domains, 0, perSecond), bound: Bound{Rate: rate, Most: coldRatio*rate + coldSlack}}
	for i := range endpoints {
		c.endpoints = append(c.endpoints, registrar.Endpoint{Identity: registrar.Identity{Name: fmt.Sprint("e-", i)}, Domain: "z-0"})
	}
	c.got = make([][]time.Time, endpoints)
	for _, n := range c.daemons {
		c.listed = append(c.listed, n.Daemon)
	}
	c.serve = c.request
	return c
}

// request sends a request to one of the endpoints if that is granted. One in ten is urgent.
func (c *coldFleet) request(n *node) {
	i := c.rand.IntN(len(c.endpoints))
	u := Normal
	if c.rand.IntN(10) == 0 {
		u = Urgent
	}
	id := c.endpoints[i].Identity
	if n.quotas.DeniedFor(id, u, c.now) > 0 {
		return
	}
	e := c.endpoints[i]
	holders := n.mem.Reachable(n.mem.Holders(e, c.bound.QuotaCount(), c.now), c.now)
	if len(holders) == 0 {
		if d, ok := n.mem.AnyReachable(e, c.now); ok {
			holders = append(holders, d)
		}
	}
	if u == Normal && len(holders) > 2 {
		holders = holders[c.rand.IntN(len(holders)-1):]
	}
	c.askHolders(n, i, u, holders, maxDenial)
}

// askHolders asks the holders until one grants the request.
func (c *coldFleet) askHolders(n *node, i int, u Urgency, holders []Daemon, denial time.Duration) {
	id := c.endpoints[i].Identity
	if len(holders) == 0 {
		n.quotas.Deny(id, u, denial, c.now)
		return
	}
	asked, quotas := c.now, n.quotas
	decided := func(d Decision) {
		switch {
		case n.quotas != quotas || n.down || n.frozen || c.now.Sub(asked) > askTimeout: // An answer that comes late is dropped.
		case d.Granted:
			c.send(i)
		default:
			c.askHolders(n, i, u, holders[1:], min(denial, d.RetryAfter))
		}
	}
	failed := func() {
		n.mem.MarkFailed(holders[0].Name, c.now)
		c.askHolders(n, i, u, holders[1:], denial)
	}
	if n.mem.IsSelf(holders[0]) {
		if d, ok := c.grant(n, n, i, u); ok {
			decided(d)
		}
		return
	}
	o := c.node(holders[0].Name)
	c.call(n, o, askTimeout, func(reply func(Decision)) {
		d, ok := c.grant(o, n, i, u)
		if ok {
			reply(d)
			return
		}
		others := o.mem.Reachable(o.mem.Holders(c.endpoints[i], c.bound.QuotaCount(), c.now), c.now)
		if len(others) == 0 || o.mem.IsSelf(others[0]) {
			return
		}
		third := c.node(others[0].Name)
		c.call(o, third, relayTimeout, func(reply func(Decision)) {
			if d, ok := c.grant(third, n, i, u); ok {
				reply(d)
			}
		}, reply, func() {})
	}, decided, failed)
}

// grant decides at the daemon o about an ask of n. It returns false if o holds no quota.
func (c *coldFleet) grant(o, n *node, i int, u Urgency) (Decision, bool) {
	holders := o.mem.Holders(c.endpoints[i], c.bound.QuotaCount(), c.now)
	if !o.mem.MayGrant(holders, c.now) {
		return Decision{}, false
	}
	return o.quotas.Grant(c.endpoints[i].Identity, Ask{Daemon: n.Name, Urgency: u}, c.bound, len(holders), c.now), true
}

// send sends a request to an endpoint.
func (c *coldFleet) send(i int) {
	d := c.latency()
	if c.rand.IntN(10) == 0 {
		d = slowLatency
	}
	c.after(d, func() { c.got[i] = append(c.got[i], c.now) })
}

// burst makes all daemons ask for every endpoint at once, several times.
func (c *coldFleet) burst() {
	for _, n := range c.daemons {
		if n.down || n.frozen {
			continue
		}
		for range 3 * len(c.endpoints) {
			c.request(n)
		}
	}
}

// most returns the largest number of requests that an endpoint got in any coldWindow.
func (c *coldFleet) most() int {
	most := 0
	for _, got := range c.got {
		first := 0
		for i, at := range got {
			for at.Sub(got[first]) > coldWindow {
				first++
			}
			most = max(most, i-first+1)
		}
	}
	return most
}

// use returns the requests that the endpoints got since from, as a fraction of what they can
// handle.
func (c *coldFleet) use(from time.Time) float64 {
	n := 0
	for _, got := range c.got {
		for _, at := range got {
			if !at.Before(from) {
				n++
			}
		}
	}
	return float64(n) / (c.bound.Rate * float64(len(c.endpoints)) * c.now.Sub(from).Seconds())
}

// relist makes the daemons read the list again periodically, each in its own time.
func (c *coldFleet) relist(n *node) {
	c.after(time.Duration(c.rand.Int64N(int64(10*time.Second))), func() {
		if !n.down && !n.frozen {
			monitored := map[string]bool{}
			for _, o := range n.peers {
				monitored[o.Name] = true
			}
			n.mem.SetAll(c.listed, func(name string) bool { return monitored[name] }, c.now)
		}
		c.relist(n)
	})
}

var coldScenarios = []struct {
	name   string
	inject func(c *coldFleet)
	minUse float64 // Least use of the rate.
}{
	{"calm", func(c *coldFleet) { c.run(20 * time.Second) }, 0.6},
	{"bursts after rest", func(c *coldFleet) {
		perNode := c.perNode
		c.perNode = func(*node) float64 { return 0.01 }
		for range 5 {
			c.run(8 * time.Second)
			c.burst()
		}
		c.perNode = perNode
	}, 0},
	{"all cut off from each other", func(c *coldFleet) {
		c.cut = func(_, _ *node) bool { return true }
		for range 4 {
			c.run(5 * time.Second)
			c.burst()
		}
	}, 0.1},
	{"domains cut off in turn", func(c *coldFleet) {
		for i := range 6 {
			c.cutDomains(i % c.domains)
			c.run(4 * time.Second)
			c.burst()
		}
	}, 0.4},
	{"links cut at random", func(c *coldFleet) {
		for i := range 12 {
			c.cut = func(a, b *node) bool { return (a.index*31+b.index*17+i*7)%5 < 2 } // Some in one direction only.
			c.run(2 * time.Second)
			c.burst()
		}
	}, 0.3},
	{"holder killed", func(c *coldFleet) {
		for range 6 {
			g := c.node(c.daemons[0].mem.Holders(c.endpoints[0], 1, c.now)[0].Name)
			g.down = true
			c.run(2 * time.Second)
			c.boot(g)
			c.run(2 * time.Second)
			c.burst()
		}
	}, 0.4},
	{"daemons replaced in turn", func(c *coldFleet) {
		for _, n := range c.daemons {
			c.relist(n)
		}
		for i, n := range c.daemons {
			n.down = true
			rest := append(append([]Daemon{}, c.listed[:i]...), c.listed[i+1:]...)
			all := c.listed
			c.listed = rest
			c.run(60 * time.Second / time.Duration(len(c.daemons)))
			c.listed = all
			c.boot(n)
		}
		c.run(5 * time.Second)
	}, 0.3},
	{"daemons freeze", func(c *coldFleet) {
		for range 6 {
			for _, n := range c.daemons {
				n.frozen = c.rand.IntN(3) == 0
			}
			c.run(time.Second)
			for _, n := range c.daemons {
				n.frozen = false
			}
			c.burst()
			c.run(time.Second)
		}
	}, 0.3},
	{"all start without the list", func(c *coldFleet) {
		c.bootWithoutList()
		for range 4 {
			c.run(3 * time.Second)
			c.burst()
		}
	}, 0},
	{"half start without the list", func(c *coldFleet) {
		for i, n := range c.daemons {
			if i%2 == 1 {
				n.lim, n.quotas, n.mem = New(c.rand), NewQuotas(c.rand), NewMembers(n.Daemon)
				for _, o := range n.peers {
					n.mem.Add(o.Daemon, c.now)
				}
			}
		}
		for range 4 {
			c.run(3 * time.Second)
			c.burst()
		}
	}, 0.2},
}

// Guards against daemons that together send a cold endpoint more than it can handle in any second:
// endpoints of a failure domain that return cold at once, while daemons are cut off, killed, frozen,
// replaced, or start without the list.
func TestFleetKeepsBoundOfColdEndpoints(t *testing.T) {
	for _, s := range coldScenarios {
		for _, size := range []struct{ daemons, domains int }{{1, 1}, {7, 3}, {9, 3}, {60, 3}, {195, 5}} {
			for _, rate := range []float64{0.5, 4, 12.3} {
				if size.daemons > 9 && rate != 4 {
					continue // The quotas are those of nine daemons.
				}
				t.Run(fmt.Sprintf("%s, %d daemons, rate %v", s.name, size.daemons, rate), func(t *testing.T) {
					t.Parallel()
					c := newColdFleet(11, size.daemons, size.domains, 4, rate, 200)
					c.run(4 * time.Second)
					from := c.now
					s.inject(c)
					got, use, allowed := c.most(), c.use(from), int(c.bound.Most)
					t.Logf("%d requests in a second, %d allowed; %.2f of the rate used; %.1f asks a second and endpoint", got, allowed, use, float64(c.asks)/c.now.Sub(c.start).Seconds()/float64(len(c.endpoints)))
					assert.Check(t, got <= allowed, "%d requests in a second", got)
					if size.daemons > 1 {
						assert.Check(t, use >= s.minUse, "%.2f of the rate used", use)
					}
				})
			}
		}
	}
}

func BenchmarkHolders(b *testing.B) {
	c := newColdFleet(1, 195, 5, 1, 4, 1)
	b.ReportAllocs()
	for b.Loop() {
		c.daemons[0].mem.Holders(c.endpoints[0], maxQuotas, c.now)
	}
}
