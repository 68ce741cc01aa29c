package quarantiner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// crash is the end of one backend server, with the traits of the requests that may have caused it.
type crash struct {
	at       time.Time
	suspects map[model.TraitID]int
}

// proof holds when an answer last proved a trait to be harmless: one at any entry, and one at this entry.
type proof struct{ any, own time.Time }

// evidence holds the crashes that any entry saw, and the traits that answers proved to be harmless.
type evidence struct {
	crashes map[model.ServerLifetime]*crash
	proven  map[model.TraitID]proof
	// accused counts the crashes that have a trait among their suspects, accusations the suspects of all crashes.
	accused     map[model.TraitID]int
	accusations int
	// requests holds when the whole requests that nobody suspects were last answered, requestOrder the oldest first.
	requests     map[model.TraitID]proof
	requestOrder []model.TraitID
	// sweptAt is when old proofs were last deleted, acquittedAt when cleared suspects were.
	sweptAt, acquittedAt time.Time
}

func newEvidence() evidence {
	return evidence{crashes: map[model.ServerLifetime]*crash{}, proven: map[model.TraitID]proof{}, accused: map[model.TraitID]int{}, requests: map[model.TraitID]proof{}}
}

// addCrash adds suspects of a crash and returns the new ones, the likeliest first. Of several, those that were sent last
// come first. If there are more than maxSuspects, the least likely are left out.
func (e *evidence) addCrash(s model.ServerLifetime, suspects []model.Trait, at time.Time) []model.Trait {
	c := e.crashes[s]
	if c != nil {
		at = c.at
	}
	var added []model.Trait
	seen := make(map[model.TraitID]bool, len(suspects))
	for _, t := range suspects {
		if seen[t.ID] || c != nil && hasSuspect(c, t.ID) {
			continue
		}
		seen[t.ID] = true
		if t.Depth == model.WholeRequest {
			e.recallRequest(t.ID)
		}
		if !e.isCleared(t.ID, at) {
			added = append(added, t)
		}
	}
	if len(added) == 0 {
		return nil
	}
	if c == nil {
		c = &crash{at: at, suspects: map[model.TraitID]int{}}
		e.crashes[s] = c
	}
	slices.SortStableFunc(added, e.compareLikelihood)
	added = added[:min(len(added), max(maxSuspects-len(c.suspects), 0))]
	for i, t := range added {
		c.suspects[t.ID] = t.Depth
		e.accused[t.ID]++
		if t.Answered && !e.isProven(t.ID) {
			e.proven[t.ID] = proof{}
		}
		added[i].Answered = e.isProven(t.ID)
	}
	e.accusations += len(added)
	e.forgetUnlikely()
	return added
}

func hasSuspect(c *crash, t model.TraitID) bool {
	_, ok := c.suspects[t]
	return ok
}

// compareLikelihood orders suspects by how likely they are, as far as other crashes and answers tell: those of more
// crashes, those that never got an answer, and whole requests, which nobody else can clear, come first.
func (e *evidence) compareLikelihood(a, b model.Trait) int {
	return cmp.Or(
		cmp.Compare(e.accused[b.ID], e.accused[a.ID]),
		cmp.Compare(btoi(e.isProven(a.ID)), btoi(e.isProven(b.ID))),
		cmp.Compare(btoi(b.Depth == model.WholeRequest), btoi(a.Depth == model.WholeRequest)),
	)
}

// likeliest returns the traits that are still suspects of a crash, the likeliest first, at most maxPublishedTraits.
func (e *evidence) likeliest(c *crash, traits []model.Trait) []model.Trait {
	out := slices.DeleteFunc(slices.Clone(traits), func(t model.Trait) bool { return !hasSuspect(c, t.ID) })
	slices.SortStableFunc(out, e.compareLikelihood)
	return out[:min(len(out), maxPublishedTraits)]
}

// isProven reports whether a request with a trait ever got an answer.
func (e *evidence) isProven(t model.TraitID) bool {
	_, ok := e.proven[t]
	return ok
}

// forgetUnlikely removes suspects if more than maxAccusations are kept in all: first those that only one crash has,
// from the oldest crashes on, then the oldest crashes.
func (e *evidence) forgetUnlikely() {
	if e.accusations <= maxAccusations {
		return
	}
	byAge := slices.SortedFunc(maps.Keys(e.crashes), func(a, b model.ServerLifetime) int {
		return e.crashes[a].at.Compare(e.crashes[b].at)
	})
	const left = maxAccusations * 3 / 4
	for _, s := range byAge {
		for t := range e.crashes[s].suspects {
			if e.accusations > left && e.accused[t] == 1 {
				e.acquit(s, t)
			}
		}
	}
	for _, s := range byAge {
		if e.accusations > left {
			e.remove(s)
		}
	}
}

