package picker

import "github.com/bramleyhinge/bramleyhinge/pkg/model"

// Full reports whether all eligible backend servers have as many requests as slots. It is false if there is no eligible
// server or if one of them names no slots.
func (in DirectInput) Full() bool {
	eligible := in.eligible()
	for _, b := range eligible {
		if b.Server.Slots <= 0 || countBusy(b) < b.Server.Slots {
			return false
		}
	}
	return len(eligible) > 0
}

// Full reports whether all eligible engines have as many requests as slots. It is false if there is no eligible engine
// or if one of them names no slots.
func (in EngineInput) Full() bool {
	n := 0
	for _, e := range in.Engines {
		if e.Server.State != model.BackendReady || in.Excluded[e.Server.Backend] || in.Barred[e.Server.Backend] {
			continue
		}
		if e.Server.Slots <= 0 || e.Busy < e.Server.Slots {
			return false
		}
		n++
	}
	return n > 0
}
