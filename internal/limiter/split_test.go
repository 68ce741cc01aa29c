package limiter

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// TestSplit checks that grants do not exceed the limit, that an entry that reports no demand gets
// its even share, and that every demand is met if the rest of the limit covers all of them.
func TestSplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Float64Range(0, 1000).Draw(t, "limit")
		var entries []model.InstanceID
		demand := map[model.InstanceID]float64{}
		for i := range rapid.IntRange(1, 12).Draw(t, "entries") {
			e := model.InstanceID(fmt.Sprint("n", i))
			entries = append(entries, e)
			if rapid.Bool().Draw(t, "reports") {
				demand[e] = rapid.Float64Range(0, 500).Draw(t, "demand")
			}
		}
		grants := Split(limit, entries, demand)
		sum, demanded, reporting := 0.0, 0.0, 0
		for _, e := range entries {
			sum += grants[e]
			if d, ok := demand[e]; ok {
				reporting++
				demanded += d
			} else if math.Abs(grants[e]-limit/float64(len(entries))) > 1e-6 {
				t.Fatalf("entry without reported demand got %v of %v", grants[e], limit)
			}
		}
		if sum > limit+1e-6 {
			t.Fatalf("granted %v of %v", sum, limit)
		}
		rest := limit * float64(reporting) / float64(len(entries))
		for e, d := range demand {
			if demanded <= rest && grants[e] < d-1e-6 {
				t.Fatalf("%s got %v of %v although %v covers all demands", e, grants[e], d, rest)
			}
		}
	})
}

// TestIntegerParts checks that integer parts add up to the limit, both for the owner's grants and
// for even parts.
func TestIntegerParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(0, 50).Draw(t, "limit")
		var entries []model.InstanceID
		demand := map[model.InstanceID]float64{}
		for i := range rapid.IntRange(1, 20).Draw(t, "entries") {
			e := model.InstanceID(fmt.Sprint("n", i))
			entries = append(entries, e)
			demand[e] = rapid.Float64Range(0, 20).Draw(t, "demand")
		}
		granted, even := 0, 0
		for e, n := range SplitInt(limit, entries, demand) {
			granted += n
			even += EvenSplitInt(limit, "s/o/", e, entries)
		}
		if granted != limit || even != limit {
			t.Fatalf("granted %d and evenly %d of %d", granted, even, limit)
		}
	})
}

// TestExpiredGrant checks that an entry falls back to its even share once its grant has expired.
func TestExpiredGrant(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	l := New()
	k := Key{"s", "o"}
	org := model.Organisation{Organisation: "o", Concurrency: 10}
	l.SetGrant(k, model.Grant{Concurrency: 8}, now.Add(time.Second), now)
	admitted := func(at time.Time) int {
		n := 0
		for l.Admit(k, org, model.Grant{Concurrency: 2}, at) == nil {
			n++
		}
		for range n {
			l.Release(k)
		}
		return n
	}
	if got := admitted(now); got != 8 {
		t.Errorf("admitted %d with a grant of 8", got)
	}
	if got := admitted(now.Add(2 * time.Second)); got != 2 {
		t.Errorf("admitted %d after the grant expired, want an even share of 2", got)
	}
}

// TestDebt checks that a request is refused while the tokens or the money used exceed the limit.
func TestDebt(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	even := model.Grant{Concurrency: 100, Share: 0.5}
	cases := []struct {
		name   string
		org    model.Organisation
		tokens int
		cost   model.Money
		want   map[time.Duration]bool
	}{
		{"tokens", model.Organisation{Tokens: 100}, 1000, 0, map[time.Duration]bool{0: false, 9 * time.Second: false, 11 * time.Second: true}},
		{"money", model.Organisation{SpendRate: model.SpendRate(72 * model.Dollar)}, 0, model.Dollar / 5, map[time.Duration]bool{0: false, 9 * time.Second: false, 11 * time.Second: true}},
		{"no limit", model.Organisation{}, 1 << 30, 1 << 40, map[time.Duration]bool{0: true}},
	}
	for _, c := range cases {
		for after, want := range c.want {
			l := New()
			k := Key{"s", "o"}
			if l.Admit(k, c.org, even, now) != nil {
				t.Fatalf("%s: the first request was refused", c.name)
			}
			l.Charge(k, c.tokens, c.cost, now)
			if got := l.Admit(k, c.org, even, now.Add(after)) == nil; got != want {
				t.Errorf("%s: admitted %v after %v, want %v", c.name, got, after, want)
			}
		}
	}
}
