package quarantiner

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoonspar.example/state/registrar"
)

// crash is what is known about the end of an engine. It doesn't change once it is shared
// with findings; a change replaces it.
type crash struct {
	engine      registrar.Identity
	at          time.Time // Zero if no daemon reported a crash.
	suspects    []Suspect // Sorted by part.
	retractedAt time.Time // Zero if no daemon retracted it.
	hash        uint64    // Of all this.
}

// crashed reports whether the engine counts as crashed.
func (c *crash) crashed() bool { return !c.at.IsZero() }

// covers reports whether the retraction, if any, is one of a crash at the given time.
// Daemons see the end of an engine at different times.
func (c *crash) covers(at time.Time) bool {
	return !c.retractedAt.IsZero() && !at.After(c.retractedAt.Add(retractionCoverage))
}

// latest returns the time of the last event of the engine.
func (c *crash) latest() time.Time {
	if c.at.After(c.retractedAt) {
		return c.at
	}
	return c.retractedAt
}

// sound reports whether a part is proven sound for a crash at the given time. The mutex is
// held.
func (q *Quarantine) sound(p Subject, at time.Time) bool {
	t, ok := q.published[p]
	return ok && !t.Add(q.cfg.ProgressRetention).Before(at)
}

// progressed reports whether a part is known to have made progress at any time, at any daemon. The mutex is held.
func (q *Quarantine) progressed(p Subject) bool {
	_, ok := q.published[p]
	return ok
}

// addCrash adds a report of a crash or a retraction, and returns what was new of it. The
// mutex is held.
func (q *Quarantine) addCrash(in Crash, now time.Time) (Crash, bool) {
	old := q.crashes[in.Engine]
	if q.inFuture(in.At, now) || old == nil && in.Retracted && now.Sub(in.At) > q.cfg.Window {
		return Crash{}, false
	}
	if old == nil {
		old = &crash{engine: in.Engine}
	}
	c := *old
	delta := Crash{Engine: in.Engine, At: in.At, Retracted: in.Retracted}
	switch {
	case in.Retracted:
		if !in.At.After(old.retractedAt) {
			return Crash{}, false
		}
		c.retractedAt = in.At
		if c.covers(c.at) {
			c.at, c.suspects = time.Time{}, nil
		}
	case old.covers(in.At):
		return Crash{}, false
	default:
		c.suspects, delta.Suspects = merge(in.Engine, old.suspects, normalize(slices.Clone(in.Suspects)))
		earlier := !old.crashed() || in.At.Before(old.at)
		if len(delta.Suspects) == 0 && !earlier {
			return Crash{}, false
		}
		if earlier {
			c.at = in.At
		}
	}
	c.hash = c.sum()
	q.replace(q.crashes[in.Engine], &c)
	q.touch(now)
	return delta, true
}

// replace replaces what is known about an engine. Either may be nil. The mutex is held.
func (q *Quarantine) replace(old, c *crash) {
	if old != nil {
		for _, s := range old.suspects {
			if q.named[s.Subject]--; q.named[s.Subject] == 0 {
				delete(q.named, s.Subject)
			}
		}
	}
	if c == nil {
		delete(q.crashes, old.engine)
		q.order = slices.DeleteFunc(q.order, func(o *crash) bool { return o == old })
		return
	}
	for _, s := range c.suspects {
		q.named[s.Subject]++
	}
	q.crashes[c.engine] = c
	if i := slices.Index(q.order, old); i >= 0 {
		q.order[i] = c
	} else {
		q.order = append(q.order, c)
	}
}

// sum returns a hash of what is known about the engine.
func (c *crash) sum() uint64 {
	h := engineHash(c.engine)
	for _, s := range c.suspects {
		h += mix(uint64(s.Subject) + uint64(s.Depth))
	}
	if c.crashed() {
		h += mix(uint64(c.at.UnixNano()))
	}
	if !c.retractedAt.IsZero() {
		h += mix(^uint64(c.retractedAt.UnixNano()))
	}
	return mix(h)
}

// inFuture reports whether a time can't be explained by clocks that differ.
func (q *Quarantine) inFuture(at, now time.Time) bool { return at.Sub(now) > q.cfg.Window }

