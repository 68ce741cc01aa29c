// Package quarantiner refuses requests that crash backend servers. It tells from the crashes that all entries saw
// which trait the crashes have in common: a part of a prompt, whatever else a request holds, or a whole request.
package quarantiner

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/bramleyhinge/bramleyhinge/internal/meter"
	"github.com/bramleyhinge/bramleyhinge/internal/storer"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	// banThreshold is the number of backend servers that must crash on a trait before it is banned. One server
	// may crash by chance, and a crash breaks off all requests that run beside the one that caused it.
	banThreshold = 3
	// certainCrashes is the number of crashes from which on a trait is banned although another explains them equally well:
	// requests that always come together may both be at fault.
	certainCrashes = 6
	// settleTime is how old a crash must be to count: each entry that had requests at the server tells of its own, and one
	// that knows the suspects of some only may take a bystander for the cause.
	settleTime = 300 * time.Millisecond
	// banDuration is how long a crash counts, and so how long a trait is banned after its last crash.
	banDuration = 10 * time.Minute
	// provenGrace is how long before a crash an answer clears a trait of having caused it, so that traits in
	// steady use are not suspected.
	provenGrace = 4 * time.Second
	// togetherWindow is the time to either side of a crash within which other backend servers end together with it,
	// if there are minTogether of them in all, and togetherShare the share of them that a trait must have as suspects
	// to have caused that.
	togetherWindow = 200 * time.Millisecond
	minTogether    = 4
	togetherShare  = 0.75
	// judgeInterval is how often the bans follow the evidence, which changes with each message in a storm of crashes.
	judgeInterval = 100 * time.Millisecond
	// maxCrashes bounds the crashes that are kept, maxSuspects the traits that are kept for one crash and
	// maxAccusations those of all crashes. A server may run a hundred requests with dozens of parts each.
	maxCrashes, maxSuspects, maxAccusations = 256, 2048, 16_384
	// maxUnsent bounds the messages that wait while no gossip is sent; the published evidence has their content.
	maxUnsent = 1024
	// tellInterval is the least time between two answers of which the others are told that they clear the same trait.
	tellInterval = time.Second
	// maxProven is the number of proven traits from which old ones are deleted.
	maxProven = 20_000
	// maxRequests is the number of answered requests that are kept although nobody suspects them.
	maxRequests = 8192
	// sweepInterval is the least time between two deletions of old proven traits, and of suspects that answers cleared.
	sweepInterval = time.Second
)

// Store reads and writes the objects that hold the evidence of entries.
type Store interface {
	Get(ctx context.Context, key string) (storer.Object, error)
	Put(ctx context.Context, key string, value []byte, expect model.Revision) (model.Revision, error)
}

// Config configures a Quarantiner.
type Config struct {
	Self  model.InstanceID
	Store Store
	// SharedKind is the kind of the objects that hold the evidence of all entries.
	SharedKind string
	Meter      *meter.Meter
	Log        zerolog.Logger
}

// Quarantiner tracks the crashes of backend servers and the traits that caused them.
type Quarantiner struct {
	cfg Config

	mu       sync.RWMutex
	evidence evidence
	// bans holds when the ban of each banned trait ends.
	bans map[model.TraitID]time.Time
	// unjudged is set while the evidence has changed since judgedAt, when the bans were last brought up to date.
	unjudged bool
	judgedAt time.Time
	// own holds the crashes that this entry saw, and told the time of the last of its answers of which it told the others
	// that it cleared a trait. Both are published.
	own  map[model.ServerLifetime]*crashMessage
	told map[model.TraitID]time.Time
	// doubted counts the crashes for which other entries suspect a trait that an answer at this one has cleared.
	doubted map[model.TraitID]int
	// trials holds the requests that ran although they were banned, at any entry.
	trials map[model.TraitID]trials
	// trying holds when the trials began whose outcome is not known yet, at any entry.
	trying map[model.TraitID]time.Time
	// claiming is set while the entry claims a trial; it makes none before nextClaim.
	claiming  bool
	nextClaim time.Time
	// unsent holds what the other entries have not been sent yet.
	unsent []message
	// changed wakes Run after a change of what is published.
	changed chan struct{}
	// lost wakes Run when the store has lost what was published.
	lost chan struct{}
	// written is the evidence that was written last, without a revision if the store may have another. Only the goroutine
	// that publishes uses it.
	written storer.Object
}

