package forwarder

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"
	"github.com/vmihailenco/msgpack/v5"

	"monsoonspar.example/coordination/quarantiner"
	"monsoonspar.example/coordination/reporter"
	"monsoonspar.example/state/matcher"
	"monsoonspar.example/state/registrar"
)

// A part of a prompt may crash each engine that begins to write an answer to it, and a request
// each endpoint that runs it. Package quarantiner decides which one; the daemons tell each other
// which endpoints have ended under what had made no progress, and refuse requests with a subject
// that is blamed.
const (
	soundAfter       = 200 * time.Millisecond // A run that has produced events for this long has made progress.
	endProbes        = 5                      // Idle connections of a process that has ended may be left.
	endProbePause    = 20 * time.Millisecond
	endProbeTimeout  = 400 * time.Millisecond
	maxCrashAge      = time.Second            // Of news that keeps new jobs off an engine; its successor may have started after more.
	verdictInterval  = 100 * time.Millisecond // A block may begin without new evidence.
	maxLoggedEngines = 8
	endDecisionTime  = 30 * time.Millisecond // For which a call that was lost waits for the result of the probe before it is repeated.
)

// errQuarantined means that the request, or a part of its prompt, crashes endpoints.
var errQuarantined = errors.New("the request or a part of its prompt crashes endpoints")

// subjectsOf returns what of a request may crash endpoints: the parts of its prompt that it may
// share with others, which are all but the last one, in their order, and the request itself.
func subjectsOf(x *exchange) []quarantiner.Subject {
	g := &x.req.Generation
	shared := max(len(g.Prefix)-1, 0)
	subjects := make([]quarantiner.Subject, shared, shared+1)
	for i := range subjects {
		subjects[i] = quarantiner.PartOf(x.service, g.Prefix[i].ID)
	}
	r := quarantiner.Request{Service: x.service, Method: x.req.Method, Path: x.req.Path, Customer: x.customer.Name, Body: x.req.Body}
	if x.route.Kind == matcher.Streaming {
		r.Prompt = append(r.Prompt, g.Model, strconv.Itoa(g.PromptTokens), strconv.Itoa(g.MaxTokens))
		for _, p := range g.Prefix {
			r.Prompt = append(r.Prompt, p.ID)
		}
	}
	return append(subjects, quarantiner.RequestOf(r))
}

// suspectsOf returns the subjects of a request as suspects of a crash.
func suspectsOf(subjects []quarantiner.Subject) []quarantiner.Suspect {
	suspects := make([]quarantiner.Suspect, len(subjects))
	for i, s := range subjects {
		suspects[i] = quarantiner.Suspect{Subject: s, Depth: i}
		if s.IsRequest() {
			suspects[i].Depth = quarantiner.RequestDepth
		}
	}
	return suspects
}

// formatSubject formats a subject for logs.
func formatSubject(s quarantiner.Subject) string { return strconv.FormatUint(uint64(s), 16) }

// kindOf returns the kind of a subject for logs.
func kindOf(s quarantiner.Subject) string {
	if s.IsRequest() {
		return "request"
	}
	return "part"
}

// quarantined returns the verdict about a request. It returns false if the request may be sent
// to endpoints.
func (f *Forwarder) quarantined(x *exchange) (quarantiner.Verdict, bool) {
	if x.trial.Load() {
		return quarantiner.Verdict{}, false
	}
	return f.quarantine.Check(x.subjects, f.clock.Now())
}

// refuseQuarantined returns the refusal of a request that is quarantined, or nil if it may be
// sent. One daemon tries a request again now and then.
func (f *Forwarder) refuseQuarantined(x *exchange) *Refusal {
	v, blocked := f.quarantined(x)
	if !blocked {
		return nil
	}
	now := f.clock.Now()
	if f.quarantine.TryTrial(v.Subject, f.triesSubject(v.Subject, now), now) {
		x.trial.Store(true)
		f.metrics.count("quarantine_trials")
		f.logVerdict(x, v, "forwarder: request sent to try whether it, or a part of its prompt, still crashes endpoints")
		return nil
	}
	reason, msg := ReasonPromptQuarantined, "forwarder: prompt contains a part that crashes engines"
	if v.Subject.IsRequest() {
		reason, msg = ReasonRequestQuarantined, "forwarder: request crashes endpoints"
	}
	f.logVerdict(x, v, msg)
	return &Refusal{Status: fasthttp.StatusServiceUnavailable, Reason: reason, RetryAfter: v.RetryAfter}
}

