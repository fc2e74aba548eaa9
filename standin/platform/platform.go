// Package platform is a stand-in for the platform's object API. It stores
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
	retryAfterSeconds = "1" // Retry-After of refusals.
	watchPollInterval = 20 * time.Millisecond
	bookmarkInterval  = time.Second // Minimum interval of bookmarks, which tell an idle watch the current version.
)

// Config configures a Server. The zero value has no limits and no faults.
type Config struct {
	WritesPerSecond float64       // Rate limit; zero for none.
	ReadsPerSecond  float64       // Rate limit; zero for none.
	VMLag           time.Duration // Delay until a change of the VM list can be read.
	HistoryLength   int           // Number of changes retained for watches; zero for 10,000.
	Faults          Faults
}

// Faults is the body of POST /faults. Omitted fields keep their values; counters
// are decremented as faults are injected.
type Faults struct {
	Outage        bool   `json:"outage"`         // Every API request is answered with 503.
	Hang          bool   `json:"hang"`           // Requests are accepted and never answered.
	DelayMS       int    `json:"delay_ms"`       // Delay before a request is handled.
	SlowMS        int    `json:"slow_ms"`        // Delay between the effect of a write and its response.
	LoseResponses int    `json:"lose_answers"`   // Number of writes that take effect, but whose connections are closed before the response.
	DropCalls     int    `json:"drop_calls"`     // Number of writes that have no effect; their connections are closed.
	LimitCalls    int    `json:"limit_calls"`    // Number of requests that are answered with 429.
	StaleVersions uint64 `json:"stale_versions"` // Reads return the state of this many versions ago.
	WatchSilent   bool   `json:"watch_silent"`   // Watches stay open and send nothing.
}

// Server is a platform stand-in. Create it with New.
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
	calls  map[string]int // By method and, as "by NAME", by bearer token.
}

// New returns a Server that is not started.
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

// Start listens on addr and returns the bound address.
func (s *Server) Start(addr string) (string, error) { return s.listener.Start(addr) }

// Close stops the server and closes its connections.
func (s *Server) Close() error {
	s.cancel()
	err := s.listener.Close()
	s.group.Wait()
	return err
}

// VM is an entry of the list of VMs.
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

// SetVM adds or replaces an entry of the list of VMs. The change can be read
// after Config.VMLag.
func (s *Server) SetVM(vm VM) error {
	spec, err := json.Marshal(vmSpec{Addr: vm.Addr, Domain: vm.Domain, Role: vm.Role, State: vm.State})
	if err != nil {
		return errors.Wrap(err, "spec of VM")
	}
	s.group.Go(func() {
		if s.sleep(s.cfg.VMLag) {
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
	case <-s.ctx.Done():
		return false
	}
}

// currentFaults returns a copy of the active faults.
func (s *Server) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}
