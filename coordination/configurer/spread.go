package configurer

import (
	"slices"
	"time"

	"monsoonspar.example/state/cataloger"
	"monsoonspar.example/state/partitioner"
)

// announce tells one random peer now and then. A daemon without a manifest asks
// for an answer.
func (c *Core) announce(now time.Time) []Action {
	if now.Before(c.nextTell) {
		return nil
	}
	c.nextTell = now.Add(jitter(c.rng, c.cfg.AnnounceInterval))
	a := c.Announcement()
	a.Asks = c.manifest == nil
	var actions []Action
	for _, peer := range c.randomPeers(1) {
		actions = append(actions, SendAnnouncement{To: peer, Announcement: a})
	}
	return actions
}

// tellMany tells some random peers of the manifest in force.
func (c *Core) tellMany() []Action {
	var actions []Action
	for _, peer := range c.randomPeers(c.cfg.Fanout) {
		actions = append(actions, SendAnnouncement{To: peer, Announcement: c.Announcement()})
	}
	return actions
}

// randomPeers returns up to n different peers.
func (c *Core) randomPeers(n int) []string {
	n = min(n, len(c.members))
	var peers []string
	for len(peers) < n {
		name := c.members[c.rng.IntN(len(c.members))].Name
		if !slices.Contains(peers, name) {
			peers = append(peers, name)
		}
	}
	return peers
}

// hear takes a peer's announcement: a newer manifest is fetched, a peer with an
// older one is told.
func (c *Core) hear(now time.Time, from string, a Announcement) []Action {
	c.lastHeard = now
	delete(c.join.asked, from)
	v := version{Generation: a.Generation, Root: a.Root}
	if a.Generation > c.inForce.Generation {
		return append(c.answer(from, a), c.learnPeer(now, from, v)...)
	}
	if diverged := c.diverges(v); diverged != nil {
		return diverged
	}
	return c.answer(from, a)
}

// answer returns an announcement if the peer asks for it or has an older
// manifest.
func (c *Core) answer(to string, a Announcement) []Action {
	if !a.Asks && a.Generation >= c.inForce.Generation {
		return nil
	}
	return []Action{SendAnnouncement{To: to, Announcement: c.Announcement()}}
}

// learnPeer takes a peer as a source of v.
func (c *Core) learnPeer(now time.Time, from string, v version) []Action {
	f := c.pursue(v)
	if f == nil {
		return nil
	}
	if len(f.sources) < maxSources && !slices.Contains(f.sources, from) {
		f.sources = append(f.sources, from)
	}
	return c.ask(now)
}

// serve answers a peer's request.
func (c *Core) serve(from string, r Request) []Action {
	if c.manifest == nil || r.Generation >= c.inForce.Generation {
		return nil
	}
	d := Delivery{Generation: c.inForce.Generation, Root: c.inForce.Root}
	switch {
	case len(r.Want) > 0 && r.Target == c.inForce.Root:
		d.Parts = c.partsFor(r.Want)
	case r.Whole || r.Generation == 0:
		d.Digests = c.snapshot.Digests()
	default:
		change, ok := c.log.since(version{Generation: r.Generation, Root: r.Root})
		if !ok || change.Size() > c.cfg.DeliveryBytes {
			d.Digests = c.snapshot.Digests()
			break
		}
		d.Base = r.Root
		d.Change = &change
	}
	return []Action{SendDelivery{To: from, Delivery: d}}
}

// partsFor returns those parts of the manifest in force that are wanted, up to
// the size of a delivery, and at least one.
func (c *Core) partsFor(want []partitioner.Digest) []partitioner.Part {
	var parts []partitioner.Part
	size := 0
	for _, p := range c.snapshot.Parts {
		if !slices.Contains(want, p.Digest) {
			continue
		}
		size += len(p.Text)
		if len(parts) > 0 && size > c.cfg.DeliveryBytes {
			break
		}
		parts = append(parts, p)
	}
	return parts
}

// maxLogEntries is the number of recent changes that are kept.
const maxLogEntries = 256

// changeLog holds the latest changes, each following the one before.
type changeLog struct {
	entries []logEntry
	bytes   int
}

// logEntry is a change of the manifest in force.
type logEntry struct {
	from   version
	to     cataloger.Generation
	change partitioner.Change
}

// add appends a change and drops the oldest beyond limit bytes.
func (l *changeLog) add(from, to version, change partitioner.Change, limit int) {
	l.entries = append(l.entries, logEntry{from: from, to: to.Generation, change: change})
	l.bytes += change.Size()
	for l.bytes > limit || len(l.entries) > maxLogEntries {
		l.bytes -= l.entries[0].change.Size()
		l.entries = slices.Delete(l.entries, 0, 1)
	}
}

// since returns the change that leads from v to the manifest in force.
func (l *changeLog) since(v version) (partitioner.Change, bool) {
	i := slices.IndexFunc(l.entries, func(e logEntry) bool { return e.from == v })
	if i < 0 {
		return partitioner.Change{}, false
	}
	joined := l.entries[i].change
	for _, e := range l.entries[i+1:] {
		joined = joined.Join(e.change)
	}
	return joined, true
}
