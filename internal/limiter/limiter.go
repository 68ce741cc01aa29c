package limiter

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// burst is how much of a second's rate may arrive at once.
const burst = 1.0

// Key names one organisation's limit on one service.
type Key struct {
	Service      model.ServiceID
	Organisation model.OrganisationID
}

// Limiter enforces this entry's part of the limits.
type Limiter struct {
	mu      sync.Mutex
	entries map[Key]*entry
}

// entry is the state of one limit. Asked counts arrivals since the last report, admitted
// or not, since demand is what callers ask for.
type entry struct {
	bucket  *rate.Limiter
	running int
	asked   int
	since   time.Time
	grant   model.Grant
	until   time.Time
	tokens  debtBucket
	spent   debtBucket
}

// New returns a limiter without limits.
func New() *Limiter { return &Limiter{entries: map[Key]*entry{}} }

// Admit takes one request within the organisation's part of its limits; even is the share
// that holds without a valid grant, and wherever the document sets no limit. On success the
// caller must call Release.
func (l *Limiter) Admit(k Key, o model.Organisation, even model.Grant, now time.Time) *model.Refusal {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entry(k, now)
	e.asked++
	share := e.share(o, even, now)
	if e.running >= share.Concurrency {
		return model.Refuse(model.KindOverLimit, "the organisation has as many requests running as its document allows: wait for one to end").WithRetry(time.Second)
	}
	if wait := e.debt(o, share, now); wait > 0 {
		return model.Refuse(model.KindOverLimit, "the organisation has used the tokens or money that its document allows for now: wait, or raise tokens or spend").WithRetry(max(wait, time.Second))
	}
	if o.Rate > 0 && !e.allow(share.Rate, now) {
		return model.Refuse(model.KindOverLimit, "the organisation is over its rate: slow down").WithRetry(time.Second)
	}
	e.running++
	return nil
}

// Release ends an admitted request.
func (l *Limiter) Release(k Key) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries[k].running--
}

// debt brings the buckets up to date and returns how long the longer debt lasts.
func (e *entry) debt(o model.Organisation, share model.Grant, now time.Time) time.Duration {
	tokens, spend := float64(o.Tokens)*float64(share.Share), o.Spend.PerSecond()*float64(share.Share)
	e.tokens.refill(tokens, now)
	e.spent.refill(spend, now)
	return max(e.tokens.wait(tokens), e.spent.wait(spend))
}

// Charge takes what a finished request used.
func (l *Limiter) Charge(k Key, tokens int, cost model.Money, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entry(k, now)
	e.tokens.level -= float64(tokens)
	e.spent.level -= float64(cost)
}

// SetGrant sets the part that the service's owner gave, valid until a time.
func (l *Limiter) SetGrant(k Key, g model.Grant, until, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entry(k, now)
	e.grant, e.until = g, until
}

// Demand returns the arrival rate and the running requests of a service's organisations
// since the last call.
func (l *Limiter) Demand(service model.ServiceID, now time.Time) (map[model.OrganisationID]model.Rate, map[model.OrganisationID]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	demand := map[model.OrganisationID]model.Rate{}
	running := map[model.OrganisationID]int{}
	for k, e := range l.entries {
		if k.Service != service {
			continue
		}
		if span := now.Sub(e.since).Seconds(); span > 0 {
			demand[k.Organisation] = model.Rate(float64(e.asked) / span)
		}
		running[k.Organisation] = e.running
		e.asked, e.since = 0, now
	}
	return demand, running
}

func (l *Limiter) entry(k Key, now time.Time) *entry {
	e := l.entries[k]
	if e == nil {
		e = &entry{since: now}
		l.entries[k] = e
	}
	return e
}

// share is the part in force: the owner's grant, or an even share once it has run out.
func (e *entry) share(o model.Organisation, even model.Grant, now time.Time) model.Grant {
	if !now.Before(e.until) {
		return even
	}
	g := e.grant
	if o.Concurrency == 0 {
		g.Concurrency = even.Concurrency
	}
	return g
}

func (e *entry) allow(r model.Rate, now time.Time) bool {
	depth := max(1, int(float64(r)*burst))
	if e.bucket == nil {
		e.bucket = rate.NewLimiter(rate.Limit(r), depth)
	}
	if e.bucket.Limit() != rate.Limit(r) {
		e.bucket.SetLimitAt(now, rate.Limit(r))
		e.bucket.SetBurstAt(now, depth)
	}
	return e.bucket.AllowN(now, 1)
}