// logVerdict logs the evidence against a subject of the request.
func (f *Forwarder) logVerdict(x *exchange, v quarantiner.Verdict, msg string) {
	e := addVerdictFields(f.addRequestFields(f.log.Info(), x), &v, f.clock.Now())
	if i := slices.Index(x.subjects, v.Subject); !v.Subject.IsRequest() && i >= 0 {
		id := x.req.Generation.Prefix[i].ID
		e = e.Str("part_id", id[:min(len(id), maxLoggedIDBytes)])
	}
	e.Msg(msg)
}

// addVerdictFields adds a subject and the evidence against it to a log event.
func addVerdictFields(e *zerolog.Event, v *quarantiner.Verdict, now time.Time) *zerolog.Event {
	engines := make([]string, 0, maxLoggedEngines)
	for _, id := range v.Engines[:min(len(v.Engines), maxLoggedEngines)] {
		engines = append(engines, id.Name)
	}
	return e.Str("kind", kindOf(v.Subject)).Str("subject", formatSubject(v.Subject)).Int("crashes", v.Crashes).Strs("engines", engines).Dur("since_ms", now.Sub(v.Since)).Int("trials", v.Trials)
}

// triesSubject reports whether this daemon is the one that tries a subject again.
func (f *Forwarder) triesSubject(p quarantiner.Subject, now time.Time) bool {
	rank := f.members.Rank(registrar.Endpoint{Identity: registrar.Identity{Name: formatSubject(p)}}, now)
	return f.members.IsSelf(rank[0])
}

// recordProgress records that the request made progress on an engine, which proves it and the
// parts of its prompt sound.
func (s *stream) recordProgress(now time.Time) {
	s.f.quarantine.RecordProgress(s.x.subjects, now)
	s.f.wakeForEvidence()
}

// wakeForEvidence makes the daemon send its evidence to the peers if there is any.
func (f *Forwarder) wakeForEvidence() {
	if f.quarantine.HasUpdates() {
		f.peers.wake.wake()
	}
}