// addProgress adds progress, and reports whether it was new. Then it is added to out as well,
// which may be nil. The mutex is held.
func (q *Quarantine) addProgress(p Progress, out *facts, now time.Time) bool {
	if q.inFuture(p.At, now) || q.named[p.Subject] == 0 && now.Sub(p.At) > q.cfg.ProgressRetention {
		return false
	}
	if !p.At.After(q.published[p.Subject]) {
		return false
	}
	if _, ok := q.published[p.Subject]; !ok {
		bound(q.published, maxProgress-1, func(at time.Time) time.Time { return at })
	}
	q.published[p.Subject] = p.At
	delete(q.outbox.answers, p.Subject)
	q.touch(now)
	out.addProgress(p)
	return true
}

// addTrial adds a trial, and reports whether it was new. Then it is added to out as well,
// which may be nil. The mutex is held.
func (q *Quarantine) addTrial(t Trial, out *facts, now time.Time) bool {
	if q.inFuture(t.At, now) {
		return false
	}
	old, ok := q.trials[t.Subject]
	if ok && !t.At.After(old.At) {
		return false
	}
	if !ok {
		bound(q.trials, maxTrials-1, func(t Trial) time.Time { return t.At })
	}
	q.trials[t.Subject] = t
	q.touch(now)
	out.addTrial(t)
	return true
}

// touch records that the evidence has changed. The mutex is held.
func (q *Quarantine) touch(now time.Time) {
	if now.Sub(q.changedAt) >= q.cfg.SyncDelay {
		q.busySince = now
	}
	q.changedAt = now
	q.dirty.Store(true)
	q.pending.Store(true)
}

// infer explains the crashes. The mutex is held.
func (q *Quarantine) infer() *inference {
	in := &inference{cfg: q.cfg, sound: q.sound, progressed: q.progressed, named: q.named, trial: func(p Subject) (Trial, bool) { t, ok := q.trials[p]; return t, ok }}
	in.run(q.sorted())
	return in
}

// refute looks for suspected parts that made progress at this daemon. It reports whether the
// verdict depends on one of them, whose progress then is part of the evidence. Progress that is too old to
// prove a part sound matters only if the part is blamed: others that explain as much are more likely then. The mutex is held.
func (q *Quarantine) refute(in *inference, now time.Time) bool {
	urgent := false
	for p, l := range in.live {
		at, ok := q.progress.last(p)
		if !ok || !at.After(q.published[p]) {
			continue
		}
		if in.blamed[p] == nil && !in.tied[p] {
			if !at.Add(q.cfg.ProgressRetention).Before(l.first) {
				q.prepareAnswer(p, at, now)
			}
			continue
		}
		urgent = q.addProgress(Progress{Subject: p, At: at.Round(0)}, &q.outbox.own, now) || urgent
	}
	return urgent
}

// update draws the conclusions from the evidence, and removes what has expired. The mutex is
// held.
func (q *Quarantine) update(now time.Time) {
	old := q.findings.Load()
	if !q.dirty.Load() && (old == nil || now.Before(old.next)) {
		return
	}
	in := q.infer()
	for q.refute(in, now) {
		in = q.infer()
	}
	for p, b := range in.blamed {
		if now.After(b.expires) {
			delete(in.blamed, p)
			for _, c := range b.crashes {
				in.causes[c] = slices.DeleteFunc(in.causes[c], func(o *blame) bool { return o == b })
			}
		}
	}
	q.prune(in, now)
	f := &findings{blamed: in.blamed, live: in.live, tied: in.tied, next: now.Add(q.cfg.Window)}
	for _, c := range q.crashes {
		f.next = earlier(f.next, c.latest().Add(q.cfg.Window), now)
	}
	for _, at := range q.published {
		f.next = earlier(f.next, at.Add(q.cfg.ProgressRetention), now)
	}
	for _, b := range in.blamed {
		f.next = earlier(f.next, b.expires, now)
	}
	q.updateDigest()
	q.dirty.Store(false)
	if len(q.crashes) == 0 && len(q.published) == 0 && len(q.trials) == 0 {
		f = nil
	}
	q.findings.Store(f)
}

// earlier returns the earlier one of two times, or the first if the second is not after now.
func earlier(a, b, now time.Time) time.Time {
	b = b.Add(time.Nanosecond)
	if b.After(now) && b.Before(a) {
		return b
	}
	return a
}

// sorted returns the crashes in the order of their times. The mutex is held.
func (q *Quarantine) sorted() []*crash {
	slices.SortFunc(q.order, func(a, b *crash) int {
		return cmp.Or(a.latest().Compare(b.latest()), cmp.Compare(a.engine.Name, b.engine.Name), cmp.Compare(a.engine.Started, b.engine.Started))
	})
	return q.order
}

