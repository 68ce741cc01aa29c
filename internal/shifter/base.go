package shifter

import (
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	// baseWeight smooths the old version's times.
	baseWeight = 0.02
	// minLoadSpread is the variance of the load, in requests squared, from which on its effect is told.
	minLoadSpread = 1.0
	// leastBase bounds what idleness may explain, as a part of the mean time.
	leastBase = 0.25
)

// baseKey groups times that are alike for the old version.
type baseKey struct {
	route model.RouteID
	model model.ModelID
	// between tells times between events from those to an answer's head.
	between bool
}

// base is the old version's usual time as a line over the load of the backend server, fitted to
// outcomes whose weight fades (least squares with exponential forgetting).
type base struct {
	weight, load, time, loadLoad, loadTime float64
}

// learn takes a time in seconds at a load.
func (b *base) learn(load, time float64) {
	keep := 1 - baseWeight
	b.weight = b.weight*keep + 1
	b.load = b.load*keep + load
	b.time = b.time*keep + time
	b.loadLoad = b.loadLoad*keep + load*load
	b.loadTime = b.loadTime*keep + load*time
}

// at returns the usual time in seconds at a load. It answers a new version whose engines idle beside
// busy ones of the old version: without the load, slowness and idleness cancel out.
func (b *base) at(load float64) float64 {
	meanLoad, meanTime := b.load/b.weight, b.time/b.weight
	spread := b.loadLoad/b.weight - meanLoad*meanLoad
	if spread < minLoadSpread {
		return meanTime
	}
	slope := max((b.loadTime/b.weight-meanLoad*meanTime)/spread, 0)
	return max(meanTime+slope*(load-meanLoad), leastBase*meanTime)
}
