package configurer

import (
	"slices"
	"time"

	"monsoonspar.example/state/partitioner"
)

const (
	// maxSources is the number of peers remembered as sources of a fetch.
	maxSources = 8
	// maxReadParts is the number of parts in one ReadParts.
	maxReadParts = 16
	// maxStagedBytes bounds the total size of the parts of an incomplete fetch.
	maxStagedBytes = 16 << 20
)

// fetch is the state of fetching a manifest newer than the one in force.
type fetch struct {
	target       version
	digests      []partitioner.Digest // Parts of the target; nil until known.
	sources      []string             // Peers that have announced the target and were not asked yet.
	tryPlatform  bool                 // Whether to read parts from the platform next.
	changeFailed bool                 // Whether a delivered change could not be applied, so that the list of parts is needed.
	waiting      bool                 // Whether the answer to a request or read is outstanding.
	deadline     time.Time            // When to stop waiting for that answer.
}

// fetchHead fetches the manifest of head h from the platform, unless it is
// ignored.
func (c *Core) fetchHead(now time.Time, h Head) []Action {
	if len(h.Parts) == 0 || len(h.Parts) > partitioner.MaxParts {
		return nil
	}
	v := version{Generation: h.Generation, Root: partitioner.Root(h.Parts)}
	if diverged := c.rejectDiverged(v); diverged != nil {
		return diverged
	}
	f := c.fetchOf(v)
	if f == nil {
		return nil
	}
	f.digests = h.Parts
	f.tryPlatform = true
	return c.continueFetch(now)
}

// rejectDiverged rejects v if it has the generation in force but other content.
// It returns nil if it does not, or if v was rejected before.
func (c *Core) rejectDiverged(v version) []Action {
	if c.manifest == nil || v.Generation != c.inForce.Generation || v.Root == c.inForce.Root || c.rejected[v] {
		return nil
	}
	return c.reject(v, ErrDiverged)
}

// fetchOf returns the fetch of v, which replaces a fetch of an older generation.
// It returns nil if v is ignored, or if a complete manifest or a fetch of the
// same or a newer generation exists.
func (c *Core) fetchOf(v version) *fetch {
	if c.ignored(v) || (c.candidate != nil && v.Generation <= c.candidate.version.Generation) {
		return nil
	}
	if c.fetch != nil && c.fetch.target == v {
		return c.fetch
	}
	if c.fetch != nil && c.fetch.target.Generation >= v.Generation {
		return nil
	}
	c.fetch = &fetch{target: v}
	return c.fetch
}

// continueFetch accepts the target if it is complete, or else asks the next
// source, unless an answer is outstanding. The platform is asked before peers: a
// daemon that has seen its head is among the first to know the generation, so
// few peers have it. With no source left the fetch ends, and starts again when
// the target is next announced or read.
func (c *Core) continueFetch(now time.Time) []Action {
	f := c.fetch
	if f == nil || f.waiting {
		return nil
	}
	if f.digests != nil {
		if s, ok := c.assemble(f); ok {
			c.fetch = nil
			return c.accept(now, f.target, s)
		}
	}
	switch {
	case f.tryPlatform:
		f.tryPlatform = false
		f.startWait(now, c.cfg.ReadTimeout)
		missing := c.missingParts(f)
		return []Action{ReadParts{Digests: missing[:min(len(missing), maxReadParts)]}}
	case len(f.sources) > 0:
		peer := f.sources[0]
		f.sources = f.sources[1:]
		return c.sendRequest(now, peer)
	}
	c.fetch = nil
	return nil
}

// startWait records that an answer is outstanding and sets its deadline.
func (f *fetch) startWait(now time.Time, timeout time.Duration) {
	f.waiting = true
	f.deadline = now.Add(timeout)
}

// sendRequest asks a peer for the missing parts or, while the list of parts is
// unknown, for a change or that list.
func (c *Core) sendRequest(now time.Time, peer string) []Action {
	f := c.fetch
	f.startWait(now, c.cfg.FetchTimeout)
	r := Request{Generation: c.inForce.Generation, Root: c.inForce.Root, Target: f.target.Root, ListParts: f.changeFailed}
	if f.digests != nil {
		r.Want = c.missingParts(f)
	}
	return []Action{SendRequest{To: peer, Request: r}}
}

// retryFetch asks the next source when the deadline of an answer has passed.
func (c *Core) retryFetch(now time.Time) []Action {
	if c.fetch == nil || (c.fetch.waiting && now.Before(c.fetch.deadline)) {
		return nil
	}
	c.fetch.waiting = false
	return c.continueFetch(now)
}

