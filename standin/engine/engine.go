// Package engine is a test double of a model engine. It batches continuously
// over a limited token memory, preempts by recomputation, keeps streams for
// resuming, and reports its load and its cache events late.
package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"monsoonspar.example/standin/listener"
	"monsoonspar.example/state/defaulter"
)

// Model is a model, version and adapter that an engine can hold ready.
type Model struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Adapter string `json:"adapter"`
}

// Config sets up a Server. Zero fields take the values that New gives.
type Config struct {
	Models       []Model       // Ready from the start.
	MemoryTokens int           // Default 100,000.
	BlockTokens  int           // Default 16.
	MaxBatch     int           // Default 64.
	CacheBlocks  int           // Prompt prefixes kept; default 4,096.
	StepTime     time.Duration // Base time of a step; default 20 ms.
	SequenceTime time.Duration // Added to a step for each running sequence.
	PrefillTime  time.Duration // Added to a step for each prompt token.
	LoadTime     time.Duration // Time that loading a model takes.
	KeepAlive    time.Duration // Longest silence of a stream; default 500 ms.
	Retention    time.Duration // Time that a stream is kept for; default 60 s.
	ChecksFence  bool          // Refuses orders with an old fencing number.
	Faults       Faults
	Exit         func() // Called when the early reclaim is due.
}

func (c *Config) setDefaults() {
	defaulter.Set(&c.MemoryTokens, 100000)
	defaulter.Set(&c.BlockTokens, 16)
	defaulter.Set(&c.MaxBatch, 64)
	defaulter.Set(&c.CacheBlocks, 4096)
	defaulter.Set(&c.StepTime, 20*time.Millisecond)
	defaulter.Set(&c.KeepAlive, 500*time.Millisecond)
	defaulter.Set(&c.Retention, time.Minute)
}

// Faults is what POST /faults sets. Fields that a call leaves out keep their
// value; the counts go down as they are used. Counts of tokens concern streams
// opened by POST only, so that a resumed stream gets through.
type Faults struct {
	DelayMS        int    `json:"delay_ms"`        // Waits before it handles a call.
	Silent         bool   `json:"silent"`          // Reads completions and neither runs nor answers them.
	MuteOpen       bool   `json:"mute_open"`       // Once: the open streams go silent for good.
	MuteAfter      int    `json:"mute_after"`      // Streams go silent after this many tokens.
	CutAfter       int    `json:"cut_after"`       // Connections are closed after this many tokens.
	DropCalls      int    `json:"drop_calls"`      // Completions that are read, not run and get no answer.
	LoseAnswers    int    `json:"lose_answers"`    // Completions that run and get no answer.
	Refuse         string `json:"refuse"`          // Error code of the refusal of every completion.
	DuplicateEvery int    `json:"duplicate_every"` // Sends every Nth token twice.
	ReorderEvery   int    `json:"reorder_every"`   // Sends every Nth token after its successor.
	ForeignEvery   int    `json:"foreign_every"`   // Sends a token of another attempt at every Nth.
	Leaving        bool   `json:"leaving"`
	ReclaimMS      int    `json:"reclaim_ms"` // Once: leaves now and exits after this notice.
	CloseIdle      bool   `json:"close_idle"` // Once: closes the idle connections.
	LoadLagMS      int    `json:"load_lag_ms"`
	LoadSilent     bool   `json:"load_silent"` // Never answers GET /load.
	EventDelayMS   int    `json:"event_delay_ms"`
	EventGapEvery  int    `json:"event_gap_every"` // Loses every Nth cache event.
	FailLoads      int    `json:"fail_loads"`      // Orders to load that are accepted and come to nothing.
}

// Server is the stand-in. Create it by New.
type Server struct {
	cfg      Config
	bootID   string
	listener listener.Listener
	ctx      context.Context
	cancel   context.CancelFunc
	group    conc.WaitGroup
	wake     chan struct{}

	mu        sync.Mutex
	faults    Faults
	scheduler scheduler
	cache     cache
	reports   []loadReport // Oldest first.
	orders    orderBook
	counts    counts
	opened    int // Streams opened so far.
	mutedUpTo int // Streams up to this number are silent.
}

