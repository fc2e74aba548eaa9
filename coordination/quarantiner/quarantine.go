// Package quarantiner finds the parts of prompts that crash engines and blocks them.
//
// A prompt is a list of parts, of which the last belongs to the request itself. A part may
// crash each engine that begins to write an answer to a prompt with it. Daemons exchange
// evidence: crashes with the parts of the runs that ended in them, progress of parts that
// are suspects, and trials of blamed parts. From equal evidence they reach equal verdicts.
//
// A part is blamed for a crash if nothing proves it sound and if it explains the crashes
// best: it is common to several that were not at the same time, and to a good share of all
// that nothing else explains. Engines that are killed have few parts in common that make no
// progress elsewhere, so their crashes blame nobody.
package quarantiner

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoonspar.example/state/registrar"
)

// Part identifies a part of prompts for one service.
type Part uint64

// PartOf returns the part with an ID for a service.
func PartOf(service, id string) Part {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(service) // Never fails.
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(id)
	return Part(d.Sum64())
}

// Suspect is a part that may have caused a crash.
type Suspect struct {
	Part  Part `msgpack:"p"`
	Depth int  `msgpack:"d"` // Greatest position in a prompt; 0 for the first part.
}

// Crash is an engine that ended unexpectedly, or the finding that it did not.
type Crash struct {
	Engine   registrar.Identity `msgpack:"e"`
	Suspects []Suspect          `msgpack:"s,omitempty"` // Sorted by part.
	At       time.Time          `msgpack:"t"`           // Earliest time at which a daemon saw the end; of a retraction, its time.
	// Retracted means that the engine runs, or that the cause of its end is known.
	Retracted bool `msgpack:"r,omitempty"`
}

// Progress says that a run whose prompt contains a part made progress.
type Progress struct {
	Part Part      `msgpack:"p"`
	At   time.Time `msgpack:"t"`
}

// Trial says that a daemon sends a request with a blamed part to see whether it still
// crashes engines.
type Trial struct {
	Part  Part      `msgpack:"p"`
	Round int       `msgpack:"n"` // Number of trials since the part was blamed.
	At    time.Time `msgpack:"t"`
}

// Evidence is what daemons tell each other.
type Evidence struct {
	Crashes  []Crash    `msgpack:"c,omitempty"`
	Progress []Progress `msgpack:"p,omitempty"`
	Trials   []Trial    `msgpack:"t,omitempty"`
}

// Empty reports whether there is no evidence.
func (e Evidence) Empty() bool {
	return len(e.Crashes) == 0 && len(e.Progress) == 0 && len(e.Trials) == 0
}

// Verdict says that a part is blocked.
type Verdict struct {
	Part       Part
	Depth      int                  // Greatest position in a prompt that was seen.
	Crashes    int                  // Crashes with the part, as far as they are held.
	Engines    []registrar.Identity // That crashed. Shared; must not be changed.
	Trials     int                  // Since the part was blamed.
	Since      time.Time            // Time of the first crash.
	RetryAfter time.Duration        // Time after which a request with the part may be served.
}

// Quarantine is one daemon's knowledge of the parts that crash engines. It is safe for
// concurrent use. Use New to make one.
type Quarantine struct {
	cfg      Config
	progress progressTable // Of runs at this daemon.

	digest   atomic.Uint64
	findings atomic.Pointer[findings] // Nil without crashes.
	dirty    atomic.Bool              // The evidence has changed since the findings.
	pending  atomic.Bool              // Something may have to be sent.

	mu        sync.Mutex
	changedAt time.Time // When the evidence last changed.
	busySince time.Time // When it began to change, or ShouldSync returned true since.
	syncedAt  time.Time // When ShouldSync last returned true.
	crashes   map[registrar.Identity]*crash
	order     []*crash           // Those in crashes.
	named     map[Part]int       // Number of crashes of which a part is a suspect.
	published map[Part]time.Time // Latest progress of suspects that daemons published.
	trials    map[Part]Trial     // The last one of each part.
	retracted map[registrar.Identity]time.Time
	outbox    outbox
}

// findings is what follows from the evidence. It doesn't change once it is published.
type findings struct {
	blamed map[Part]*blame
	live   map[Part]suspicion
	next   time.Time // When evidence or a blame expires.
}

// New returns a Quarantine without evidence.
func New(cfg Config) *Quarantine {
	return &Quarantine{
		cfg: cfg.withDefaults(), crashes: map[registrar.Identity]*crash{}, named: map[Part]int{}, published: map[Part]time.Time{},
		trials: map[Part]Trial{}, retracted: map[registrar.Identity]time.Time{}, outbox: newOutbox(),
	}
}

// RecordProgress records that a run at this daemon made progress: it has completed or has
// sent events for a while. The parts are those of its prompt without the last.
func (q *Quarantine) RecordProgress(parts []Part, now time.Time) {
	for _, p := range parts {
		q.progress.record(p, now)
	}
	f := q.current(now)
	if f == nil {
		return
	}
	for _, p := range parts {
		if _, ok := f.live[p]; ok {
			q.publishProgress(p, f.blamed[p] != nil, now)
		}
	}
}

