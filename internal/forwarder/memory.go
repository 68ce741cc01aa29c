package forwarder

import (
	"errors"
	"sync"
	"time"
)

const (
	// unfinishedMemoryDivisor limits what is held of heads and of events that have not ended, or that their callers have not
	// taken, to the configured memory divided by it.
	unfinishedMemoryDivisor = 8
	// smallPartBytes is what an attempt may hold beside that.
	smallPartBytes = 32 << 10
	// headCost is how many bytes are held for a byte of a head: those of the line and of its values.
	headCost = 3
)

var errPartMemory = errors.New("the memory for unfinished parts of answers is used up, and this one was held longest for its size")

// partMemory bounds what attempts hold of parts of answers that end only when their backend servers say so. Servers that
// send without end would use up the memory of all. While it is used up, the part with the most bytes times the time for which it is
// held is cut: those of sound servers are small, or end soon.
type partMemory struct {
	// limit is 0 if the settings name no memory; nothing is cut then.
	limit int

	mu   sync.Mutex
	used int
	held map[*heldPart]bool
}

func newPartMemory(limit int) *partMemory {
	return &partMemory{limit: limit, held: map[*heldPart]bool{}}
}

// heldPart is the part of an answer that one attempt holds.
type heldPart struct {
	memory *partMemory
	// cut ends the attempt's reads and writes.
	cut func()
	// counted is set while the part counts. Only the attempt uses it.
	counted bool

	// The memory's lock guards the rest.
	n     int
	since time.Time
	// lost is set once the part was cut.
	lost bool
}

func (m *partMemory) newPart(cut func()) *heldPart { return &heldPart{memory: m, cut: cut} }

// resize sets how many bytes of the present part are held at now; 0 means that it has ended. It returns an error once the
// part was cut.
func (h *heldPart) resize(n int, now time.Time) error {
	if n <= smallPartBytes {
		n = 0
	}
	if n == 0 && !h.counted {
		return nil
	}
	h.counted = n > 0
	m := h.memory
	m.mu.Lock()
	if h.lost {
		m.mu.Unlock()
		return errPartMemory
	}
	m.used += n - h.n
	if h.n = n; n == 0 {
		delete(m.held, h)
	} else if !m.held[h] {
		m.held[h], h.since = true, now
	}
	cut := m.cutLongest(now)
	err := error(nil)
	if h.lost {
		err = errPartMemory
	}
	m.mu.Unlock()
	for _, c := range cut {
		if c != h {
			c.cut()
		}
	}
	return err
}

// cutLongest takes parts out until the others fit into the limit. The caller holds the lock.
func (m *partMemory) cutLongest(now time.Time) []*heldPart {
	var out []*heldPart
	for m.limit > 0 && m.used > m.limit {
		var worst *heldPart
		for h := range m.held {
			if worst == nil || h.weight(now) > worst.weight(now) {
				worst = h
			}
		}
		m.used -= worst.n
		worst.n, worst.lost = 0, true
		delete(m.held, worst)
		out = append(out, worst)
	}
	return out
}

// weight returns the bytes times the time for which they are held. A part that has just begun counts as well.
func (h *heldPart) weight(now time.Time) float64 {
	return float64(h.n) * (now.Sub(h.since) + time.Millisecond).Seconds()
}

// bytes returns how many bytes are held.
func (m *partMemory) bytes() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used
}

// isLost reports whether the part was cut.
func (h *heldPart) isLost() bool {
	if !h.counted {
		return false
	}
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	return h.lost
}