// missingParts returns the digests of the parts that are neither in force nor
// staged.
func (c *Core) missingParts(f *fetch) []partitioner.Digest {
	have := c.partTexts()
	var missing []partitioner.Digest
	for _, d := range f.digests {
		if _, ok := have[d]; ok {
			continue
		}
		if _, ok := c.staged[d]; ok || slices.Contains(missing, d) {
			continue
		}
		missing = append(missing, d)
	}
	return missing
}

// partTexts returns the texts of the parts in force by their digests.
func (c *Core) partTexts() map[partitioner.Digest]string {
	texts := make(map[partitioner.Digest]string, len(c.snapshot.Parts))
	for _, p := range c.snapshot.Parts {
		texts[p.Digest] = p.Text
	}
	return texts
}

// assemble returns the target if all of its parts are in force or staged.
func (c *Core) assemble(f *fetch) (partitioner.Snapshot, bool) {
	have := c.partTexts()
	parts := make([]partitioner.Part, len(f.digests))
	for i, d := range f.digests {
		text, ok := have[d]
		if !ok {
			text, ok = c.staged[d]
		}
		if !ok {
			return partitioner.Snapshot{}, false
		}
		parts[i] = partitioner.Part{Digest: d, Text: text}
	}
	s, err := partitioner.Assemble(parts)
	return s, err == nil && s.Root == f.target.Root
}

// stage keeps the valid parts that the fetch is missing and reports whether
// there were any.
func (c *Core) stage(parts []partitioner.Part) bool {
	if c.fetch == nil {
		return false
	}
	total := 0
	for _, text := range c.staged {
		total += len(text)
	}
	wanted := c.missingParts(c.fetch)
	progress := false
	for _, p := range parts {
		total += len(p.Text)
		fits := len(p.Text) <= partitioner.MaxPartBytes && total <= maxStagedBytes
		if fits && slices.Contains(wanted, p.Digest) && partitioner.Sum(p.Text) == p.Digest {
			c.staged[p.Digest] = p.Text
			progress = true
		}
	}
	return progress
}

// handleParts stages parts read from the platform, which is asked again as long
// as its answers contain missing parts.
func (c *Core) handleParts(now time.Time, parts []partitioner.Part) []Action {
	if c.fetch == nil {
		return nil
	}
	c.fetch.tryPlatform = c.stage(parts)
	c.fetch.waiting = false
	return c.continueFetch(now)
}

// handlePartsFailed asks the next source.
func (c *Core) handlePartsFailed(now time.Time) []Action {
	if c.fetch == nil {
		return nil
	}
	c.fetch.waiting = false
	return c.continueFetch(now)
}

// handleDelivery processes a delivery. A peer that has sent missing parts is
// asked for the rest.
func (c *Core) handleDelivery(now time.Time, from string, d Delivery) []Action {
	v := version{Generation: d.Generation, Root: d.Root}
	if c.ignored(v) {
		return nil
	}
	if d.Change != nil {
		return c.handleChange(now, from, v, d)
	}
	if d.Digests != nil {
		return c.handleDigests(now, from, v, d.Digests)
	}
	if c.fetch == nil || c.fetch.target != v {
		return nil
	}
	progress := c.stage(d.Parts)
	c.fetch.waiting = false
	if progress && len(c.missingParts(c.fetch)) > 0 {
		return c.sendRequest(now, from)
	}
	return c.continueFetch(now)
}

// handleChange applies a change to the manifest in force. If it does not apply
// or does not result in v, the peer is asked for the list of parts.
func (c *Core) handleChange(now time.Time, from string, v version, d Delivery) []Action {
	if d.Base == c.inForce.Root && c.manifest != nil {
		s, err := c.snapshot.Apply(*d.Change)
		if err == nil && s.Root == v.Root {
			return c.accept(now, v, s)
		}
	}
	f := c.fetchOf(v)
	if f == nil {
		return nil
	}
	f.changeFailed = true
	return c.sendRequest(now, from)
}

// handleDigests records the list of the parts of v and asks for those missing.
func (c *Core) handleDigests(now time.Time, from string, v version, digests []partitioner.Digest) []Action {
	if len(digests) > partitioner.MaxParts || partitioner.Root(digests) != v.Root {
		return nil
	}
	f := c.fetchOf(v)
	if f == nil {
		return nil
	}
	f.digests = digests
	f.waiting = false
	if len(c.missingParts(f)) > 0 {
		return c.sendRequest(now, from)
	}
	return c.continueFetch(now)
}
