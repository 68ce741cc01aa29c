package quarantiner

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/pauser"
	"github.com/bramleyhinge/bramleyhinge/internal/storer"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	// maxMessageTraits is the number of traits in one message to other entries, which must fit into a packet.
	maxMessageTraits = 16
	// maxPublished is the number of crashes that an entry publishes, and maxPublishedTraits the number of suspects of
	// each; older crashes and less likely suspects are left out.
	maxPublished, maxPublishedTraits = 64, 128
	// writeTimeout bounds one attempt to publish, writeRetryPause is the pause before the next one.
	writeTimeout    = 2 * time.Second
	writeRetryPause = time.Second
	// publishPause is the time between two writes: while servers crash the evidence changes all the time, and messages
	// tell the other entries at once.
	publishPause = 1500 * time.Millisecond
	// restateSpread is the time over which the entries spread the writes of evidence that the store has lost.
	restateSpread = 3 * time.Second
)

// message is what an entry tells the others: crashes that it saw, traits that its answers cleared, and banned traits that it
// tries.
type message struct {
	Crashes []crashMessage  `json:"crashes,omitempty"`
	Proven  []model.TraitID `json:"proven,omitempty"`
	// Age is how long ago the answers were that cleared them, in milliseconds.
	Age   int64           `json:"age,omitempty"`
	Tried []model.TraitID `json:"tried,omitempty"`
}

// crashMessage is a crash with the suspects that the sender does not know to be harmless.
type crashMessage struct {
	Server model.ServerLifetime `json:"server"`
	Traits []model.Trait        `json:"traits"`
	// UnixMilli is set only in stored objects: messages tell of what just happened.
	UnixMilli int64 `json:"at,omitempty"`
}

// storedEvidence is the stored form of the evidence of one entry. Proven holds Unix times in milliseconds.
type storedEvidence struct {
	Crashes []crashMessage          `json:"crashes"`
	Proven  map[model.TraitID]int64 `json:"proven,omitempty"`
}

// Broadcasts returns the encoded evidence that was not yet sent to the other entries.
func (q *Quarantiner) Broadcasts(time.Time) [][]byte {
	q.mu.Lock()
	unsent := q.unsent
	q.unsent = nil
	q.mu.Unlock()
	var out [][]byte
	for _, m := range unsent {
		for _, part := range m.split() {
			b, err := json.Marshal(part)
			if err != nil {
				q.cfg.Log.Error().Err(err).Msg("quarantiner: evidence cannot be encoded and is not sent")
				continue
			}
			out = append(out, b)
		}
	}
	return out
}

// split returns the message as messages of at most maxMessageTraits traits.
func (m message) split() []message {
	if len(m.Crashes) == 0 {
		return []message{m}
	}
	var out []message
	for _, c := range m.Crashes {
		for traits := range slices.Chunk(c.Traits, maxMessageTraits) {
			out = append(out, message{Crashes: []crashMessage{{Server: c.Server, Traits: traits}}})
		}
	}
	return out
}

