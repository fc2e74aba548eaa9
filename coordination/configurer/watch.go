package configurer

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Bounds of the backoff before a failed watch is restarted.
const (
	minWatchBackoff = 200 * time.Millisecond
	maxWatchBackoff = 5 * time.Second
)

// watch is the state of the watch of the platform's head.
type watch struct {
	elected   bool   // Whether the daemon is one of its domain's watchers.
	watchers  int    // Number of watchers in all domains.
	id        uint64 // ID of the last watch that was started.
	running   bool
	lastAlive time.Time
	backoff   time.Duration
	retryAt   time.Time
}

// recordAlive records activity of watch id and resets the backoff.
func (w *watch) recordAlive(now time.Time, id uint64) {
	if w.running && id == w.id {
		w.lastAlive = now
		w.backoff = 0
	}
}

// recordFailure records the end of watch id and schedules the next attempt.
func (w *watch) recordFailure(now time.Time, id uint64, rng *rand.Rand) {
	if !w.running || id != w.id {
		return
	}
	w.running = false
	w.backoff = min(max(2*w.backoff, minWatchBackoff), maxWatchBackoff)
	w.retryAt = now.Add(jitter(rng, w.backoff))
}

// jitter returns a random duration between half of d and one and a half times
// d.
func jitter(rng *rand.Rand, d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return d/2 + time.Duration(rng.Int64N(int64(d)))
}

// setMembers sets the live members and updates which daemons watch.
func (c *Core) setMembers(now time.Time, members []Member) []Action {
	c.members = slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.Name == c.cfg.Name })
	c.watch.elected = isWatcher(c.cfg, c.members)
	c.watch.watchers = countWatchers(c.cfg, c.members)
	if !c.join.started {
		return nil
	}
	var actions []Action
	if c.manifest == nil && c.join.polled == 0 {
		actions = c.pollPeers()
	}
	return append(actions, c.maintainWatch(now)...)
}

// isWatcher reports whether the daemon is one of its domain's watchers. These are
// the members with the highest rank, so that daemons with the same view of the
// membership agree on them without communication.
func isWatcher(cfg Config, members []Member) bool {
	ownRank := watchRank(cfg.Name)
	higher := 0
	for _, m := range members {
		if m.Domain != cfg.Domain {
			continue
		}
		rank := watchRank(m.Name)
		if cmp.Or(cmp.Compare(rank, ownRank), cmp.Compare(m.Name, cfg.Name)) > 0 {
			higher++
		}
	}
	return higher < cfg.Watchers
}

// watchRank returns a hash of the name, by which the members of a domain are
// ranked.
func watchRank(name string) uint64 { return xxhash.Sum64String("watch " + name) }

// countWatchers returns the number of watchers in all domains.
func countWatchers(cfg Config, members []Member) int {
	domains := map[string]int{cfg.Domain: 1}
	for _, m := range members {
		domains[m.Domain]++
	}
	n := 0
	for _, size := range domains {
		n += min(size, cfg.Watchers)
	}
	return n
}

// maintainWatch starts, replaces or stops the watch.
func (c *Core) maintainWatch(now time.Time) []Action {
	if !c.watch.elected {
		if !c.watch.running {
			return nil
		}
		c.watch.running = false
		return []Action{StopWatch{ID: c.watch.id}}
	}
	var actions []Action
	if c.watch.running {
		if now.Sub(c.watch.lastAlive) < c.cfg.WatchIdleTimeout {
			return nil
		}
		actions = append(actions, StopWatch{ID: c.watch.id})
	} else if now.Before(c.watch.retryAt) {
		return nil
	}
	c.watch.id++
	c.watch.running = true
	c.watch.lastAlive = now
	return append(actions, Watch{ID: c.watch.id})
}

// pollHead reads the head periodically, because a watch may stall without an
// error. The interval of a watcher grows with the number of watchers, so that
// their total rate is constant. A daemon that is not a watcher polls only while
// it has no manifest or no peer sends it announcements.
func (c *Core) pollHead(now time.Time) []Action {
	if now.Before(c.nextPoll) {
		return nil
	}
	interval := c.cfg.PollInterval
	if c.manifest != nil && c.watch.elected {
		interval *= time.Duration(c.watch.watchers)
	}
	c.nextPoll = now.Add(jitter(c.rng, interval))
	isolated := now.Sub(c.lastPeerAnnouncement) >= c.cfg.PeerIdleTimeout
	if c.manifest != nil && !c.watch.elected && !isolated {
		return nil
	}
	return []Action{ReadHead{}}
}

// handleHead processes a head, unless it is from a watch that was replaced or
// stopped.
func (c *Core) handleHead(now time.Time, ev HeadReceived) []Action {
	if ev.Watch != 0 {
		if !c.watch.running || ev.Watch != c.watch.id {
			return nil
		}
		c.watch.recordAlive(now, ev.Watch)
	}
	return c.fetchHead(now, ev.Head)
}
