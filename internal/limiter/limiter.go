package limiter

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// burstSeconds limits a burst to this many seconds of the rate.
const burstSeconds = 1.0

// Key identifies one organisation's limits on one service.
type Key struct {
	Service      model.ServiceID
	Organisation model.OrganisationID
}

// Limiter enforces this entry's share of the limits of all organisations.
type Limiter struct {
	mu     sync.Mutex
	states map[Key]*limitState
}

// limitState is the state of one organisation's limits on one service. arrivals counts the
// requests since the last report of demand, whether admitted or not.
type limitState struct {
	rateBucket  *rate.Limiter
	running     int
	arrivals    int
	reportedAt  time.Time
	grant       model.Grant
	grantExpiry time.Time
	tokens      debtBucket
	spent       debtBucket
}

// New returns a limiter without any grants or charges.
func New() *Limiter { return &Limiter{states: map[Key]*limitState{}} }

// Admit admits one request if this entry's share of the organisation's limits allows it. evenGrant
// applies without a valid grant, and its concurrency also where the document sets none. On success
// the caller must call Release.
func (l *Limiter) Admit(k Key, o model.Organisation, evenGrant model.Grant, now time.Time) *model.Refusal {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.limitState(k, now)
	s.arrivals++
	currentGrant := s.currentGrant(o, evenGrant, now)
	if s.running >= currentGrant.Concurrency {
		return model.Refuse(model.KindOverLimit, "the organisation has as many requests running as its document allows: wait for one to end").WithRetry(time.Second)
	}
	if wait := s.longestDebt(o, currentGrant, now); wait > 0 {
		return model.Refuse(model.KindOverLimit, "the organisation has used the tokens or money that its document allows for now: wait, or raise tokens or spend").WithRetry(max(wait, time.Second))
	}
	if o.Rate > 0 && !s.allowRate(currentGrant.Rate, now) {
		return model.Refuse(model.KindOverLimit, "the organisation is over its rate: slow down").WithRetry(time.Second)
	}
	s.running++
	return nil
}

// Release ends an admitted request.
func (l *Limiter) Release(k Key) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.states[k].running--
}

// longestDebt refills both buckets and returns the longer of their times in debt.
func (s *limitState) longestDebt(o model.Organisation, grant model.Grant, now time.Time) time.Duration {
	tokens, spend := float64(o.Tokens)*float64(grant.Share), o.SpendRate.PerSecond()*float64(grant.Share)
	s.tokens.refill(tokens, now)
	s.spent.refill(spend, now)
	return max(s.tokens.timeInDebt(tokens), s.spent.timeInDebt(spend))
}

// Charge deducts the tokens and the cost of a finished request.
func (l *Limiter) Charge(k Key, tokens int, cost model.Money, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.limitState(k, now)
	s.tokens.level -= float64(tokens)
	s.spent.level -= float64(cost)
}

// SetGrant sets the share that the service's owner granted, valid until the given time.
func (l *Limiter) SetGrant(k Key, g model.Grant, until, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.limitState(k, now)
	s.grant, s.grantExpiry = g, until
}

// Demand returns, for each organisation of a service, the arrival rate since the last call and the
// number of running requests.
func (l *Limiter) Demand(service model.ServiceID, now time.Time) (map[model.OrganisationID]model.Rate, map[model.OrganisationID]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	demand := map[model.OrganisationID]model.Rate{}
	running := map[model.OrganisationID]int{}
	for k, s := range l.states {
		if k.Service != service {
			continue
		}
		if span := now.Sub(s.reportedAt).Seconds(); span > 0 {
			demand[k.Organisation] = model.Rate(float64(s.arrivals) / span)
		}
		running[k.Organisation] = s.running
		s.arrivals, s.reportedAt = 0, now
	}
	return demand, running
}

func (l *Limiter) limitState(k Key, now time.Time) *limitState {
	s := l.states[k]
	if s == nil {
		s = &limitState{reportedAt: now}
		l.states[k] = s
	}
	return s
}

// currentGrant returns the owner's grant, or evenGrant once the grant has expired.
func (s *limitState) currentGrant(o model.Organisation, evenGrant model.Grant, now time.Time) model.Grant {
	if !now.Before(s.grantExpiry) {
		return evenGrant
	}
	g := s.grant
	if o.Concurrency == 0 {
		g.Concurrency = evenGrant.Concurrency
	}
	return g
}

func (s *limitState) allowRate(r model.Rate, now time.Time) bool {
	burst := max(1, int(float64(r)*burstSeconds))
	if s.rateBucket == nil {
		s.rateBucket = rate.NewLimiter(rate.Limit(r), burst)
	}
	if s.rateBucket.Limit() != rate.Limit(r) {
		s.rateBucket.SetLimitAt(now, rate.Limit(r))
		s.rateBucket.SetBurstAt(now, burst)
	}
	return s.rateBucket.AllowN(now, 1)
}
