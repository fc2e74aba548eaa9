// Package service is a stand-in for a plain service. It accepts every
// method and path, and counts how often each request ran.
package service

import (
	"bytes"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"monsoonspar.example/standin/listener"
	"monsoonspar.example/standin/marker"
)

// Config configures a Server. The zero value responds without delay.
type Config struct {
	Faults    Faults
	OnReclaim func() // Called when the notice period of Faults.ReclaimMS ends; the server is not closed.
}

// Faults is the body of POST /faults. Omitted fields keep their values; counters
// are decremented as faults are injected.
type Faults struct {
	DelayMS       int    `json:"delay_ms"`      // Delay before a request runs.
	SlowMS        int    `json:"slow_ms"`       // Delay between the effect of a request and its response.
	Silent        bool   `json:"silent"`        // Requests are read, but neither run nor answered.
	LoseResponses int    `json:"lose_answers"`  // Number of requests that run, but whose connections are closed before the response.
	DropCalls     int    `json:"drop_calls"`    // Number of requests that are not run; their connections are closed.
	RefuseCalls   int    `json:"refuse_calls"`  // Number of requests that are refused with 503 and not run.
	ShuttingDown  bool   `json:"leaving"`       // Reports that it is shutting down and refuses requests.
	Unframed      bool   `json:"unframed"`      // Responses have neither a length nor chunks and end with their connections.
	LateRefusals  bool   `json:"late_refusals"` // Requests run and get a late copy of an earlier refusal; see listener.LateRefusal.
	BodyPauseMS   int    `json:"body_pause_ms"` // Pause in the middle of a body that has neither a length nor chunks.
	Endless       string `json:"endless"`       // Requests run and get an endless response of this kind; see listener.Endless.
	CloseIdle     bool   `json:"close_idle"`    // One-shot: closes the idle connections.
	ReclaimMS     int    `json:"reclaim_ms"`    // One-shot: sets ShuttingDown, and calls Config.OnReclaim after this notice period.
}

// Server is a service stand-in. Create it with New.
type Server struct {
	cfg      Config
	listener listener.Listener

	mu        sync.Mutex
	faults    Faults
	running   int
	runCounts map[string]int
	totalRuns int
	closing   chan struct{}
	closed    bool
}

// New returns a Server that is not started.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg, faults: cfg.Faults, runCounts: make(map[string]int), closing: make(chan struct{})}
	s.listener.Handler = s.handle
	return s
}

// Start listens on addr and returns the bound address.
func (s *Server) Start(addr string) (string, error) { return s.listener.Start(addr) }

// Close stops the server and closes its connections.
func (s *Server) Close() error {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		close(s.closing)
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
	AgeMS        int  `json:"age_ms"`
	Running      int  `json:"running"`
	ShuttingDown bool `json:"leaving"`
}

func (s *Server) serveLoad(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	report := loadReport{Running: s.running, ShuttingDown: s.faults.ShuttingDown}
	s.mu.Unlock()
	listener.WriteJSON(ctx, fasthttp.StatusOK, report)
}

type runsResponse struct {
	Total int            `json:"total"`
	Runs  map[string]int `json:"runs"`
}

func (s *Server) serveRuns(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	listener.WriteJSON(ctx, fasthttp.StatusOK, runsResponse{Total: s.totalRuns, Runs: s.runCounts})
}

func (s *Server) serveFaults(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	faults := s.faults
	err := json.Unmarshal(ctx.PostBody(), &faults)
	if err == nil {
		s.faults = faults
		s.faults.CloseIdle, s.faults.ReclaimMS = false, 0
		s.faults.ShuttingDown = faults.ShuttingDown || faults.ReclaimMS > 0
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

// callAction is how a call is handled.
type callAction int

const (
	actionRun callAction = iota
	actionRefuse
	actionHang
	actionDropRequest
	actionDropResponse
)

func (s *Server) serveCall(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	delay := time.Duration(s.faults.DelayMS) * time.Millisecond
	s.mu.Unlock()
	if !s.sleep(delay) {
		return
	}
	action := s.nextAction()
	switch action {
	case actionRefuse:
		ctx.Error("refused", fasthttp.StatusServiceUnavailable)
		ctx.Response.Header.Set("Monsoonspar-Not-Run", "true")
		return
	case actionHang:
		<-s.closing
		return
	case actionDropRequest:
		listener.DropResponse(ctx)
		return
	case actionRun, actionDropResponse:
	}
	response, responseDelay := s.run(ctx)
	s.sleep(responseDelay)
	s.mu.Lock()
	s.running--
	faults := s.faults
	s.mu.Unlock()
	if action == actionDropResponse {
		listener.DropResponse(ctx)
		return
	}
	listener.WriteJSON(ctx, fasthttp.StatusOK, response)
	if faults.LateRefusals {
		listener.LateRefusal(ctx, "Monsoonspar-Not-Run: true\r\n", "")
	}
	switch {
	case faults.Endless != "":
		listener.Endless(ctx, faults.Endless, nil)
	case faults.Unframed:
		body := bytes.Clone(ctx.Response.Body())
		listener.Unframed(ctx, func(c net.Conn) {
			half := len(body) / 2
			_, _ = c.Write(body[:half]) // The caller may have closed the connection.
			s.sleep(time.Duration(faults.BodyPauseMS) * time.Millisecond)
			_, _ = c.Write(body[half:])
		})
	}
}

// nextAction returns the action for the next call. It decrements the counter of
// the fault that causes it.
func (s *Server) nextAction() callAction {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.faults.Silent:
		return actionHang
	case s.faults.ShuttingDown:
		return actionRefuse
	case s.faults.RefuseCalls > 0:
		s.faults.RefuseCalls--
		return actionRefuse
	case s.faults.DropCalls > 0:
		s.faults.DropCalls--
		return actionDropRequest
	case s.faults.LoseResponses > 0:
		s.faults.LoseResponses--
		return actionDropResponse
	}
	return actionRun
}

type callResponse struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	ID     string `json:"id"`
	Run    int    `json:"run"` // How often this ID has run, including this time.
}

// run counts the call and returns its response and the delay of the response. The
// ID of the call is that of the directive in the body; without a directive it is the
// request ID in the header or, failing that, a hash of the body.
func (s *Server) run(ctx *fasthttp.RequestCtx) (callResponse, time.Duration) {
	id := string(ctx.Request.Header.Peek("Monsoonspar-Request-Id"))
	if directives := marker.Parse(string(ctx.PostBody())); id == "" || directives.ID != marker.Hash(string(ctx.PostBody())) {
		id = directives.ID
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	s.runCounts[id]++
	s.totalRuns++
	response := callResponse{Method: string(ctx.Method()), Path: string(ctx.Path()), ID: id, Run: s.runCounts[id]}
	return response, time.Duration(s.faults.SlowMS) * time.Millisecond
}

// sleep waits for d. It returns false if the server is closed first.
func (s *Server) sleep(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-s.closing:
		return false
	}
}