// acquit removes a suspect of a crash.
func (e *evidence) acquit(s model.ServerLifetime, t model.TraitID) {
	delete(e.crashes[s].suspects, t)
	e.accusations--
	if e.accused[t]--; e.accused[t] == 0 {
		delete(e.accused, t)
	}
}

// acquitCleared removes the suspects that answers have cleared since the crashes, once in sweepInterval: they do not
// count any more, and only take up room.
func (e *evidence) acquitCleared(now time.Time) {
	if now.Sub(e.acquittedAt) < sweepInterval {
		return
	}
	e.acquittedAt = now
	for s, c := range e.crashes {
		for t := range c.suspects {
			if e.isCleared(t, c.at) {
				e.acquit(s, t)
			}
		}
	}
}

// isCleared reports whether an answer shows that a trait did not cause a crash.
func (e *evidence) isCleared(t model.TraitID, crashedAt time.Time) bool {
	return e.proven[t].any.After(crashedAt.Add(-provenGrace))
}

// prove records an answer to a request with a trait, at this entry if own is set. Of whole requests that nobody
// suspects, the last maxRequests are kept, since they hardly ever return.
func (e *evidence) prove(t model.TraitID, depth int, at time.Time, own bool) {
	if depth == model.WholeRequest && e.accused[t] == 0 && !e.isProven(t) {
		e.noteRequest(t, at, own)
		return
	}
	last, known := e.proven[t]
	if !known && len(e.proven) >= maxProven {
		if at.Sub(e.sweptAt) >= sweepInterval {
			e.sweptAt = at
			maps.DeleteFunc(e.proven, func(_ model.TraitID, p proof) bool { return at.Sub(p.any) > banDuration })
		}
		if len(e.proven) >= maxProven && e.accused[t] == 0 {
			return
		}
	}
	last.any = later(last.any, at)
	if own {
		last.own = later(last.own, at)
	}
	e.proven[t] = last
}

// noteRequest records an answer to a request that nobody suspects.
func (e *evidence) noteRequest(t model.TraitID, at time.Time, own bool) {
	last, known := e.requests[t]
	if !known {
		if len(e.requestOrder) >= maxRequests {
			delete(e.requests, e.requestOrder[0])
			e.requestOrder = e.requestOrder[1:]
		}
		e.requestOrder = append(e.requestOrder, t)
	}
	last.any = later(last.any, at)
	if own {
		last.own = later(last.own, at)
	}
	e.requests[t] = last
}

// recallRequest makes the answers to a request count once it is suspected.
func (e *evidence) recallRequest(t model.TraitID) {
	if p, ok := e.requests[t]; ok && !e.isProven(t) {
		e.proven[t] = p
	}
}

// crashCount returns the number of crashes that a trait may have caused.
func (e *evidence) crashCount(t model.TraitID) int {
	if e.accused[t] == 0 {
		return 0
	}
	n := 0
	for _, c := range e.crashes {
		if _, ok := c.suspects[t]; ok && !e.isCleared(t, c.at) {
			n++
		}
	}
	return n
}

// expire removes crashes that no longer count, and the oldest ones beyond maxCrashes.
func (e *evidence) expire(now time.Time) {
	for s, c := range e.crashes {
		if now.Sub(c.at) > banDuration {
			e.remove(s)
		}
	}
	for len(e.crashes) > maxCrashes {
		var oldest model.ServerLifetime
		for s, c := range e.crashes {
			if o := e.crashes[oldest]; o == nil || c.at.Before(o.at) {
				oldest = s
			}
		}
		e.remove(oldest)
	}
}

func (e *evidence) remove(s model.ServerLifetime) {
	for t := range e.crashes[s].suspects {
		e.acquit(s, t)
	}
	delete(e.crashes, s)
}

// candidate is a trait with the number and the latest of the crashes that only it explains so far.
type candidate struct {
	trait   model.TraitID
	depth   int
	crashes int
	last    time.Time
	proven  bool
}

// bans returns the traits that must have caused crashes, with the end of their bans. It attributes each crash to
// one trait only: the other requests that a crash breaks off share parts of their prompts too. Traits that never
// got an answer are the first to explain crashes, then those with the most crashes, then the deeper ones. Of several that
// explain the same crashes equally well none is banned before more crashes, or an answer, tell them apart. Settled is
// false if there are crashes of which the other entries may not have told yet.
func (e *evidence) bans(now time.Time) (bans map[model.TraitID]time.Time, settled bool) {
	out := map[model.TraitID]time.Time{}
	open := e.attributableCrashes()
	known := len(open)
	maps.DeleteFunc(open, func(_ model.ServerLifetime, cr *crash) bool { return now.Sub(cr.at) < settleTime })
	settled = len(open) == known
	for {
		likely := e.candidates(open)
		if len(likely) == 0 {
			return out, settled
		}
		c := likely[0]
		rivals := c.rivals(likely[1:], open)
		if len(rivals) == 0 || c.crashes >= certainCrashes {
			out[c.trait] = c.last.Add(banDuration)
			rivals = nil
		}
		maps.DeleteFunc(open, func(_ model.ServerLifetime, cr *crash) bool {
			return hasSuspect(cr, c.trait) || slices.ContainsFunc(rivals, func(t model.TraitID) bool { return hasSuspect(cr, t) })
		})
	}
}

