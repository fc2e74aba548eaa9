// Package pacer runs open-loop callers against daemons: requests begin at the
// times that a seed gives, however slow the answers are. It is a test double of
// a population of callers.
package pacer

import (
	"context"
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/sourcegraph/conc"

	"monsoonspar.example/standin/caller"
)

// Config describes the callers.
type Config struct {
	Addrs        []string // Daemons.
	Keys         []string // API keys of the customers, used evenly.
	Models       []string // As callers name them; used evenly.
	Rate         float64  // Requests a second.
	Duration     time.Duration
	Seed         uint64
	Timeout      time.Duration // Deadline of each request.
	MedianTokens int           // Of the output, which is log-normal.
	Spread       float64       // Standard deviation of the logarithm of the output.
	MaxTokens    int
	PromptBytes  int
	ChatShare    float64 // Part of the generations that are chats.
	WholeShare   float64 // Part of the generations that are not streamed.
	FilingShare  float64 // Part of the requests that file at a service.
	FilingPath   string  // From /services on.
	Resumes      int     // Attempts to resume a stream that was cut.
	Returns      int     // Times that a caller comes back after a refusal.
}

// job is one request of the plan.
type job struct {
	at    time.Duration // From the start of the run.
	id    string
	first int // Index of the daemon that is asked first.
	call  caller.Call
	file  bool
}

// plan draws all requests of a run. The same configuration gives the same plan.
func plan(cfg Config) []job {
	rnd := rand.New(rand.NewPCG(cfg.Seed, 1))
	var jobs []job
	at := time.Duration(0)
	for {
		at += time.Duration(rnd.ExpFloat64() / cfg.Rate * float64(time.Second))
		if at >= cfg.Duration {
			return jobs
		}
		id := "s" + strconv.FormatUint(cfg.Seed, 10) + "r" + strconv.Itoa(len(jobs))
		j := job{at: at, id: id, first: rnd.IntN(len(cfg.Addrs)), file: rnd.Float64() < cfg.FilingShare}
		j.call = caller.Call{Key: cfg.Keys[rnd.IntN(len(cfg.Keys))], Timeout: cfg.Timeout}
		if j.file {
			drawFiling(&j, cfg)
		} else {
			drawGeneration(&j, cfg, rnd)
		}
		jobs = append(jobs, j)
	}
}

func drawFiling(j *job, cfg Config) {
	j.call.Method = "POST"
	j.call.Path = cfg.FilingPath
	j.call.Body = `{"text":"[[id=` + j.id + `]]"}`
	j.call.NonIdempotent = true
	j.call.IdempotencyKey = "key-" + j.id
}

func drawGeneration(j *job, cfg Config, rnd *rand.Rand) {
	tokens := float64(cfg.MedianTokens) * math.Exp(cfg.Spread*rnd.NormFloat64())
	tokens = min(max(tokens, 1), float64(cfg.MaxTokens))
	j.call.Model = cfg.Models[rnd.IntN(len(cfg.Models))]
	j.call.MaxTokens = cfg.MaxTokens
	j.call.Chat = rnd.Float64() < cfg.ChatShare
	j.call.Stream = rnd.Float64() >= cfg.WholeShare
	j.call.Prompt = drawText(rnd, cfg.PromptBytes) + " [[id=" + j.id + "]] [[tokens=" + strconv.Itoa(int(tokens)) + "]]"
}

func drawText(rnd *rand.Rand, n int) string {
	text := make([]byte, n)
	for i := range text {
		text[i] = byte('a' + rnd.IntN(26))
	}
	return string(text)
}

// Run sends the requests of the plan and returns what came of them. It ends
// when the last answer is there, or with ctx.
func Run(ctx context.Context, cfg Config, c *caller.Caller) Report {
	start := time.Now()
	tally := newTally()
	var group conc.WaitGroup
	for _, j := range plan(cfg) {
		if !sleep(ctx, time.Until(start.Add(j.at))) {
			break
		}
		group.Go(func() { tally.add(runJob(ctx, cfg, c, j)) })
	}
	group.Wait()
	return tally.report()
}

// result is what came of one job.
type result struct {
	job      job
	answer   caller.Result
	returns  int
	repeated bool // A filing was sent again after an unknown outcome.
}

// runJob sends one request, and again when a daemon says when to come back. A
// filing whose outcome is unknown is repeated under its key.
func runJob(ctx context.Context, cfg Config, c *caller.Caller, j job) result {
	addrs := append(cfg.Addrs[j.first:len(cfg.Addrs):len(cfg.Addrs)], cfg.Addrs[:j.first]...)
	r := result{job: j}
	for {
		r.answer = c.DoWithResumes(ctx, j.call, addrs, cfg.Resumes)
		a := r.answer
		refused := a.Outcome == "not_run" && a.RetryAfter > 0 && len(a.Tokens) == 0
		undecided := j.file && (a.Err != nil || a.Outcome == "unknown")
		if r.returns == cfg.Returns || !refused && !undecided {
			return r
		}
		r.repeated = r.repeated || undecided
		r.returns++
		addrs = append(addrs[1:], addrs[0])
		if !sleep(ctx, max(a.RetryAfter, time.Second)) {
			return r
		}
	}
}

// sleep reports whether d passed before the end of ctx.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(max(d, 0))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