// OnBroadcast takes over the evidence in a message from another entry.
func (q *Quarantiner) OnBroadcast(b []byte, now time.Time) {
	var m message
	if err := json.Unmarshal(b, &m); err != nil {
		q.cfg.Log.Debug().Err(err).Msg("quarantiner: evidence of another entry cannot be read")
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, c := range m.Crashes {
		q.accuse(c, now, now)
		q.endTrials(c.Traits)
	}
	for _, t := range m.Proven {
		// An old answer must not clear the crashes that came after it.
		q.evidence.prove(t, 0, pastTime(now.UnixMilli()-min(max(m.Age, 0), banDuration.Milliseconds()), now), false)
	}
	for _, t := range m.Tried[:min(len(m.Tried), maxMessageTraits)] {
		if len(q.trying) < maxTrials {
			q.trying[t] = now
		}
	}
	q.unjudged = true
	q.evidence.expire(now)
}

// accuse adds a crash that another entry saw, and clears suspects which this entry knows to be harmless once they are
// suspected of several. The caller holds the lock.
func (q *Quarantiner) accuse(c crashMessage, at, now time.Time) {
	q.evidence.addCrash(c.Server, c.Traits, at)
	for _, t := range c.Traits {
		if !q.evidence.proven[t.ID].own.After(at.Add(-provenGrace)) {
			continue
		}
		if len(q.doubted) >= maxProven {
			clear(q.doubted)
		}
		if q.doubted[t.ID]++; q.doubted[t.ID] >= banThreshold-1 {
			q.tellProven(t.ID, q.evidence.proven[t.ID].own, now)
		}
	}
}

const evidencePrefix = "crashes."

func (q *Quarantiner) evidenceKey() string {
	return q.cfg.SharedKind + "/" + evidencePrefix + string(q.cfg.Self)
}

// Merge takes over the evidence in an object that an entry published, also this one before a restart, and the trials of
// all entries; it ignores other objects of the same kind.
func (q *Quarantiner) Merge(o storer.Object, now time.Time) {
	if o.Key == q.trialsKey() {
		q.mu.Lock()
		defer q.mu.Unlock()
		if err := q.mergeTrials(o.Value, now); err != nil {
			q.cfg.Log.Error().Err(err).Str("key", o.Key).Msg("quarantiner: the trials of banned requests are ignored")
		}
		return
	}
	if !strings.HasPrefix(o.Key, q.cfg.SharedKind+"/"+evidencePrefix) {
		return
	}
	var m storedEvidence
	if err := json.Unmarshal(o.Value, &m); err != nil {
		q.cfg.Log.Error().Err(err).Str("key", o.Key).Msg("quarantiner: published evidence cannot be read and is ignored")
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, c := range m.Crashes[:min(len(m.Crashes), maxPublished)] {
		at := pastTime(c.UnixMilli, now)
		if now.Sub(at) >= banDuration {
			continue
		}
		if o.Key == q.evidenceKey() && q.own[c.Server] == nil {
			q.own[c.Server] = &crashMessage{Server: c.Server, Traits: c.Traits}
		}
		q.accuse(c, at, now)
	}
	for t, unixMilli := range m.Proven {
		at := pastTime(unixMilli, now)
		if _, ok := q.told[t]; !ok && o.Key == q.evidenceKey() {
			q.told[t] = at
		}
		q.evidence.prove(t, 0, at, false)
	}
	q.unjudged = true
	q.evidence.expire(now)
}

// pastTime converts a Unix time in milliseconds to the local clock. A time in the future is that of a clock that
// differs; times before banDuration no longer count and are not told apart.
func pastTime(unixMilli int64, now time.Time) time.Time {
	nowMilli := now.UnixMilli()
	oldest := nowMilli - banDuration.Milliseconds()
	return now.Add(-time.Duration(nowMilli-min(max(unixMilli, oldest), nowMilli)) * time.Millisecond)
}

// Run publishes this entry's evidence whenever it changes, until the context ends. An entry that starts learns of
// all crashes from the published evidence.
func (q *Quarantiner) Run(ctx context.Context) {
	next := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-q.changed:
		case <-q.lost:
			q.written = storer.Object{}
			pauser.Pause(ctx, rand.N(restateSpread))
		}
		pauser.Pause(ctx, time.Until(next))
		for {
			err := q.publish(ctx, time.Now())
			if err == nil || ctx.Err() != nil {
				break
			}
			q.cfg.Log.Warn().Err(err).Str("key", q.evidenceKey()).Msg("quarantiner: evidence could not be published to other entries")
			select {
			case <-ctx.Done():
			case <-time.After(writeRetryPause):
			}
		}
		next = time.Now().Add(publishPause)
	}
}

// RestateLost publishes this entry's evidence again if the store lacks any of it. The function stored looks up what the
// store holds after it came back from a copy.
func (q *Quarantiner) RestateLost(stored func(key string) (storer.Object, bool), now time.Time) {
	own := q.published(now)
	o, ok := stored(q.evidenceKey())
	if !ok && len(own.Crashes)+len(own.Proven) == 0 {
		return
	}
	var m storedEvidence
	if ok && json.Unmarshal(o.Value, &m) == nil && len(m.Crashes) >= len(own.Crashes) && len(m.Proven) >= len(own.Proven) {
		return
	}
	q.cfg.Log.Info().Str("key", q.evidenceKey()).Int("crashes", len(own.Crashes)).Msg("quarantiner: the store has lost evidence, publishing it again")
	select {
	case q.lost <- struct{}{}:
	default:
	}
}

// publish writes this entry's evidence if it changed. It reads what the store has unless the last write told.
func (q *Quarantiner) publish(ctx context.Context, now time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	o := q.written
	q.written = storer.Object{}
	if o.Revision == 0 {
		var err error
		o, err = q.cfg.Store.Get(ctx, q.evidenceKey())
		if err != nil && !storer.IsKind(err, storer.KindNotFound) {
			return err
		}
		if err == nil {
			q.Merge(o, now)
		}
	}
	b, err := json.Marshal(q.published(now))
	if err != nil {
		return fmt.Errorf("encode evidence %s: %w", q.evidenceKey(), err)
	}
	if string(b) != string(o.Value) {
		if o.Revision, err = q.cfg.Store.Put(ctx, q.evidenceKey(), b, o.Revision); err != nil {
			return err
		}
		o.Value = b
	}
	q.written = o
	return nil
}

// published returns what this entry publishes, and forgets what no longer counts.
func (q *Quarantiner) published(now time.Time) storedEvidence {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := storedEvidence{Crashes: []crashMessage{}, Proven: map[model.TraitID]int64{}}
	for s, c := range q.own {
		known := q.evidence.crashes[s]
		if known == nil {
			delete(q.own, s)
			continue
		}
		out.Crashes = append(out.Crashes, crashMessage{Server: s, Traits: q.evidence.likeliest(known, c.Traits), UnixMilli: known.at.UnixMilli()})
	}
	slices.SortFunc(out.Crashes, func(a, b crashMessage) int {
		return cmp.Or(cmp.Compare(b.UnixMilli, a.UnixMilli), cmp.Compare(a.Server.Backend, b.Server.Backend))
	})
	out.Crashes = out.Crashes[:min(len(out.Crashes), maxPublished)]
	for t, at := range q.told {
		if now.Sub(at) >= banDuration {
			delete(q.told, t)
			continue
		}
		out.Proven[t] = at.UnixMilli()
	}
	return out
}
