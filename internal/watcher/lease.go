package watcher

import (
	"time"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// LeaseState says how far a process may trust its copy of the configuration.
type LeaseState string

// Lease states, from full trust to none.
const (
	// LeaseCurrent means that the copy was confirmed as the newest within the lease.
	LeaseCurrent LeaseState = "current"
	// LeaseOutage means that the lease ran out although every region still answers. No process
	// reaches the platform then, so the configuration cannot have changed.
	LeaseOutage LeaseState = "outage"
	// LeaseCutOff means that the lease ran out and a region is silent. That region may have
	// accepted changes that this process cannot see.
	LeaseCutOff LeaseState = "cutoff"
)

// ContactTimes holds when a process last confirmed its copy and when an entry of each region that
// it polls last answered. A zero time means never.
type ContactTimes struct {
	Confirmed  time.Time
	AnsweredAt map[model.RegionID]time.Time
}

// EvaluateLease returns the lease state at now. A silent region means that the process is cut off,
// because that region may have accepted a change.
func EvaluateLease(contacts ContactTimes, lease time.Duration, now time.Time) LeaseState {
	if now.Sub(contacts.Confirmed) <= lease {
		return LeaseCurrent
	}
	for _, answered := range contacts.AnsweredAt {
		if now.Sub(answered) > lease {
			return LeaseCutOff
		}
	}
	return LeaseOutage
}
