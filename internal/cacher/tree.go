package cacher

import (
	"time"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	// unknownCapacityLifetime is how long an engine of unknown capacity is assumed to hold a segment.
	unknownCapacityLifetime = 15 * time.Second
	// unknownCapacitySegments bounds the segments of an engine of unknown capacity.
	unknownCapacitySegments = 128
	// maxSegments bounds the segments of an engine: at 100 bytes each, 890 engines take at most 46 MB.
	maxSegments = 512
	// readTime is the time in which an engine reads a prompt token of its largest model. The memory is not replaced
	// faster than the engine reads.
	readTime = 50 * time.Microsecond
	// readShare is the assumed share of an engine's time in which it reads prompts that replace held segments.
	readShare = 0.5
)

// Tree models which segments one engine holds since its start. Engines evict the least recently used segments first, of
// which a segment is never more recent than those before it, so that the least recently used one is always a leaf. The
// model sees only the prompts of one entry. If all entries get the same mix of prompts, a segment's order among those of
// this entry is that among all, so the whole capacity applies; segments of sessions that ended must expire by age.
type Tree struct {
	capacity model.Tokens
	lifetime time.Duration
	limit    int
	segments *recent[Key, segmentState]
	tokens   model.Tokens
}

// segmentState is what is known of one segment at an engine.
type segmentState struct {
	tokens model.Tokens
	usedAt time.Time
	// held is set once the head of an answer showed that the engine has read the segment.
	held bool
	// pending is the number of prompts with the segment that have no head of an answer yet.
	pending int
}

// NewTree returns the model of an engine that holds nothing. A capacity of 0 or below is unknown.
func NewTree(capacity model.Tokens) *Tree {
	t := &Tree{capacity: capacity, lifetime: unknownCapacityLifetime, limit: unknownCapacitySegments, segments: newRecent[Key, segmentState]()}
	if capacity > 0 {
		t.limit = maxSegments
		t.lifetime = max(unknownCapacityLifetime, time.Duration(float64(capacity)*float64(readTime)/readShare))
	}
	return t
}

// Cached returns the number of a prompt's tokens that the engine need not read again. Prompts that were sent and have no
// answer yet count as read, because a prompt that follows them waits behind them.
func (t *Tree) Cached(c Chain, now time.Time) model.Tokens {
	sum := model.Tokens(0)
	for _, s := range c.Segments {
		e := t.segments.entries[s.Key]
		if e == nil || now.Sub(e.value.usedAt) >= t.lifetime {
			break
		}
		sum += min(s.Tokens, e.value.tokens)
	}
	return sum
}

// Send records that a prompt is sent. running is the memory in tokens that running requests occupy besides segments.
func (t *Tree) Send(c Chain, running model.Tokens, now time.Time) {
	t.use(c, now, func(s *segmentState) { s.pending++ })
	t.evict(running, now)
}

// Answered records the head of the answer to a prompt: the engine has read the prompt.
func (t *Tree) Answered(c Chain, running model.Tokens, now time.Time) {
	t.use(c, now, func(s *segmentState) { s.pending, s.held = max(0, s.pending-1), true })
	t.evict(running, now)
}

// Failed records that a prompt got no answer: segments that no other prompt showed to be held are not expected any more.
func (t *Tree) Failed(c Chain) {
	for i := len(c.Segments) - 1; i >= 0; i-- {
		e := t.segments.entries[c.Segments[i].Key]
		if e == nil {
			continue
		}
		e.value.pending = max(0, e.value.pending-1)
		if !e.value.held && e.value.pending == 0 {
			t.remove(e)
		}
	}
}

// use updates the segments of a chain, the last one first, so that none is more recent than those before it.
func (t *Tree) use(c Chain, now time.Time, update func(*segmentState)) {
	for i := len(c.Segments) - 1; i >= 0; i-- {
		e, _ := t.segments.use(c.Segments[i].Key)
		t.tokens += c.Segments[i].Tokens - e.value.tokens
		e.value.tokens, e.value.usedAt = c.Segments[i].Tokens, now
		update(&e.value)
	}
}

// evict removes expired segments, and the least recently used ones above the engine's capacity.
func (t *Tree) evict(running model.Tokens, now time.Time) {
	for e := t.segments.oldest; e != nil; e = t.segments.oldest {
		expired := now.Sub(e.value.usedAt) >= t.lifetime
		full := t.capacity > 0 && t.tokens > t.capacity-running && e.value.pending == 0
		if !expired && !full && len(t.segments.entries) <= t.limit {
			return
		}
		t.remove(e)
	}
}

// isExpired reports whether the engine is assumed to hold nothing any more.
func (t *Tree) isExpired(now time.Time) bool {
	newest := t.segments.newest
	return newest == nil || now.Sub(newest.value.usedAt) >= t.lifetime
}

func (t *Tree) remove(e *entry[Key, segmentState]) {
	t.tokens -= e.value.tokens
	t.segments.remove(e)
}
