package forwarder

import (
	"context"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"
	"github.com/vmihailenco/msgpack/v5"

	"monsoonspar.example/coordination/quarantiner"
	"monsoonspar.example/state/registrar"
)

// A part of a prompt may crash each engine that begins to write an answer to it. Package
// quarantiner decides which one; the daemons tell each other which engines have ended under
// runs that had made no progress, and refuse requests with a part that is blamed.
const (
	soundAfter       = 200 * time.Millisecond // A run that has produced events for this long has made progress.
	endProbes        = 5                      // Idle connections of a process that has ended may be left.
	endProbePause    = 20 * time.Millisecond
	endProbeTimeout  = 400 * time.Millisecond
	maxCrashAge      = time.Second            // Of news that keeps new jobs off an engine; its successor may have started after more.
	verdictInterval  = 100 * time.Millisecond // A block may begin without new evidence.
	maxLoggedEngines = 8
)

// errPromptQuarantined means that a part of the prompt crashes engines.
var errPromptQuarantined = errors.New("a part of the prompt crashes engines")

// promptParts returns the parts of a prompt that it may share with others, which are all but
// the last one.
func promptParts(service string, prefix []PrefixPart) []quarantiner.Part {
	if len(prefix) < 2 {
		return nil
	}
	parts := make([]quarantiner.Part, len(prefix)-1)
	for i := range parts {
		parts[i] = quarantiner.PartOf(service, prefix[i].ID)
	}
	return parts
}

// formatPart formats a part for logs.
func formatPart(p quarantiner.Part) string { return strconv.FormatUint(uint64(p), 16) }

// quarantined returns the verdict about the prompt. It returns false if the stream may send
// requests to engines.
func (s *stream) quarantined() (quarantiner.Verdict, bool) {
	if s.trial.Load() {
		return quarantiner.Verdict{}, false
	}
	return s.f.quarantine.Check(s.parts, s.f.clock.Now())
}

// refuseQuarantined returns the refusal of a request whose prompt is quarantined, or nil if it
// may be sent. One daemon tries a request again now and then.
func (s *stream) refuseQuarantined() *Refusal {
	v, blocked := s.quarantined()
	if !blocked {
		return nil
	}
	now := s.f.clock.Now()
	if s.f.quarantine.TryTrial(v.Part, s.f.triesPart(v.Part, now), now) {
		s.trial.Store(true)
		s.f.metrics.count("quarantine_trials")
		s.logVerdict(v, "forwarder: request sent to try whether a part of its prompt still crashes engines")
		return nil
	}
	s.logVerdict(v, "forwarder: prompt contains a part that crashes engines")
	return &Refusal{Status: fasthttp.StatusServiceUnavailable, Reason: ReasonPromptQuarantined, RetryAfter: v.RetryAfter}
}

// logVerdict logs the evidence against a part of the prompt.
func (s *stream) logVerdict(v quarantiner.Verdict, msg string) {
	id := ""
	for i, p := range s.parts {
		if p == v.Part {
			id = s.x.req.Generation.Prefix[i].ID
		}
	}
	addVerdictFields(s.f.addRequestFields(s.f.log.Info(), s.x), &v, s.f.clock.Now()).Str("part_id", id[:min(len(id), maxLoggedIDBytes)]).Msg(msg)
}

// addVerdictFields adds a part and the evidence against it to a log event.
func addVerdictFields(e *zerolog.Event, v *quarantiner.Verdict, now time.Time) *zerolog.Event {
	engines := make([]string, 0, maxLoggedEngines)
	for _, id := range v.Engines[:min(len(v.Engines), maxLoggedEngines)] {
		engines = append(engines, id.Name)
	}
	return e.Str("part", formatPart(v.Part)).Int("crashes", v.Crashes).Strs("engines", engines).Dur("since_ms", now.Sub(v.Since)).Int("trials", v.Trials)
}

// triesPart reports whether this daemon is the one that tries a part again.
func (f *Forwarder) triesPart(p quarantiner.Part, now time.Time) bool {
	rank := f.members.Rank(registrar.Endpoint{Identity: registrar.Identity{Name: formatPart(p)}}, now)
	return f.members.IsSelf(rank[0])
}

// recordProgress records that the prompt made progress on an engine, which proves its parts
// sound.
func (s *stream) recordProgress(now time.Time) {
	if len(s.parts) > 0 {
		s.f.quarantine.RecordProgress(s.parts, now)
	}
}

// checkEngine finds out whether the engine of a run that has broken off has ended, and records
// the parts of its prompt as suspects unless the run has made progress.
func (s *stream) checkEngine(cause error) {
	now := s.f.clock.Now()
	s.mu.Lock()
	e, sound, replaced := s.run.engine, s.runSound, s.replacement != nil
	s.mu.Unlock()
	if replaced || s.ctx.Err() != nil || errors.Is(cause, errPromptQuarantined) || s.f.registry.ShuttingDown(e.Identity) {
		return
	}
	var suspects []quarantiner.Suspect
	if !sound {
		for i, p := range s.parts {
			suspects = append(suspects, quarantiner.Suspect{Part: p, Depth: i})
		}
	}
	s.f.spawn(func() {
		if !s.f.hasEnded(s.f.ctx, e) {
			return
		}
		if p := s.f.knownPlacer(e.Service); p != nil {
			p.MarkUnreachable(e.Identity, now)
		}
		s.f.metrics.count("runs_lost_with_engine")
		s.f.addRequestFields(s.f.log.Info(), s.x).Str("endpoint", e.Name).Int("suspects", len(suspects)).Msg("forwarder: engine has ended; run lost")
		if len(suspects) > 0 {
			s.f.quarantine.RecordCrash(e.Identity, suspects, now)
		}
	})
}

