package prober

import (
	"cmp"
	"math/bits"
	"slices"
)

// gossip holds updates that other members may not have heard yet.
type gossip struct {
	items []update
}

type update struct {
	name string
	sent int
}

// maxQueued bounds the updates that wait; what is dropped is carried by sync.
const maxQueued = 512

// add queues the present entry of name, in front of what was sent before.
func (g *gossip) add(name string) {
	for i := range g.items {
		if g.items[i].name == name {
			g.items[i].sent = 0
			return
		}
	}
	if len(g.items) < maxQueued {
		g.items = append(g.items, update{name: name})
	}
}

// Once more than busyQueue updates wait, each is passed on minSends times only;
// comparisons of views bring them to those who missed them.
const (
	busyQueue = 16
	minSends  = 2
)

// sends returns how often an update is passed on among n members.
func (g *gossip) sends(n int) int {
	if len(g.items) > busyQueue {
		return minSends
	}
	return bits.Len(uint(n)) + 1
}

// take returns entries of at most limit bytes, the least sent first, and drops
// those that have been sent often enough among n members.
func (g *gossip) take(limit, n int, entry func(string) (Member, bool)) []Member {
	if len(g.items) == 0 {
		return nil
	}
	slices.SortStableFunc(g.items, func(a, b update) int { return cmp.Compare(a.sent, b.sent) })
	times := g.sends(n)
	var out []Member
	kept := g.items[:0]
	for _, u := range g.items {
		m, ok := entry(u.name)
		if !ok {
			continue
		}
		if limit >= m.size() {
			limit -= m.size()
			out = append(out, m)
			u.sent++
		} else {
			limit = 0
		}
		if u.sent < times {
			kept = append(kept, u)
		}
	}
	g.items = kept
	return out
}
