// Package service is a test double of a plain service. It answers every method
// and path, and counts what ran how often.
package service

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"monsoonspar.example/standin/listener"
	"monsoonspar.example/standin/marker"
)

// Config sets up a Server. The zero value answers at once.
type Config struct {
	Faults Faults
	Exit   func() // Called when the early reclaim is due; Close is not called.
}

// Faults is what POST /faults sets. Fields that a call leaves out keep their
// value; the counts go down as they are used.
type Faults struct {
	DelayMS     int  `json:"delay_ms"`     // Waits before it runs.
	SlowMS      int  `json:"slow_ms"`      // Waits after it ran and before it answers.
	Silent      bool `json:"silent"`       // Reads requests and neither runs nor answers them.
	LoseAnswers int  `json:"lose_answers"` // Requests that run and get no answer.
	DropCalls   int  `json:"drop_calls"`   // Requests that are read, not run and get no answer.
	RefuseCalls int  `json:"refuse_calls"` // Requests that are refused before they run.
	Leaving     bool `json:"leaving"`
	CloseIdle   bool `json:"close_idle"` // Closes the idle connections once.
	ReclaimMS   int  `json:"reclaim_ms"` // Leaves now and exits after this notice.
}

// Server is the stand-in. Create it by New.
type Server struct {
	cfg      Config
	listener listener.Listener

	mu      sync.Mutex
	faults  Faults
	running int
	runs    map[string]int
	total   int
	stop    chan struct{}
	stopped bool
}

// New returns a server that is not started.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg, faults: cfg.Faults, runs: make(map[string]int), stop: make(chan struct{})}
	s.listener.Handler = s.handle
	return s
}

// Start listens on addr and returns the address that it is bound to.
func (s *Server) Start(addr string) (string, error) { return s.listener.Start(addr) }

// Close stops the server and breaks off its connections.
func (s *Server) Close() error {
	s.mu.Lock()
	if !s.stopped {
		s.stopped = true
		close(s.stop)
	}
	s.mu.Unlock()
	return s.listener.Close()
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/load":
		s.serveLoad(ctx)
	case "/runs":
		s.serveRuns(ctx)
	case "/faults":
		s.serveFaults(ctx)
	default:
		s.serveCall(ctx)
	}
}

type loadReport struct {
	AgeMS   int  `json:"age_ms"`
	Running int  `json:"running"`
	Leaving bool `json:"leaving"`
}

func (s *Server) serveLoad(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	report := loadReport{Running: s.running, Leaving: s.faults.Leaving}
	s.mu.Unlock()
	listener.WriteJSON(ctx, fasthttp.StatusOK, report)
}

type runReport struct {
	Total int            `json:"total"`
	Runs  map[string]int `json:"runs"`
}

func (s *Server) serveRuns(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	listener.WriteJSON(ctx, fasthttp.StatusOK, runReport{Total: s.total, Runs: s.runs})
}

func (s *Server) serveFaults(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	faults := s.faults
	err := json.Unmarshal(ctx.PostBody(), &faults)
	if err == nil {
		s.faults = faults
		s.faults.CloseIdle, s.faults.ReclaimMS = false, 0
		s.faults.Leaving = faults.Leaving || faults.ReclaimMS > 0
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

// verdict is what happens to one call.
type verdict int

const (
	verdictRun verdict = iota
	verdictRefuse
	verdictSilent
	verdictDrop
	verdictLose
)

func (s *Server) serveCall(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	delay := time.Duration(s.faults.DelayMS) * time.Millisecond
	s.mu.Unlock()
	if !s.wait(delay) {
		return
	}
	v := s.decide()
	switch v {
	case verdictRefuse:
		ctx.Error("refused", fasthttp.StatusServiceUnavailable)
		ctx.Response.Header.Set("Monsoonspar-Not-Run", "true")
		return
	case verdictSilent:
		<-s.stop
		return
	case verdictDrop:
		listener.DropAnswer(ctx)
		return
	case verdictRun, verdictLose:
	}
	answer, slow := s.run(ctx)
	s.wait(slow)
	s.mu.Lock()
	s.running--
	s.mu.Unlock()
	if v == verdictLose {
		listener.DropAnswer(ctx)
		return
	}
	listener.WriteJSON(ctx, fasthttp.StatusOK, answer)
}

// decide takes the next verdict and uses up the fault that it comes from.
func (s *Server) decide() verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.faults.Silent:
		return verdictSilent
	case s.faults.Leaving:
		return verdictRefuse
	case s.faults.RefuseCalls > 0:
		s.faults.RefuseCalls--
		return verdictRefuse
	case s.faults.DropCalls > 0:
		s.faults.DropCalls--
		return verdictDrop
	case s.faults.LoseAnswers > 0:
		s.faults.LoseAnswers--
		return verdictLose
	}
	return verdictRun
}

type callAnswer struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	ID     string `json:"id"`
	Run    int    `json:"run"` // How often this id has run, this time included.
}

// run counts the call and returns its answer and the time to hold it back.
func (s *Server) run(ctx *fasthttp.RequestCtx) (callAnswer, time.Duration) {
	id := string(ctx.Request.Header.Peek("Monsoonspar-Request-Id"))
	if m := marker.Parse(string(ctx.PostBody())); id == "" || m.ID != marker.Hash(string(ctx.PostBody())) {
		id = m.ID
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	s.runs[id]++
	s.total++
	answer := callAnswer{Method: string(ctx.Method()), Path: string(ctx.Path()), ID: id, Run: s.runs[id]}
	return answer, time.Duration(s.faults.SlowMS) * time.Millisecond
}

// wait reports whether d passed before the server was closed.
func (s *Server) wait(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-s.stop:
		return false
	}
}
