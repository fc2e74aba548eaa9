package engine

import (
	"cmp"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"monsoonspar.example/standin/listener"
)

const (
	loadHistoryInterval  = 100 * time.Millisecond
	loadHistoryRetention = 30 * time.Second // Upper bound of the lag that Faults.LoadLagMS can cause.
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
	ShuttingDown bool           `json:"leaving"`
	Role         string         `json:"role"`
	BootID       string         `json:"boot_id"`
	Models       []Model        `json:"models"`
	Sequences    []sequenceLoad `json:"sequences"`

	takenAt time.Time
}

type sequenceLoad struct {
	AttemptID    string `json:"attempt_id"`
	Produced     int    `json:"produced"`
	PromptTokens int    `json:"prompt_tokens"`
}

// currentLoad returns a report of the load at now. The caller holds the lock.
func (s *Server) currentLoad(now time.Time) loadReport {
	running := len(s.scheduler.running)
	step := s.cfg.StepTime + time.Duration(running)*s.cfg.SequenceTime
	r := loadReport{
		Running:      running,
		Waiting:      len(s.scheduler.waiting),
		MemoryTokens: s.cfg.MemoryTokens,
		UsedTokens:   s.scheduler.usedTokens,
		BlockTokens:  s.cfg.BlockTokens,
		StepMS:       float64(step) / float64(time.Millisecond),
		Preemptions:  s.scheduler.preemptions,
		ShuttingDown: s.faults.ShuttingDown,
		Role:         s.orders.role,
		BootID:       s.bootID,
		Models:       slices.Clone(s.orders.readyModels),
		Sequences:    []sequenceLoad{},
		takenAt:      now,
	}
	for _, seq := range s.scheduler.sequences {
		if seq.phase != phaseFinished {
			load := sequenceLoad{AttemptID: seq.attemptID, Produced: seq.produced, PromptTokens: seq.promptTokens}
			r.Sequences = append(r.Sequences, load)
		}
	}
	slices.SortFunc(r.Sequences, func(a, b sequenceLoad) int { return cmp.Compare(a.AttemptID, b.AttemptID) })
	return r
}

// recordLoad records load reports, so that GET /load can return an old one.
func (s *Server) recordLoad() {
	for s.sleep(loadHistoryInterval) {
		s.mu.Lock()
		if s.faults.LoadLagMS > 0 {
			now := time.Now()
			s.loadHistory = append(s.loadHistory, s.currentLoad(now))
			for now.Sub(s.loadHistory[0].takenAt) > loadHistoryRetention {
				s.loadHistory = s.loadHistory[1:]
			}
		}
		s.mu.Unlock()
	}
}

func (s *Server) serveLoad(ctx *fasthttp.RequestCtx) {
	if s.currentFaults().LoadSilent {
		<-s.ctx.Done()
		return
	}
	if kind := s.currentFaults().EndlessLoad; kind != "" {
		listener.Endless(ctx, kind, nil)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	lag := time.Duration(s.faults.LoadLagMS) * time.Millisecond
	r := s.currentLoad(now)
	for i := len(s.loadHistory) - 1; i >= 0 && lag > 0; i-- {
		r = s.loadHistory[i]
		if now.Sub(r.takenAt) >= lag {
			break
		}
	}
	r.AgeMS = now.Sub(r.takenAt).Milliseconds()
	if string(ctx.QueryArgs().Peek("sequences")) == "0" {
		r.Sequences = nil
	}
	listener.WriteJSON(ctx, fasthttp.StatusOK, r)
}