// New returns a server that is not started.
func New(cfg Config) *Server {
	cfg.setDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{
		cfg:       cfg,
		bootID:    fmt.Sprintf("%x", time.Now().UnixNano()),
		ctx:       ctx,
		cancel:    cancel,
		wake:      make(chan struct{}, 1),
		faults:    cfg.Faults,
		scheduler: newScheduler(cfg),
		cache:     newCache(cfg.CacheBlocks),
		orders:    orderBook{ready: append([]Model{}, cfg.Models...)},
	}
	s.listener.Handler = s.handle
	return s
}

// Start listens on addr, begins to produce tokens and returns the address that
// it is bound to.
func (s *Server) Start(addr string) (string, error) {
	bound, err := s.listener.Start(addr)
	if err != nil {
		return "", err
	}
	s.group.Go(s.runSteps)
	s.group.Go(s.runReports)
	return bound, nil
}

// Close stops the server and breaks off its connections.
func (s *Server) Close() error {
	s.cancel()
	err := s.listener.Close()
	s.group.Wait()
	return err
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if path == "/faults" {
		s.serveFaults(ctx)
		return
	}
	s.wait(time.Duration(s.current().DelayMS) * time.Millisecond)
	switch {
	case path == "/v1/completions" && ctx.IsPost():
		s.serveCompletion(ctx)
	case len(path) > len(streamsPath) && path[:len(streamsPath)] == streamsPath:
		s.serveStream(ctx, path[len(streamsPath):])
	case path == "/load":
		s.serveLoad(ctx)
	case path == "/cache_events":
		s.serveCacheEvents(ctx)
	case path == "/orders":
		s.serveOrders(ctx)
	case path == "/counts":
		s.mu.Lock()
		defer s.mu.Unlock()
		listener.WriteJSON(ctx, fasthttp.StatusOK, s.counts)
	default:
		writeError(ctx, fasthttp.StatusNotFound, "not_found")
	}
}

// counts tells tests what the engine was asked to do.
type counts struct {
	Started int `json:"started"` // Completions that began.
	Refused int `json:"refused"` // Completions that were refused while leaving.
	Resumed int `json:"resumed"` // Streams opened again.
}

type errorAnswer struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code string `json:"code"`
}

func writeError(ctx *fasthttp.RequestCtx, status int, code string) {
	listener.WriteJSON(ctx, status, errorAnswer{Error: errorDetail{Code: code}})
}

func (s *Server) serveFaults(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	faults := s.faults
	err := json.Unmarshal(ctx.PostBody(), &faults)
	if err == nil {
		s.faults = faults
		s.faults.MuteOpen, s.faults.CloseIdle, s.faults.ReclaimMS = false, false, 0
		s.faults.Leaving = faults.Leaving || faults.ReclaimMS > 0
		if faults.MuteOpen {
			s.mutedUpTo = s.opened
		}
	}
	s.mu.Unlock()
	if err != nil {
		ctx.Error(errors.Wrap(err, "faults").Error(), fasthttp.StatusBadRequest)
		return
	}
	if faults.CloseIdle {
		s.listener.CloseIdle()
	}
	if faults.ReclaimMS > 0 && s.cfg.Exit != nil {
		time.AfterFunc(time.Duration(faults.ReclaimMS)*time.Millisecond, s.cfg.Exit)
	}
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

// current returns the faults in force.
func (s *Server) current() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// take uses up one of a counted fault. The caller holds the lock.
func take(n *int) bool {
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

// wait reports whether d passed before the server was closed.
func (s *Server) wait(d time.Duration) bool {
	if d <= 0 {
		return s.ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-s.ctx.Done():
		return false
	}
}
