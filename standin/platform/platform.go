// Package platform is a test double of the platform's object API. It keeps
// versioned objects in memory and serves reads, conditional writes and watches.
package platform

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"monsoonspar.example/standin/listener"
)

const (
	retryAfterSeconds = "1"
	watchPoll         = 20 * time.Millisecond
	bookmarkInterval  = time.Second
)

// Config sets up a Server. The zero value has no limits and no faults.
type Config struct {
	WritesPerSecond float64       // Zero for no limit.
	ReadsPerSecond  float64       // Zero for no limit.
	VMLag           time.Duration // Time until a change of the VM list can be read.
	HistoryLength   int           // Versions kept for watches; zero for 10,000.
	Faults          Faults
}

// Faults is what POST /faults sets. Fields that a call leaves out keep their
// value; the counts go down as they are used.
type Faults struct {
	Outage        bool   `json:"outage"`         // Refuses every call with 503.
	Hang          bool   `json:"hang"`           // Accepts calls and never answers them.
	DelayMS       int    `json:"delay_ms"`       // Waits before it handles a call.
	SlowMS        int    `json:"slow_ms"`        // Waits after a call took effect and before the answer.
	LoseAnswers   int    `json:"lose_answers"`   // Writes that take effect and get no answer.
	DropCalls     int    `json:"drop_calls"`     // Writes that are read, have no effect and get no answer.
	LimitCalls    int    `json:"limit_calls"`    // Calls that get a 429.
	StaleVersions uint64 `json:"stale_versions"` // Reads show the state this many versions ago.
	WatchSilent   bool   `json:"watch_silent"`   // Watches stay open and send nothing.
}

// Server is the stand-in. Create it by New.
type Server struct {
	cfg      Config
	listener listener.Listener
	writes   *rate.Limiter
	reads    *rate.Limiter
	ctx      context.Context
	cancel   context.CancelFunc
	group    conc.WaitGroup

	mu     sync.Mutex
	faults Faults
	store  store
	calls  map[string]int
}

// New returns a server that is not started.
func New(cfg Config) *Server {
	if cfg.HistoryLength == 0 {
		cfg.HistoryLength = 10000
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{
		cfg:    cfg,
		writes: newLimiter(cfg.WritesPerSecond),
		reads:  newLimiter(cfg.ReadsPerSecond),
		ctx:    ctx,
		cancel: cancel,
		faults: cfg.Faults,
		store:  newStore(cfg.HistoryLength),
		calls:  make(map[string]int),
	}
	s.listener.Handler = s.handle
	return s
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), int(perSecond)+1)
}

// Start listens on addr and returns the address that it is bound to.
func (s *Server) Start(addr string) (string, error) { return s.listener.Start(addr) }

// Close stops the server and breaks off its connections.
func (s *Server) Close() error {
	s.cancel()
	err := s.listener.Close()
	s.group.Wait()
	return err
}

// VM is an entry of the platform's list of VMs.
type VM struct {
	Name   string `json:"name"`
	Addr   string `json:"addr"`
	Domain string `json:"domain"`
	Role   string `json:"role"`  // entry or endpoint
	State  string `json:"state"` // live or leaving
}

type vmSpec struct {
	Addr   string `json:"addr"`
	Domain string `json:"domain"`
	Role   string `json:"role"`
	State  string `json:"state"`
}

// SetVM changes an entry of the list of VMs. Readers see it after the lag.
func (s *Server) SetVM(vm VM) error {
	spec, err := json.Marshal(vmSpec{Addr: vm.Addr, Domain: vm.Domain, Role: vm.Role, State: vm.State})
	if err != nil {
		return errors.Wrap(err, "spec of VM")
	}
	s.group.Go(func() {
		if s.wait(s.cfg.VMLag) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.store.put("vms", object{Metadata: metadata{Name: vm.Name}, Spec: spec}, time.Now())
		}
	})
	return nil
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/faults":
		s.serveFaults(ctx)
	case "/calls":
		s.mu.Lock()
		defer s.mu.Unlock()
		listener.WriteJSON(ctx, fasthttp.StatusOK, s.calls)
	case "/vms":
		s.serveVMs(ctx)
	default:
		s.serveAPI(ctx)
	}
}

func (s *Server) serveFaults(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	faults := s.faults
	if err := json.Unmarshal(ctx.PostBody(), &faults); err != nil {
		ctx.Error(errors.Wrap(err, "faults").Error(), fasthttp.StatusBadRequest)
		return
	}
	s.faults = faults
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

func (s *Server) serveVMs(ctx *fasthttp.RequestCtx) {
	var vm VM
	if err := json.Unmarshal(ctx.PostBody(), &vm); err != nil || vm.Name == "" {
		ctx.Error("a VM with a name is needed", fasthttp.StatusBadRequest)
		return
	}
	if err := s.SetVM(vm); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	ctx.SetStatusCode(fasthttp.StatusNoContent)
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
	case <-s.ctx.Done():
		return false
	}
}

// current returns the faults in force.
func (s *Server) current() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}
