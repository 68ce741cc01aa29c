package cacher

import (
	"math"
	"time"
)

const (
	// popularityHalfLife is the time in which a past request loses half its weight. Entries handle some requests a
	// second, so that a hundred or more count.
	popularityHalfLife = 30 * time.Second
	// popularityPrior is the number of requests that is assumed before any was seen, so that the first prompts after a
	// start decide nothing.
	popularityPrior = 5.0
	// maxPopular bounds the prefixes that are counted; the least recently used ones are dropped.
	maxPopular = 2048
)

// Popularity estimates which share of a model's requests has a prefix. All entries get the same mix of requests, so that
// each estimates about the same shares from its own requests.
type Popularity struct {
	counts *recent[Key, weight]
}

// weight is a number of requests that decays with time.
type weight struct {
	value float64
	at    time.Time
}

func (w weight) decayed(now time.Time) float64 {
	return w.value * math.Exp2(-max(now.Sub(w.at), 0).Seconds()/popularityHalfLife.Seconds())
}

// NewPopularity returns a Popularity without requests.
func NewPopularity() *Popularity { return &Popularity{counts: newRecent[Key, weight]()} }

// Observe counts a request.
func (p *Popularity) Observe(c Chain, now time.Time) {
	p.count(c.Root, now)
	for _, s := range c.Segments[:c.Shared] {
		p.count(s.Key, now)
	}
	for len(p.counts.entries) > maxPopular {
		p.counts.remove(p.counts.oldest)
	}
}

func (p *Popularity) count(k Key, now time.Time) {
	e, _ := p.counts.use(k)
	e.value = weight{value: e.value.decayed(now) + 1, at: now}
}

// Share returns the share of the requests for a model that has the prefix, and how high it may be while little is known.
func (p *Popularity) Share(root, k Key, now time.Time) (share, atMost float64) {
	w, all := p.weight(k, now), p.weight(root, now)+popularityPrior
	return w / all, (w + popularityPrior) / all
}

func (p *Popularity) weight(k Key, now time.Time) float64 {
	if e := p.counts.entries[k]; e != nil {
		return e.value.decayed(now)
	}
	return 0
}
