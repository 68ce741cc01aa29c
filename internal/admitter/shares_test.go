package admitter

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	gocmp "github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"github.com/bramleyhinge/bramleyhinge/internal/meter"
	"github.com/bramleyhinge/bramleyhinge/internal/tester"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// maxMinOracle raises one level for all claims, in proportion to their weights, until the capacity is used up.
func maxMinOracle(capacity float64, claims []Claim) []float64 {
	shares := make([]float64, len(claims))
	low, high := 0.0, 1e9
	for range 200 {
		level, sum := (low+high)/2, 0.0
		for i, c := range claims {
			shares[i] = min(c.Asked, level*c.Weight)
			sum += shares[i]
		}
		if sum > capacity {
			high = level
		} else {
			low = level
		}
	}
	return shares
}

func TestMaxMinShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var claims []Claim
		for range rapid.IntRange(0, 12).Draw(t, "claims") {
			claims = append(claims, Claim{Asked: rapid.Float64Range(0, 1000).Draw(t, "asked"), Weight: rapid.Float64Range(0.1, 10).Draw(t, "weight")})
		}
		capacity := rapid.Float64Range(0, 5000).Draw(t, "capacity")
		got, want := MaxMinShares(capacity, claims), maxMinOracle(capacity, claims)
		for i := range claims {
			if math.Abs(got[i]-want[i]) > 1e-3 {
				t.Fatalf("shares %v of %v for %v, want %v", got, capacity, claims, want)
			}
		}
	})
}

func newTestShares() *Shares { return NewShares(SharesConfig{Meter: meter.New(), Log: zerolog.Nop()}) }

// TestSharesUnderFlood replays one organisation that asks for many times its usual work. It guards against a flood that
// takes the places of the others, against an organisation that gets nothing, and against decisions or messages while
// places are free.
func TestSharesUnderFlood(t *testing.T) {
	type floodCase struct {
		Name string
		// Entries share Capacity places a second; Lost is the part of their messages that is lost.
		Entries  int
		Capacity float64
		Lost     float64
		// Usual holds the requests a second of each organisation, Flood those of the first one from FloodAt to FloodEnd.
		Usual             []float64
		Weights           []float64
		Flood             float64
		FloodAt, FloodEnd time.Duration
		// Tolerance is how far an organisation's service may be from its max-min share, as a part of it.
		Tolerance float64
	}
	const step, ask, maxWait = 50 * time.Millisecond, 100 * time.Millisecond, time.Second
	for _, c := range tester.Load[floodCase](t, "floods.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			r := rand.New(rand.NewPCG(5, 5))
			var entries []*Shares
			for range c.Entries {
				entries = append(entries, newTestShares())
			}
			type request struct {
				Ask
				entry, org int
				over       bool
				at         time.Duration
			}
			var waiting []request
			served := make([]float64, len(c.Usual))
			credit := 0.0
			start := time.Unix(1_700_000_000, 0)
			for at := time.Duration(0); at < c.FloodEnd+15*time.Second; at += step {
				now := start.Add(at)
				flood := at >= c.FloodAt && at < c.FloodEnd
				for org, rate := range c.Usual {
					if flood && org == 0 {
						rate = c.Flood
					}
					for n := rate * step.Seconds(); n > 0 && r.Float64() < n; n-- {
						a := request{entry: r.IntN(c.Entries), org: org, at: at, Ask: Ask{Service: "svc", Rank: 1, Organisation: model.OrganisationID(fmt.Sprint("o", org)), Work: ask}}
						if c.Weights != nil {
							a.Weight = c.Weights[org]
						}
						standing := entries[a.entry].Ask(a.Ask, r.Float64(), now)
						a.over = standing.OverShare
						if free := at < c.FloodAt || at > c.FloodEnd+10*time.Second; free && standing != (Standing{}) {
							t.Fatalf("after %v, a request stands as %+v while places are free", at, standing)
						}
						waiting = append(waiting, a)
					}
				}
				// Requests over their share are taken last, and those that wait for too long are turned away.
				slices.SortStableFunc(waiting, func(a, b request) int { return cmp.Compare(fmt.Sprint(a.over), fmt.Sprint(b.over)) })
				waiting = slices.DeleteFunc(waiting, func(a request) bool { return at-a.at > maxWait })
				for credit += c.Capacity * step.Seconds(); credit >= 1 && len(waiting) > 0; credit-- {
					a := waiting[0]
					waiting = waiting[1:]
					entries[a.entry].Taken(a.Ask, now)
					if at >= c.FloodAt+10*time.Second && flood {
						served[a.org]++
					}
				}
				credit = min(credit, 1)
				for _, a := range waiting {
					if at-a.at > maxWait/5 {
						entries[a.entry].ObserveScarce("svc", now)
					}
				}
				for i, e := range entries {
					for _, b := range e.Broadcasts(now) {
						if at < c.FloodAt || at > c.FloodEnd+10*time.Second {
							t.Fatalf("after %v, a message was sent while places are free", at)
						}
						if len(b) > 1399 {
							t.Fatalf("a message has %d bytes", len(b))
						}
						for j, other := range entries {
							if j != i && r.Float64() >= c.Lost {
								other.OnBroadcast(b, now)
							}
						}
					}
				}
			}
			claims := []Claim{{Asked: c.Flood, Weight: 1}}
			for _, rate := range c.Usual[1:] {
				claims = append(claims, Claim{Asked: rate, Weight: 1})
			}
			for i, weight := range c.Weights {
				claims[i].Weight = weight
			}
			for org, want := range maxMinOracle(c.Capacity, claims) {
				got := served[org] / (c.FloodEnd - c.FloodAt - 10*time.Second).Seconds()
				t.Logf("organisation %d: %.1f a second of %.1f, max-min share %.1f", org, got, claims[org].Asked, want)
				if math.Abs(got-want) > c.Tolerance*want {
					t.Errorf("organisation %d gets %.2f a second, want its share %.2f", org, got, want)
				}
			}
		})
	}
}

