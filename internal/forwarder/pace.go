package forwarder

import (
	"sync"
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/admitter"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	// holdWeight smooths the time that requests keep a place: about the last twenty requests count.
	holdWeight = 0.05
	// maxPaceServices bounds the number of services; a plan has a few.
	maxPaceServices = 64
)

// pace estimates how long requests keep a place of a service.
type pace struct {
	mu    sync.Mutex
	holds map[model.ServiceID]holdTime
}

type holdTime struct {
	mean time.Duration
	// at is when the last sample was added.
	at time.Time
}

func newPace() *pace { return &pace{holds: map[model.ServiceID]holdTime{}} }

// observeHold adds a sample when the head of an answer has arrived. The rest of an engine's answer is estimated, because
// a slow caller would make it longer.
func (f *Forwarder) observeHold(c *call, now time.Time) {
	sample := admitter.HoldSample(now.Sub(c.attemptStart), c.crowding.busy, c.crowding.slots)
	if c.service.Engine != nil {
		sample += f.speeds.estimateAnswer(c.model, c.service.Engine, c.prompt.outputTokens)
	}
	f.pace.observe(c.service.Service, sample, now)
}

// observe adds a sample of how long a request kept a place.
func (p *pace) observe(s model.ServiceID, sample time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h, ok := p.holds[s]
	if !ok {
		if len(p.holds) >= maxPaceServices {
			p.evict()
		}
		h.mean = sample
	}
	p.holds[s] = holdTime{mean: h.mean + time.Duration(holdWeight*float64(sample-h.mean)), at: now}
}

// evict forgets the service without samples for the longest time. The caller holds the lock.
func (p *pace) evict() {
	var oldest model.ServiceID
	var at time.Time
	for s, h := range p.holds {
		if at.IsZero() || h.at.Before(at) {
			oldest, at = s, h.at
		}
	}
	delete(p.holds, oldest)
}

// hold returns how long requests keep a place, 0 if it is not known, and the age of the last sample.
func (p *pace) hold(s model.ServiceID, now time.Time) (mean, age time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h, ok := p.holds[s]
	if !ok {
		return 0, 0
	}
	return h.mean, now.Sub(h.at)
}