// publishProgress adds progress at this daemon to the evidence, at once if that is urgent.
func (q *Quarantine) publishProgress(p Part, urgent bool, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if urgent {
		q.addProgress(Progress{Part: p, At: now.Round(0)}, &q.outbox.own, now)
		return
	}
	q.prepareAnswer(p, now, now)
}

// RecordCrash records that the process of an engine ended unexpectedly. The suspects are
// the parts of the runs on it that had not made progress, without the last part of each
// prompt, and now is the time at which this daemon saw the end. Parts that are known to be
// sound are left out.
func (q *Quarantine) RecordCrash(engine registrar.Identity, suspects []Suspect, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	c := Crash{Engine: engine, At: now.Round(0), Suspects: q.reportable(engine, suspects, now)}
	if len(c.Suspects) == 0 || q.retracts(engine, now) {
		return
	}
	if delta, changed := q.addCrash(c, now); changed {
		q.outbox.own.addCrash(delta)
	}
}

// reportable returns the suspects of a crash that this daemon reports, sorted by part.
func (q *Quarantine) reportable(engine registrar.Identity, suspects []Suspect, now time.Time) []Suspect {
	kept := make([]Suspect, 0, len(suspects))
	for _, s := range suspects {
		at, ok := q.progress.last(s.Part)
		if ok && !at.Add(q.cfg.ProgressRetention).Before(now) || q.sound(s.Part, now) {
			continue
		}
		kept = append(kept, s)
	}
	kept = normalize(kept)
	if len(kept) <= maxReported {
		return kept
	}
	known := q.findings.Load() // Parts that occur again are worth more than others.
	slices.SortStableFunc(kept, func(a, b Suspect) int {
		return cmp.Or(-cmp.Compare(known.lives(a.Part), known.lives(b.Part)), cmp.Compare(salted(engine, a.Part), salted(engine, b.Part)))
	})
	return normalize(kept[:maxReported])
}

// lives returns 1 if a part may have caused a crash that is known, or else 0.
func (f *findings) lives(p Part) int {
	if f != nil {
		if _, ok := f.live[p]; ok {
			return 1
		}
	}
	return 0
}

// Retract records that an engine runs, or that the cause of its end is known: it was
// killed, shut down or replaced. A crash of it that any daemon reported is no evidence then,
// nor is one that is reported up to 10 s later; the other daemons are told if there is one.
// Of an engine whose end is announced, Retract should be called when it ends.
func (q *Quarantine) Retract(engine registrar.Identity, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	bound(q.retracted, maxRetracted-1, func(at time.Time) time.Time { return at })
	q.retracted[engine] = now.Round(0)
	if c := q.crashes[engine]; c != nil && c.crashed() {
		q.retractCrash(engine, now)
	}
}

// retracts reports whether this daemon knows that a crash is no evidence. The mutex is held.
func (q *Quarantine) retracts(engine registrar.Identity, at time.Time) bool {
	retracted, ok := q.retracted[engine]
	return ok && !at.After(retracted.Add(retractionCoverage))
}

// retractCrash tells the other daemons that a crash is no evidence. The mutex is held.
func (q *Quarantine) retractCrash(engine registrar.Identity, now time.Time) {
	if delta, changed := q.addCrash(Crash{Engine: engine, At: now.Round(0), Retracted: true}, now); changed {
		q.outbox.own.addCrash(delta)
	}
}

// Apply adds the evidence of another daemon, and reports whether any of it was new. With
// relay, what was new is passed on to the peers of the failure domain; it is set for
// evidence of a daemon of another failure domain that not all daemons hear. What this
// daemon can refute, it answers.
func (q *Quarantine) Apply(e Evidence, relay bool, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	var out *facts
	if relay {
		out = &q.outbox.relayed
	}
	fresh := q.add(e, now)
	if q.mayDrop(fresh, now) {
		q.update(now)
	}
	changed := false
	for _, c := range fresh.Crashes {
		if q.crashes[c.Engine] != nil {
			changed = true
			out.addCrash(c)
			q.prepareRetraction(c, now)
		}
	}
	for _, p := range fresh.Progress {
		if at, ok := q.published[p.Part]; ok && at.Equal(p.At) {
			changed = true
			out.addProgress(p)
		}
	}
	for _, t := range fresh.Trials {
		if held, ok := q.trials[t.Part]; ok && held.At.Equal(t.At) {
			changed = true
			out.addTrial(t)
		}
	}
	return changed
}

// add adds evidence of another daemon, and returns what was new. The mutex is held.
func (q *Quarantine) add(e Evidence, now time.Time) Evidence {
	var fresh Evidence
	for _, c := range e.Crashes {
		if delta, changed := q.addCrash(c, now); changed {
			fresh.Crashes = append(fresh.Crashes, delta)
		}
	}
	for _, p := range e.Progress {
		if q.addProgress(p, nil, now) {
			fresh.Progress = append(fresh.Progress, p)
		}
	}
	for _, t := range e.Trials {
		if q.addTrial(t, nil, now) {
			fresh.Trials = append(fresh.Trials, t)
		}
	}
	return fresh
}