// TestSharesStayBounded guards against tables that grow with the names in requests or messages, and against messages
// that cannot be read.
func TestSharesStayBounded(t *testing.T) {
	s, now := newTestShares(), time.Unix(1_700_000_000, 0)
	for i := range 3 * maxShareOrganisations {
		for service := range 2 * maxShareServices {
			a := Ask{Service: model.ServiceID(fmt.Sprint("s", service)), Rank: i, Organisation: model.OrganisationID(fmt.Sprint("o", i))}
			s.ObserveScarce(a.Service, now)
			s.Ask(a, 0.5, now)
		}
	}
	if diff := gocmp.Diff(maxShareServices, len(s.services)); diff != "" {
		t.Errorf("services (-want +got):\n%s", diff)
	}
	for _, v := range s.services {
		for rank := range v.pools {
			if n := len(v.pools[rank].organisations); n > maxShareOrganisations {
				t.Fatalf("%d organisations are kept", n)
			}
		}
	}
	for _, b := range s.Broadcasts(now) {
		if rows, err := decodeShares(b); err != nil || len(rows) != maxShareRows || len(b) > 1399 {
			t.Errorf("a message of %d bytes has %d rows: %v", len(b), len(rows), err)
		}
		for cut := range len(b) {
			s.OnBroadcast(b[:cut], now)
		}
	}
}

func BenchmarkSharesAsk(b *testing.B) {
	s, now := newTestShares(), time.Unix(1_700_000_000, 0)
	var asks []Ask
	for i := range 60 {
		asks = append(asks, Ask{Service: "svc", Organisation: model.OrganisationID(fmt.Sprint("o", i)), Work: time.Second})
	}
	s.ObserveScarce("svc", now.Add(time.Hour))
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		s.Ask(asks[i%len(asks)], 0.5, now.Add(time.Duration(i)*100*time.Microsecond))
	}
}

// TestRefusesOverShare checks from a table that only a flood is refused for its share, and only at full servers.
func TestRefusesOverShare(t *testing.T) {
	type refusalCase struct {
		Name              string
		ShareRefusalInput `yaml:",inline"`
		Want              bool
	}
	for _, c := range tester.Load[refusalCase](t, "share_refusals.yaml") {
		if diff := gocmp.Diff(c.Want, RefusesOverShare(c.ShareRefusalInput)); diff != "" {
			t.Errorf("%s: refused (-want +got):\n%s", c.Name, diff)
		}
	}
}
