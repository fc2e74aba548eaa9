// Package engine is a stand-in for a model engine. It does continuous batching
// with a limited KV cache, preempts by recomputation, retains streams so that
// they can be resumed, and can delay its load reports and cache events. It also
// executes orders of the lease holder, such as to load a model.
//
// A completion request states the ID of an attempt, which is one try of a daemon to
// run a client's request. The attempt ID identifies the stream.
package engine

import (
	"cmp"
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

// Model is a model, version and adapter that an engine can load.
type Model struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Adapter string `json:"adapter"`
}

// Config configures a Server. New replaces zero fields by their defaults.
type Config struct {
	Models             []Model       // Loaded at start.
	MemoryTokens       int           // Size of the KV cache; default 100,000.
	BlockTokens        int           // Size of a block of the KV cache; default 16.
	MaxBatch           int           // Maximum number of sequences in a batch; default 64.
	CacheBlocks        int           // Maximum number of blocks in the prefix cache, of prefixBlockBytes each; default 4,096.
	StepTime           time.Duration // Base time of a step; default 20 ms.
	SequenceTime       time.Duration // Added to a step for each running sequence.
	PrefillTime        time.Duration // Added to a step for each prompt token.
	LoadTime           time.Duration // Duration of loading a model.
	KeepAliveInterval  time.Duration // Interval of keep-alive comments in a stream; default 500 ms.
	Retention          time.Duration // How long an inactive stream can be resumed; default 60 s.
	CheckFencingTokens bool          // Refuses orders with a stale fencing token.
	Faults             Faults
	OnReclaim          func() // Called when the notice period of Faults.ReclaimMS ends.
}

func (c *Config) setDefaults() {
	defaulter.Set(&c.MemoryTokens, 100000)
	defaulter.Set(&c.BlockTokens, 16)
	defaulter.Set(&c.MaxBatch, 64)
	defaulter.Set(&c.CacheBlocks, 4096)
	defaulter.Set(&c.StepTime, 20*time.Millisecond)
	defaulter.Set(&c.KeepAliveInterval, 500*time.Millisecond)
	defaulter.Set(&c.Retention, time.Minute)
}

// Faults is the body of POST /faults. Omitted fields keep their values; counters
// are decremented as faults are injected. Token thresholds apply only to streams
// opened by POST, so that a resumed stream can complete.
type Faults struct {
	DelayMS        int    `json:"delay_ms"`        // Delay before a request is handled.
	Silent         bool   `json:"silent"`          // Completion requests are read, but neither run nor answered.
	MuteOpen       bool   `json:"mute_open"`       // One-shot: the open streams send nothing more.
	MuteAfter      int    `json:"mute_after"`      // Streams send nothing more after this many tokens.
	CutAfter       int    `json:"cut_after"`       // Connections are closed after this many tokens.
	CutInEvent     int    `json:"cut_in_event"`    // Streams end inside the event after this many tokens, as complete ones do.
	Unframed       bool   `json:"unframed"`        // Streams have neither a length nor chunks and end with their connections.
	ResetAtEnd     bool   `json:"reset_at_end"`    // Connections are reset after the last token, before the end of the stream.
	Endless        string `json:"endless"`         // Completions are accepted and get an endless response of this kind; see listener.Endless.
	EndlessLoad    string `json:"endless_load"`    // GET /load gets an endless response of this kind.
	ExtraTokens    int    `json:"extra_tokens"`    // Streams have this many tokens beyond the maximum of their requests.
	DropCalls      int    `json:"drop_calls"`      // Number of completion requests that are not run; their connections are closed.
	LoseResponses  int    `json:"lose_answers"`    // Number of completions that run, but whose connections are closed before the response.
	Refuse         string `json:"refuse"`          // If set, every completion is refused with this error code.
	LateRefusals   bool   `json:"late_refusals"`   // Completions run and get a late copy of an earlier refusal; see listener.LateRefusal.
	DuplicateEvery int    `json:"duplicate_every"` // Sends every Nth token twice.
	ReorderEvery   int    `json:"reorder_every"`   // Sends every Nth token after its successor.
	ForeignEvery   int    `json:"foreign_every"`   // Sends a token of another attempt before every Nth token.
	ShuttingDown   bool   `json:"leaving"`         // Reports that it is shutting down and refuses completions.
	ReclaimMS      int    `json:"reclaim_ms"`      // One-shot: sets ShuttingDown, and calls Config.OnReclaim after this notice period.
	CloseIdle      bool   `json:"close_idle"`      // One-shot: closes the idle connections.
	LoadLagMS      int    `json:"load_lag_ms"`     // Age of the load reports.
	LoadSilent     bool   `json:"load_silent"`     // GET /load gets no response.
	EventDelayMS   int    `json:"event_delay_ms"`  // Delay until a cache event can be read.
	EventGapEvery  int    `json:"event_gap_every"` // Omits every Nth cache event.
	FailLoads      int    `json:"fail_loads"`      // Number of load orders that are accepted but not executed.
	CrashOn        string `json:"crash_on"`        // If set, the engine crashes before the first token of each prompt with this text.
	CrashDownMS    int    `json:"crash_down_ms"`   // Time from a crash until the engine starts again at its address, with a new boot ID.
}

