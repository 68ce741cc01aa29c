package admitter

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/bramleyhinge/bramleyhinge/internal/meter"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	// shareMemory is the time constant with which old work loses its weight. It is longer than a burst, and short enough
	// that a flood of some seconds is divided and forgotten.
	shareMemory = 3 * time.Second
	// scarceHold is how long places count as scarce after none was free. It bridges single free places, so that shares
	// do not come and go with every answer.
	scarceHold = 2 * time.Second
	// divideInterval is how often shares are divided again; other entries tell their work less often.
	divideInterval = 250 * time.Millisecond
	// shareTolerance is the part of the asked work that may be outstanding before any is taken for excess: what runs was
	// asked for, but is not taken yet.
	shareTolerance = 0.1
	// servedFloor is the least part of the mean service that any organisation keeps, however much it asks for, and the
	// part of a lower rank's requests that are placed like the highest rank's, so that none of them starves.
	servedFloor = 0.25
	// maxShareServices and maxShareOrganisations bound the tables of services, and of organisations of one service and
	// rank. The organisations that ask for least are forgotten first.
	maxShareServices      = 64
	maxShareOrganisations = 128
	// negligibleWork is the work, in milliseconds, below which an organisation is forgotten.
	negligibleWork = 0.01
)

// SharesConfig configures Shares.
type SharesConfig struct {
	Meter *meter.Meter
	Log   zerolog.Logger
}

// Ask is the work that a request asks of a service.
type Ask struct {
	Service      model.ServiceID
	Rank         int
	Organisation model.OrganisationID
	// Weight is the organisation's weight. Anything but a positive number counts as 1, and so does the weight of an
	// organisation of which only other entries tell.
	Weight float64
	// Work is the time for which the request is expected to keep a place of the service busy.
	Work time.Duration
}

// Standing is how a request stands among those of its service.
type Standing struct {
	// Scarce means that the service has no free places. All else is set only then.
	Scarce bool
	// OverShare means that the request belongs to the part of its organisation's requests that is over its share.
	OverShare bool
	// Promoted means that the request is placed like those of the highest rank, so that its own does not starve.
	Promoted bool
	// ToldAge is the time since other entries last told their work, or -1 if they did not: then the entry's own view decides.
	ToldAge time.Duration
}

// Shares divides the places of a service, while they are scarce, among organisations of the same rank by weighted
// max-min fairness, over all entries together. It is made for one organisation that asks for six to nine times its usual
// work, which made the requests of all others late. Each entry adds what the others tell to what it sees itself; what
// is divided is the work that the servers took within the same time. Only a part of an organisation's requests is over
// the share, which grows with what it asks for, so that entries need not agree and nothing alternates. While
// places are free nothing is told and every request stands as before.
type Shares struct {
	cfg SharesConfig

	mu       sync.Mutex
	services map[serviceKey]*serviceShares
	toldAt   time.Time
}

// serviceKey and organisationKey are hashes of names, as messages carry them. Two organisations with the same hash are
// taken for one.
type (
	serviceKey      uint32
	organisationKey uint32
)

// serviceShares is the work of one service.
type serviceShares struct {
	// scarceUntil is set by this entry's own observations, toldUntil by those of others.
	scarceUntil, toldUntil time.Time
	// heardAt is when another entry last told its work, usedAt when the service was last asked for.
	heardAt, usedAt time.Time
	pools           [rankCount]sharePool
}

// sharePool is the work of the organisations of one rank.
type sharePool struct {
	organisations map[organisationKey]*organisationWork
	dividedAt     time.Time
}

// organisationWork is the work of an organisation in milliseconds: what it asked for and what servers took, at all entries that
// are known of, and at this entry since it last told the others. All of it decays with shareMemory.
type organisationWork struct {
	asked, taken, untoldAsked, untoldTaken float64
	at                                     time.Time
	weight                                 float64
	// excess is the part of the requests that is over the share.
	excess float64
}

// NewShares returns Shares that know of no work.
func NewShares(cfg SharesConfig) *Shares {
	return &Shares{cfg: cfg, services: map[serviceKey]*serviceShares{}}
}

// ObserveScarce records that this entry found no free place at a service.
func (s *Shares) ObserveScarce(service model.ServiceID, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.service(serviceKey(hashName(string(service))), now)
	if !v.isScarce(now) {
		s.cfg.Meter.Count("shares/scarce", 1)
		s.cfg.Log.Info().Str("service", string(service)).Msg("admitter: no place is free, organisations get shares")
	}
	v.scarceUntil = now.Add(scarceHold)
}

