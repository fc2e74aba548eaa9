// Package pacer is an open-loop load generator: the start times of the requests
// depend only on the seed, not on the latency of the responses. It stands in
// for a population of clients.
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

// Config describes the load.
type Config struct {
	Addrs            []string      // Addresses of the daemons.
	Keys             []string      // API keys of the customers, chosen uniformly.
	Models           []string      // Names of the models, chosen uniformly.
	Rate             float64       // Mean number of requests per second; arrivals are a Poisson process.
	Duration         time.Duration // Period in which requests start.
	Seed             uint64
	Timeout          time.Duration // Deadline of each request.
	MedianTokens     int           // Median of the output length, which is log-normal.
	Spread           float64       // Standard deviation of the logarithm of the output length.
	MaxTokens        int
	PromptBytes      int
	ChatShare        float64 // Fraction of the generations that are chats.
	NonStreamedShare float64 // Fraction of the generations that are not streamed.
	FilingShare      float64 // Fraction of the requests that are filings, which are calls to a service.
	FilingPath       string  // Path of the filings; begins with /services.
	MaxResumes       int     // Maximum number of attempts to resume an interrupted stream.
	MaxRetries       int     // Maximum number of retries after a refusal or an unknown outcome.
}

// plannedCall is one request of the load.
type plannedCall struct {
	startAfter  time.Duration // Since the start of the run.
	id          string
	firstDaemon int // Index of the daemon that receives the first attempt.
	call        caller.Call
	filing      bool
}

// planCalls generates all requests of a run. It is deterministic for a given
// configuration.
func planCalls(cfg Config) []plannedCall {
	rng := rand.New(rand.NewPCG(cfg.Seed, 1))
	var planned []plannedCall
	at := time.Duration(0)
	for {
		at += time.Duration(rng.ExpFloat64() / cfg.Rate * float64(time.Second))
		if at >= cfg.Duration {
			return planned
		}
		id := "s" + strconv.FormatUint(cfg.Seed, 10) + "r" + strconv.Itoa(len(planned))
		p := plannedCall{startAfter: at, id: id, firstDaemon: rng.IntN(len(cfg.Addrs)), filing: rng.Float64() < cfg.FilingShare}
		p.call = caller.Call{Key: cfg.Keys[rng.IntN(len(cfg.Keys))], Timeout: cfg.Timeout}
		if p.filing {
			setFiling(&p, cfg)
		} else {
			drawGeneration(&p, cfg, rng)
		}
		planned = append(planned, p)
	}
}

func setFiling(p *plannedCall, cfg Config) {
	p.call.Method = "POST"
	p.call.Path = cfg.FilingPath
	p.call.Body = `{"text":"[[id=` + p.id + `]]"}`
	p.call.NonIdempotent = true
	p.call.IdempotencyKey = "key-" + p.id
}

func drawGeneration(p *plannedCall, cfg Config, rng *rand.Rand) {
	outputTokens := float64(cfg.MedianTokens) * math.Exp(cfg.Spread*rng.NormFloat64())
	outputTokens = min(max(outputTokens, 1), float64(cfg.MaxTokens))
	p.call.Model = cfg.Models[rng.IntN(len(cfg.Models))]
	p.call.MaxTokens = cfg.MaxTokens
	p.call.Chat = rng.Float64() < cfg.ChatShare
	p.call.Stream = rng.Float64() >= cfg.NonStreamedShare
	p.call.Prompt = randomText(rng, cfg.PromptBytes) + " [[id=" + p.id + "]] [[tokens=" + strconv.Itoa(int(outputTokens)) + "]]"
}

func randomText(rng *rand.Rand, n int) string {
	text := make([]byte, n)
	for i := range text {
		text[i] = byte('a' + rng.IntN(26))
	}
	return string(text)
}

// Run sends the planned requests and returns a report. It returns after the last
// response; if ctx ends, it sends no more requests.
func Run(ctx context.Context, cfg Config, c *caller.Caller) Report {
	start := time.Now()
	collector := newCollector()
	var group conc.WaitGroup
	for _, p := range planCalls(cfg) {
		if !sleep(ctx, time.Until(start.Add(p.startAfter))) {
			break
		}
		group.Go(func() { collector.add(runCall(ctx, cfg, c, p)) })
	}
	group.Wait()
	return collector.report()
}

// callResult is the result of one request with its retries.
type callResult struct {
	planned        plannedCall
	result         caller.Result // Of the last attempt, including resumes.
	retries        int
	repeatedFiling bool // A filing was retried after an unknown outcome.
}

// runCall sends one request, and retries it at the next daemon if it was refused
// with a retry delay. A filing whose outcome is unknown is also retried, under
// the same idempotency key.
func runCall(ctx context.Context, cfg Config, c *caller.Caller, p plannedCall) callResult {
	addrs := append(cfg.Addrs[p.firstDaemon:len(cfg.Addrs):len(cfg.Addrs)], cfg.Addrs[:p.firstDaemon]...)
	r := callResult{planned: p}
	for {
		r.result = c.DoWithResumes(ctx, p.call, addrs, cfg.MaxResumes)
		last := r.result
		refused := last.Outcome == "not_run" && last.RetryAfter > 0 && len(last.Tokens) == 0
		unknown := p.filing && (last.Err != nil || last.Outcome == "unknown")
		if r.retries == cfg.MaxRetries || !refused && !unknown {
			return r
		}
		r.repeatedFiling = r.repeatedFiling || unknown
		r.retries++
		addrs = append(addrs[1:], addrs[0])
		if !sleep(ctx, max(last.RetryAfter, time.Second)) {
			return r
		}
	}
}

// sleep waits for d. It returns false if ctx ends first.
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
