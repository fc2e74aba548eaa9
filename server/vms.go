package server

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"monsoonspar.example/coordination/router"
	"monsoonspar.example/protocol/storer"
	"monsoonspar.example/state/cataloger"
)

const (
	resourceVMs = "vms"
	vmInterval  = 2 * time.Second
	vmTimeout   = 5 * time.Second
	rankVMs     = "vms " // Start of the name whose owner reads a failure domain's list.
)

// vmSpec is the form of a VM in the platform's list.
type vmSpec struct {
	Addr   string `json:"addr"` // IP address, with or without a port.
	Domain string `json:"domain"`
	Role   string `json:"role"`  // "entry" or "endpoint".
	State  string `json:"state"` // "live" or "leaving".
}

// followVMs reads the platform's list of VMs until ctx ends. One daemon of each
// failure domain does so and tells the others.
func (s *Server) followVMs(ctx context.Context) {
	for s.clock.Sleep(ctx, vmInterval) == nil {
		owner, ok := router.OwnerOf(rankVMs+s.cfg.Daemon.Domain, s.members.candidates(s.cfg.Daemon.Domain))
		if ok && owner == s.members.self() {
			s.readVMs(ctx)
		}
	}
}

// readVMs reads the list once.
func (s *Server) readVMs(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, vmTimeout)
	defer cancel()
	list, err := s.store.List(ctx, resourceVMs, nil)
	if err != nil {
		s.log.Debug().Err(err).Msg("vms: list not read")
		return
	}
	for _, o := range list.Items {
		s.takeVM(o)
	}
}

// takeVM acts on one VM of the list.
func (s *Server) takeVM(o storer.Object) {
	var vm vmSpec
	if err := json.Unmarshal(o.Spec, &vm); err != nil {
		s.log.Warn().Err(err).Str("vm", o.Name).Msg("vms: entry not readable")
		return
	}
	if vm.Role != "endpoint" || vm.State != "leaving" {
		return
	}
	m := s.Manifest()
	if m == nil {
		return
	}
	for _, e := range m.Endpoints {
		if e.Domain == s.cfg.Daemon.Domain && vm.is(e) && !s.leaving(e.Name) {
			s.tellLeaving(e.Name)
		}
	}
}

// is reports whether an endpoint runs on the VM.
func (vm vmSpec) is(e cataloger.Endpoint) bool {
	if vm.Addr == e.Addr {
		return true
	}
	host, _, err := net.SplitHostPort(e.Addr)
	return err == nil && vm.Addr == host
}

// leaving reports whether an endpoint is known to be leaving.
func (s *Server) leaving(endpoint string) bool {
	sh := s.routers[0]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.router.Leaving(endpoint)
}

// tellLeaving stops new work at an endpoint and tells the other daemons.
func (s *Server) tellLeaving(endpoint string) {
	s.log.Info().Str("endpoint", endpoint).Msg("vms: endpoint is leaving")
	s.endpointLeaves(endpoint)
	s.broadcast(router.Report{Endpoint: endpoint, Leaving: true})
}
