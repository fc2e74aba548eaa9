package experimenter

import (
	"slices"
	"time"

	"monsoonspar.example/coordination/admitter"
)

// baseline is a gate that keeps requests in order of arrival and lets the first
// one go while its limit allows. It drops requests whose deadline has passed
// and learns of the engine by load reports, as the owner does.
type baseline struct {
	set      gateSettings
	limit    limit
	queue    []admitter.Request
	running  map[admitter.PermitID]*granted
	reserved int // Tokens of the running requests at their longest.
	report   admitter.LoadReport
	newer    int // Tokens of prompts granted since the report was made.
	served   int
	busy     time.Duration // Sum of the times that served requests ran.
	leaving  bool
}

type granted struct {
	request admitter.Request
	at      time.Time
}

// limit reports whether b may let r go.
type limit func(b *baseline, r admitter.Request) bool

func limitNone(*baseline, admitter.Request) bool { return true }

func limitConcurrency(b *baseline, _ admitter.Request) bool {
	return len(b.running) < b.set.concurrency
}

// limitFreeNow admits while the prompt fits into the memory that is free by the
// last report, less what was granted since.
func limitFreeNow(b *baseline, r admitter.Request) bool {
	return b.report.UsedTokens+b.newer+r.PromptTokens <= b.set.deployment.Engine.MemoryTokens
}

func limitReserved(b *baseline, r admitter.Request) bool {
	return b.reserved+longest(r) <= b.set.deployment.Engine.MemoryTokens
}

func longest(r admitter.Request) int { return r.PromptTokens - r.CachedTokens + r.MaxTokens }

func newBaseline(s gateSettings, l limit) *baseline {
	return &baseline{set: s, limit: l, running: map[admitter.PermitID]*granted{}}
}

// Enqueue adds r to the queue.
func (b *baseline) Enqueue(now time.Time, r admitter.Request) []admitter.Action {
	if b.leaving {
		return []admitter.Action{{Kind: admitter.Refuse, ID: r.ID, Reason: admitter.ReasonShuttingDown}}
	}
	b.queue = append(b.queue, r)
	return b.schedule(now)
}

func (b *baseline) schedule(now time.Time) []admitter.Action {
	var actions []admitter.Action
	for len(b.queue) > 0 {
		r := b.queue[0]
		if now.After(r.Deadline) {
			b.queue = b.queue[1:]
			actions = append(actions, admitter.Action{Kind: admitter.Refuse, ID: r.ID, Reason: admitter.ReasonDeadline})
			continue
		}
		if !b.limit(b, r) {
			break
		}
		b.queue = b.queue[1:]
		b.running[r.ID] = &granted{request: r, at: now}
		b.reserved += longest(r)
		b.newer += r.PromptTokens - r.CachedTokens
		actions = append(actions, admitter.Action{Kind: admitter.Grant, ID: r.ID})
	}
	return actions
}

// Observe takes a report. What was granted after it was made stays counted.
func (b *baseline) Observe(now time.Time, r admitter.LoadReport) []admitter.Action {
	b.report = r
	b.newer = 0
	reported := make(map[admitter.PermitID]bool, len(r.Sequences))
	for _, s := range r.Sequences {
		reported[s.ID] = true
	}
	for id, g := range b.running {
		if !reported[id] {
			b.newer += g.request.PromptTokens - g.request.CachedTokens
		}
	}
	if r.ShuttingDown {
		return b.StopAdmission(now)
	}
	return b.schedule(now)
}

// Release ends a running or queued request.
func (b *baseline) Release(now time.Time, id admitter.PermitID, res admitter.Result) []admitter.Action {
	if g := b.running[id]; g != nil {
		b.reserved -= longest(g.request)
		delete(b.running, id)
		if res.Finished {
			b.served++
			b.busy += now.Sub(g.at)
		}
	}
	b.queue = slices.DeleteFunc(b.queue, func(r admitter.Request) bool { return r.ID == id })
	return b.schedule(now)
}

// AwaitRestore does nothing: the baselines know no cautious time.
func (b *baseline) AwaitRestore(time.Time, []string) {}

// Restore counts what a daemon runs.
func (b *baseline) Restore(now time.Time, _ string, held []admitter.HeldPermit) []admitter.Action {
	for _, h := range held {
		if b.running[h.Request.ID] == nil {
			b.running[h.Request.ID] = &granted{request: h.Request, at: now}
			b.reserved += longest(h.Request)
		}
	}
	return nil
}

// RemoveDaemon does nothing: the requests are reported by the daemons that took over.
func (b *baseline) RemoveDaemon(time.Time, string) []admitter.Action { return nil }

// StopAdmission refuses all that is queued.
func (b *baseline) StopAdmission(time.Time) []admitter.Action {
	b.leaving = true
	var actions []admitter.Action
	for _, r := range b.queue {
		actions = append(actions, admitter.Action{Kind: admitter.Refuse, ID: r.ID, Reason: admitter.ReasonShuttingDown})
	}
	b.queue = nil
	return actions
}

// Tick lets go what may go by now.
func (b *baseline) Tick(now time.Time) []admitter.Action { return b.schedule(now) }

// NextWake returns the time of the next Tick.
func (b *baseline) NextWake(now time.Time) time.Time { return now.Add(100 * time.Millisecond) }

// Estimate forecasts the wait from the length of the queue, and breaks ties by the
// number of requests that run.
func (b *baseline) Estimate(time.Time, admitter.Request) admitter.Estimate {
	others := 0 // Requests of other daemons.
	if b.set.daemons > 1 {
		others = max(0, b.report.Running+b.report.Waiting-len(b.running))
	}
	run := time.Second
	if b.served > 0 {
		run = b.busy / time.Duration(b.served)
	}
	load := time.Duration(len(b.running)+others) * time.Millisecond
	width := time.Duration(max(len(b.running), 1))
	return admitter.Estimate{
		QueueWait: load + time.Duration(len(b.queue))*run/width,
		RunTime:   run,
		Feasible:  true,
		Available: !b.leaving,
	}
}