// hasEnded reports whether it is certain that the process of an engine has ended: nothing
// listens on its address, or another process does. One that is cut off, or only broke off a
// response, has not.
func (f *Forwarder) hasEnded(ctx context.Context, e registrar.Endpoint) bool {
	c, cancel := context.WithTimeout(ctx, endProbeTimeout)
	defer cancel()
	for range endProbes {
		r, err := f.probeEnd(c, e)
		switch {
		case errors.Is(err, errEndpointDeferred):
			return false
		case err == nil:
			return r.Started != 0 && e.Started != 0 && r.Started != e.Started
		case errors.Is(err, syscall.ECONNREFUSED):
			return true
		}
		if f.clock.Sleep(c, endProbePause) != nil {
			break
		}
	}
	return false
}

// quarantineWatch holds the parts that were blocked when the daemon last acted on the verdicts.
type quarantineWatch struct {
	digest    uint64
	checkedAt time.Time
	blocked   map[quarantiner.Part]bool

	mu      sync.Mutex
	changed chan struct{} // Closed when another part is blocked.
}

func newQuarantineWatch() *quarantineWatch {
	return &quarantineWatch{blocked: map[quarantiner.Part]bool{}, changed: make(chan struct{})}
}

// next returns a channel that is closed when another part is blocked.
func (w *quarantineWatch) next() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.changed
}

// enforceQuarantine acts on verdicts that are new: requests that wait are refused, and runs that
// have not begun are canceled. It is called by one goroutine.
func (f *Forwarder) enforceQuarantine(now time.Time) {
	w := f.quarantineWatch
	digest := f.quarantine.Digest(now)
	if digest == w.digest && (digest == 0 || now.Sub(w.checkedAt) < verdictInterval) {
		return
	}
	w.digest, w.checkedAt = digest, now
	blocked := map[quarantiner.Part]bool{}
	added := false
	for _, v := range f.quarantine.Blamed(now) {
		blocked[v.Part] = true
		if !w.blocked[v.Part] {
			added = true
			f.metrics.count("parts_quarantined")
			addVerdictFields(f.log.Warn(), &v, now).Int("depth", v.Depth).Dur("retry_after_ms", v.RetryAfter).Msg("forwarder: part of prompts quarantined; engines crash on it")
		}
	}
	for p := range w.blocked {
		if !blocked[p] {
			f.metrics.count("parts_released")
			f.log.Info().Str("part", formatPart(p)).Msg("forwarder: part of prompts no longer quarantined")
		}
	}
	w.blocked = blocked
	if !added {
		return
	}
	w.mu.Lock()
	close(w.changed)
	w.changed = make(chan struct{})
	w.mu.Unlock()
	for _, s := range f.runningStreams() {
		if _, is := s.quarantined(); is {
			s.cancelRun(errPromptQuarantined)
		}
	}
}

// cancelRun interrupts the run of the stream unless it has brought an event.
func (s *stream) cancelRun(cause error) {
	s.mu.Lock()
	interrupt, started := s.run.interrupt, s.eventCount > 0 || s.progress.Started()
	s.mu.Unlock()
	if interrupt == nil || started {
		return
	}
	s.f.metrics.count("runs_canceled")
	interrupt(cause)
}

// markCrashed keeps new jobs off engines that have crashed according to a peer, before polls of
// this daemon find so.
func (f *Forwarder) markCrashed(crashes []quarantiner.Crash, now time.Time) {
	for _, c := range crashes {
		if c.Retracted || now.Sub(c.At) > maxCrashAge {
			continue
		}
		for _, p := range f.allPlacers() {
			p.MarkUnreachable(c.Engine, now)
		}
	}
}

// applyEvidence adds the evidence of a peer. Above fullMeshLimit, daemons of other failure
// domains send theirs to few daemons of this one, which pass it on.
func (p *peers) applyEvidence(e *quarantiner.Evidence, peer string) {
	if e == nil || e.Empty() {
		return
	}
	now := p.f.clock.Now()
	relay := p.f.members.Count() > fullMeshLimit && p.domainOf(peer) != p.f.cfg.Daemon.Domain
	p.f.quarantine.Apply(*e, relay, now)
	p.f.markCrashed(e.Crashes, now)
}

// exchangeEvidence exchanges all evidence with a peer.
func (p *peers) exchangeEvidence(ctx context.Context, o *peer) error {
	var remote quarantiner.Evidence
	if err := p.call(ctx, o.daemon.Addr, methodEvidence, p.f.quarantine.Snapshot(p.f.clock.Now()), &remote); err != nil {
		return err
	}
	p.applyEvidence(&remote, o.daemon.Name)
	return nil
}

// handleEvidence handles the evidence of a peer and returns that of this daemon.
func (p *peers) handleEvidence(name string, body []byte) ([]byte, error) {
	var remote quarantiner.Evidence
	if err := msgpack.Unmarshal(body, &remote); err != nil {
		return nil, err
	}
	local := p.f.quarantine.Snapshot(p.f.clock.Now())
	p.applyEvidence(&remote, name)
	return msgpack.Marshal(local)
}

// relayEvidence queues evidence of other failure domains for the peers of this one.
func (p *peers) relayEvidence(e quarantiner.Evidence) {
	if !e.Empty() {
		p.enqueueFor(&updateMessage{Evidence: &e}, func(d Daemon) bool { return d.Domain == p.f.cfg.Daemon.Domain })
	}
}
