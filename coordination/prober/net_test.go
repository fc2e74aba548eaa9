package prober

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"
)

// tick is how often the daemons of a test are ticked.
const tick = 100 * time.Millisecond

// fakeNet carries the messages of some daemons on virtual time.
type fakeNet struct {
	now   time.Time
	rand  *rand.Rand
	cfg   Settings
	nodes []*node
	byIP  map[string]*node
	queue letters
	cut   func(from, to *node) bool
	loss  float64
	size  int // Largest message seen, in bytes.
}

type node struct {
	p      *Prober
	up     bool
	paused bool
	bytes  int
	events []Changed
}

// letter is a message on its way.
type letter struct {
	at   time.Time
	from *node
	addr string
	m    Message
}

type letters []letter

func (l letters) Len() int           { return len(l) }
func (l letters) Less(i, j int) bool { return l[i].at.Before(l[j].at) }
func (l letters) Swap(i, j int)      { l[i], l[j] = l[j], l[i] }
func (l *letters) Push(x any)        { *l = append(*l, x.(letter)) }
func (l *letters) Pop() any {
	last := (*l)[len(*l)-1]
	*l = (*l)[:len(*l)-1]
	return last
}

func newFakeNet(seed uint64, cfg Settings) *fakeNet {
	return &fakeNet{
		now:  time.Unix(1000, 0),
		rand: rand.New(rand.NewPCG(seed, 7)),
		cfg:  cfg,
		byIP: make(map[string]*node),
	}
}

// add starts a daemon that knows the first few addresses.
func (n *fakeNet) add(region, domain string) *node {
	i := len(n.nodes)
	return n.startNode(Member{
		Name:        fmt.Sprintf("d%03d", i),
		Addr:        fmt.Sprintf("127.0.%d.%d:7000", i/250, i%250+1),
		Region:      region,
		Domain:      domain,
		Incarnation: uint64(n.now.Unix()),
	})
}

func (n *fakeNet) startNode(self Member) *node {
	nd := &node{up: true, p: New(n.cfg, self, rand.New(rand.NewPCG(n.rand.Uint64(), 1)))}
	seeds := make([]string, 0, 3)
	for _, o := range n.nodes[:min(3, len(n.nodes))] {
		seeds = append(seeds, o.p.Self().Addr)
	}
	nd.p.SetSeeds(seeds)
	n.nodes = append(n.nodes, nd)
	n.byIP[self.Addr] = nd
	return nd
}

func (n *fakeNet) do(nd *node, acts []Action) {
	for _, act := range acts {
		switch act := act.(type) {
		case Changed:
			nd.events = append(nd.events, act)
		case Send:
			nd.bytes += act.Message.Size()
			n.size = max(n.size, act.Message.Size())
			delay := time.Millisecond + time.Duration(n.rand.Int64N(int64(40*time.Millisecond)))
			heap.Push(&n.queue, letter{at: n.now.Add(delay), from: nd, addr: act.Addr, m: act.Message})
		}
	}
}

func (n *fakeNet) deliver(l letter) {
	to := n.byIP[l.addr]
	switch {
	case to == nil || !to.up:
	case n.cut != nil && n.cut(l.from, to):
	case n.loss > 0 && n.rand.Float64() < n.loss:
	case to.paused:
		l.at = n.now.Add(tick)
		heap.Push(&n.queue, l)
	default:
		n.do(to, to.p.Receive(n.now, l.m))
	}
}

// run lets d pass.
func (n *fakeNet) run(d time.Duration) {
	for end := n.now.Add(d); n.now.Before(end); {
		next := n.now.Add(tick)
		for len(n.queue) > 0 && !n.queue[0].at.After(next) {
			l := heap.Pop(&n.queue).(letter)
			n.now = l.at
			n.deliver(l)
		}
		n.now = next
		for _, nd := range n.nodes {
			if nd.up && !nd.paused {
				n.do(nd, nd.p.Tick(n.now))
			}
		}
	}
}

// live reports whether nd should be seen by all.
func (nd *node) live() bool { return nd.up && !nd.p.left }

// converged returns an error unless every daemon that is up sees exactly those
// that are up, all alive. The members of a region without any daemon that is up
// may still be listed, since nobody is left to judge them.
func (n *fakeNet) converged() error {
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
			if !o.live() && ok && !m.State.Gone() && regions[m.Region] {
				return fmt.Errorf("%s still sees %s as %v", nd.p.self.Name, o.p.self.Name, m.State)
			}
		}
	}
	return nil
}

// restart replaces a daemon by a new life under its name.
func (n *fakeNet) restart(i int) {
	old := n.nodes[i]
	old.up = false
	self := old.p.Self()
	self.Incarnation = uint64(n.now.Unix())
	self.Meta = ""
	nd := n.startNode(self)
	n.nodes = n.nodes[:len(n.nodes)-1]
	n.nodes[i] = nd
	n.byIP[self.Addr] = nd
}

// count returns how often a daemon that is up saw another one enter s.
func (n *fakeNet) count(s State) int {
	c := 0
	for _, nd := range n.nodes {
		for _, e := range nd.events {
			if e.Member.State == s {
				c++
			}
		}
	}
	return c
}
