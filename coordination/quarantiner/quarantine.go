// Package quarantiner finds what crashes endpoints and blocks it.
//
// What may crash an endpoint is a Subject. A prompt is a list of parts, of which the last
// belongs to the request itself: a part may crash each engine that begins to write an answer
// to a prompt with it. A request, to an engine or to a plain service, may crash each endpoint
// that runs it, and come again. Daemons exchange evidence: crashes with the subjects of what
// ended in them, progress of suspects, and trials of blamed subjects. From equal evidence they
// reach equal verdicts.
//
// A subject is blamed for a crash if nothing proves it sound and if it explains the crashes
// best: it is common to several that were not at the same time, and to a good share of all
// that nothing else explains. Endpoints that are killed have few subjects in common that make
// no progress elsewhere, so their crashes blame nobody.
package quarantiner

import (
	"cmp"
	"encoding/binary"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoonspar.example/state/registrar"
)

// Subject identifies what may crash endpoints: a part of the prompts for one service, or the
// requests to one service that are the same.
type Subject uint64

// requestBit is set in the subjects that are requests.
const requestBit = 1 << 63

// IsRequest reports whether the subject is a request.
func (s Subject) IsRequest() bool { return s&requestBit != 0 }

// PartOf returns the part with an ID for a service.
func PartOf(service, id string) Subject {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(service) // Never fails.
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(id)
	return Subject(d.Sum64() &^ requestBit)
}

// Request is what makes requests the same: they differ in none of it. What a client changes
// from one attempt to the next, such as the ID of the request, is not part of it.
type Request struct {
	Service, Method, Path, Customer string
	Prompt                          []string // IDs of the parts of the prompt, and what else describes it.
	Body                            []byte   // Is not kept.
}

// RequestOf returns the subject of a request.
func RequestOf(r Request) Subject {
	var d xxhash.Digest
	d.Reset()
	var length [8]byte
	add := func(n int) {
		binary.LittleEndian.PutUint64(length[:], uint64(n)) // Separates the fields.
		_, _ = d.Write(length[:])                           // Never fails.
	}
	for _, text := range slices.Concat([]string{r.Service, r.Method, r.Path, r.Customer}, r.Prompt) {
		add(len(text))
		_, _ = d.WriteString(text)
	}
	add(len(r.Body))
	_, _ = d.Write(r.Body)
	return Subject(d.Sum64() | requestBit)
}

// Suspect is a subject that may have caused a crash.
type Suspect struct {
	Subject Subject `msgpack:"p"`
	Depth   int     `msgpack:"d"` // Greatest position in a prompt; 0 for the first part.
}

// RequestDepth is the depth of a request as a suspect. Of equal evidence against a request and
// the parts of its prompt, it is against the request, which blocks least.
const RequestDepth = 1 << 16

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
	Subject Subject   `msgpack:"p"`
	At      time.Time `msgpack:"t"`
}

// Trial says that a daemon sends a request with a blamed part to see whether it still
// crashes engines.
type Trial struct {
	Subject Subject   `msgpack:"p"`
	Round   int       `msgpack:"n"` // Number of trials since the part was blamed.
	At      time.Time `msgpack:"t"`
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
	Subject    Subject
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
	order     []*crash              // Those in crashes.
	named     map[Subject]int       // Number of crashes of which a part is a suspect.
	published map[Subject]time.Time // Latest progress of suspects that daemons published.
	trials    map[Subject]Trial     // The last one of each part.
	retracted map[registrar.Identity]time.Time
	outbox    outbox
}

// findings is what follows from the evidence. It doesn't change once it is published.
type findings struct {
	blamed map[Subject]*blame
	live   map[Subject]suspicion
	tied   map[Subject]bool
	next   time.Time // When evidence or a blame expires.
}

// New returns a Quarantine without evidence.
func New(cfg Config) *Quarantine {
	return &Quarantine{
		cfg: cfg.withDefaults(), crashes: map[registrar.Identity]*crash{}, named: map[Subject]int{}, published: map[Subject]time.Time{},
		trials: map[Subject]Trial{}, retracted: map[registrar.Identity]time.Time{}, outbox: newOutbox(),
	}
}

// RecordProgress records that a run at this daemon made progress: it has completed or has
// sent events for a while. The subjects are the parts of its prompt without the last, and then the
// request.
func (q *Quarantine) RecordProgress(parts []Subject, now time.Time) {
	var request Subject
	if n := len(parts); n > 0 && parts[n-1].IsRequest() {
		request = parts[n-1]
	}
	for _, p := range parts {
		q.progress.record(p, request, now)
	}
	f := q.current(now)
	if f == nil {
		return
	}
	for _, p := range parts {
		if _, ok := f.live[p]; ok {
			q.publishProgress(p, f.blamed[p] != nil || f.tied[p], now)
		}
	}
}

// publishProgress adds progress at this daemon to the evidence, at once if that is urgent.
func (q *Quarantine) publishProgress(p Subject, urgent bool, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if urgent {
		q.addProgress(Progress{Subject: p, At: now.Round(0)}, &q.outbox.own, now)
		return
	}
	q.prepareAnswer(p, now, now)
}

// RecordCrash records that the process of an engine ended unexpectedly. The suspects are
// the requests that ran on it and had not made progress, and the parts of their prompts
// without the last, and now is the time at which this daemon saw the end. Parts that are known to be
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
		at, ok := q.progress.last(s.Subject)
		if ok && !at.Add(q.cfg.ProgressRetention).Before(now) || q.sound(s.Subject, now) {
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
		return cmp.Or(-cmp.Compare(known.lives(a.Subject), known.lives(b.Subject)), cmp.Compare(salted(engine, a.Subject), salted(engine, b.Subject)))
	})
	return normalize(kept[:maxReported])
}

// lives returns 1 if a part may have caused a crash that is known, or else 0.
func (f *findings) lives(p Subject) int {
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
		if at, ok := q.published[p.Subject]; ok && at.Equal(p.At) {
			changed = true
			out.addProgress(p)
		}
	}
	for _, t := range fresh.Trials {
		if held, ok := q.trials[t.Subject]; ok && held.At.Equal(t.At) {
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
func (q *Quarantine) Check(parts []Subject, now time.Time) (Verdict, bool) {
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
		Subject: b.subject, Depth: b.depth, Crashes: len(b.crashes), Engines: b.engines, Trials: b.round, Since: b.since(),
		RetryAfter: max(b.until.Sub(now), 0) + q.cfg.RetryMargin,
	}
}

// Crashes returns the number of crashes that a subject may have caused, as far as they are
// known.
func (q *Quarantine) Crashes(s Subject, now time.Time) int {
	if q.current(now) == nil {
		return 0
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.sound(s, now) {
		return 0
	}
	return q.named[s]
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
		return cmp.Or(a.Since.Compare(b.Since), cmp.Compare(a.Subject, b.Subject))
	})
	return all
}

// TryTrial reports whether this daemon may send one request with a blamed part. It returns
// true once when a trial is due, and the other daemons are told. The chosen daemon is the
// one that ranks first for the part among those that are reachable. Another one tries only
// some time later, since the chosen one may have no request with the part.
func (q *Quarantine) TryTrial(part Subject, chosen bool, now time.Time) bool {
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
	return q.addTrial(Trial{Subject: part, Round: b.round + 1, At: now.Round(0)}, &q.outbox.own, now)
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