// New returns a Quarantiner without evidence.
func New(cfg Config) *Quarantiner {
	return &Quarantiner{
		cfg: cfg, evidence: newEvidence(), bans: map[model.TraitID]time.Time{},
		own: map[model.ServerLifetime]*crashMessage{}, told: map[model.TraitID]time.Time{}, doubted: map[model.TraitID]int{}, trials: map[model.TraitID]trials{},
		trying: map[model.TraitID]time.Time{}, changed: make(chan struct{}, 1), lost: make(chan struct{}, 1),
	}
}

// IsBanned reports whether a request with the traits must be refused.
func (q *Quarantiner) IsBanned(traits []model.Trait, now time.Time) bool {
	q.judgeIfDue(now)
	q.mu.RLock()
	defer q.mu.RUnlock()
	for _, t := range traits {
		if now.Before(q.bans[t.ID]) {
			return true
		}
	}
	return false
}

// RecordCrash records that a backend server crashed, and the traits of the requests that had not got a proven
// answer from it by then.
func (q *Quarantiner) RecordCrash(s model.ServerLifetime, suspects []model.Trait, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	added := q.evidence.addCrash(s, suspects, now)
	if len(added) == 0 {
		return
	}
	if c := q.own[s]; c == nil {
		q.own[s] = &crashMessage{Server: s, Traits: added}
	} else {
		c.Traits = append(c.Traits, added...)
	}
	q.send(message{Crashes: []crashMessage{{Server: s, Traits: added}}})
	q.endTrials(added)
	q.unjudged = true
	q.evidence.expire(now)
}

// send queues a message to the other entries and wakes Run. The caller holds the lock.
func (q *Quarantiner) send(m message) {
	if len(q.unsent) < maxUnsent {
		q.unsent = append(q.unsent, m)
	}
	q.wake()
}

// RecordProven records that a request with the traits got an answer that is too long for it to have crashed the
// backend server as it began.
func (q *Quarantiner) RecordProven(traits []model.Trait, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	cleared := false
	for _, t := range traits {
		suspected := q.evidence.crashCount(t.ID) >= banThreshold-1
		q.evidence.prove(t.ID, t.Depth, now, true)
		if suspected {
			q.tellProven(t.ID, now, now)
			cleared = true
		}
	}
	if cleared {
		q.unjudged = true
	}
}

// tellProven publishes that an answer of this entry, which came at a time, cleared a trait. The caller holds the lock.
func (q *Quarantiner) tellProven(t model.TraitID, at, now time.Time) {
	if last, ok := q.told[t]; ok && at.Sub(last) < tellInterval {
		return
	}
	q.told[t] = at
	q.send(message{Proven: []model.TraitID{t}, Age: now.Sub(at).Milliseconds()})
}

// judgeIfDue brings the bans up to date with the evidence, if it has changed, once in judgeInterval.
func (q *Quarantiner) judgeIfDue(now time.Time) {
	q.mu.RLock()
	due := q.unjudged && now.Sub(q.judgedAt) >= judgeInterval
	q.mu.RUnlock()
	if !due {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.unjudged {
		return
	}
	q.evidence.expire(now)
	q.evidence.acquitCleared(now)
	bans, settled := q.evidence.bans(now)
	q.unjudged, q.judgedAt = !settled, now
	for t, until := range bans {
		if _, ok := q.bans[t]; !ok {
			q.cfg.Meter.Count("quarantine/banned", 1)
			q.cfg.Log.Warn().Str("trait", string(t)).Int("crashed", q.evidence.crashCount(t)).Dur("ban", until.Sub(now)).
				Msg("quarantiner: backend servers crashed on a trait, requests with it are refused")
		}
	}
	for t, until := range q.bans {
		if _, ok := bans[t]; !ok && now.Before(until) {
			q.cfg.Meter.Count("quarantine/lifted", 1)
			q.cfg.Log.Warn().Str("trait", string(t)).Msg("quarantiner: a trait is no longer suspected of crashes, requests with it are accepted")
		}
	}
	q.bans = bans
}

func (q *Quarantiner) wake() {
	select {
	case q.changed <- struct{}{}:
	default:
	}
}
