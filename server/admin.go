package server

import (
	"encoding/json"
	"expvar"
	"net"
	"net/http"
	"time"

	"monsoonspar.example/state/cataloger"

	"github.com/gofiber/fiber/v2"
	"github.com/gofiber/fiber/v2/middleware/adaptor"
	"github.com/pkg/errors"
)

// adminTimeout bounds the time to read a request, and the shutdown.
const adminTimeout = 10 * time.Second

// admin is the HTTP interface for operators: health, metrics and status.
type admin struct {
	s        *Server
	app      *fiber.App
	listener net.Listener
}

// newAdmin returns an admin interface that does not listen yet.
func newAdmin(s *Server) *admin {
	a := &admin{s: s, app: fiber.New(fiber.Config{
		AppName: "monsoonspar admin", DisableStartupMessage: true, ReadTimeout: adminTimeout,
	})}
	a.app.Get("/healthz", func(c *fiber.Ctx) error { return c.SendString("ok\n") })
	a.app.Get("/readyz", a.readyz)
	a.app.Get("/status", func(c *fiber.Ctx) error { return c.JSON(s.status()) })
	a.app.Get("/debug/vars", adaptor.HTTPHandler(http.HandlerFunc(a.vars)))
	return a
}

func (a *admin) readyz(c *fiber.Ctx) error {
	if !a.s.Ready() {
		return c.Status(fiber.StatusServiceUnavailable).SendString("not ready\n")
	}
	return c.SendString("ready\n")
}

// vars writes the metrics of this daemon, followed by the process-wide ones.
func (a *admin) vars(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	_, _ = w.Write([]byte("{\"monsoonspar\": " + a.s.metrics.vars.String()))
	expvar.Do(func(kv expvar.KeyValue) {
		_, _ = w.Write([]byte(",\n\"" + kv.Key + "\": " + kv.Value.String()))
	})
	_, _ = w.Write([]byte("}\n"))
}

// listen binds addr and returns the bound address.
func (a *admin) listen(addr string) (string, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return "", errors.Wrap(err, "listen for operators")
	}
	a.listener = l
	return l.Addr().String(), nil
}

// serve serves operators until close.
func (a *admin) serve() {
	if err := a.app.Listener(a.listener); err != nil {
		a.s.log.Error().Err(err).Msg("admin: listener failed")
	}
}

// close stops serving. It closes the listener explicitly, because the shutdown has
// no effect on a server that has not started to serve.
func (a *admin) close() {
	_ = a.app.ShutdownWithTimeout(adminTimeout)
	_ = a.listener.Close()
}

// Status is the status of a daemon as reported to operators.
type Status struct {
	Name           string               `json:"name"`
	Domain         string               `json:"domain"`
	Region         string               `json:"region"`
	Ready          bool                 `json:"ready"`
	Draining       bool                 `json:"draining"`
	Generation     cataloger.Generation `json:"generation"`
	Permits        int                  `json:"permits"`
	OwnedEndpoints []string             `json:"owned_endpoints"`
	Lease          LeaseStatus          `json:"lease"`
	Members        []MemberStatus       `json:"members"`
	Endpoints      []EndpointStatus     `json:"endpoints"`
}

// LeaseStatus is a daemon's view of the lease of its failure domain.
type LeaseStatus struct {
	Holder       string `json:"holder"`
	Held         bool   `json:"held"`  // By the reporting daemon.
	FencingToken uint64 `json:"fence"` // Fencing token; zero if the lease is not held.
}

// MemberStatus is a daemon's view of one member.
type MemberStatus struct {
	Name       string               `json:"name"`
	Addr       string               `json:"addr"`
	Domain     string               `json:"domain"`
	State      string               `json:"state"`
	Generation cataloger.Generation `json:"generation"`
}

// EndpointStatus is a daemon's view of one endpoint.
type EndpointStatus struct {
	Name         string         `json:"name"`
	Kind         cataloger.Kind `json:"kind"`
	Domain       string         `json:"domain"`
	ShuttingDown bool           `json:"leaving"`
	Draining     bool           `json:"draining"` // Drained by operators.
	Ejected      bool           `json:"ejected"`
}

// status returns the status of this daemon.
func (s *Server) status() Status {
	st := Status{
		Name: s.cfg.Daemon.Name, Domain: s.cfg.Daemon.Domain, Region: s.cfg.Daemon.Region,
		Ready: s.Ready(), Draining: s.stopping.Load(), Generation: s.generationInForce(),
		Permits: s.permits.count(), OwnedEndpoints: s.owners.owned(),
	}
	term := s.leaseTerm()
	st.Lease = LeaseStatus{Holder: s.lease.holder(), Held: term.FencingToken > 0, FencingToken: term.FencingToken}
	for _, m := range s.members.all() {
		st.Members = append(st.Members, MemberStatus{
			Name: m.Name, Addr: m.Addr, Domain: m.Domain, State: m.State.String(), Generation: m.Generation,
		})
	}
	m := s.Manifest()
	if m == nil {
		return st
	}
	sh := s.routers[0]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for _, e := range m.Endpoints {
		st.Endpoints = append(st.Endpoints, EndpointStatus{
			Name: e.Name, Kind: e.Kind, Domain: e.Domain, Draining: e.Draining,
			ShuttingDown: sh.router.ShuttingDown(e.Name), Ejected: sh.router.Ejected(e.Name),
		})
	}
	return st
}

// Status returns the encoded status for a status call of another daemon.
func (s *Server) Status() ([]byte, error) {
	body, err := json.Marshal(s.status())
	return body, errors.Wrap(err, "encode status")
}
