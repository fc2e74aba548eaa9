package server

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"monsoonspar.example/coordination/router"
	"monsoonspar.example/protocol/storer"
	"monsoonspar.example/state/cataloger"

	"github.com/pkg/errors"
)

const (
	resourceVMs = "vms"
	vmInterval  = 2 * time.Second
	vmTimeout   = 5 * time.Second
	vmRelist    = 10 * time.Minute
	rankVMs     = "vms " // Start of the name whose owner reads a failure domain's list.
)

// vmSpec is the form of a VM in the platform's list.
type vmSpec struct {
	Addr   string `json:"addr"` // IP address, with or without a port.
	Domain string `json:"domain"`
	Role   string `json:"role"`  // "entry" or "endpoint".
	State  string `json:"state"` // "live" or "leaving".
}

// errNotVMReader ends a watch of the list by a daemon that is not to follow it.
var errNotVMReader = errors.New("server: another daemon follows the list of VMs")

// followVMs follows the platform's list of VMs until ctx ends. One daemon of each
// failure domain does so and tells the others.
func (s *Server) followVMs(ctx context.Context) {
	for s.clock.Sleep(ctx, vmInterval) == nil {
		if !s.readsVMs() {
			continue
		}
		if err := s.watchVMs(ctx); err != nil {
			s.log.Debug().Err(err).Msg("vms: watch ended")
		}
	}
}

// readsVMs reports whether this daemon follows the list for its failure domain.
func (s *Server) readsVMs() bool {
	owner, ok := router.OwnerOf(rankVMs+s.cfg.Daemon.Domain, s.members.candidates(s.cfg.Daemon.Domain))
	return ok && owner == s.members.self()
}

// watchVMs reads the list once and then its changes, until the watch breaks or
// another daemon is to follow the list. A watch that is silent breaks too.
func (s *Server) watchVMs(ctx context.Context) error {
	listCtx, cancel := context.WithTimeout(ctx, vmTimeout)
	list, err := s.store.List(listCtx, resourceVMs, nil)
	cancel()
	if err != nil {
		return err
	}
	vms := leavingVMs{}
	for _, o := range list.Items {
		s.noteVM(vms, o)
	}
	s.leaveVMs(vms)
	// A watch may miss changes without being silent, so it ends after a while.
	ctx, cancel = context.WithTimeout(ctx, vmRelist)
	defer cancel()
	return s.store.Watch(ctx, resourceVMs, list.Version, func(ev storer.Event) error {
		if !s.readsVMs() {
			return errNotVMReader
		}
		switch ev.Type {
		case storer.Added, storer.Modified:
			s.noteVM(vms, ev.Object)
		case storer.Deleted:
			delete(vms, ev.Object.Name)
		case storer.Bookmark:
		}
		s.leaveVMs(vms) // Again and again, since the manifest changes too.
		return nil
	})
}

// leavingVMs are the leaving VMs of endpoints by name.
type leavingVMs map[string]vmSpec

// noteVM takes in one VM of the list.
func (s *Server) noteVM(vms leavingVMs, o storer.Object) {
	var vm vmSpec
	if err := json.Unmarshal(o.Spec, &vm); err != nil {
		s.log.Warn().Err(err).Str("vm", o.Name).Msg("vms: entry not readable")
		return
	}
	if vm.Role == "endpoint" && vm.State == "leaving" {
		vms[o.Name] = vm
		return
	}
	delete(vms, o.Name)
}

// leaveVMs stops new work at the endpoints of this failure domain on leaving VMs.
func (s *Server) leaveVMs(vms leavingVMs) {
	m := s.Manifest()
	if m == nil {
		return
	}
	for _, vm := range vms {
		for _, e := range m.Endpoints {
			if e.Domain == s.cfg.Daemon.Domain && vm.is(e) && !s.leaving(e.Name) {
				s.tellLeaving(e.Name)
			}
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
