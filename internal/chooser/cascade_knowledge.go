package chooser

import (
	"math"
	"math/bits"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	// maxCascadeModels is the number of models of a route of which something is learned. Routes with more keep
	// the rule of Cascade.
	maxCascadeModels = 4
	// cascadeLevels is the number of keys of a request, from the route to the session.
	cascadeLevels = 4
	// maxCascadeRecords bounds the memory: 4,096 records of 216 bytes and their index take about 1 MB.
	maxCascadeRecords = 4096
	// evictionSample is the number of records of which the one with the fewest answers is evicted.
	evictionSample = 8
	// cascadeHalfLife is the time in which an answer loses half its weight. Loads and prompts change within
	// minutes, and a route with one request a second still has more than minRouteAnswers.
	cascadeHalfLife = 10 * time.Minute
	// decayInterval is the age from which on a record is decayed; at one second the loss is 0.1%.
	decayInterval = time.Second
	// maxAnswers bounds the weight of old answers at busy keys, so that a change shows after as many requests.
	maxAnswers = 200
	// minRouteAnswers is the number of first answers of the smallest model after which a route counts as
	// learned: the standard error of a share is then 0.09 at most. It stops to count below keepRouteAnswers, so
	// that a route with few requests does not alternate between both rules.
	minRouteAnswers  = 30
	keepRouteAnswers = 10
	// minKeyAnswers is the number of answers from which on a more specific key decides. With fewer, the next
	// more general one does.
	minKeyAnswers = 16
	// minMiddleAnswers is the number of answers of a model in between from which on its share is known; the standard
	// error is then 0.11 at most, a third of what makes such a model worth its cost. It is known until there are fewer
	// than keepMiddleAnswers.
	minMiddleAnswers  = 20
	keepMiddleAnswers = 10
	// priorAnswers is the number of answers as expected that are added to those of a key, so that a run of answers that
	// are alike by chance changes little. Answers after a dropped one are rare, and a model in between is asked
	// because of them, so they need more.
	priorAnswers     = 8
	priorStepAnswers = 24
	// minBucketTokens is the bound of the first bucket of prompt lengths; each further one is twice as long.
	minBucketTokens = 128
	// maxBucket is the last bucket, of prompts from 65,536 tokens on.
	maxBucket = 10
)

// CascadeKeys are the keys under which answers to a request are learned, the most general first: route; route and
// prompt length; these and the organisation; route, organisation and session. All contain the rank, which sets what
// suffices, and the models.
type CascadeKeys struct {
	hashes [cascadeLevels]uint64
	n      int
	bucket int
}

// CascadeRequest describes a request to NewCascadeKeys.
type CascadeRequest struct {
	Route        model.RouteID
	Organisation model.OrganisationID
	// Session is empty if the request has none.
	Session string
	Rank    int
	// PromptTokens is the length of the prompt.
	PromptTokens model.Tokens
	Models       []model.ModelID
}

// NewCascadeKeys returns the keys of a request. They are computed once per request.
func NewCascadeKeys(r CascadeRequest) CascadeKeys {
	b := make([]byte, 0, 256)
	b = append(append(b, r.Route...), 0)
	for _, m := range r.Models {
		b = append(append(b, m...), 0)
	}
	b = strconv.AppendInt(b, int64(r.Rank), 10)
	k := CascadeKeys{n: 3, bucket: promptBucket(r.PromptTokens)}
	k.hashes[0] = xxhash.Sum64(b)
	route := len(b)
	b = strconv.AppendInt(append(b, 0, 'l'), int64(k.bucket), 10)
	k.hashes[1] = xxhash.Sum64(b)
	b = append(append(b, 0, 'o'), r.Organisation...)
	k.hashes[2] = xxhash.Sum64(b)
	if r.Session == "" {
		return k
	}
	b = append(append(b[:route], 0, 's'), r.Organisation...)
	b = append(append(b, 0), r.Session...)
	k.hashes[3], k.n = xxhash.Sum64(b), cascadeLevels
	return k
}

// promptBucket returns the bucket of a prompt length.
func promptBucket(tokens model.Tokens) int {
	return min(bits.Len(uint(max(tokens, 0)/minBucketTokens)), maxBucket)
}

// answerCount is a decayed number of answers, how many of them sufficed, and how many were expected to by the next more
// general key.
type answerCount struct{ answers, sufficient, expected float32 }

