package prober

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// fleet is the number of daemons in the tests of a whole fleet. The figures in
// the docs are those of -fleet=380.
var fleet = flag.Int("fleet", 100, "daemons in the fleet tests")

// Numbers of the largest fleet, and the bytes that a daemon may send a second.
const (
	largestFleet    = 380
	fleetRegions    = 3
	fleetDomains    = 10
	maxBytesASec    = 1500
	probesASecond   = 3 // Pings received a second, rounded up.
	maxMessageBytes = 4096
)

// newFleet returns daemons whose seeds are a random sample of the fleet, as
// from the platform's list of VMs.
func newFleet(size int) *fakeNet {
	n := newFakeNet(5, DefaultSettings())
	for i := range size {
		d := i % fleetDomains
		n.add(fmt.Sprintf("region-%d", d%fleetRegions), fmt.Sprintf("domain-%d", d))
	}
	for _, nd := range n.nodes {
		n.reseed(nd)
	}
	return n
}

func (n *fakeNet) reseed(nd *node) {
	var seeds []string
	for range 5 {
		seeds = append(seeds, n.nodes[n.rand.IntN(len(n.nodes))].p.Self().Addr)
	}
	nd.p.SetSeeds(seeds)
}

// measure runs d and returns the mean and largest bytes a second of a daemon.
func (n *fakeNet) measure(d time.Duration) (mean, most int) {
	for _, nd := range n.nodes {
		nd.bytes = 0
	}
	n.run(d)
	sum, up := 0, 0
	for _, nd := range n.nodes {
		rate := int(float64(nd.bytes) / d.Seconds())
		sum += rate
		most = max(most, rate)
		if nd.up {
			up++
		}
	}
	return sum / up, most
}

// until returns how long the fleet takes to agree.
func (n *fakeNet) until(limit time.Duration) time.Duration {
	var d time.Duration
	for ; d < limit && n.converged() != nil; d += time.Second {
		n.run(time.Second)
	}
	return d
}

func TestFleetStaysWithinItsBytes(t *testing.T) {
	n := newFleet(*fleet)
	check := func(what string, d time.Duration) {
		mean, most := n.measure(d)
		took := n.until(5 * time.Minute)
		err := n.converged()
		t.Logf("%-36s mean %4d B/s, most %4d B/s, agreed %v later", what, mean, most, took)
		assert.NilError(t, err)
		assert.Assert(t, mean <= maxBytesASec, "mean %d", mean)
		assert.Assert(t, most <= maxBytesASec, "most %d", most)
	}
	check("all start at once", time.Minute)
	check("steady", 2*time.Minute)

	for i := range 8 {
		n.nodes[fleetDomains*i].up = false
	}
	check("8 daemons of one domain die", time.Minute)

	for i := range *fleet / fleetDomains {
		n.restart(1 + fleetDomains*i)
		n.reseed(n.nodes[1+fleetDomains*i])
	}
	check("all daemons of one domain restart", time.Minute)

	n.cut = func(from, to *node) bool { return from.p.self.Domain == "domain-2" != (to.p.self.Domain == "domain-2") }
	n.run(time.Minute)
	n.cut = nil
	check("domain back after a minute", time.Minute)

	n.cut = func(from, to *node) bool { return from.p.self.Region != to.p.self.Region }
	n.run(time.Minute)
	n.restart(5)
	n.nodes[6].up = false
	n.run(time.Minute)
	n.cut = nil
	check("regions back after two minutes", time.Minute)
	assert.Assert(t, n.size < maxMessageBytes, "a message of %d bytes", n.size)
	t.Logf("largest message %d bytes", n.size)
}

// A change that the whole fleet must hear reaches it within seconds.
func TestFleetHearsOfADeath(t *testing.T) {
	n := newFleet(*fleet)
	n.until(5 * time.Minute)
	n.run(30 * time.Second)
	assert.NilError(t, n.converged())
	n.nodes[40].up = false
	region := n.nodes[40].p.self.Region
	var ownRegion, all time.Duration
	for d := time.Second; d < time.Minute && all == 0; d += time.Second {
		n.run(time.Second)
		own, whole := n.agreeGone(n.nodes[40].p.self.Name, region)
		if own && ownRegion == 0 {
			ownRegion = d
		}
		if whole {
			all = d
		}
	}
	t.Logf("gone after %v in its region, after %v everywhere", ownRegion, all)
	assert.Assert(t, ownRegion > 0 && all > 0)
}

// agreeGone reports whether the daemons of region, and all daemons, see name as
// gone.
func (n *fakeNet) agreeGone(name, region string) (own, all bool) {
	own, all = true, true
	for _, nd := range n.nodes {
		if !nd.up {
			continue
		}
		if m, _ := nd.p.Member(name); !m.State.Gone() {
			all = false
			own = own && nd.p.self.Region != region
		}
	}
	return own, all
}

func BenchmarkTick(b *testing.B) {
	for _, size := range []int{8, 95, 190, largestFleet} {
		b.Run(fmt.Sprintf("daemons=%d", size), func(b *testing.B) {
			p, now := settled(size)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(tick)
				answer(p, now, p.Tick(now))
			}
		})
	}
}

// BenchmarkSecond is all that a daemon does in a second without news: its
// ticks, its probes and those of others.
func BenchmarkSecond(b *testing.B) {
	for _, size := range []int{8, 95, 190, largestFleet} {
		b.Run(fmt.Sprintf("daemons=%d", size), func(b *testing.B) {
			p, now := settled(size)
			ping := Message{Kind: KindPing, From: p.view.records["d001"].Member, ViewHash: p.view.hash()}
			b.ReportAllocs()
			for b.Loop() {
				for range int(time.Second / tick) {
					now = now.Add(tick)
					answer(p, now, p.Tick(now))
				}
				for range probesASecond {
					p.Receive(now, ping)
				}
			}
		})
	}
}

// settled returns a daemon that knows all others.
func settled(size int) (*Prober, time.Time) {
	now := time.Unix(1000, 0)
	p := New(DefaultSettings(), Member{Name: "self", Addr: "a", Region: "region-0", Incarnation: 1}, rand.New(rand.NewPCG(1, 1)))
	for i := range size - 1 {
		p.merge(now, Member{
			Name: fmt.Sprintf("d%03d", i), Addr: fmt.Sprintf("127.0.0.1:%d", i), Domain: fmt.Sprintf("domain-%d", i%fleetDomains),
			Region: fmt.Sprintf("region-%d", i%fleetRegions), Incarnation: 1, State: StateAlive,
		})
	}
	for range 1000 {
		now = now.Add(tick)
		answer(p, now, p.Tick(now))
	}
	return p, now
}

// answer acknowledges the pings among acts.
func answer(p *Prober, now time.Time, acts []Action) {
	for _, act := range acts {
		s, ok := act.(Send)
		if !ok || s.Message.Kind != KindPing {
			continue
		}
		if r := p.view.records[s.Message.Target]; r != nil {
			p.Receive(now, Message{Kind: KindAck, Seq: s.Message.Seq, From: r.Member, ViewHash: p.view.hash()})
		}
	}
}
