package server

import (
	"math/rand/v2"
	"sync"

	"monsoonspar.example/coordination/router"
	"monsoonspar.example/state/cataloger"
)

const routerShards = 4

// routerShard is a router with its random source, under one lock.
type routerShard struct {
	mu     sync.Mutex
	router *router.Router
	rand   *rand.Rand
}

// newRouterShards returns routers that know of no endpoint.
func newRouterShards(domain string, rnd *rand.Rand) []*routerShard {
	shards := make([]*routerShard, routerShards)
	for i := range shards {
		shards[i] = &routerShard{
			router: router.New(router.Config{Domain: domain}),
			rand:   rand.New(rand.NewPCG(rnd.Uint64(), rnd.Uint64())),
		}
	}
	return shards
}

// router gives an event to every router.
func (s *Server) router(event func(*router.Router)) {
	for _, sh := range s.routers {
		sh.mu.Lock()
		event(sh.router)
		sh.mu.Unlock()
	}
}

// candidates returns endpoints for a request from the router that its prefix
// selects.
func (s *Server) candidates(req router.Request) ([]router.Candidate, error) {
	sh := s.routers[s.turn.Add(1)%routerShards]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.router.Candidates(req, sh.rand, s.clock.Now())
}

// best returns the candidate with the best quote, or false if all refuse.
func (s *Server) best(quotes []router.Quote) (router.Candidate, bool) {
	sh := s.routers[0]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	i, ok := sh.router.Best(quotes)
	if !ok {
		return quotes[0].Candidate, false
	}
	return quotes[i].Candidate, true
}

// maySend reports whether new work may go to an endpoint at this moment.
func (s *Server) maySend(endpoint string) bool {
	sh := s.routers[0]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.router.Leaving(endpoint) {
		return false
	}
	sh.router.Sent(endpoint)
	return true
}

// setEndpoints declares the endpoints of a manifest to the routers, without
// those that operators drain.
func (s *Server) setEndpoints(m *cataloger.Manifest) {
	var open []cataloger.Endpoint
	for _, e := range m.Endpoints {
		if !e.Draining {
			open = append(open, e)
		}
	}
	s.router(func(r *router.Router) { r.SetEndpoints(open) })
}
