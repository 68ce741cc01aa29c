package shifter

import (
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	// fitWeight is the weight of the newest time in the running averages of the old version.
	fitWeight = 0.02
	// minLoadVariance is the variance of the load, in requests squared, below which the fit ignores the load.
	minLoadVariance = 1.0
	// minFitWeight is the weight of the times without which none is predicted.
	minFitWeight = 10.0
	// minTimePart is the smallest predicted time, as a part of the mean time. It limits how much of a
	// time an idle backend server can explain.
	minTimePart = 0.25
)

// latencyKey groups the times of the old version that are comparable.
type latencyKey struct {
	route model.RouteID
	model model.ModelID
	// betweenEvents distinguishes times between stream events from times to the response headers.
	betweenEvents bool
}

// latencyFit predicts the old version's time from the load of the backend server. It is a line, fitted
// by least squares with exponential forgetting.
type latencyFit struct {
	weight, load, time, loadLoad, loadTime float64
}

// add records a time in seconds at a load.
func (f *latencyFit) add(load, time float64) {
	keep := 1 - fitWeight
	f.weight = f.weight*keep + 1
	f.load = f.load*keep + load
	f.time = f.time*keep + time
	f.loadLoad = f.loadLoad*keep + load*load
	f.loadTime = f.loadTime*keep + load*time
}

// predict returns the expected time in seconds at a load. While the new version's engines are idle
// and those of the old version busy, a comparison that ignores the load would let idleness hide slowness.
func (f *latencyFit) predict(load float64) float64 {
	meanLoad, meanTime := f.load/f.weight, f.time/f.weight
	variance := f.loadLoad/f.weight - meanLoad*meanLoad
	if variance < minLoadVariance {
		return meanTime
	}
	slope := max((f.loadTime/f.weight-meanLoad*meanTime)/variance, 0)
	return max(meanTime+slope*(load-meanLoad), minTimePart*meanTime)
}
