package watcher

import (
	"time"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// LeaseState tells how far a process may trust its configuration.
type LeaseState string

// Standings, from full trust to none.
const (
	// LeaseCurrent means that the copy was the newest within the lease.
	LeaseCurrent LeaseState = "current"
	// StandingOutage means that no process reaches the platform, so nothing can have changed.
	StandingOutage LeaseState = "outage"
	// LeaseCutOff means that others may have accepted changes that this process cannot see.
	LeaseCutOff LeaseState = "cutoff"
)

// Evidence is what a process knows about its own reach. Heard holds, for each other region
// that has entries, when an entry there last answered; a zero time means never.
type Evidence struct {
	Confirmed time.Time
	Heard     map[model.RegionID]time.Time
}

// Judge returns the standing at now. A silent region counts as cut off, because a change
// may be accepted there.
func Judge(e Evidence, lease time.Duration, now time.Time) LeaseState {
	if now.Sub(e.Confirmed) <= lease {
		return LeaseCurrent
	}
	for _, heard := range e.Heard {
		if now.Sub(heard) > lease {
			return LeaseCutOff
		}
	}
	return StandingOutage
}
