package quarantiner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"monsoonspar.example/state/registrar"
)

// blame is the finding that a part crashes engines. It doesn't change once it is published.
type blame struct {
	subject   Subject
	depth     int
	crashes   []*crash             // With the part, sorted by time.
	founding  int                  // Number of crashes for which the part was blamed first.
	contested bool                 // A part that precedes it explains all founding crashes but one.
	context   []*crash             // Unexplained ones since the first, if the verdict depends on them; held as long as the blame.
	engines   []registrar.Identity // Of crashes.
	round     int                  // Trials since the part was blamed.
	until     time.Time            // End of the block, when a trial is due.
	expires   time.Time
	// effective is when the block begins.
	effective time.Time
}

// since returns the time of the first crash with the part.
func (b *blame) since() time.Time { return b.crashes[0].at }

// suspicion tells of the crashes that a part may have caused.
type suspicion struct {
	crashes int
	first   time.Time
}

// inference explains the crashes that a daemon knows. It goes through them in the order of
// their times, so that it doesn't matter in which order they became known.
type inference struct {
	cfg   Config
	sound func(p Subject, at time.Time) bool // Whether a part is proven sound for a crash at that time.
	// progressed reports whether a part has ever made progress, which is evidence only between parts that explain the same crashes.
	progressed func(p Subject) bool
	named      map[Subject]int // Number of crashes of which a part is a suspect.
	trial      func(p Subject) (Trial, bool)
	blamed     map[Subject]*blame
	open       []*crash              // Crashes without an explanation.
	occurs     map[Subject][]*crash  // Open crashes that a part may have caused.
	depth      map[Subject]int       // Greatest one seen.
	live       map[Subject]suspicion // Parts that may have caused several crashes.
	causes     map[*crash][]*blame   // Explanations of a crash.
	tied       map[Subject]bool      // Requests that explain the same crashes as another one, so that none was blamed.
}

// run explains crashes, which are sorted by time.
func (f *inference) run(crashes []*crash) {
	f.blamed, f.occurs, f.depth = map[Subject]*blame{}, map[Subject][]*crash{}, map[Subject]int{}
	f.live, f.causes, f.tied = map[Subject]suspicion{}, map[*crash][]*blame{}, map[Subject]bool{}
	for _, c := range crashes {
		for _, s := range c.suspects {
			if f.named[s.Subject] < 2 || f.sound(s.Subject, c.at) {
				continue
			}
			l := f.live[s.Subject]
			if l.crashes++; l.crashes == 1 {
				l.first = c.at
			}
			f.live[s.Subject] = l
		}
	}
	maps.DeleteFunc(f.live, func(_ Subject, l suspicion) bool { return l.crashes == 1 })
	for _, c := range crashes {
		if c.crashed() && !f.explain(c) {
			f.add(c)
		}
	}
	for _, b := range f.blamed {
		f.block(b)
	}
}

// mayCause reports whether a part may have caused the crash and others.
func (f *inference) mayCause(p Subject, c *crash) bool {
	_, ok := f.live[p]
	return ok && !f.sound(p, c.at)
}

// explain adds a crash to the blamed parts that explain it, and reports whether one does.
func (f *inference) explain(c *crash) bool {
	explained := false
	for _, s := range c.suspects {
		b := f.blamed[s.Subject]
		if b == nil || !f.mayCause(s.Subject, c) {
			continue
		}
		f.block(b)
		if c.at.After(b.expires) {
			delete(f.blamed, s.Subject)
			continue
		}
		f.assign(b, c)
		explained = true
	}
	return explained
}

// assign adds a crash to a blamed part.
func (f *inference) assign(b *blame, c *crash) {
	b.crashes = append(b.crashes, c)
	f.causes[c] = append(f.causes[c], b)
}

// add adds a crash without an explanation, and looks for one.
func (f *inference) add(c *crash) {
	f.open = append(f.open, c)
	var parts []Subject // Of all parts, only these can be blamed now that could not before.
	for _, s := range c.suspects {
		if f.mayCause(s.Subject, c) {
			f.occurs[s.Subject] = append(f.occurs[s.Subject], c)
			f.depth[s.Subject] = max(f.depth[s.Subject], s.Depth)
			parts = append(parts, s.Subject)
		}
	}
	for {
		p, ok := f.choose(parts, c.at)
		if !ok {
			return
		}
		f.blame(p)
		parts = slices.AppendSeq(parts[:0], maps.Keys(f.occurs))
	}
}