// mayDrop reports whether some of the evidence may not be worth holding. It must not be
// passed on then, or daemons would send it to each other forever.
func (q *Quarantine) mayDrop(e Evidence, now time.Time) bool {
	f := q.findings.Load()
	return len(q.crashes) > maxCrashes || len(e.Trials) > 0 || f != nil && len(f.blamed) > 0 && len(e.Crashes) > 0 ||
		slices.ContainsFunc(e.Crashes, func(c Crash) bool { return now.Sub(c.At) > q.cfg.Window }) ||
		slices.ContainsFunc(e.Progress, func(p Progress) bool { return now.Sub(p.At) > q.cfg.ProgressRetention })
}

// Digest returns a hash of the evidence. Daemons with the same evidence have the same
// digest; it is zero without evidence.
func (q *Quarantine) Digest(now time.Time) uint64 {
	q.current(now)
	return q.digest.Load()
}

// ShouldSync reports whether this daemon should exchange snapshots with a peer that has the
// given digest. While evidence spreads the digests differ for a moment, so that only those
// that stay different call for it, unless one of the daemons knows nothing.
func (q *Quarantine) ShouldSync(digest uint64, now time.Time) bool {
	own := q.Digest(now)
	if own == digest {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	pause := q.cfg.SyncDelay
	if own == 0 || digest == 0 {
		pause = 0
	}
	busy := now.Sub(q.changedAt) < pause && now.Sub(q.busySince) < syncDelays*pause
	if busy || now.Sub(q.syncedAt) < pause {
		return false
	}
	q.syncedAt, q.busySince = now, now
	return true
}

// Check returns the verdict about a prompt, given its parts. It returns false if none of
// them is blocked. A request should be checked whenever it is about to be sent, and not
// only when it arrives.
func (q *Quarantine) Check(parts []Part, now time.Time) (Verdict, bool) {
	f := q.current(now)
	if f == nil || len(f.blamed) == 0 {
		return Verdict{}, false
	}
	var worst *blame
	for _, p := range parts {
		if b := f.blamed[p]; b != nil && !now.Before(b.effective) && (worst == nil || b.until.After(worst.until)) {
			worst = b
		}
	}
	if worst == nil {
		return Verdict{}, false
	}
	return q.verdict(worst, now), true
}

func (q *Quarantine) verdict(b *blame, now time.Time) Verdict {
	return Verdict{
		Part: b.part, Depth: b.depth, Crashes: len(b.crashes), Engines: b.engines, Trials: b.round, Since: b.since(),
		RetryAfter: max(b.until.Sub(now), 0) + q.cfg.RetryMargin,
	}
}

// Blamed returns the verdicts about all blocked parts, in the order of their first crashes.
func (q *Quarantine) Blamed(now time.Time) []Verdict {
	f := q.current(now)
	if f == nil {
		return nil
	}
	all := make([]Verdict, 0, len(f.blamed))
	for _, b := range f.blamed {
		if !now.Before(b.effective) {
			all = append(all, q.verdict(b, now))
		}
	}
	slices.SortFunc(all, func(a, b Verdict) int {
		return cmp.Or(a.Since.Compare(b.Since), cmp.Compare(a.Part, b.Part))
	})
	return all
}

// TryTrial reports whether this daemon may send one request with a blamed part. It returns
// true once when a trial is due, and the other daemons are told. The chosen daemon is the
// one that ranks first for the part among those that are reachable. Another one tries only
// some time later, since the chosen one may have no request with the part.
func (q *Quarantine) TryTrial(part Part, chosen bool, now time.Time) bool {
	f := q.current(now)
	if f == nil || f.blamed[part] == nil || now.Before(f.blamed[part].until) {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.update(now)
	f = q.findings.Load()
	if f == nil || f.blamed[part] == nil {
		return false
	}
	b, due := f.blamed[part], f.blamed[part].until
	if !chosen {
		due = due.Add(q.cfg.TrialFallback + q.spread(uint64(part), q.cfg.TrialFallback))
	}
	if now.Before(due) {
		return false
	}
	return q.addTrial(Trial{Part: part, Round: b.round + 1, At: now.Round(0)}, &q.outbox.own, now)
}

// spread returns a time below limit that differs between daemons and keys.
func (q *Quarantine) spread(key uint64, limit time.Duration) time.Duration {
	return time.Duration(mix(xxhash.Sum64String(q.cfg.Self)^key) % uint64(max(limit, 1)))
}

// current returns the findings from the evidence, nil if there is none.
func (q *Quarantine) current(now time.Time) *findings {
	f := q.findings.Load()
	if !q.dirty.Load() && (f == nil || now.Before(f.next)) {
		return f
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.update(now)
	return q.findings.Load()
}
