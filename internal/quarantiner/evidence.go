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
	// accused counts the crashes that have a trait among their suspects.
	accused map[model.TraitID]int
	// sweptAt is when old proofs were last deleted.
	sweptAt time.Time
}

func newEvidence() evidence {
	return evidence{crashes: map[model.ServerLifetime]*crash{}, proven: map[model.TraitID]proof{}, accused: map[model.TraitID]int{}}
}

// addCrash adds suspects of a crash and returns the new ones.
func (e *evidence) addCrash(s model.ServerLifetime, suspects []model.Trait, at time.Time) []model.Trait {
	if len(suspects) == 0 {
		return nil
	}
	c := e.crashes[s]
	if c == nil {
		c = &crash{at: at, suspects: map[model.TraitID]int{}}
		e.crashes[s] = c
	}
	var added []model.Trait
	for _, t := range suspects {
		if _, ok := c.suspects[t.ID]; ok || len(c.suspects) >= maxSuspects {
			continue
		}
		c.suspects[t.ID] = t.Depth
		e.accused[t.ID]++
		added = append(added, t)
	}
	return added
}

// isCleared reports whether an answer shows that a trait did not cause a crash.
func (e *evidence) isCleared(t model.TraitID, crashedAt time.Time) bool {
	return e.proven[t].any.After(crashedAt.Add(-provenGrace))
}

// prove records an answer to a request with a trait, at this entry if own is set. Whole requests that nobody
// suspects are not kept, since they hardly ever return.
func (e *evidence) prove(t model.TraitID, depth int, at time.Time, own bool) {
	if depth == model.WholeRequest && e.accused[t] == 0 {
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
		if e.accused[t]--; e.accused[t] == 0 {
			delete(e.accused, t)
		}
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
// got an answer are the first to explain crashes, then those with the most crashes, then the deeper ones.
func (e *evidence) bans() map[model.TraitID]time.Time {
	out := map[model.TraitID]time.Time{}
	open := e.attributableCrashes()
	for {
		c, ok := e.topCandidate(open)
		if !ok {
			return out
		}
		out[c.trait] = c.last.Add(banDuration)
		maps.DeleteFunc(open, func(_ model.ServerLifetime, cr *crash) bool {
			_, explained := cr.suspects[c.trait]
			return explained
		})
	}
}

// attributableCrashes returns the crashes with the suspects that may have caused enough of them. Backend servers that end
// together have a cause in common: only a trait that most of them share can be it.
func (e *evidence) attributableCrashes() map[model.ServerLifetime]*crash {
	type end struct {
		server model.ServerLifetime
		*crash
	}
	ends := make([]end, 0, len(e.crashes))
	for s, c := range e.crashes {
		likely := &crash{at: c.at, suspects: map[model.TraitID]int{}}
		for t, depth := range c.suspects {
			if e.accused[t] >= banThreshold && !e.isCleared(t, c.at) {
				likely.suspects[t] = depth
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
		shared := &crash{at: c.at, suspects: map[model.TraitID]int{}}
		for t, depth := range c.suspects {
			n := 0
			for _, other := range together {
				if _, ok := other.suspects[t]; ok {
					n++
				}
			}
			if float64(n) >= togetherShare*float64(len(together)) {
				shared.suspects[t] = depth
			}
		}
		out[c.server] = shared
	}
	return out
}

// topCandidate returns the trait that most likely caused at least banThreshold of the crashes.
func (e *evidence) topCandidate(crashes map[model.ServerLifetime]*crash) (candidate, bool) {
	byTrait := map[model.TraitID]*candidate{}
	for _, cr := range crashes {
		for t, depth := range cr.suspects {
			c := byTrait[t]
			if c == nil {
				_, proven := e.proven[t]
				c = &candidate{trait: t, depth: depth, proven: proven}
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
	if len(likely) == 0 {
		return candidate{}, false
	}
	return slices.MinFunc(likely, func(a, b candidate) int {
		if a.proven != b.proven {
			return cmp.Compare(btoi(a.proven), btoi(b.proven))
		}
		return cmp.Or(cmp.Compare(b.crashes, a.crashes), cmp.Compare(b.depth, a.depth), cmp.Compare(a.trait, b.trait))
	}), true
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
