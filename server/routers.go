package server

import (
	"math/rand/v2"
	"sync"

	"monsoonspar.example/coordination/router"
	"monsoonspar.example/state/cataloger"
)

// routerShardCount is the number of routers that requests are spread over, to
// reduce lock contention.
const routerShardCount = 4

// routerShard is a router with its random source, under one lock.
type routerShard struct {
	mu     sync.Mutex
	router *router.Router
	rand   *rand.Rand
}

// newRouterShards returns routers without endpoints.
func newRouterShards(domain string, rnd *rand.Rand) []*routerShard {
	shards := make([]*routerShard, routerShardCount)
	for i := range shards {
		shards[i] = &routerShard{
			router: router.New(router.Config{Domain: domain}),
			rand:   rand.New(rand.NewPCG(rnd.Uint64(), rnd.Uint64())),
		}
	}
	return shards
}

// eachRouter applies an update to every router.
func (s *Server) eachRouter(update func(*router.Router)) {
	for _, sh := range s.routers {
		sh.mu.Lock()
		update(sh.router)
		sh.mu.Unlock()
	}
}

// candidates returns the candidate endpoints for a request. Requests are spread
// over the routers in turn.
func (s *Server) candidates(req router.Request) ([]router.Candidate, error) {
	sh := s.routers[s.nextRouter.Add(1)%routerShardCount]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.router.Candidates(req, sh.rand, s.clock.Now())
}

// bestEstimate returns the candidate with the best estimate. If all refuse, it
// returns the first candidate and false.
func (s *Server) bestEstimate(estimates []router.Estimate) (router.Candidate, bool) {
	sh := s.routers[0]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	i, ok := sh.router.Best(estimates)
	if !ok {
		return estimates[0].Candidate, false
	}
	return estimates[i].Candidate, true
}

// acceptsNewWork reports whether new work may be sent to an endpoint now. It must
// be called right before the request is written.
func (s *Server) acceptsNewWork(endpoint string) bool {
	sh := s.routers[0]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.router.ShuttingDown(endpoint) {
		return false
	}
	sh.router.CheckDispatch(endpoint)
	return true
}

// setEndpoints declares the endpoints of a manifest to the routers, except those
// that are drained by operators.
func (s *Server) setEndpoints(m *cataloger.Manifest) {
	var available []cataloger.Endpoint
	for _, e := range m.Endpoints {
		if !e.Draining {
			available = append(available, e)
		}
	}
	s.eachRouter(func(r *router.Router) { r.SetEndpoints(available) })
}
