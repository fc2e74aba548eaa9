package configurer

import (
	"slices"
	"time"

	"monsoonspar.example/state/cataloger"
	"monsoonspar.example/state/partitioner"
)

// announceIfDue sends the periodic announcement to one random peer. A daemon
// without a manifest asks the peer to reply.
func (c *Core) announceIfDue(now time.Time) []Action {
	if now.Before(c.nextAnnounce) {
		return nil
	}
	c.nextAnnounce = now.Add(jitter(c.rng, c.cfg.AnnounceInterval))
	a := c.Announcement()
	a.Pull = c.manifest == nil
	var actions []Action
	for _, peer := range c.randomPeers(1) {
		actions = append(actions, SendAnnouncement{To: peer, Announcement: a})
	}
	return actions
}

// announceToPeers announces the manifest in force to random peers.
func (c *Core) announceToPeers() []Action {
	var actions []Action
	for _, peer := range c.randomPeers(c.cfg.Fanout) {
		actions = append(actions, SendAnnouncement{To: peer, Announcement: c.Announcement()})
	}
	return actions
}

// randomPeers returns up to n distinct peers.
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

// handleAnnouncement processes a peer's announcement: a newer manifest is
// fetched, and a peer with an older one is sent an announcement.
func (c *Core) handleAnnouncement(now time.Time, from string, a Announcement) []Action {
	c.lastPeerAnnouncement = now
	delete(c.join.unanswered, from)
	v := version{Generation: a.Generation, Root: a.Root}
	if a.Generation > c.inForce.Generation {
		return append(c.reply(from, a), c.fetchFromPeer(now, from, v)...)
	}
	if diverged := c.rejectDiverged(v); diverged != nil {
		return diverged
	}
	return c.reply(from, a)
}

// reply returns an announcement if the peer asks for one or has an older
// manifest.
func (c *Core) reply(to string, a Announcement) []Action {
	if !a.Pull && a.Generation >= c.inForce.Generation {
		return nil
	}
	return []Action{SendAnnouncement{To: to, Announcement: c.Announcement()}}
}

// fetchFromPeer adds a peer as a source of v and continues the fetch.
func (c *Core) fetchFromPeer(now time.Time, from string, v version) []Action {
	f := c.fetchOf(v)
	if f == nil {
		return nil
	}
	if len(f.sources) < maxSources && !slices.Contains(f.sources, from) {
		f.sources = append(f.sources, from)
	}
	return c.continueFetch(now)
}

// handleRequest answers a peer's request. It prefers a change, and sends the list
// of all parts if there is none or it exceeds the size of a delivery.
func (c *Core) handleRequest(from string, r Request) []Action {
	if c.manifest == nil || r.Generation >= c.inForce.Generation {
		return nil
	}
	d := Delivery{Generation: c.inForce.Generation, Root: c.inForce.Root}
	switch {
	case len(r.Want) > 0 && r.Target == c.inForce.Root:
		d.Parts = c.selectParts(r.Want)
	case r.ListParts || r.Generation == 0:
		d.Digests = c.snapshot.Digests()
	default:
		change, ok := c.changes.since(version{Generation: r.Generation, Root: r.Root})
		if !ok || change.Size() > c.cfg.MaxDeliveryBytes {
			d.Digests = c.snapshot.Digests()
			break
		}
		d.Base = r.Root
		d.Change = &change
	}
	return []Action{SendDelivery{To: from, Delivery: d}}
}

// selectParts returns the parts of the manifest in force that are in want, up to
// the size of a delivery, but at least one if there are any.
func (c *Core) selectParts(want []partitioner.Digest) []partitioner.Part {
	var parts []partitioner.Part
	size := 0
	for _, p := range c.snapshot.Parts {
		if !slices.Contains(want, p.Digest) {
			continue
		}
		size += len(p.Text)
		if len(parts) > 0 && size > c.cfg.MaxDeliveryBytes {
			break
		}
		parts = append(parts, p)
	}
	return parts
}

// maxLogEntries is the largest number of entries in a changeLog.
const maxLogEntries = 256

// changeLog holds the most recent changes. Each starts from the version that the
// one before it ends with.
type changeLog struct {
	entries []logEntry
	bytes   int
}

// logEntry is the change between two successive manifests in force.
type logEntry struct {
	from   version
	to     cataloger.Generation
	change partitioner.Change
}

// add appends a change and drops the oldest ones beyond limit bytes or
// maxLogEntries.
func (l *changeLog) add(from, to version, change partitioner.Change, limit int) {
	l.entries = append(l.entries, logEntry{from: from, to: to.Generation, change: change})
	l.bytes += change.Size()
	for l.bytes > limit || len(l.entries) > maxLogEntries {
		l.bytes -= l.entries[0].change.Size()
		l.entries = slices.Delete(l.entries, 0, 1)
	}
}

// since returns the change from v to the manifest in force, if v is in the log.
func (l *changeLog) since(v version) (partitioner.Change, bool) {
	i := slices.IndexFunc(l.entries, func(e logEntry) bool { return e.from == v })
	if i < 0 {
		return partitioner.Change{}, false
	}
	combined := l.entries[i].change
	for _, e := range l.entries[i+1:] {
		combined = combined.Compose(e.change)
	}
	return combined, true
}
