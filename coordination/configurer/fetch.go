package configurer

import (
	"slices"
	"time"

	"monsoonspar.example/state/partitioner"
)

const (
	// maxSources is the number of peers that are kept to fetch from.
	maxSources = 8
	// maxReadParts is the number of parts that are read at once.
	maxReadParts = 16
	// maxStagedBytes bounds the parts that are kept until all are there.
	maxStagedBytes = 16 << 20
)

// fetch is the way to a manifest that is newer than that in force.
type fetch struct {
	target   version
	digests  []partitioner.Digest // Nil until they are known.
	sources  []string             // Peers not asked yet.
	platform bool                 // Whether the platform is to be asked.
	whole    bool                 // Whether a change is of no use.
	waiting  bool
	deadline time.Time
}

// learnHead takes the head of the platform as a source of its manifest.
func (c *Core) learnHead(now time.Time, h Head) []Action {
	if len(h.Parts) == 0 || len(h.Parts) > partitioner.MaxParts {
		return nil
	}
	v := version{Generation: h.Generation, Root: partitioner.Root(h.Parts)}
	if diverged := c.diverges(v); diverged != nil {
		return diverged
	}
	f := c.pursue(v)
	if f == nil {
		return nil
	}
	f.digests = h.Parts
	f.platform = true
	return c.ask(now)
}

// diverges reports a manifest of the generation in force with other content.
func (c *Core) diverges(v version) []Action {
	if c.manifest == nil || v.Generation != c.inForce.Generation || v.Root == c.inForce.Root || c.rejected[v] {
		return nil
	}
	return c.reject(v, ErrDiverged)
}

// pursue returns the fetch of v, or nil if v is of no use.
func (c *Core) pursue(v version) *fetch {
	if c.isOld(v) || (c.candidate != nil && v.Generation <= c.candidate.version.Generation) {
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

// ask asks the next source, unless an answer is awaited. The platform goes
// first: a daemon that has heard from it is among the first that know. Without
// a source the fetch ends until the target is heard of again.
func (c *Core) ask(now time.Time) []Action {
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
	case f.platform:
		f.platform = false
		f.await(now, c.cfg.ReadTimeout)
		missing := c.missing(f)
		return []Action{ReadParts{Digests: missing[:min(len(missing), maxReadParts)]}}
	case len(f.sources) > 0:
		peer := f.sources[0]
		f.sources = f.sources[1:]
		return c.request(now, peer)
	}
	c.fetch = nil
	return nil
}

// await sets the time until which an answer may come.
func (f *fetch) await(now time.Time, timeout time.Duration) {
	f.waiting = true
	f.deadline = now.Add(timeout)
}

// request asks one peer for what is missing.
func (c *Core) request(now time.Time, peer string) []Action {
	f := c.fetch
	f.await(now, c.cfg.FetchTimeout)
	r := Request{Generation: c.inForce.Generation, Root: c.inForce.Root, Target: f.target.Root, Whole: f.whole}
	if f.digests != nil {
		r.Want = c.missing(f)
	}
	return []Action{SendRequest{To: peer, Request: r}}
}

// tendFetch goes on to the next source when an answer has not come.
func (c *Core) tendFetch(now time.Time) []Action {
	if c.fetch == nil || (c.fetch.waiting && now.Before(c.fetch.deadline)) {
		return nil
	}
	c.fetch.waiting = false
	return c.ask(now)
}

// missing returns the digests of the parts that are neither in force nor
// staged.
func (c *Core) missing(f *fetch) []partitioner.Digest {
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

// assemble returns the target once all of its parts are there.
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

// stage keeps the parts that the fetch needs and reports whether there was any.
func (c *Core) stage(parts []partitioner.Part) bool {
	if c.fetch == nil {
		return false
	}
	total := 0
	for _, text := range c.staged {
		total += len(text)
	}
	wanted := c.missing(c.fetch)
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

// takeParts takes parts of the platform, which is asked again as long as it
// brings parts that are missing.
func (c *Core) takeParts(now time.Time, parts []partitioner.Part) []Action {
	if c.fetch == nil {
		return nil
	}
	c.fetch.platform = c.stage(parts)
	c.fetch.waiting = false
	return c.ask(now)
}

// failParts goes on to the next source.
func (c *Core) failParts(now time.Time) []Action {
	if c.fetch == nil {
		return nil
	}
	c.fetch.waiting = false
	return c.ask(now)
}

// takeDelivery takes what a peer has sent.
func (c *Core) takeDelivery(now time.Time, from string, d Delivery) []Action {
	v := version{Generation: d.Generation, Root: d.Root}
	if c.isOld(v) {
		return nil
	}
	if d.Change != nil {
		return c.takeChange(now, from, v, d)
	}
	if d.Digests != nil {
		return c.takeDigests(now, from, v, d.Digests)
	}
	if c.fetch == nil || c.fetch.target != v {
		return nil
	}
	progress := c.stage(d.Parts)
	c.fetch.waiting = false
	if progress && len(c.missing(c.fetch)) > 0 {
		return c.request(now, from)
	}
	return c.ask(now)
}

// takeChange makes a change of the manifest in force. Where it does not lead to
// the announced content, the list of parts is asked for.
func (c *Core) takeChange(now time.Time, from string, v version, d Delivery) []Action {
	if d.Base == c.inForce.Root && c.manifest != nil {
		s, err := c.snapshot.Apply(*d.Change)
		if err == nil && s.Root == v.Root {
			return c.accept(now, v, s)
		}
	}
	f := c.pursue(v)
	if f == nil {
		return nil
	}
	f.whole = true
	return c.request(now, from)
}

// takeDigests takes the list of the parts of v and asks for those missing.
func (c *Core) takeDigests(now time.Time, from string, v version, digests []partitioner.Digest) []Action {
	if len(digests) > partitioner.MaxParts || partitioner.Root(digests) != v.Root {
		return nil
	}
	f := c.pursue(v)
	if f == nil {
		return nil
	}
	f.digests = digests
	f.waiting = false
	if len(c.missing(f)) > 0 {
		return c.request(now, from)
	}
	return c.ask(now)
}
