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

// Size and layout of the largest fleet, and limits per daemon.
const (
	largestFleet      = 380
	fleetRegions      = 3
	fleetDomains      = 10
	maxBytesPerSecond = 1500
	pingsPerSecond    = 3 // Pings received, rounded up.
	maxMessageBytes   = 4096
)

// newFleet returns daemons whose seeds are a random sample of the fleet, as
// from the platform's list of VMs.
func newFleet(size int) *network {
	n := newNetwork(5, DefaultSettings())
	for i := range size {
		d := i % fleetDomains
		n.add(fmt.Sprintf("region-%d", d%fleetRegions), fmt.Sprintf("domain-%d", d))
	}
	for _, nd := range n.nodes {
		n.reseed(nd)
	}
	return n
}

func (n *network) reseed(nd *node) {
	var seeds []string
	for range 5 {
		seeds = append(seeds, n.nodes[n.rand.IntN(len(n.nodes))].p.Self().Addr)
	}
	nd.p.SetSeeds(seeds)
}

// measureSendRate runs d and returns the mean and the largest send rate of a
// daemon in bytes per second.
func (n *network) measureSendRate(d time.Duration) (mean, largest int) {
	for _, nd := range n.nodes {
		nd.bytesSent = 0
	}
	n.run(d)
	sum, up := 0, 0
	for _, nd := range n.nodes {
		rate := int(float64(nd.bytesSent) / d.Seconds())
		sum += rate
		largest = max(largest, rate)
		if nd.up {
			up++
		}
	}
	return sum / up, largest
}

// timeToConverge returns how long the fleet takes to converge, at most limit.
func (n *network) timeToConverge(limit time.Duration) time.Duration {
	var d time.Duration
	for ; d < limit && n.converged() != nil; d += time.Second {
		n.run(time.Second)
	}
	return d
}

func TestFleetStaysWithinByteBudget(t *testing.T) {
	n := newFleet(*fleet)
	check := func(phase string, d time.Duration) {
		mean, largest := n.measureSendRate(d)
		convergence := n.timeToConverge(5 * time.Minute)
		err := n.converged()
		t.Logf("%-36s mean %4d B/s, largest %4d B/s, converged %v later", phase, mean, largest, convergence)
		assert.NilError(t, err)
		assert.Assert(t, mean <= maxBytesPerSecond, "mean %d", mean)
		assert.Assert(t, largest <= maxBytesPerSecond, "largest %d", largest)
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

	n.linkDown = func(from, to *node) bool { return from.p.self.Domain == "domain-2" != (to.p.self.Domain == "domain-2") }
	n.run(time.Minute)
	n.linkDown = nil
	check("domain rejoins after a minute", time.Minute)

	n.linkDown = func(from, to *node) bool { return from.p.self.Region != to.p.self.Region }
	n.run(time.Minute)
	n.restart(5)
	n.nodes[6].up = false
	n.run(time.Minute)
	n.linkDown = nil
	check("regions reconnect after two minutes", time.Minute)
	assert.Assert(t, n.largestMessage < maxMessageBytes, "a message of %d bytes", n.largestMessage)
	t.Logf("largest message %d bytes", n.largestMessage)
}

// TestFleetDetectsDeath checks that all daemons of the fleet detect the death of
// one within a minute.
func TestFleetDetectsDeath(t *testing.T) {
	n := newFleet(*fleet)
	n.timeToConverge(5 * time.Minute)
	n.run(30 * time.Second)
	assert.NilError(t, n.converged())
	n.nodes[40].up = false
	region := n.nodes[40].p.self.Region
	var ownRegion, all time.Duration
	for d := time.Second; d < time.Minute && all == 0; d += time.Second {
		n.run(time.Second)
		own, everywhere := n.seenAsDeadOrLeft(n.nodes[40].p.self.Name, region)
		if own && ownRegion == 0 {
			ownRegion = d
		}
		if everywhere {
			all = d
		}
	}
	t.Logf("dead after %v in its region, after %v everywhere", ownRegion, all)
	assert.Assert(t, ownRegion > 0 && all > 0)
}

// seenAsDeadOrLeft reports whether the daemons of region, and all daemons, see
// name as dead or left.
func (n *network) seenAsDeadOrLeft(name, region string) (own, all bool) {
	own, all = true, true
	for _, nd := range n.nodes {
		if !nd.up {
			continue
		}
		if m, _ := nd.p.Member(name); !m.State.DeadOrLeft() {
			all = false
			own = own && nd.p.self.Region != region
		}
	}
	return own, all
}

func BenchmarkTick(b *testing.B) {
	for _, size := range []int{8, 95, 190, largestFleet} {
		b.Run(fmt.Sprintf("daemons=%d", size), func(b *testing.B) {
			p, now := convergedProber(size)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(tick)
				acknowledgePings(p, now, p.Tick(now))
			}
		})
	}
}

// BenchmarkSecond measures the work of a daemon in a second without updates:
// its ticks, its probes and those of others.
func BenchmarkSecond(b *testing.B) {
	for _, size := range []int{8, 95, 190, largestFleet} {
		b.Run(fmt.Sprintf("daemons=%d", size), func(b *testing.B) {
			p, now := convergedProber(size)
			ping := Message{Kind: KindPing, From: p.view.records["d001"].Member, ViewHash: p.view.hash()}
			b.ReportAllocs()
			for b.Loop() {
				for range int(time.Second / tick) {
					now = now.Add(tick)
					acknowledgePings(p, now, p.Tick(now))
				}
				for range pingsPerSecond {
					p.Receive(now, ping)
				}
			}
		})
	}
}

// convergedProber returns a Prober with size-1 other members in its view.
func convergedProber(size int) (*Prober, time.Time) {
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
		acknowledgePings(p, now, p.Tick(now))
	}
	return p, now
}

// acknowledgePings acknowledges the pings among acts.
func acknowledgePings(p *Prober, now time.Time, acts []Action) {
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