// blame blames a part for the open crashes that it may have caused.
func (f *inference) blame(p Subject) {
	b := &blame{subject: p, depth: f.depth[p]}
	if list := f.occurs[p]; len(list) < f.cfg.ManyCrashes {
		b.context = slices.DeleteFunc(slices.Clone(f.open), func(c *crash) bool { return c.at.Before(list[0].at) })
	}
	found := slices.Concat(f.supersede(p), f.occurs[p])
	slices.SortStableFunc(found, func(a, b *crash) int { return a.at.Compare(b.at) })
	for _, c := range slices.Compact(found) {
		f.assign(b, c)
	}
	b.founding = len(b.crashes)
	b.contested = f.contested(p)
	f.blamed[p] = b
	explained := func(c *crash) bool { return len(f.causes[c]) > 0 }
	f.open = slices.DeleteFunc(f.open, explained)
	for p, list := range f.occurs {
		if list = slices.DeleteFunc(list, explained); len(list) == 0 {
			delete(f.occurs, p)
			continue
		}
		f.occurs[p] = list
	}
}

// supersede withdraws the blame of parts that were blamed only for crashes that the given
// part may have caused as well, since they may have come with it by chance. It returns these
// crashes.
func (f *inference) supersede(p Subject) []*crash {
	var all []*crash
	for o, b := range f.blamed {
		if slices.ContainsFunc(b.crashes, func(c *crash) bool { return !c.names(p) || f.sound(p, c.at) }) {
			continue
		}
		delete(f.blamed, o)
		for _, c := range b.crashes {
			f.causes[c] = slices.DeleteFunc(f.causes[c], func(x *blame) bool { return x == b })
		}
		all = append(all, b.crashes...)
	}
	slices.SortFunc(all, func(a, b *crash) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.engine.Name, b.engine.Name), cmp.Compare(a.engine.Started, b.engine.Started))
	})
	return slices.Compact(all)
}

// choose returns the one of the parts that explains most of the open crashes, if one can be
// blamed.
func (f *inference) choose(parts []Subject, now time.Time) (Subject, bool) {
	var best Subject
	most, tied := 0, false
	for _, p := range parts {
		n, ok := f.coverage(p, now)
		if !ok {
			continue
		}
		order := cmp.Compare(n, most)
		if order == 0 {
			order = f.compareNovelty(p, best)
		}
		if p.IsRequest() && order >= 0 {
			tied = order == 0 && best.IsRequest()
		}
		if n > most || n == most && f.precedes(p, best) {
			best, most = p, n
		}
	}
	// While all endpoints of a service are down, a request that ran beside the bad one everywhere
	// can't prove itself. Another crash tells them apart.
	if tied && best.IsRequest() && most < f.cfg.ManyCrashes {
		f.markTied(parts, most, now)
		return 0, false
	}
	return best, most > 0
}

// markTied marks the requests among the parts that explain a number of crashes.
func (f *inference) markTied(parts []Subject, crashes int, now time.Time) {
	for _, p := range parts {
		if n, ok := f.coverage(p, now); ok && n == crashes && p.IsRequest() {
			f.tied[p] = true
		}
	}
}

// compareNovelty compares two parts that explain the same crashes. One that never made progress is the more likely cause: what
// worked before seldom begins to crash engines together with something new.
func (f *inference) compareNovelty(p, o Subject) int {
	switch a, b := f.progressed(p), f.progressed(o); {
	case a == b:
		return 0
	case b:
		return 1
	default:
		return -1
	}
}

// precedes reports whether a part would be blamed rather than another one that explains the same crashes.
func (f *inference) precedes(p, o Subject) bool {
	return cmp.Or(f.compareNovelty(p, o), cmp.Compare(f.depth[p], f.depth[o]), cmp.Compare(p, o)) > 0
}

// coverage returns the number of open crashes that a part may have caused, and whether it
// can be blamed.
func (f *inference) coverage(p Subject, now time.Time) (int, bool) {
	oldest := now.Add(-f.cfg.Window)
	n, incidents := 0, 0
	var first, last time.Time
	spacing := f.cfg.Spacing
	if p.IsRequest() {
		spacing = f.cfg.RequestSpacing
	}
	for _, c := range f.occurs[p] {
		if c.at.Before(oldest) {
			continue
		}
		if n == 0 {
			first = c.at
		}
		n++
		if incidents == 0 || c.at.Sub(last) >= spacing {
			incidents++
			last = c.at
		}
	}
	if incidents < burstIncidents {
		return n, false
	}
	since, _ := slices.BinarySearchFunc(f.open, first, func(c *crash, t time.Time) int { return c.at.Compare(t) })
	share := float64(n) / float64(len(f.open)-since)
	if p.IsRequest() {
		return n, n >= f.cfg.MinIncidents && share >= f.cfg.ManyShare
	}
	return n, f.suffices(n, incidents, share) && (n >= f.cfg.ManyCrashes || !f.unrelated(p, f.open[since:]))
}

