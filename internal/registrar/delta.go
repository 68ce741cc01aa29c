package registrar

import (
	"sync"
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/messenger"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// keptViews bounds the older lists against which a delta can be given.
const keptViews = 64

// History keeps recent views so that a relay sends rows that changed, not whole lists.
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

// Add makes a view that was read later the newest one, and reports whether it differs.
// A relay that still has an older list so never takes a newer one back.
func (h *History) Add(v *View) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	last := h.views[len(h.views)-1]
	if !v.at.After(last.at) {
		return false
	}
	if last.digest == v.digest {
		h.views[len(h.views)-1] = v
		return false
	}
	h.views = append(h.views, v)
	if len(h.views) > keptViews {
		h.views = h.views[len(h.views)-keptViews:]
	}
	return true
}

// Since returns what changes a view into the newest one, or nil if that was not read later.
func (h *History) Since(digest uint64, at time.Time) *messenger.InstanceDelta {
	h.mu.Lock()
	defer h.mu.Unlock()
	current := h.views[len(h.views)-1]
	if current.digest == digest || current.digest == 0 || !current.at.After(at) {
		return nil
	}
	for _, v := range h.views {
		if v.digest == digest && digest != 0 {
			return diff(v, current)
		}
	}
	return &messenger.InstanceDelta{Digest: current.digest, At: current.at, Rows: current.list}
}

func diff(from, to *View) *messenger.InstanceDelta {
	d := &messenger.InstanceDelta{Base: from.digest, Digest: to.digest, At: to.at}
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

// Apply returns the view after a delta, or false if the delta has another base.
func (v *View) Apply(d *messenger.InstanceDelta) (*View, bool) {
	if d.Base == 0 {
		return NewView(d.Rows, d.At), true
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
	next := NewView(list, d.At)
	return next, next.digest == d.Digest
}
