package fetcher

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var startTime = time.Unix(1000, 0)

func newFetcher(seed uint64) *Fetcher { return New(rand.New(rand.NewPCG(seed, 1))) }

func TestFetchesFromOnePeerAtATime(t *testing.T) {
	f := newFetcher(1)
	for i := range 4 {
		f.Offer(fmt.Sprint("d", i), 7, 60, startTime)
	}
	now := startTime.Add(maxDelay)
	peer, ok := f.Next(6, now)
	assert.Assert(t, ok)
	_, ok = f.Next(6, now)
	assert.Assert(t, !ok, "a second fetch while the first has not ended")
	f.End(peer, errors.New("timeout"))
	other, ok := f.Next(6, now)
	assert.Assert(t, ok && other != peer, "the peer whose fetch failed is chosen again")
	f.End(other, nil)
	_, ok = f.Next(7, now)
	assert.Assert(t, !ok, "a version that is in force is fetched again")
}

// A peer that goes back to an older version, as after a restart, is not asked for the
// newer one.
func TestOlderOfferReplacesNewerOne(t *testing.T) {
	f := newFetcher(1)
	f.Offer("a", 7, 1, startTime)
	f.Offer("a", 5, 1, startTime)
	_, ok := f.Next(3, startTime.Add(maxDelay))
	assert.Assert(t, !ok)
}

// herd simulates the spread of a version among daemons, of which the first few have it
// at the start. Each sends it to one other after the other.
type herd struct {
	now      time.Time
	fetchers []*Fetcher
	versions []int64
	busy     []time.Time // Until when each daemon sends.
	sent     []int
	fetches  []fetch
}

type fetch struct {
	to, from int
	endsAt   time.Time
	failed   bool
}

const (
	herdSources  = 4
	sendTime     = 20 * time.Millisecond // Of one version, on the link of a small VM.
	fetchTimeout = 600 * time.Millisecond
	tick         = 8 * time.Millisecond
)

func newHerd(n int) *herd {
	h := &herd{now: startTime, versions: make([]int64, n), busy: make([]time.Time, n), sent: make([]int, n)}
	for i := range n {
		h.fetchers = append(h.fetchers, newFetcher(uint64(i)))
	}
	for i := range herdSources {
		h.install(i)
	}
	return h
}

// install gives a daemon the version, which it offers to all others.
func (h *herd) install(i int) {
	h.versions[i] = 1
	for j, f := range h.fetchers {
		if j != i {
			f.Offer(fmt.Sprint(i), 1, len(h.fetchers)-1, h.now)
		}
	}
}

// step lets one tick pass.
func (h *herd) step() {
	h.now = h.now.Add(tick)
	h.fetches = slices.DeleteFunc(h.fetches, func(x fetch) bool {
		if x.endsAt.After(h.now) {
			return false
		}
		var err error
		if x.failed {
			err = errors.New("timeout")
		}
		h.fetchers[x.to].End(fmt.Sprint(x.from), err)
		if err == nil && h.versions[x.to] == 0 {
			h.install(x.to)
		}
		return true
	})
	for i, f := range h.fetchers {
		peer, ok := f.Next(h.versions[i], h.now)
		if !ok {
			continue
		}
		var from int
		_, _ = fmt.Sscan(peer, &from)
		done := h.now
		if h.busy[from].After(done) {
			done = h.busy[from]
		}
		done = done.Add(sendTime)
		h.busy[from] = done
		h.sent[from]++
		x := fetch{to: i, from: from, endsAt: done}
		if done.Sub(h.now) > fetchTimeout {
			x.endsAt, x.failed = h.now.Add(fetchTimeout), true
		}
		h.fetches = append(h.fetches, x)
	}
}

// Guards against a herd on the daemons that are the first to know a version: all others
// fetched it from each of them at once, their links filled, and fetches and syncs
// failed by timeout.
func TestVersionSpreadsWithoutHerd(t *testing.T) {
	for _, n := range []int{9, 66, 380} {
		h := newHerd(n)
		for slices.Contains(h.versions, 0) {
			h.step()
			assert.Assert(t, h.now.Sub(startTime) < time.Second, "%d daemons: not everywhere within a second", n)
		}
		total := 0
		for _, s := range h.sent {
			total += s
		}
		t.Logf("%d daemons: everywhere after %v, at most %d sent by one daemon", n, h.now.Sub(startTime), slices.Max(h.sent))
		assert.Equal(t, total, n-herdSources) // Each daemon fetches it once.
	}
}

func TestStatusTellsWhyNewerVersionIsMissing(t *testing.T) {
	f := newFetcher(1)
	now := time.Unix(1000, 0)
	f.Offer("a", 8, 1, now)
	now = now.Add(time.Second)
	peer, ok := f.Next(7, now)
	assert.Assert(t, ok)
	assert.DeepEqual(t, f.Status(7, now), Status{Newest: 8, Behind: time.Second, Fetching: true})
	f.End(peer, errors.New("lost"))
	assert.DeepEqual(t, f.Status(7, now), Status{Newest: 8, Behind: time.Second, Failures: 1})
	assert.DeepEqual(t, f.Status(8, now), Status{})
}