// contested reports whether a part that precedes p explains all open crashes that p may have caused, but one. The daemon
// whose run had the former may not have reported that one yet.
func (f *inference) contested(p Subject) bool {
	list := f.occurs[p]
	if len(list) < f.cfg.ManyCrashes { // The block begins later anyway.
		return false
	}
	return slices.ContainsFunc(slices.Concat(list[0].suspects, list[1].suspects), func(s Suspect) bool {
		o := s.Subject
		return !o.IsRequest() && f.precedes(o, p) && len(f.occurs[o]) == len(list)-1 &&
			!slices.ContainsFunc(f.occurs[o], func(c *crash) bool { return !c.names(p) })
	})
}

// unrelated reports whether one of the crashes can't be due to a part and has no unproven part in
// common with another such crash. Engines then end for other causes as well, and a part of which
// the first few runs were all on such engines looks like a bad one.
func (f *inference) unrelated(p Subject, crashes []*crash) bool {
	return slices.ContainsFunc(crashes, func(c *crash) bool {
		return !c.names(p) && !slices.ContainsFunc(c.suspects, func(s Suspect) bool {
			return f.mayCause(s.Subject, c) && slices.ContainsFunc(f.occurs[s.Subject], func(o *crash) bool {
				return o != c && !o.names(p) && !o.at.Before(crashes[0].at)
			})
		})
	})
}

// suffices reports whether a part of prompts can be blamed for a number of crashes, which make up a
// share of all since the first of them.
func (f *inference) suffices(crashes, incidents int, share float64) bool {
	many := crashes >= f.cfg.ManyCrashes
	if incidents < f.cfg.MinIncidents {
		return many && share >= f.cfg.BurstShare
	}
	return share >= f.cfg.MinShare || many && share >= f.cfg.ManyShare
}

// block sets until when a blamed part is blocked.
func (f *inference) block(b *blame) {
	sign := b.crashes[len(b.crashes)-1].at
	b.effective = b.crashes[b.founding-1].at.Add(f.cfg.Settle)
	if b.subject.IsRequest() { // Daemons could answer since the second crash, which made it a suspect.
		b.effective = later(b.crashes[b.founding-1].at, b.crashes[1].at.Add(f.cfg.RequestSettle))
	}
	if n := max(f.cfg.ManyCrashes, b.founding); n <= len(b.crashes) && !b.contested && b.crashes[n-1].at.Before(b.effective) {
		b.effective = b.crashes[n-1].at
	}
	b.round = 0
	if t, ok := f.trial(b.subject); ok && !t.At.Before(b.since()) {
		b.round = t.Round
		if t.At.After(sign) {
			sign = t.At
		}
	}
	d := f.cfg.Block
	for range b.round {
		if d = 2 * d; d >= f.cfg.MaxBlock {
			d = f.cfg.MaxBlock
			break
		}
	}
	b.until = sign.Add(d)
	b.expires = b.until.Add(f.cfg.BlameRetention)
}

// later returns the later one of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// thin removes the crashes from the blamed part without which it would be blamed and blocked
// in the same way, and returns them.
func (f *inference) thin(b *blame) []*crash {
	var kept, dropped []*crash
	for i, c := range b.crashes {
		if i < b.founding || i >= len(b.crashes)-keptNewest || len(f.causes[c]) > 1 {
			kept = append(kept, c)
		} else {
			dropped = append(dropped, c)
		}
	}
	b.crashes = kept
	b.engines = make([]registrar.Identity, len(kept))
	for i, c := range kept {
		b.engines[i] = c.engine
	}
	return dropped
}

// needed returns 1 for each crash on which a verdict depends.
func (f *inference) needed() map[*crash]int {
	needed := map[*crash]int{}
	for c, list := range f.causes {
		if len(list) > 0 {
			needed[c] = 1
		}
	}
	for _, b := range f.blamed {
		for _, c := range b.context {
			needed[c] = 1
		}
	}
	return needed
}

// names reports whether a part is a suspect of the crash.
func (c *crash) names(p Subject) bool {
	_, ok := slices.BinarySearchFunc(c.suspects, p, func(s Suspect, p Subject) int { return cmp.Compare(s.Subject, p) })
	return ok
}
