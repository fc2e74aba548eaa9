package prober

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"
)

// tick is the interval between two calls of Tick in the tests.
const tick = 100 * time.Millisecond

// network delivers the messages of simulated daemons on virtual time.
type network struct {
	now            time.Time
	rand           *rand.Rand
	cfg            Settings
	nodes          []*node
	byAddr         map[string]*node
	queue          deliveryQueue
	linkDown       func(from, to *node) bool
	lossRate       float64
	largestMessage int // Largest message seen, in bytes.
}

type node struct {
	p         *Prober
	up        bool
	paused    bool
	bytesSent int
	changes   []MemberChanged
}

// delivery is a message in flight.
type delivery struct {
	at      time.Time
	from    *node
	addr    string
	message Message
}

type deliveryQueue []delivery

func (q deliveryQueue) Len() int           { return len(q) }
func (q deliveryQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q deliveryQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *deliveryQueue) Push(x any)        { *q = append(*q, x.(delivery)) }
func (q *deliveryQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newNetwork(seed uint64, cfg Settings) *network {
	return &network{
		now:    time.Unix(1000, 0),
		rand:   rand.New(rand.NewPCG(seed, 7)),
		cfg:    cfg,
		byAddr: make(map[string]*node),
	}
}

// add starts a daemon whose seeds are the first daemons of the network.
func (n *network) add(region, domain string) *node {
	i := len(n.nodes)
	return n.startNode(Member{
		Name:        fmt.Sprintf("d%03d", i),
		Addr:        fmt.Sprintf("127.0.%d.%d:7000", i/250, i%250+1),
		Region:      region,
		Domain:      domain,
		Incarnation: uint64(n.now.Unix()),
	})
}

func (n *network) startNode(self Member) *node {
	nd := &node{up: true, p: New(n.cfg, self, rand.New(rand.NewPCG(n.rand.Uint64(), 1)))}
	seeds := make([]string, 0, 3)
	for _, o := range n.nodes[:min(3, len(n.nodes))] {
		seeds = append(seeds, o.p.Self().Addr)
	}
	nd.p.SetSeeds(seeds)
	n.nodes = append(n.nodes, nd)
	n.byAddr[self.Addr] = nd
	return nd
}

func (n *network) execute(nd *node, acts []Action) {
	for _, act := range acts {
		switch act := act.(type) {
		case MemberChanged:
			nd.changes = append(nd.changes, act)
		case Send:
			nd.bytesSent += act.Message.Size()
			n.largestMessage = max(n.largestMessage, act.Message.Size())
			delay := time.Millisecond + time.Duration(n.rand.Int64N(int64(40*time.Millisecond)))
			heap.Push(&n.queue, delivery{at: n.now.Add(delay), from: nd, addr: act.Addr, message: act.Message})
		}
	}
}

func (n *network) deliver(msg delivery) {
	to := n.byAddr[msg.addr]
	switch {
	case to == nil || !to.up:
	case n.linkDown != nil && n.linkDown(msg.from, to):
	case n.lossRate > 0 && n.rand.Float64() < n.lossRate:
	case to.paused:
		msg.at = n.now.Add(tick)
		heap.Push(&n.queue, msg)
	default:
		n.execute(to, to.p.Receive(n.now, msg.message))
	}
}

// run advances the virtual time by d.
func (n *network) run(d time.Duration) {
	for end := n.now.Add(d); n.now.Before(end); {
		next := n.now.Add(tick)
		for len(n.queue) > 0 && !n.queue[0].at.After(next) {
			msg := heap.Pop(&n.queue).(delivery)
			n.now = msg.at
			n.deliver(msg)
		}
		n.now = next
		for _, nd := range n.nodes {
			if nd.up && !nd.paused {
				n.execute(nd, nd.p.Tick(n.now))
			}
		}
	}
}

// live reports whether all daemons should see nd as alive.
func (nd *node) live() bool { return nd.up && !nd.p.left }

// converged returns an error unless every daemon that is up sees exactly the
// daemons that are up, all alive. Members of a region without any daemon that
// is up may still be listed, since no daemon is left to declare them dead.
func (n *network) converged() error {
	regions := make(map[string]bool)
	for _, nd := range n.nodes {
		regions[nd.p.self.Region] = regions[nd.p.self.Region] || nd.live()
	}
	for _, nd := range n.nodes {
		if !nd.live() {
			continue
		}
		for _, o := range n.nodes {
			m, ok := nd.p.Member(o.p.self.Name)
			seen := ok && m.State == StateAlive && m.Addr == o.p.self.Addr
			if o.live() && !seen {
				return fmt.Errorf("%s does not see %s but %v", nd.p.self.Name, o.p.self.Name, m.State)
			}
			if !o.live() && ok && !m.State.DeadOrLeft() && regions[m.Region] {
				return fmt.Errorf("%s still sees %s as %v", nd.p.self.Name, o.p.self.Name, m.State)
			}
		}
	}
	return nil
}

// restart replaces a daemon with a new run under the same name.
func (n *network) restart(i int) {
	old := n.nodes[i]
	old.up = false
	self := old.p.Self()
	self.Incarnation = uint64(n.now.Unix())
	self.Meta = ""
	nd := n.startNode(self)
	n.nodes = n.nodes[:len(n.nodes)-1]
	n.nodes[i] = nd
	n.byAddr[self.Addr] = nd
}

// countTransitions returns how often a daemon saw another one enter s.
func (n *network) countTransitions(s State) int {
	c := 0
	for _, nd := range n.nodes {
		for _, e := range nd.changes {
			if e.Member.State == s {
				c++
			}
		}
	}
	return c
}
