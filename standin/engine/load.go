package engine

import (
	"cmp"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"monsoonspar.example/standin/listener"
)

const (
	reportInterval  = 100 * time.Millisecond
	reportRetention = 30 * time.Second
)

type loadReport struct {
	AgeMS        int64          `json:"age_ms"`
	Running      int            `json:"running"`
	Waiting      int            `json:"waiting"`
	MemoryTokens int            `json:"memory_tokens"`
	UsedTokens   int            `json:"used_tokens"`
	BlockTokens  int            `json:"block_tokens"`
	StepMS       float64        `json:"step_ms"`
	Preemptions  int            `json:"preemptions"`
	Leaving      bool           `json:"leaving"`
	Role         string         `json:"role"`
	BootID       string         `json:"boot_id"`
	Models       []Model        `json:"models"`
	Sequences    []sequenceLoad `json:"sequences"`

	at time.Time
}

type sequenceLoad struct {
	AttemptID    string `json:"attempt_id"`
	Produced     int    `json:"produced"`
	PromptTokens int    `json:"prompt_tokens"`
}

// report describes the present load. The caller holds the lock.
func (s *Server) report(now time.Time) loadReport {
	n := len(s.scheduler.running)
	step := s.cfg.StepTime + time.Duration(n)*s.cfg.SequenceTime
	r := loadReport{
		Running:      n,
		Waiting:      len(s.scheduler.waiting),
		MemoryTokens: s.cfg.MemoryTokens,
		UsedTokens:   s.scheduler.used,
		BlockTokens:  s.cfg.BlockTokens,
		StepMS:       float64(step) / float64(time.Millisecond),
		Preemptions:  s.scheduler.preemptions,
		Leaving:      s.faults.Leaving,
		Role:         s.orders.role,
		BootID:       s.bootID,
		Models:       slices.Clone(s.orders.ready),
		Sequences:    []sequenceLoad{},
		at:           now,
	}
	for _, q := range s.scheduler.sequences {
		if q.phase != phaseFinished {
			load := sequenceLoad{AttemptID: q.attemptID, Produced: q.produced, PromptTokens: q.promptTokens}
			r.Sequences = append(r.Sequences, load)
		}
	}
	slices.SortFunc(r.Sequences, func(a, b sequenceLoad) int { return cmp.Compare(a.AttemptID, b.AttemptID) })
	return r
}

// runReports keeps past reports, so that the load can be reported late.
func (s *Server) runReports() {
	for s.wait(reportInterval) {
		s.mu.Lock()
		if s.faults.LoadLagMS > 0 {
			now := time.Now()
			s.reports = append(s.reports, s.report(now))
			for now.Sub(s.reports[0].at) > reportRetention {
				s.reports = s.reports[1:]
			}
		}
		s.mu.Unlock()
	}
}

func (s *Server) serveLoad(ctx *fasthttp.RequestCtx) {
	if s.current().LoadSilent {
		<-s.ctx.Done()
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	lag := time.Duration(s.faults.LoadLagMS) * time.Millisecond
	r := s.report(now)
	for i := len(s.reports) - 1; i >= 0 && lag > 0; i-- {
		r = s.reports[i]
		if now.Sub(r.at) >= lag {
			break
		}
	}
	r.AgeMS = now.Sub(r.at).Milliseconds()
	if string(ctx.QueryArgs().Peek("sequences")) == "0" {
		r.Sequences = nil
	}
	listener.WriteJSON(ctx, fasthttp.StatusOK, r)
}
