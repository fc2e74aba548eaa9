package server

import (
	"context"
	"encoding/json"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"monsoonspar.example/coordination/prober"
	"monsoonspar.example/coordination/router"
	"monsoonspar.example/protocol/storer"
	"monsoonspar.example/state/cataloger"

	"github.com/pkg/errors"
)

const (
	resourceVMs        = "vms"
	vmRetryInterval    = 2 * time.Second  // Delay before the next watch, and between checks of which daemon is the watcher.
	vmListTimeout      = 5 * time.Second  // For reading the list once.
	vmRelistInterval   = 10 * time.Minute // Longest duration of one watch.
	vmWatcherKeyPrefix = "vms "           // With the name of a failure domain, the key whose owner watches its VMs.
)

// vmSpec is the encoding of a VM in the platform's list.
type vmSpec struct {
	Addr   string `json:"addr"` // IP address, with or without a port.
	Domain string `json:"domain"`
	Role   string `json:"role"`  // "entry" or "endpoint".
	State  string `json:"state"` // "live" or "leaving".
}

// errNotVMWatcher ends the watch of a daemon that no longer watches the list for its
// failure domain.
var errNotVMWatcher = errors.New("server: another daemon watches the list of VMs")

// runVMWatch watches the platform's list of VMs until ctx ends. One daemon of each
// failure domain does so and reports to the others which endpoints are shutting
// down.
func (s *Server) runVMWatch(ctx context.Context) {
	for s.clock.Sleep(ctx, vmRetryInterval) == nil {
		if !s.isVMWatcher() {
			continue
		}
		if err := s.watchVMs(ctx); err != nil {
			s.log.Debug().Err(err).Msg("vms: watch ended")
		}
	}
}

// isVMWatcher reports whether this daemon watches the list for its failure domain.
func (s *Server) isVMWatcher() bool {
	owner, ok := router.OwnerOf(vmWatcherKeyPrefix+s.cfg.Daemon.Domain, s.members.candidates(s.cfg.Daemon.Domain))
	return ok && owner == s.members.self()
}

// watchVMs reads the list once and then its changes, until the watch breaks or
// another daemon becomes the watcher. A watch without events for the timeout of
// the store client breaks as well.
func (s *Server) watchVMs(ctx context.Context) error {
	listCtx, cancel := context.WithTimeout(ctx, vmListTimeout)
	list, err := s.store.List(listCtx, resourceVMs, nil)
	cancel()
	if err != nil {
		return err
	}
	vms := shuttingDownVMs{}
	for _, o := range list.Items {
		s.recordVM(vms, o)
	}
	// Each watch announces all shutdowns, since those that a former watcher announced may
	// not have reached every daemon.
	s.shutdowns.replace(nil)
	defer s.shutdowns.replace(nil)
	s.markEndpointsShuttingDown(vms)
	// A watch may miss changes although it delivers others, so the list is read
	// again regularly.
	ctx, cancel = context.WithTimeout(ctx, vmRelistInterval)
	defer cancel()
	return s.store.Watch(ctx, resourceVMs, list.Version, func(ev storer.Event) error {
		if !s.isVMWatcher() {
			return errNotVMWatcher
		}
		switch ev.Type {
		case storer.Added, storer.Modified:
			s.recordVM(vms, ev.Object)
		case storer.Deleted:
			delete(vms, ev.Object.Name)
		case storer.Bookmark:
		}
		s.markEndpointsShuttingDown(vms) // For every event, since the manifest may have changed as well.
		return nil
	})
}

// shuttingDownVMs holds the VMs of endpoints in the state "leaving", by name.
type shuttingDownVMs map[string]vmSpec

// recordVM adds or removes one VM of the list by its state.
func (s *Server) recordVM(vms shuttingDownVMs, o storer.Object) {
	var vm vmSpec
	if err := json.Unmarshal(o.Spec, &vm); err != nil {
		s.log.Warn().Err(err).Str("vm", o.Name).Msg("vms: VM object can't be decoded")
		return
	}
	if vm.Role == "endpoint" && vm.State == "leaving" {
		vms[o.Name] = vm
		return
	}
	delete(vms, o.Name)
}

// markEndpointsShuttingDown marks the endpoints of this failure domain that run on
// the given VMs as shutting down.
func (s *Server) markEndpointsShuttingDown(vms shuttingDownVMs) {
	m := s.Manifest()
	if m == nil {
		return
	}
	current := map[string]bool{}
	for _, vm := range vms {
		for _, e := range m.Endpoints {
			if e.Domain == s.cfg.Daemon.Domain && vm.hosts(e) {
				current[e.Name] = true
			}
		}
	}
	for _, name := range s.shutdowns.replace(current) {
		s.announceShutdown(name)
	}
}

// announcedShutdowns holds the endpoints that the present watch has announced, and the
// daemons that have been told. Its methods may be called concurrently.
type announcedShutdowns struct {
	mu           sync.Mutex
	endpoints    map[string]bool
	incarnations map[string]uint64 // By daemon, the latest incarnation seen.
}

// replace sets the endpoints, and returns those that have not been announced yet.
func (a *announcedShutdowns) replace(endpoints map[string]bool) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var added []string
	for name := range endpoints {
		if !a.endpoints[name] {
			added = append(added, name)
		}
	}
	a.endpoints = endpoints
	return added
}

// missedBy returns the endpoints that a member was not told of because it has joined or
// restarted since the announcement.
func (a *announcedShutdowns) missedBy(m prober.Member) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if m.State != prober.StateAlive || a.incarnations[m.Name] >= m.Incarnation {
		return nil
	}
	if a.incarnations == nil {
		a.incarnations = map[string]uint64{}
	}
	a.incarnations[m.Name] = m.Incarnation
	return slices.Collect(maps.Keys(a.endpoints))
}

// Limits of telling a member of the shutdowns that it has missed.
const (
	maxCatchUpTries = 5
	catchUpInterval = time.Second // Between tries; a member that has just started may not accept connections yet.
)

// sendMissedShutdowns tells a member of shutdowns that were announced before it joined.
func (s *Server) sendMissedShutdowns(m prober.Member, endpoints []string) {
	for _, endpoint := range endpoints {
		for range maxCatchUpTries {
			ctx, cancel := context.WithTimeout(s.ctx, shortCallTimeout)
			err := s.peerClient.SendEndpointStatus(ctx, m.Addr, router.EndpointStatus{Endpoint: endpoint, ShuttingDown: true})
			cancel()
			if err == nil || s.clock.Sleep(s.ctx, catchUpInterval) != nil {
				break
			}
		}
	}
}

// hosts reports whether an endpoint runs on the VM.
func (vm vmSpec) hosts(e cataloger.Endpoint) bool {
	if vm.Addr == e.Addr {
		return true
	}
	host, _, err := net.SplitHostPort(e.Addr)
	return err == nil && vm.Addr == host
}

// isShuttingDown reports whether an endpoint is known to be shutting down.
func (s *Server) isShuttingDown(endpoint string) bool {
	sh := s.routers[0]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.router.ShuttingDown(endpoint)
}

// announceShutdown marks an endpoint as shutting down and reports it to the other
// daemons.
func (s *Server) announceShutdown(endpoint string) {
	s.log.Info().Str("endpoint", endpoint).Msg("vms: VM of the endpoint is shutting down; no new work is sent to it")
	s.markShuttingDown(endpoint)
	s.broadcast(router.EndpointStatus{Endpoint: endpoint, ShuttingDown: true})
}
