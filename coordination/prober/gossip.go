package prober

import (
	"cmp"
	"math/bits"
	"slices"
)

// updateQueue holds updates that other members may not have received yet.
type updateQueue struct {
	queued []queuedUpdate
}

type queuedUpdate struct {
	name      string
	sentCount int
}

// maxQueuedUpdates limits the queue; updates that exceed it are not queued, and
// are transferred by sync.
const maxQueuedUpdates = 512

// add queues the present entry of name as not sent yet, so that it is sent before
// entries that have been sent.
func (g *updateQueue) add(name string) {
	for i := range g.queued {
		if g.queued[i].name == name {
			g.queued[i].sentCount = 0
			return
		}
	}
	if len(g.queued) < maxQueuedUpdates {
		g.queued = append(g.queued, queuedUpdate{name: name})
	}
}

// Once more than longQueue updates are queued, each is sent only longQueueSends
// times; comparisons of views bring it to members that missed it.
const (
	longQueue      = 16
	longQueueSends = 2
)

// transmissionLimit returns how often an update is sent when there are n
// members.
func (g *updateQueue) transmissionLimit(n int) int {
	if len(g.queued) > longQueue {
		return longQueueSends
	}
	return bits.Len(uint(n)) + 1
}

// take returns entries of at most limit bytes, the least sent first, and drops
// those that have been sent often enough for n members.
func (g *updateQueue) take(limit, n int, lookup func(string) (Member, bool)) []Member {
	if len(g.queued) == 0 {
		return nil
	}
	slices.SortStableFunc(g.queued, func(a, b queuedUpdate) int { return cmp.Compare(a.sentCount, b.sentCount) })
	maxTransmissions := g.transmissionLimit(n)
	var out []Member
	kept := g.queued[:0]
	for _, u := range g.queued {
		m, ok := lookup(u.name)
		if !ok {
			continue
		}
		if limit >= m.encodedSize() {
			limit -= m.encodedSize()
			out = append(out, m)
			u.sentCount++
		} else {
			limit = 0
		}
		if u.sentCount < maxTransmissions {
			kept = append(kept, u)
		}
	}
	g.queued = kept
	return out
}