// cascadeDecision is the decision in force for prompts of a length at a key.
type cascadeDecision struct {
	// changed is the Unix time of the last change in seconds.
	changed uint32
	// decided is set once start and next hold: the model that starts, and the one that follows each dropped one, but
	// for the last two models; 0 stands for the largest.
	decided bool
	start   uint8
	next    [maxCascadeModels - 2]uint8
}

// cascadeRecord is what is learned of one key, and the decisions in force there.
type cascadeRecord struct {
	hash uint64
	// decayed is the time of the last decay in Unix nanoseconds.
	decayed int64
	// first counts the answers of each model that answered first, after those of each that followed a dropped one.
	first, after [maxCascadeModels]answerCount
	// learned is set on the record of a route while enough is known of it, firstKnown and afterKnown while enough is
	// known of a model there.
	learned                bool
	firstKnown, afterKnown [maxCascadeModels]bool
	decisions              [maxBucket + 1]cascadeDecision
}

// answers returns the number of first answers.
func (r *cascadeRecord) answers() float32 {
	n := float32(0)
	for _, c := range r.first {
		n += c.answers
	}
	return n
}

func (r *cascadeRecord) decay(now time.Time) {
	age := time.Duration(now.UnixNano() - r.decayed)
	if age < decayInterval {
		return
	}
	r.decayed = now.UnixNano()
	f := float32(math.Exp2(-float64(age) / float64(cascadeHalfLife)))
	for i := range r.first {
		r.first[i].scale(f)
		r.after[i].scale(f)
	}
}

func (c *answerCount) scale(f float32) { c.answers *= f; c.sufficient *= f; c.expected *= f }

func (c *answerCount) add(suffices bool, expected float64) {
	if c.answers >= maxAnswers {
		c.scale(1 - 1.0/maxAnswers)
	}
	c.answers++
	c.expected += float32(expected)
	if suffices {
		c.sufficient++
	}
}

// correct returns the share of sufficient answers if the next more general key expects a share. Only what differs from
// expectations counts, since a session with prompts of all lengths says nothing of its next prompt by its mean.
func (c answerCount) correct(general, prior float64) float64 {
	p := general + float64(c.sufficient-c.expected)/(float64(c.answers)+prior)
	return min(max(p, 0), 1)
}

// share returns the share of sufficient answers of a route, 0.5 without any.
func (c answerCount) share() float64 {
	if c.answers <= 0 {
		return 0.5
	}
	return float64(c.sufficient) / float64(c.answers)
}

// cascadeKnowledge holds the records of all keys. The load is that of thousands of sessions and organisations of which
// most send few requests: records that hold the fewest answers make room for new ones.
type cascadeKnowledge struct {
	mu      sync.Mutex
	records []cascadeRecord
	index   map[uint64]int
	hand    int
	shares  cascadeShares
}

func newCascadeKnowledge() *cascadeKnowledge {
	return &cascadeKnowledge{index: map[uint64]int{}}
}

// find returns the record of a key, decayed to now, or nil.
func (k *cascadeKnowledge) find(hash uint64, now time.Time) *cascadeRecord {
	i, ok := k.index[hash]
	if !ok {
		return nil
	}
	r := &k.records[i]
	r.decay(now)
	return r
}

// findOrAdd returns the record of a key and adds one if it has none, at the cost of the record with the fewest answers
// of a sample once the table is full.
func (k *cascadeKnowledge) findOrAdd(hash uint64, now time.Time) *cascadeRecord {
	if r := k.find(hash, now); r != nil {
		return r
	}
	i := len(k.records)
	if i < maxCascadeRecords {
		k.records = append(k.records, cascadeRecord{})
	} else {
		i = k.leastImportant(now)
		delete(k.index, k.records[i].hash)
	}
	k.records[i] = cascadeRecord{hash: hash, decayed: now.UnixNano()}
	k.index[hash] = i
	return &k.records[i]
}

func (k *cascadeKnowledge) leastImportant(now time.Time) int {
	best, fewest := 0, float32(math.MaxFloat32)
	for range evictionSample {
		k.hand = (k.hand + 1) % len(k.records)
		r := &k.records[k.hand]
		r.decay(now)
		if n := r.answers(); n < fewest {
			best, fewest = k.hand, n
		}
	}
	return best
}

