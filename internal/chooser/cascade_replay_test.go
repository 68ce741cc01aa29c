package chooser

import (
	"cmp"
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/tester"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	defaultReplayed       = 20_000
	defaultReplayInterval = 100 * time.Millisecond
	// replayFloor is the floor of the only rank.
	replayFloor = 65
)

type replayCase struct {
	Name string
	Seed uint64
	// Entries is the number of entries that the requests come to in turn, 1 if it is 0. Silent means that messages
	// between them are lost.
	Entries int
	Silent  bool
	// Requests and Interval are 20,000 and 100 ms if they are 0.
	Requests int
	Interval time.Duration
	By       string
	Groups   [][]float64
	// Wrong is the share of wrong confidences, a tenth if it is 0.
	Wrong       float64
	Least, Most float64
	// Unchanged means that requests that are not drawn for exploration must be decided as today, Unlearned that all
	// must be, as no decision may count as learned.
	Unchanged, Unlearned bool
}

// replayed is a recorded request: what each model would say of its answer, and whether it is good.
type replayed struct {
	request      CascadeRequest
	confidence   [3]int
	good         [3]bool
	start, after float64
}

// replayTotals are the results of a rule.
type replayTotals struct {
	// cost is in runs of the largest model, accepted and good are numbers of answers: those whose confidence
	// reached the floor or that the largest model gave, and those that are good.
	cost                          float64
	runs, dropped, accepted, good int
	starts                        [3]int
	// changed counts the decisions that differ from today's without exploration, learned those that were learned.
	changed, learned int
	// switches counts the requests without exploration that start at another model than the last one of the same
	// keys, of which there are keys.
	switches, keys int
}

var replayOptions = []ModelOption{
	{Model: "small", Cost: 0.018, Wait: 60 * time.Millisecond, Answer: 500 * time.Millisecond},
	{Model: "middle", Cost: 0.13, Wait: 100 * time.Millisecond, Answer: time.Second},
	{Model: "large", Cost: 0.27, Wait: 150 * time.Millisecond, Answer: 2 * time.Second},
}

func (c replayCase) requests() []replayed {
	r := rand.New(rand.NewPCG(c.Seed, 0))
	wrong := c.Wrong
	if wrong == 0 {
		wrong = 0.1
	}
	var out []replayed
	for range cmp.Or(c.Requests, defaultReplayed) {
		session := r.IntN(100)
		q := CascadeRequest{
			Route: model.RouteID("route" + strconv.Itoa(session/2%2)), Organisation: model.OrganisationID("org" + strconv.Itoa(session%5)),
			Session: strconv.Itoa(session), PromptTokens: model.Tokens(100 * math.Exp(r.Float64()*math.Log(120))), Models: []model.ModelID{"small", "middle", "large"},
		}
		n := len(c.Groups)
		group := map[string]int{
			"nothing": 0, "route": session / 2 % 2 % n, "session": session % n, "tokens": min(n*promptBucket(q.PromptTokens)/7, n-1),
		}[c.By]
		// A request that is too hard for a model is too hard for all smaller ones.
		d, difficulty := replayed{request: q, start: r.Float64(), after: r.Float64()}, r.Float64()
		for i, share := range c.Groups[group] {
			d.good[i] = difficulty < share
			d.confidence[i] = r.IntN(replayFloor)
			if d.good[i] != (r.Float64() < wrong) {
				d.confidence[i] = replayFloor + r.IntN(maxConfidence-replayFloor+1)
			}
		}
		out = append(out, d)
	}
	return out
}

