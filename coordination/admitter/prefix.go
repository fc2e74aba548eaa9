package admitter

// sharedPrefix is a prompt prefix that granted sequences share in the KV cache.
type sharedPrefix struct {
	tokens    int
	sequences int
}

// addedPrefixTokens returns the number of prefix tokens that p would add to those
// already held.
func (o *Owner) addedPrefixTokens(p *permit) int {
	if p.req.Prefix == 0 {
		return 0
	}
	return max(p.req.CachedTokens-o.prefixes[p.req.Prefix].tokens, 0)
}

// acquirePrefix adds p to the sequences that share its prefix.
func (o *Owner) acquirePrefix(p *permit) {
	if p.req.Prefix == 0 {
		return
	}
	added := o.addedPrefixTokens(p)
	shared := o.prefixes[p.req.Prefix]
	shared.tokens += added
	shared.sequences++
	o.sharedTokens += added
	o.prefixes[p.req.Prefix] = shared
}

// releasePrefix reverses acquirePrefix. The last sequence frees the prefix.
func (o *Owner) releasePrefix(p *permit) {
	if p.req.Prefix == 0 {
		return
	}
	shared := o.prefixes[p.req.Prefix]
	shared.sequences--
	if shared.sequences > 0 {
		o.prefixes[p.req.Prefix] = shared
		return
	}
	o.sharedTokens -= shared.tokens
	delete(o.prefixes, p.req.Prefix)
}