// Ask counts a request and returns how it stands. The draw is a random number in [0, 1).
func (s *Shares) Ask(a Ask, draw float64, now time.Time) Standing {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.service(serviceKey(hashName(string(a.Service))), now)
	v.usedAt = now
	rank := min(max(a.Rank, 0), rankCount-1)
	w := v.pools[rank].work(organisationKey(hashName(string(a.Organisation))), now)
	w.weight = 1
	if a.Weight > 0 && !math.IsInf(a.Weight, 0) {
		w.weight = a.Weight
	}
	w.asked += workOf(a)
	w.untoldAsked += workOf(a)
	if !v.isScarce(now) {
		return Standing{}
	}
	out := Standing{Scarce: true, ToldAge: -1}
	if !v.heardAt.IsZero() {
		out.ToldAge = now.Sub(v.heardAt)
	}
	v.pools[rank].divide(now)
	switch {
	case draw < w.excess:
		out.OverShare = true
	case (draw-w.excess)/(1-w.excess) < servedFloor:
		out.Promoted = v.isAskedAbove(rank)
	}
	return out
}

// Taken counts that a backend server took a request that was asked for, whatever it answered.
func (s *Shares) Taken(a Ask, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.service(serviceKey(hashName(string(a.Service))), now)
	w := v.pools[min(max(a.Rank, 0), rankCount-1)].work(organisationKey(hashName(string(a.Organisation))), now)
	w.taken += workOf(a)
	w.untoldTaken += workOf(a)
}

func hashName(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// workOf returns the work of a request in milliseconds, at least one, so that unknown work counts too.
func workOf(a Ask) float64 { return max(float64(a.Work)/float64(time.Millisecond), 1) }

func (v *serviceShares) isScarce(now time.Time) bool {
	return now.Before(v.scarceUntil) || now.Before(v.toldUntil)
}

// isAskedAbove reports whether the service is asked for by requests of a higher rank.
func (v *serviceShares) isAskedAbove(rank int) bool {
	for i := range rank {
		if len(v.pools[i].organisations) > 0 {
			return true
		}
	}
	return false
}

// service returns the state of a service. The caller holds the lock.
func (s *Shares) service(k serviceKey, now time.Time) *serviceShares {
	if v := s.services[k]; v != nil {
		return v
	}
	if len(s.services) >= maxShareServices {
		var oldest serviceKey
		for other, v := range s.services {
			if o := s.services[oldest]; o == nil || v.usedAt.Before(o.usedAt) {
				oldest = other
			}
		}
		delete(s.services, oldest)
	}
	v := &serviceShares{usedAt: now}
	s.services[k] = v
	return v
}

// work returns the work of an organisation, decayed to now. The caller holds the lock.
func (p *sharePool) work(k organisationKey, now time.Time) *organisationWork {
	w := p.organisations[k]
	if w == nil {
		if p.organisations == nil {
			p.organisations = map[organisationKey]*organisationWork{}
		}
		if len(p.organisations) >= maxShareOrganisations {
			p.evict(now)
		}
		w = &organisationWork{at: now, weight: 1}
		p.organisations[k] = w
	}
	w.decay(now)
	return w
}

func (w *organisationWork) decay(now time.Time) {
	d := now.Sub(w.at)
	if d <= 0 {
		return
	}
	keep := math.Exp(-float64(d) / float64(shareMemory))
	w.asked, w.taken, w.untoldAsked, w.untoldTaken = w.asked*keep, w.taken*keep, w.untoldAsked*keep, w.untoldTaken*keep
	w.at = now
}

// evict forgets the organisation that asks for least.
func (p *sharePool) evict(now time.Time) {
	var least organisationKey
	for k, w := range p.organisations {
		w.decay(now)
		if l := p.organisations[least]; l == nil || w.asked < l.asked {
			least = k
		}
	}
	delete(p.organisations, least)
}

// divide computes which part of each organisation's requests is over its share of the work that was taken. Without
// anyone to share with, or any work taken, none is.
func (p *sharePool) divide(now time.Time) {
	if now.Sub(p.dividedAt) < divideInterval {
		return
	}
	p.dividedAt = now
	works := make([]*organisationWork, 0, len(p.organisations))
	claims := make([]Claim, 0, len(p.organisations))
	asked, taken := 0.0, 0.0
	for k, w := range p.organisations {
		w.decay(now)
		w.excess = 0
		if w.asked < negligibleWork {
			delete(p.organisations, k)
			continue
		}
		works = append(works, w)
		claims = append(claims, Claim{Asked: w.asked, Weight: w.weight})
		asked += w.asked
		taken += w.taken
	}
	if len(works) < 2 || taken <= 0 || taken >= asked*(1-shareTolerance) {
		return
	}
	for i, share := range MaxMinShares(taken, claims) {
		kept := max(share/claims[i].Asked, servedFloor*taken/asked)
		works[i].excess = max(0, 1-kept)
	}
}
