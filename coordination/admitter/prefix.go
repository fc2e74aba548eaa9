package admitter

// prefix is a part of prompts that several sequences share.
type prefix struct {
	tokens int
	users  int
}

// prefixCost returns the tokens of the shared prefix that p would add.
func (o *Owner) prefixCost(p *permit) int {
	if p.req.Prefix == 0 {
		return 0
	}
	return max(p.req.CachedTokens-o.prefixes[p.req.Prefix].tokens, 0)
}

// holdPrefix counts p as a user of its prefix.
func (o *Owner) holdPrefix(p *permit) {
	if p.req.Prefix == 0 {
		return
	}
	cost := o.prefixCost(p)
	x := o.prefixes[p.req.Prefix]
	x.tokens += cost
	x.users++
	o.shared += cost
	o.prefixes[p.req.Prefix] = x
}

// dropPrefix takes back holdPrefix.
func (o *Owner) dropPrefix(p *permit) {
	if p.req.Prefix == 0 {
		return
	}
	x := o.prefixes[p.req.Prefix]
	x.users--
	if x.users > 0 {
		o.prefixes[p.req.Prefix] = x
		return
	}
	o.shared -= x.tokens
	delete(o.prefixes, p.req.Prefix)
}