// observe counts an answer of the model at a position, the first one or one that followed a dropped one.
func (k *cascadeKnowledge) observe(keys CascadeKeys, position int, followed, suffices bool, now time.Time) {
	if position < 0 || position >= maxCascadeModels {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	route := k.findOrAdd(keys.hashes[0], now)
	c, known := &route.first[position], &route.firstKnown[position]
	if followed {
		c, known = &route.after[position], &route.afterKnown[position]
	}
	expected := c.share()
	c.add(suffices, 0)
	k.shares.add(keys.hashes[0], position, followed, suffices, 0)
	route.updateLearned()
	if !*known {
		// What the route expects is still too uncertain to tell what is different at more specific keys.
		return
	}
	for level, hash := range keys.hashes[1:keys.n] {
		r := k.findOrAdd(hash, now)
		c, prior, decides := &r.first[position], float64(priorAnswers), r.answers() >= minKeyAnswers
		if followed {
			c, prior = &r.after[position], priorStepAnswers
		}
		before := expected
		if decides {
			expected = c.correct(expected, prior)
		}
		c.add(suffices, before)
		if level+1 < sharedLevels {
			k.shares.add(hash, position, followed, suffices, before)
		}
	}
}

// updateLearned sets of what enough is known at a route.
func (r *cascadeRecord) updateLearned() {
	known := func(was bool, n, enough, keep float32) bool { return n >= enough || was && n >= keep }
	r.learned = known(r.learned, r.first[0].answers, minRouteAnswers, keepRouteAnswers)
	for i := range r.first {
		r.firstKnown[i] = known(r.firstKnown[i], r.first[i].answers, minMiddleAnswers, keepMiddleAnswers)
		r.afterKnown[i] = known(r.afterKnown[i], r.after[i].answers, minMiddleAnswers, keepMiddleAnswers)
	}
}

// forecast is how likely the models' answers to a request suffice.
type forecast struct {
	// first holds the shares of first answers that suffice, after those of answers that follow a dropped one;
	// a negative one is unknown.
	first, after [maxCascadeModels]float64
	// fresh reports of which models so many answers after a dropped one are known that fewer trials keep them known.
	fresh [maxCascadeModels]bool
	// decision is the one in force at the most specific key with enough answers; key is that key.
	decision *cascadeDecision
	key      uint64
}

// forecast returns the forecast for n models, and false if not enough is known of the route. It needs the lock.
func (k *cascadeKnowledge) forecast(keys CascadeKeys, n int, now time.Time) (forecast, bool) {
	if n < 2 || n > maxCascadeModels || keys.n == 0 {
		return forecast{}, false
	}
	route := k.find(keys.hashes[0], now)
	if route == nil {
		return forecast{}, false
	}
	if route.updateLearned(); !route.learned {
		return forecast{}, false
	}
	f := forecast{decision: &route.decisions[keys.bucket], key: keys.hashes[0]}
	for i := range n {
		f.first[i], f.after[i] = -1, -1
		if i == 0 || route.firstKnown[i] {
			f.first[i] = route.first[i].share()
		}
		if route.afterKnown[i] {
			f.after[i] = route.after[i].share()
		}
		f.fresh[i] = route.after[i].answers >= minMiddleAnswers
	}
	for _, hash := range keys.hashes[1:keys.n] {
		r := k.find(hash, now)
		if r == nil || r.answers() < minKeyAnswers {
			continue
		}
		for i := range n {
			if f.first[i] >= 0 {
				f.first[i] = r.first[i].correct(f.first[i], priorAnswers)
			}
			if f.after[i] >= 0 {
				f.after[i] = r.after[i].correct(f.after[i], priorStepAnswers)
			}
		}
		d := &r.decisions[keys.bucket]
		if !d.decided {
			// A key that starts to decide goes on with the decision of the more general one.
			*d = *f.decision
		}
		f.decision, f.key = d, hash
	}
	f.complete(n)
	return f, true
}

// complete derives what is not observed. The largest model's answer is the one that is given if all else fails, so it
// counts as sufficient whatever it says of itself. A model in between that has answered only after dropped answers
// suffices where the smallest does, and in its share of the rest.
func (f *forecast) complete(n int) {
	f.first[n-1], f.after[n-1], f.fresh[n-1] = 1, 1, true
	for i := 1; i < n-1; i++ {
		if f.first[i] < 0 && f.after[i] >= 0 {
			f.first[i] = f.first[0] + (1-f.first[0])*f.after[i]
		}
	}
}