// Server is an engine stand-in. Create it with New.
type Server struct {
	cfg      Config
	addr     string // Bound address.
	listener listener.Listener
	ctx      context.Context
	cancel   context.CancelFunc
	group    conc.WaitGroup
	wake     chan struct{}

	mu            sync.Mutex
	bootID        string
	faults        Faults
	scheduler     scheduler
	cache         prefixCache
	loadHistory   []loadReport // Oldest first.
	orders        orderState
	counts        counts
	streamsOpened int // Number of streams opened so far.
	mutedUpTo     int // Streams up to this number send nothing more.
}

// New returns a Server that is not started.
func New(cfg Config) *Server {
	cfg.setDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{
		cfg:       cfg,
		bootID:    newBootID(),
		ctx:       ctx,
		cancel:    cancel,
		wake:      make(chan struct{}, 1),
		faults:    cfg.Faults,
		scheduler: newScheduler(cfg),
		cache:     newPrefixCache(cfg.CacheBlocks),
		orders:    orderState{readyModels: append([]Model{}, cfg.Models...)},
	}
	s.listener.Handler = s.handle
	return s
}

func newBootID() string { return fmt.Sprintf("%x", time.Now().UnixNano()) }

// Start listens on addr, starts the scheduler and returns the bound address.
func (s *Server) Start(addr string) (string, error) {
	bound, err := s.listener.Start(addr)
	if err != nil {
		return "", err
	}
	s.addr = bound
	s.group.Go(s.runSteps)
	s.group.Go(s.recordLoad)
	return bound, nil
}

// Close stops the server and closes its connections.
func (s *Server) Close() error {
	s.cancel()
	err := s.listener.Close()
	s.group.Wait()
	// After a crash, the listener may have been started again.
	return errors.Wrap(cmp.Or(err, s.listener.Close()), "close engine")
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if path == "/faults" {
		s.serveFaults(ctx)
		return
	}
	s.sleep(time.Duration(s.currentFaults().DelayMS) * time.Millisecond)
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

// counts reports to tests which requests the engine has handled.
type counts struct {
	Started int `json:"started"` // Completions accepted.
	Refused int `json:"refused"` // Completions refused because of Faults.ShuttingDown.
	Resumed int `json:"resumed"` // Streams reopened by GET.
	Crashes int `json:"crashes"` // Because of Faults.CrashOn.
}

type errorResponse struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code string `json:"code"`
}

func writeError(ctx *fasthttp.RequestCtx, status int, code string) {
	listener.WriteJSON(ctx, status, errorResponse{Error: errorDetail{Code: code}})
}

func (s *Server) serveFaults(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	faults := s.faults
	err := json.Unmarshal(ctx.PostBody(), &faults)
	if err == nil {
		s.faults = faults
		s.faults.MuteOpen, s.faults.CloseIdle, s.faults.ReclaimMS = false, false, 0
		s.faults.ShuttingDown = faults.ShuttingDown || faults.ReclaimMS > 0
		if faults.MuteOpen {
			s.mutedUpTo = s.streamsOpened
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
	if faults.ReclaimMS > 0 && s.cfg.OnReclaim != nil {
		time.AfterFunc(time.Duration(faults.ReclaimMS)*time.Millisecond, s.cfg.OnReclaim)
	}
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

// currentFaults returns a copy of the active faults.
func (s *Server) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// consume decrements the counter of a fault and reports whether it was positive.
// The caller holds the lock.
func consume(remaining *int) bool {
	if *remaining <= 0 {
		return false
	}
	*remaining--
	return true
}

// sleep waits for d. It returns false if the server is closed first.
func (s *Server) sleep(d time.Duration) bool {
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
