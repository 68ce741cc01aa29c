package limiter

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"github.com/bramleyhinge/bramleyhinge/internal/meter"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

var epoch = time.Unix(1_700_000_000, 0)

// limitFleet is a group of entries that know each other.
func limitFleet(n int) []*ServerLimits {
	var instances []model.Instance
	for i := range n {
		instances = append(instances, model.Instance{Instance: model.InstanceID(fmt.Sprint("e", i)), Place: model.Place{
			Region: model.RegionID(fmt.Sprint("r", i%3)), Domain: model.DomainID(fmt.Sprint("d", i%6)),
		}})
	}
	var out []*ServerLimits
	for i := range instances {
		others := slices.Delete(slices.Clone(instances), i, i+1)
		out = append(out, NewServerLimits(ServerLimitsConfig{
			Self: instances[i], Members: func() []model.Instance { return others }, Meter: meter.New(), Log: zerolog.Nop(),
		}))
	}
	return out
}

var limitedServer = model.BackendServer{Backend: "b", Place: model.Place{Region: "r0", Domain: "d0"}, State: model.BackendReady}

// TestServersGetMoreThanTheirLimit checks that no window holds more requests than one and a half times a server's
// limit and five, whatever the entries want to send: also if they know of the limit only from their own answers, if
// their wishes come in bursts after a long rest, and if some of them are frozen for a while.
func TestServersGetMoreThanTheirLimit(t *testing.T) {
	const step, length, window = 100 * time.Millisecond, 50 * time.Second, 4 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(t, "entries")
		limit := rapid.Float64Range(0.1, 20).Draw(t, "limit")
		talk := rapid.Bool().Draw(t, "talk")
		fleet := limitFleet(n)
		heard := make([]time.Duration, n)
		wishes := make([]float64, n)
		frozen := make([]time.Duration, n)
		rest := time.Duration(rapid.IntRange(0, 30).Draw(t, "rest")) * time.Second
		for i := range fleet {
			wishes[i] = rapid.SampledFrom([]float64{0, 0.01, 0.1, 1}).Draw(t, "wish")
			frozen[i] = time.Duration(rapid.IntRange(0, 45).Draw(t, "frozen")) * time.Second
			if !talk || i == 0 {
				heard[i] = time.Duration(rapid.IntRange(0, 20).Draw(t, "heard")) * time.Second
				continue
			}
			heard[i] = heard[0]
		}
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		told := make([]bool, n)
		var sent []time.Duration
		for at := time.Duration(0); at < length; at += step {
			now := epoch.Add(at)
			for i, e := range fleet {
				if at < heard[i] || at > frozen[i] && at < frozen[i]+5*time.Second {
					continue
				}
				if !told[i] {
					e.Observe(limitedServer.Lifetime(), model.Rate(limit), true, now)
					told[i] = true
				}
				if at < rest || random.Float64() >= wishes[i] {
					continue
				}
				for range 3 {
					if e.Take(limitedServer, now) {
						sent = append(sent, at)
					}
				}
			}
		}
		allowed := 1.5*limit*window.Seconds() + 5
		for i, from := range sent {
			if n, _ := slices.BinarySearch(sent[i:], from+window); float64(n) > allowed {
				t.Fatalf("%d requests in %v from %v on, %v are allowed", n, window, from, allowed)
			}
		}
	})
}

// TestLimitIsUsed checks that a server which names a limit gets what it takes if all entries have requests for it,
// on fleets of any size.
func TestLimitIsUsed(t *testing.T) {
	for _, n := range []int{1, 2, 5, 30, 100} {
		for _, limit := range []float64{0.5, 1, 5, 40} {
			fleet := limitFleet(n)
			sent := 0
			for _, e := range fleet {
				e.Observe(limitedServer.Lifetime(), model.Rate(limit), true, epoch)
			}
			const length = 40 * time.Second
			for at := time.Duration(0); at < length; at += 10 * time.Millisecond {
				for _, e := range fleet {
					if e.Take(limitedServer, epoch.Add(at)) {
						sent++
					}
				}
			}
			if want := 0.8 * limit * length.Seconds(); float64(sent) < math.Floor(want) {
				t.Errorf("%d entries sent %d requests in %v to a server with a limit of %v a second, want %v or more", n, sent, length, limit, want)
			}
		}
	}
}

// TestNewsOfLimits checks how entries learn that a limit was named, changed or lifted, in whatever order the news
// arrives.
func TestNewsOfLimits(t *testing.T) {
	fleet := limitFleet(3)
	s := limitedServer.Lifetime()
	limited := func(now time.Time) (out []bool) {
		for _, e := range fleet {
			l, _ := e.Check(limitedServer, now)
			out = append(out, l)
		}
		return out
	}
	tell := func(from int, now time.Time) (news [][]byte) {
		news = fleet[from].Broadcasts(now)
		for _, b := range news {
			for i, e := range fleet {
				if i != from {
					e.OnBroadcast(b, now.Add(10*time.Millisecond))
				}
			}
		}
		return news
	}
	var got [][]bool
	fleet[0].Observe(s, 2, true, epoch)
	old := tell(0, epoch)
	got = append(got, limited(epoch.Add(time.Second)))
	// News that is not new is repeated once a second.
	fleet[0].Observe(s, 2, true, epoch.Add(100*time.Millisecond))
	if n := len(fleet[0].Broadcasts(epoch.Add(100 * time.Millisecond))); n != 0 {
		t.Errorf("%d messages about an unchanged limit after 100 ms", n)
	}
	fleet[1].Observe(s, 0, false, epoch.Add(2*time.Second))
	tell(1, epoch.Add(2*time.Second))
	got = append(got, limited(epoch.Add(3*time.Second)))
	// A message that took long does not bring back a limit that was lifted since.
	fleet[2].Observe(s, 3, true, epoch.Add(4*time.Second))
	fleet[2].Broadcasts(epoch.Add(4 * time.Second))
	fleet[2].Observe(s, 0, false, epoch.Add(5*time.Second))
	for _, b := range old {
		fleet[2].OnBroadcast(b, epoch.Add(200*time.Millisecond))
	}
	got = append(got, limited(epoch.Add(6*time.Second)))
	// A limit of which nothing is heard is forgotten, and a restarted server has none.
	fleet[0].Observe(s, 2, true, epoch.Add(10*time.Second))
	restarted := limitedServer
	restarted.StartUnixMilli = 1
	l, _ := fleet[0].Check(restarted, epoch.Add(11*time.Second))
	got = append(got, []bool{l}, limited(epoch.Add(11*time.Second)), limited(epoch.Add(10*time.Second+2*limitTTL+time.Second)))
	for _, b := range []string{"rubbish", `[{"server":{"backend":"b"},"rate":-1}]`} {
		fleet[1].OnBroadcast([]byte(b), epoch.Add(11*time.Second))
	}
	got = append(got, limited(epoch.Add(12 * time.Second))[1:2])
	want := [][]bool{{true, true, true}, {false, false, false}, {false, false, false}, {false}, {true, false, false}, {false, false, false}, {false}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("limited at each entry (-want +got):\n%s", diff)
	}
}