// replay decides the requests by the learned rule or by today's.
func (c replayCase) replay(requests []replayed, learned bool) replayTotals {
	var t replayTotals
	var entries []*AdaptiveCascade
	for i := range max(c.Entries, 1) {
		entries = append(entries, NewAdaptiveCascade(CascadeConfig{Floors: []int{replayFloor}, Seed: 1e9 * uint64(i)}))
	}
	lastStart := map[CascadeKeys]model.ModelID{}
	now := time.Unix(1_800_000_000, 0)
	for i, d := range requests {
		a := entries[i%len(entries)]
		now = now.Add(cmp.Or(c.Interval, defaultReplayInterval))
		keys := NewCascadeKeys(d.request)
		in := CascadeInput{
			Keys: keys, Options: replayOptions, Attempts: 3, RetryAllowed: true, TimeLeft: 10 * time.Second, LatencyTarget: 800 * time.Millisecond, Draw: d.start,
		}
		ran := a.First(d.request.Models)
		if learned {
			c := a.Start(in, now)
			t.observeStart(c, ran, lastStart[keys])
			if ran = c.Model; !c.Explored {
				lastStart[keys] = ran
			}
		}
		t.starts[indexOf(ran)]++
		in.Trial = false
		for step := 0; ; step++ {
			at := indexOf(ran)
			t.runs++
			t.cost += replayOptions[at].Cost / replayOptions[2].Cost
			in.Elapsed += replayOptions[at].Wait
			in.TimeLeft -= replayOptions[at].Wait
			in.Attempts, in.Draw = 2-step, d.after
			e := EscalationInput{
				Models: d.request.Models, Ran: ran, Confidence: d.confidence[at], Attempts: in.Attempts, RetryAllowed: true,
				AnswerDuration: replayOptions[2].Answer, TimeLeft: in.TimeLeft,
			}
			next, _ := a.Escalate(e)
			if learned {
				a.Observe(keys, at, d.confidence[at], 0, step > 0, now)
				c := a.Next(e, in, now)
				if next != c.Next && !c.Trial && !in.Trial {
					t.changed++
				}
				if c.Learned {
					t.learned++
				}
				next, in.Trial = c.Next, c.Trial
			}
			if next == "" {
				if at == 2 || d.confidence[at] >= replayFloor {
					t.accepted++
				}
				if d.good[at] {
					t.good++
				}
				break
			}
			t.dropped++
			ran = next
		}
		if !c.Silent {
			broadcast(a, entries, now)
		}
	}
	t.keys = len(lastStart)
	return t
}

// broadcast sends the message of an entry, if it has one, to the others.
func broadcast(from *AdaptiveCascade, entries []*AdaptiveCascade, now time.Time) {
	for _, message := range from.Broadcasts(now) {
		for _, e := range entries {
			if e != from {
				e.OnBroadcast(message, now)
			}
		}
	}
}

func (t *replayTotals) observeStart(c StartChoice, today, last model.ModelID) {
	if c.Learned {
		t.learned++
	}
	if c.Explored {
		return
	}
	if c.Model != today {
		t.changed++
	}
	if last != "" && c.Model != last {
		t.switches++
	}
}

func indexOf(m model.ModelID) int {
	return map[model.ModelID]int{"small": 0, "middle": 1, "large": 2}[m]
}

// TestCascadeLearnsFromRecordedDecisions replays sequences of requests under today's rule and the learned one. It guards
// against a rule that saves cost at the expense of answers, and against one that changes decisions by chance.
func TestCascadeLearnsFromRecordedDecisions(t *testing.T) {
	for _, c := range tester.Load[replayCase](t, "cascade_replays.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			requests := c.requests()
			before, after := c.replay(requests, false), c.replay(requests, true)
			ratio := after.cost / before.cost
			t.Logf("cost %.3f, runs %.3f of today's; good answers %.4f, today %.4f; starts %v; %d switches at %d keys",
				ratio, float64(after.runs)/float64(before.runs), float64(after.good)/float64(len(requests)), float64(before.good)/float64(len(requests)),
				after.starts, after.switches, after.keys)
			if ratio < c.Least || ratio > c.Most {
				t.Errorf("cost is %.3f of today's, want %g to %g", ratio, c.Least, c.Most)
			}
			if after.accepted < before.accepted {
				t.Errorf("%d answers suffice by their confidence, today %d", after.accepted, before.accepted)
			}
			if after.good < before.good {
				t.Errorf("%d answers are good, today %d", after.good, before.good)
			}
			if c.Unchanged && after.changed > 0 {
				t.Errorf("%d decisions differ from today's without exploration", after.changed)
			}
			if c.Unlearned && after.learned > 0 {
				t.Errorf("%d decisions count as learned", after.learned)
			}
			if after.switches > maxReplaySwitches*after.keys {
				t.Errorf("%d switches of the first model at %d keys", after.switches, after.keys)
			}
		})
	}
}

// maxReplaySwitches is the mean number of times that the first model at a key may change in a replay: once when it is
// learned and once when more is.
const maxReplaySwitches = 2
