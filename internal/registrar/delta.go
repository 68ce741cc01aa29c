package registrar

import (
	"sync"
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/messenger"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// maxKeptViews bounds the number of older views against which a delta can be computed.
const maxKeptViews = 64

// History keeps recent views, so that a relay can send the rows that changed and not the whole
// list.
type History struct {
	mu    sync.Mutex
	views []*View
}

// NewHistory returns a history with an empty view.
func NewHistory() *History { return &History{views: []*View{{}}} }

// Current returns the newest view.
func (h *History) Current() *View {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.views[len(h.views)-1]
}

// Add makes v the newest view if it was read later than the current one, and reports whether its
// list differs. A relay with an older list therefore cannot replace a newer one.
func (h *History) Add(v *View) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	last := h.views[len(h.views)-1]
	if !v.readAt.After(last.readAt) {
		return false
	}
	if last.digest == v.digest {
		h.views[len(h.views)-1] = v
		return false
	}
	h.views = append(h.views, v)
	if len(h.views) > maxKeptViews {
		h.views = h.views[len(h.views)-maxKeptViews:]
	}
	return true
}

// Since returns the delta from the view with a digest to the newest view. It returns the whole list
// if that older view is no longer kept, and nil if the newest view has the same digest or was not
// read after readAt.
func (h *History) Since(digest uint64, readAt time.Time) *messenger.InstanceDelta {
	h.mu.Lock()
	defer h.mu.Unlock()
	current := h.views[len(h.views)-1]
	if current.digest == digest || current.digest == 0 || !current.readAt.After(readAt) {
		return nil
	}
	for _, v := range h.views {
		if v.digest == digest && digest != 0 {
			return diff(v, current)
		}
	}
	return &messenger.InstanceDelta{Digest: current.digest, ReadAt: current.readAt, Rows: current.list}
}

func diff(from, to *View) *messenger.InstanceDelta {
	d := &messenger.InstanceDelta{Base: from.digest, Digest: to.digest, ReadAt: to.readAt}
	for _, row := range to.list {
		if old, ok := from.Find(row.Instance); !ok || old != row {
			d.Rows = append(d.Rows, row)
		}
	}
	for _, row := range from.list {
		if _, ok := to.Find(row.Instance); !ok {
			d.Removed = append(d.Removed, row.Instance)
		}
	}
	return d
}

// Apply returns the view that results from a delta. It returns false if the delta has another base
// or if the result does not have the delta's digest.
func (v *View) Apply(d *messenger.InstanceDelta) (*View, bool) {
	if d.Base == 0 {
		return NewView(d.Rows, d.ReadAt), true
	}
	if d.Base != v.digest {
		return nil, false
	}
	rows := make(map[model.InstanceID]model.Instance, len(v.list))
	for _, row := range v.list {
		rows[row.Instance] = row
	}
	for _, id := range d.Removed {
		delete(rows, id)
	}
	for _, row := range d.Rows {
		rows[row.Instance] = row
	}
	list := make([]model.Instance, 0, len(rows))
	for _, row := range rows {
		list = append(list, row)
	}
	next := NewView(list, d.ReadAt)
	return next, next.digest == d.Digest
}