// rivals returns the candidates that are as likely as c and would not be banned beside it, since both explain the same
// crashes.
func (c candidate) rivals(others []candidate, crashes map[model.ServerLifetime]*crash) []model.TraitID {
	var out []model.TraitID
	for _, o := range others {
		if c.compare(o) != 0 {
			break
		}
		own := 0
		for _, cr := range crashes {
			if hasSuspect(cr, o.trait) && !hasSuspect(cr, c.trait) {
				own++
			}
		}
		if own < banThreshold {
			out = append(out, o.trait)
		}
	}
	return out
}

// compare orders candidates by how likely they caused the crashes.
func (c candidate) compare(o candidate) int {
	return cmp.Or(cmp.Compare(btoi(c.proven), btoi(o.proven)), cmp.Compare(o.crashes, c.crashes), cmp.Compare(o.depth, c.depth))
}

// attributableCrashes returns the crashes with the suspects that may have caused enough of them. Backend servers that end
// together have a cause in common: a trait that most of them share, or one that is a suspect of crashes at other times too.
func (e *evidence) attributableCrashes() map[model.ServerLifetime]*crash {
	ends := make([]end, 0, len(e.crashes))
	span := map[model.TraitID]period{}
	for s, c := range e.crashes {
		likely := &crash{at: c.at, suspects: map[model.TraitID]int{}}
		for t, depth := range c.suspects {
			if e.accused[t] >= banThreshold && !e.isCleared(t, c.at) {
				likely.suspects[t] = depth
				span[t] = span[t].extend(c.at)
			}
		}
		ends = append(ends, end{s, likely})
	}
	slices.SortFunc(ends, func(a, b end) int { return a.at.Compare(b.at) })
	out := make(map[model.ServerLifetime]*crash, len(ends))
	first, last := 0, 0
	for _, c := range ends {
		for c.at.Sub(ends[first].at) > togetherWindow {
			first++
		}
		for last < len(ends) && ends[last].at.Sub(c.at) <= togetherWindow {
			last++
		}
		together := ends[first:last]
		if len(together) < minTogether {
			out[c.server] = c.crash
			continue
		}
		common := &crash{at: c.at, suspects: map[model.TraitID]int{}}
		for t, depth := range c.suspects {
			if span[t].reachesBeyond(c.at, togetherWindow) || isShared(t, together) {
				common.suspects[t] = depth
			}
		}
		out[c.server] = common
	}
	return out
}

// end is the crash of one backend server.
type end struct {
	server model.ServerLifetime
	*crash
}

// isShared reports whether most of the backend servers that end together have a trait as a suspect.
func isShared(t model.TraitID, together []end) bool {
	n := 0
	for _, c := range together {
		if hasSuspect(c.crash, t) {
			n++
		}
	}
	return float64(n) >= togetherShare*float64(len(together))
}

// period is the time from the first to the last of some crashes.
type period struct{ from, to time.Time }

func (p period) extend(at time.Time) period {
	if p.from.IsZero() {
		return period{at, at}
	}
	if at.Before(p.from) {
		p.from = at
	}
	p.to = later(p.to, at)
	return p
}

// reachesBeyond reports whether the period begins or ends further from a time than a distance.
func (p period) reachesBeyond(at time.Time, distance time.Duration) bool {
	return at.Sub(p.from) > distance || p.to.Sub(at) > distance
}

// candidates returns the traits that may have caused at least banThreshold of the crashes, the likeliest first.
func (e *evidence) candidates(crashes map[model.ServerLifetime]*crash) []candidate {
	byTrait := map[model.TraitID]*candidate{}
	for _, cr := range crashes {
		for t, depth := range cr.suspects {
			c := byTrait[t]
			if c == nil {
				c = &candidate{trait: t, depth: depth, proven: e.isProven(t)}
				byTrait[t] = c
			}
			c.crashes++
			c.last = later(c.last, cr.at)
		}
	}
	var likely []candidate
	for _, c := range byTrait {
		if c.crashes >= banThreshold {
			likely = append(likely, *c)
		}
	}
	slices.SortFunc(likely, func(a, b candidate) int { return cmp.Or(a.compare(b), cmp.Compare(a.trait, b.trait)) })
	return likely
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
