package server

import (
	"context"

	"monsoonspar.example/coordination/admitter"
	"monsoonspar.example/coordination/sequencer"
	"monsoonspar.example/state/cataloger"
)

// Close ends the reading. An answer that is not complete stays open to be
// resumed for the grace time.
func (g *generation) Close() {
	defer g.span.End()
	defer g.s.work.end()
	if g.claim != nil && !g.done {
		g.s.spawn(g.drainAlone)
		return
	}
	defer g.cancel()
	if g.done || g.stream == nil {
		g.abandonStart()
		return
	}
	_ = g.stream.Close()
	grace := g.s.catalog.Load().manifest.Defaults.ResumeGrace
	p := g.permit
	g.s.spawn(func() {
		if g.s.clock.Sleep(g.s.ctx, grace) == nil {
			g.s.giveBack(p)
		}
	})
}

// abandonStart gives up a search that is still going on.
func (g *generation) abandonStart() {
	if g.done || g.stream != nil {
		return
	}
	g.cancel()
	g.s.spawn(func() {
		res := <-g.started
		if res.err == nil {
			_ = res.stream.Close()
			g.s.giveBack(res.permit)
		}
	})
}

// giveBack ends the permit of an answer that nobody reads, and cancels its
// generation unless another reader has taken it over.
func (s *Server) giveBack(p *permit) {
	ctx, cancel := context.WithTimeout(context.Background(), shortTimeout)
	defer cancel()
	if s.permits.release(ctx, p, admitter.Result{}) {
		s.cancelAt(ctx, p.endpoint, p.request.ID)
	}
}

// cancelAt cancels a generation at its engine.
func (s *Server) cancelAt(ctx context.Context, e cataloger.Endpoint, id admitter.PermitID) {
	if err := s.engines.Cancel(ctx, e.Addr, sequencer.AttemptID(id)); err != nil {
		s.log.Warn().Err(err).Str("endpoint", e.Name).Msg("generation: cancel failed")
	}
}
