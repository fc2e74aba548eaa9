package configurer

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Bounds of the wait before a failed watch is started again.
const (
	minWatchBackoff = 200 * time.Millisecond
	maxWatchBackoff = 5 * time.Second
)

// watch is the state of the watch of the platform's head.
type watch struct {
	elected   bool   // Whether the daemon is to watch.
	watchers  int    // Of all domains.
	id        uint64 // Of the last watch.
	running   bool
	lastAlive time.Time
	backoff   time.Duration
	retryAt   time.Time
}

// noteAlive records a sign of life of watch id.
func (w *watch) noteAlive(now time.Time, id uint64) {
	if w.running && id == w.id {
		w.lastAlive = now
		w.backoff = 0
	}
}

// noteFailed records the end of watch id and sets when to try again.
func (w *watch) noteFailed(now time.Time, id uint64, rng *rand.Rand) {
	if !w.running || id != w.id {
		return
	}
	w.running = false
	w.backoff = min(max(2*w.backoff, minWatchBackoff), maxWatchBackoff)
	w.retryAt = now.Add(jitter(rng, w.backoff))
}

// jitter returns a random duration between half and one and a half of d.
func jitter(rng *rand.Rand, d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return d/2 + time.Duration(rng.Int64N(int64(d)))
}

// setMembers takes the live members.
func (c *Core) setMembers(now time.Time, members []Member) []Action {
	c.members = slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.Name == c.cfg.Name })
	c.watch.elected = isWatcher(c.cfg, c.members)
	c.watch.watchers = countWatchers(c.cfg, c.members)
	if !c.join.started {
		return nil
	}
	var actions []Action
	if c.manifest == nil && c.join.peers == 0 {
		actions = c.askPeers()
	}
	return append(actions, c.tendWatch(now)...)
}

// isWatcher reports whether the daemon is one of its domain's watchers: those
// with the highest hashes, so that all who see the same members agree.
func isWatcher(cfg Config, members []Member) bool {
	own := watchRank(cfg.Name)
	before := 0
	for _, m := range members {
		if m.Domain != cfg.Domain {
			continue
		}
		rank := watchRank(m.Name)
		if cmp.Or(cmp.Compare(rank, own), cmp.Compare(m.Name, cfg.Name)) > 0 {
			before++
		}
	}
	return before < cfg.Watchers
}

// watchRank returns the hash by which the members of a domain are ordered.
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

// tendWatch starts, replaces or stops the watch.
func (c *Core) tendWatch(now time.Time) []Action {
	if !c.watch.elected {
		if !c.watch.running {
			return nil
		}
		c.watch.running = false
		return []Action{StopWatch{ID: c.watch.id}}
	}
	var actions []Action
	if c.watch.running {
		if now.Sub(c.watch.lastAlive) < c.cfg.WatchSilence {
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

// reread reads the head from time to time, because a watch may be silent for
// good. The watchers share the reads; another daemon reads only while it hears
// of no peer.
func (c *Core) reread(now time.Time) []Action {
	if now.Before(c.nextRead) {
		return nil
	}
	interval := c.cfg.RereadInterval
	if c.manifest != nil && c.watch.elected {
		interval *= time.Duration(c.watch.watchers)
	}
	c.nextRead = now.Add(jitter(c.rng, interval))
	alone := now.Sub(c.lastHeard) >= c.cfg.PeerSilence
	if c.manifest != nil && !c.watch.elected && !alone {
		return nil
	}
	return []Action{ReadHead{}}
}

// seeHead takes the platform's head.
func (c *Core) seeHead(now time.Time, ev HeadSeen) []Action {
	if ev.Watch != 0 {
		if !c.watch.running || ev.Watch != c.watch.id {
			return nil
		}
		c.watch.noteAlive(now, ev.Watch)
	}
	return c.learnHead(now, ev.Head)
}
