package limiter

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"github.com/bramleyhinge/bramleyhinge/internal/meter"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// coldFleet is a group of entries, of which each knows those that joined before it or that it was told of.
type coldFleet struct {
	instances []model.Instance
	entries   []*ColdServers
	// joined holds when each entry starts, and lag how long the others take to learn of it.
	joined []time.Duration
	lag    time.Duration
	at     time.Duration
}

func newColdFleet(n int, joined []time.Duration, lag time.Duration, bound model.ColdSettings) *coldFleet {
	f := &coldFleet{joined: joined, lag: lag}
	for i := range n {
		f.instances = append(f.instances, model.Instance{Instance: model.InstanceID(fmt.Sprint("e", i)), Place: model.Place{
			Region: model.RegionID(fmt.Sprint("r", i%3)), Domain: model.DomainID(fmt.Sprint("d", i%6)),
		}})
		f.entries = append(f.entries, NewColdServers(ColdServersConfig{
			Self: f.instances[i], Members: func() []model.Instance { return f.known(i) }, Meter: meter.New(), Log: zerolog.Nop(),
		}, bound))
	}
	return f
}

func (f *coldFleet) known(i int) (out []model.Instance) {
	for j, other := range f.instances {
		if j != i && (f.joined[j] <= f.joined[i] || f.joined[j]+f.lag <= f.at) {
			out = append(out, other)
		}
	}
	return out
}

// TestColdServersGetTooMuch guards against a cold server that gets more than it bears in some second, whatever the
// entries want to send: while entries start, are added, freeze, or learn late that it is cold.
func TestColdServersGetTooMuch(t *testing.T) {
	const step, length, window = 20 * time.Millisecond, 12 * time.Second, time.Second
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(t, "entries")
		s := limitedServer
		s.ColdRate = model.Rate(rapid.Float64Range(0.5, 40).Draw(t, "rate"))
		bound := model.ColdSettings{Over: rapid.Float64Range(1.1, 3).Draw(t, "over"), Slack: rapid.Float64Range(0, 20).Draw(t, "slack")}
		joined, heard, wishes, frozen := make([]time.Duration, n), make([]time.Duration, n), make([]float64, n), make([]time.Duration, n)
		for i := range n {
			// At most as many entries join late as the bound leaves room for.
			if i >= n-joiningSharers && i > 0 {
				joined[i] = time.Duration(rapid.IntRange(0, 8000).Draw(t, "joined")) * time.Millisecond
			}
			heard[i] = joined[i] + time.Duration(rapid.IntRange(0, 3000).Draw(t, "heard"))*time.Millisecond
			wishes[i] = rapid.SampledFrom([]float64{0, 0.01, 0.3, 1}).Draw(t, "wish")
			frozen[i] = time.Duration(rapid.IntRange(0, 12).Draw(t, "frozen")) * time.Second
		}
		fleet := newColdFleet(n, joined, 600*time.Millisecond, bound)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		var sent []time.Duration
		for at := time.Duration(0); at < length; at += step {
			fleet.at = at
			for i, e := range fleet.entries {
				if at < heard[i] || at > frozen[i] && at < frozen[i]+3*time.Second || random.Float64() >= wishes[i] {
					continue
				}
				for range 3 {
					if e.Take(s, epoch.Add(at)) {
						sent = append(sent, at)
					}
				}
			}
		}
		allowed := float64(s.ColdRate)*bound.Over + bound.Slack
		for i, from := range sent {
			if n, _ := slices.BinarySearch(sent[i:], from+window); float64(n) > max(allowed, 1) {
				t.Fatalf("%d requests in %v from %v on, %v are allowed", n, window, from, allowed)
			}
		}
	})
}

// TestColdServersAreUsed guards against limits that leave cold servers idle: with requests at all entries, a server
// gets at least four fifths of what it tolerates, also beside forty entries.
func TestColdServersAreUsed(t *testing.T) {
	for _, n := range []int{1, 5, 28, 40, 300} {
		s := limitedServer
		s.ColdRate = 12
		fleet := newColdFleet(n, make([]time.Duration, n), 0, model.ColdSettings{Over: 1.5, Slack: 5})
		sent := 0
		const length = 10 * time.Second
		for at := time.Duration(0); at < length; at += 20 * time.Millisecond {
			for _, e := range fleet.entries {
				if e.Take(s, epoch.Add(at)) {
					sent++
				}
			}
		}
		if want := int(0.8 * float64(s.ColdRate) * length.Seconds()); sent < want {
			t.Errorf("%d entries sent %d requests in %v, want %d or more", n, sent, length, want)
		}
	}
}

// TestColdBoundIsMissing guards against settings without a bound, which must not lift the limit.
func TestColdBoundIsMissing(t *testing.T) {
	s := limitedServer
	s.ColdRate = 4
	fleet := newColdFleet(1, make([]time.Duration, 1), 0, model.ColdSettings{})
	sent := 0
	for at := time.Duration(0); at < 10*time.Second; at += 10 * time.Millisecond {
		if fleet.entries[0].Take(s, epoch.Add(at)) {
			sent++
		}
	}
	if sent == 0 || sent > 40 {
		t.Errorf("%d requests in 10 s at a rate of 4 a second", sent)
	}
}
