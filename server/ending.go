package server

import (
	"context"

	"monsoonspar.example/coordination/admitter"
	"monsoonspar.example/coordination/sequencer"
	"monsoonspar.example/state/cataloger"
)

// Close stops delivering the answer to the caller. A generation that is not complete keeps
// its permit for the grace time, so that the caller can resume the stream. A
// claimed generation is read to its end in the background.
func (g *generation) Close() {
	defer g.span.End()
	defer g.s.inFlight.endRequest()
	if g.claim != nil && !g.done {
		g.s.spawn(g.readToEnd)
		return
	}
	defer g.cancel()
	if g.done || g.stream == nil {
		g.abandonOpening()
		return
	}
	_ = g.stream.Close()
	grace := g.s.catalog.Load().manifest.Defaults.ResumeGrace
	p := g.permit
	g.s.spawn(func() {
		if g.s.clock.Sleep(g.s.ctx, grace) == nil {
			g.s.releaseAndCancel(p)
		}
	})
}

// abandonOpening cancels an openStream that is still in progress. A stream that it
// opens nevertheless is closed and its permit released.
func (g *generation) abandonOpening() {
	if g.done || g.stream != nil {
		return
	}
	g.cancel()
	g.s.spawn(func() {
		res := <-g.opened
		if res.err == nil {
			_ = res.stream.Close()
			g.s.releaseAndCancel(res.permit)
		}
	})
}

// releaseAndCancel releases the permit of an answer that is no longer being read,
// and cancels the generation unless another reader has taken it over.
func (s *Server) releaseAndCancel(p *permit) {
	ctx, cancel := context.WithTimeout(context.Background(), shortCallTimeout)
	defer cancel()
	if s.permits.release(ctx, p, admitter.Result{}) {
		s.cancelGeneration(ctx, p.endpoint, p.request.ID)
	}
}

// cancelGeneration cancels a generation at its engine.
func (s *Server) cancelGeneration(ctx context.Context, e cataloger.Endpoint, id admitter.PermitID) {
	if err := s.engines.Cancel(ctx, e.Addr, sequencer.AttemptID(id)); err != nil {
		s.log.Warn().Err(err).Str("endpoint", e.Name).Msg("generation: cancel failed")
	}
}