// prune removes the evidence that has expired or that exceeds the bounds. The mutex is held.
func (q *Quarantine) prune(in *inference, now time.Time) {
	for _, b := range in.blamed {
		for _, c := range in.thin(b) {
			q.replace(c, nil)
		}
	}
	needed := in.needed()
	for _, c := range slices.Clone(q.order) {
		if now.Sub(c.latest()) > q.cfg.Window && needed[c] == 0 {
			q.replace(c, nil)
		}
	}
	if excess := len(q.order) - maxCrashes; excess > 0 {
		all := slices.Clone(q.order)
		slices.SortStableFunc(all, func(a, b *crash) int { return needed[a] - needed[b] })
		for _, c := range all[:excess] {
			q.replace(c, nil)
		}
	}
	maps.DeleteFunc(q.published, func(p Subject, at time.Time) bool {
		return q.named[p] == 0 && now.Sub(at) > q.cfg.ProgressRetention
	})
	maps.DeleteFunc(q.trials, func(p Subject, t Trial) bool {
		return in.blamed[p] == nil && now.Sub(t.At) > q.cfg.Window
	})
}

// updateDigest sets the digest. The mutex is held.
func (q *Quarantine) updateDigest() {
	var sum uint64
	for _, c := range q.crashes {
		sum += c.hash
	}
	for p, at := range q.published {
		sum += mix(mix(uint64(p)) + uint64(at.UnixNano()))
	}
	for p, t := range q.trials {
		sum += mix(mix(^uint64(p)) + uint64(t.At.UnixNano()) + uint64(t.Round))
	}
	q.digest.Store(sum)
}

// Snapshot returns all evidence, for a daemon that has other evidence.
func (q *Quarantine) Snapshot(now time.Time) Evidence {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.update(now)
	var e Evidence
	for _, c := range q.sorted() {
		if c.crashed() {
			e.Crashes = append(e.Crashes, Crash{Engine: c.engine, At: c.at, Suspects: c.suspects})
		}
		if !c.retractedAt.IsZero() {
			e.Crashes = append(e.Crashes, Crash{Engine: c.engine, At: c.retractedAt, Retracted: true})
		}
	}
	for p, at := range q.published {
		e.Progress = append(e.Progress, Progress{Subject: p, At: at})
	}
	for _, t := range q.trials {
		e.Trials = append(e.Trials, t)
	}
	return e
}

// normalize sorts suspects by part and joins those of the same part.
func normalize(list []Suspect) []Suspect {
	slices.SortFunc(list, func(a, b Suspect) int {
		return cmp.Or(cmp.Compare(a.Subject, b.Subject), cmp.Compare(b.Depth, a.Depth))
	})
	return slices.CompactFunc(list, func(a, b Suspect) bool { return a.Subject == b.Subject })
}

// merge returns the suspects of a crash when others, which are normalized, are added, and
// those that are new. Of too many the same ones are kept in whatever order they are added.
func merge(engine registrar.Identity, old, added []Suspect) (all, fresh []Suspect) {
	all = normalize(slices.Concat(old, added))
	if len(all) > maxSuspects {
		slices.SortFunc(all, func(a, b Suspect) int { return cmp.Compare(salted(engine, a.Subject), salted(engine, b.Subject)) })
		all = normalize(all[:maxSuspects])
	}
	for _, s := range all {
		if i, ok := slices.BinarySearchFunc(old, s, func(a, b Suspect) int { return cmp.Compare(a.Subject, b.Subject) }); !ok || s.Depth > old[i].Depth {
			fresh = append(fresh, s)
		}
	}
	return all, fresh
}

// salted returns a hash of a part that differs between engines.
func salted(engine registrar.Identity, p Subject) uint64 { return mix(engineHash(engine) ^ uint64(p)) }

func engineHash(id registrar.Identity) uint64 {
	return xxhash.Sum64String(id.Name + "/" + strconv.FormatInt(id.Started, 10))
}

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// bound removes the oldest entries of a map until at most n are left.
func bound[K comparable, V any](m map[K]V, n int, at func(V) time.Time) {
	for len(m) > n {
		var oldest K
		first := true
		for k, v := range m {
			if first || at(v).Before(at(m[oldest])) {
				oldest, first = k, false
			}
		}
		delete(m, oldest)
	}
}
