package experimenter

import (
	"slices"
	"time"

	"monsoonspar.example/coordination/admitter"
)

// baseline is a Controller with a FIFO queue. It grants the request at the head of
// the queue whenever canAdmit allows, and refuses requests whose deadline has
// passed. Like the admission owner, it observes the engine through load reports.
type baseline struct {
	cfg               controllerConfig
	canAdmit          admissionLimit
	queue             []admitter.Request
	running           map[admitter.PermitID]*grantedRequest
	reservedTokens    int // Sum of maxResidentTokens of the running requests.
	report            admitter.LoadReport
	tokensSinceReport int // Prompt tokens of granted requests that the last report does not include.
	finished          int
	totalRunTime      time.Duration // Sum of the run times of the finished requests.
	shuttingDown      bool
}

type grantedRequest struct {
	request   admitter.Request
	grantedAt time.Time
}

// admissionLimit reports whether b may grant r now.
type admissionLimit func(b *baseline, r admitter.Request) bool

func admitAlways(*baseline, admitter.Request) bool { return true }

func admitBelowConcurrency(b *baseline, _ admitter.Request) bool {
	return len(b.running) < b.cfg.concurrency
}

// admitIntoFreeMemory admits a request if its prompt fits into the free memory of
// the last report, less the prompts granted since.
func admitIntoFreeMemory(b *baseline, r admitter.Request) bool {
	return b.report.UsedTokens+b.tokensSinceReport+r.PromptTokens <= b.cfg.deployment.Engine.MemoryTokens
}

func admitIntoUnreservedMemory(b *baseline, r admitter.Request) bool {
	return b.reservedTokens+maxResidentTokens(r) <= b.cfg.deployment.Engine.MemoryTokens
}

// maxResidentTokens returns the KV cache that r needs if it reaches its output
// limit, in tokens and without the cached part of the prompt.
func maxResidentTokens(r admitter.Request) int { return r.PromptTokens - r.CachedTokens + r.MaxTokens }

func newBaseline(s controllerConfig, l admissionLimit) *baseline {
	return &baseline{cfg: s, canAdmit: l, running: map[admitter.PermitID]*grantedRequest{}}
}

// Enqueue implements [Controller].
func (b *baseline) Enqueue(now time.Time, r admitter.Request) []admitter.Action {
	if b.shuttingDown {
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
		if !b.canAdmit(b, r) {
			break
		}
		b.queue = b.queue[1:]
		b.running[r.ID] = &grantedRequest{request: r, grantedAt: now}
		b.reservedTokens += maxResidentTokens(r)
		b.tokensSinceReport += r.PromptTokens - r.CachedTokens
		actions = append(actions, admitter.Action{Kind: admitter.Grant, ID: r.ID})
	}
	return actions
}

// Observe implements [Controller]. Granted requests that the report does not list
// yet remain in tokensSinceReport.
func (b *baseline) Observe(now time.Time, r admitter.LoadReport) []admitter.Action {
	b.report = r
	b.tokensSinceReport = 0
	reported := make(map[admitter.PermitID]bool, len(r.Sequences))
	for _, s := range r.Sequences {
		reported[s.ID] = true
	}
	for id, g := range b.running {
		if !reported[id] {
			b.tokensSinceReport += g.request.PromptTokens - g.request.CachedTokens
		}
	}
	if r.ShuttingDown {
		return b.StopAdmission(now)
	}
	return b.schedule(now)
}

// Release implements [Controller]. It removes a running or queued request.
func (b *baseline) Release(now time.Time, id admitter.PermitID, res admitter.Result) []admitter.Action {
	if g := b.running[id]; g != nil {
		b.reservedTokens -= maxResidentTokens(g.request)
		delete(b.running, id)
		if res.Finished {
			b.finished++
			b.totalRunTime += now.Sub(g.grantedAt)
		}
	}
	b.queue = slices.DeleteFunc(b.queue, func(r admitter.Request) bool { return r.ID == id })
	return b.schedule(now)
}

// AwaitRestore does nothing: the baselines do not hold back grants while the
// permits of the previous owner are being restored.
func (b *baseline) AwaitRestore(time.Time, []string) {}

// Restore adds the permits that a daemon holds to the running requests.
func (b *baseline) Restore(now time.Time, _ string, held []admitter.HeldPermit) []admitter.Action {
	for _, h := range held {
		if b.running[h.Request.ID] == nil {
			b.running[h.Request.ID] = &grantedRequest{request: h.Request, grantedAt: now}
			b.reservedTokens += maxResidentTokens(h.Request)
		}
	}
	return nil
}

// RemoveDaemon does nothing: the daemons to which the clients reconnect report the
// requests through Restore.
func (b *baseline) RemoveDaemon(time.Time, string) []admitter.Action { return nil }

// StopAdmission refuses all queued requests.
func (b *baseline) StopAdmission(time.Time) []admitter.Action {
	b.shuttingDown = true
	var actions []admitter.Action
	for _, r := range b.queue {
		actions = append(actions, admitter.Action{Kind: admitter.Refuse, ID: r.ID, Reason: admitter.ReasonShuttingDown})
	}
	b.queue = nil
	return actions
}

// Tick grants the requests that canAdmit allows now.
func (b *baseline) Tick(now time.Time) []admitter.Action { return b.schedule(now) }

// NextWake returns the time of the next Tick.
func (b *baseline) NextWake(now time.Time) time.Time { return now.Add(100 * time.Millisecond) }

// Estimate derives the queue wait from the length of the queue and the mean run
// time. One millisecond for each running request breaks ties between endpoints.
func (b *baseline) Estimate(time.Time, admitter.Request) admitter.Estimate {
	others := 0 // Requests of other daemons.
	if b.cfg.daemons > 1 {
		others = max(0, b.report.Running+b.report.Waiting-len(b.running))
	}
	meanRunTime := time.Second
	if b.finished > 0 {
		meanRunTime = b.totalRunTime / time.Duration(b.finished)
	}
	load := time.Duration(len(b.running)+others) * time.Millisecond
	parallelism := time.Duration(max(len(b.running), 1))
	return admitter.Estimate{
		QueueWait: load + time.Duration(len(b.queue))*meanRunTime/parallelism,
		RunTime:   meanRunTime,
		Feasible:  true,
		Available: !b.shuttingDown,
	}
}