// checkEngine finds out whether the engine of a run that has broken off has ended, and records
// the request and the parts of its prompt as suspects unless the run has made progress. The channel
// gets the result; it is nil if nobody asks the engine.
func (s *stream) checkEngine(cause error) <-chan bool {
	now := s.f.clock.Now()
	s.mu.Lock()
	e, sound, replaced := s.run.engine, s.runSound, s.replacement != nil
	s.mu.Unlock()
	if replaced || s.ctx.Err() != nil || errors.Is(cause, errQuarantined) || s.f.registry.ShuttingDown(e.Identity) {
		return nil
	}
	result := make(chan bool, 1)
	var suspects []quarantiner.Suspect
	if !sound {
		suspects = suspectsOf(s.x.subjects)
	}
	s.f.spawn(func() {
		ended := s.f.hasEnded(s.f.ctx, e)
		defer func() { result <- ended }()
		if !ended {
			return
		}
		if p := s.f.knownPlacer(e.Service); p != nil {
			p.MarkUnreachable(e.Identity, now)
		}
		s.f.metrics.count("runs_lost_with_engine")
		s.f.addRequestFields(s.f.log.Info(), s.x).Str("endpoint", e.Name).Int("suspects", len(suspects)).Msg("forwarder: engine has ended; run lost")
		if len(suspects) > 0 {
			s.f.quarantine.RecordCrash(e.Identity, suspects, now)
			s.f.wakeForEvidence()
		}
	})
	return result
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

// checkService finds out whether the endpoint of a plain service has ended under a call, and
// records the call as a suspect. The channel gets the result, unless that takes long.
func (f *Forwarder) checkService(x *exchange, e registrar.Endpoint) <-chan bool {
	now := f.clock.Now()
	result := make(chan bool, 1)
	if f.registry.ShuttingDown(e.Identity) {
		result <- false
		return result
	}
	f.spawn(func() {
		ended := f.hasStopped(f.ctx, e)
		if ended {
			f.metrics.count("calls_lost_with_endpoint")
			f.addRequestFields(f.log.Info(), x).Str("endpoint", e.Name).Str("subject", formatSubject(x.subjects[0])).Msg("forwarder: endpoint has ended; call lost")
			f.quarantine.RecordCrash(e.Identity, suspectsOf(x.subjects), now)
			f.wakeForEvidence()
		}
		result <- ended
	})
	return result
}

// hasStopped reports whether it is certain that the process of an endpoint of a plain service
// has ended, like hasEnded. Such an endpoint has no report that tells its process from another.
func (f *Forwarder) hasStopped(ctx context.Context, e registrar.Endpoint) bool {
	c, cancel := context.WithTimeout(ctx, endProbeTimeout)
	defer cancel()
	for range endProbes {
		err := f.endpoints.Connect(c, e.Addr)
		switch {
		case err == nil:
			return f.registry.Replaced(e)
		case errors.Is(err, syscall.ECONNREFUSED):
			return true
		}
		if f.clock.Sleep(c, endProbePause) != nil {
			break
		}
	}
	return false
}

// mayRepeat reports whether a call whose last attempt was lost may be sent to another endpoint.
// If its endpoint has ended, it may be the cause: it is repeated once, but not if it has crashed
// an endpoint before.
func (f *Forwarder) mayRepeat(ctx context.Context, x *exchange, ended <-chan bool) bool {
	return !f.awaitEnd(ctx, ended, endDecisionTime) || f.mayCrashAnother(x)
}

// mayCrashAnother reports whether a request under which an endpoint has ended may be sent to another
// one: it is repeated once.
func (f *Forwarder) mayCrashAnother(x *exchange) bool {
	return f.quarantine.Crashes(x.subjects[len(x.subjects)-1], f.clock.Now()) < 2
}

// awaitEnd waits for the result of a probe, which tells whether an endpoint has ended. It returns
// false if that is not known in time; the channel may be nil.
func (f *Forwarder) awaitEnd(ctx context.Context, ended <-chan bool, wait time.Duration) bool {
	if ended == nil {
		return false
	}
	c, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	select {
	case is := <-ended:
		return is
	case <-c.Done():
		return false
	}
}

// quarantineWatch holds the subjects that were blocked when the daemon last acted on the verdicts.
type quarantineWatch struct {
	digest    uint64
	checkedAt time.Time
	blocked   map[quarantiner.Subject]bool

	mu      sync.Mutex
	changed chan struct{} // Closed when another part is blocked, or when evacuations begin or end.
}

func newQuarantineWatch() *quarantineWatch {
	return &quarantineWatch{blocked: map[quarantiner.Subject]bool{}, changed: make(chan struct{})}
}

// next returns a channel that is closed when another part is blocked, or when evacuations begin or end.
func (w *quarantineWatch) next() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.changed
}

// notify closes the channel of next, so that requests that wait check whether they must be refused.
func (w *quarantineWatch) notify() {
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.changed)
	w.changed = make(chan struct{})
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
	blocked := map[quarantiner.Subject]bool{}
	added := false
	for _, v := range f.quarantine.Blamed(now) {
		blocked[v.Subject] = true
		if !w.blocked[v.Subject] {
			added = true
			f.metrics.count("parts_quarantined")
			addVerdictFields(f.log.Warn(), &v, now).Int("depth", v.Depth).Dur("retry_after_ms", v.RetryAfter).Msg("forwarder: quarantined; endpoints crash on it")
		}
	}
	for p := range w.blocked {
		if !blocked[p] {
			f.metrics.count("parts_released")
			f.log.Info().Str("kind", kindOf(p)).Str("subject", formatSubject(p)).Msg("forwarder: no longer quarantined")
		}
	}
	w.blocked = blocked
	if !added {
		return
	}
	w.notify()
	for _, s := range f.runningStreams() {
		if _, is := s.f.quarantined(s.x); is {
			s.cancelRun(errQuarantined)
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

// applyEvidence adds the evidence of a peer, and passes on that of other failure domains if package
// reporter says so.
func (p *peers) applyEvidence(e *quarantiner.Evidence, peer string) {
	if e == nil || e.Empty() {
		return
	}
	now := p.f.clock.Now()
	relay := reporter.Relays(p.f.cfg.Daemon.Domain, p.domainOf(peer), p.f.members.Count())
	p.f.quarantine.Apply(*e, relay, now)
	p.wake.wake()
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
		p.enqueueFor(&updateMessage{Evidence: &e}, p.isLocal)
	}
}
