package admitter

import (
	"math/rand/v2"
	"testing"
	"time"

	gocmp "github.com/google/go-cmp/cmp"

	"github.com/bramleyhinge/bramleyhinge/internal/tester"
)

// TestAdmit checks from a table which requests are refused. It guards against refusals while a place is free or on old or
// missing knowledge, and against requests that wait for a deadline which they cannot meet.
func TestAdmit(t *testing.T) {
	type admitCase struct {
		Name string
		In   struct {
			AdmissionInput       `yaml:",inline"`
			NotFull, NotReported bool
		}
		Draw float64
		Want Admission
	}
	for _, c := range tester.Load[admitCase](t, "admissions.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			in := c.In.AdmissionInput
			in.Full, in.Reported, in.Slots = !c.In.NotFull, !c.In.NotReported, 6
			if in.Hold == 0 {
				in.Hold = 200 * time.Millisecond
			}
			if in.ReportAge == 0 {
				in.ReportAge = 50 * time.Millisecond
			}
			got := Admit(in, c.Draw)
			got.Wait = got.Wait.Truncate(time.Millisecond)
			if diff := gocmp.Diff(c.Want, got); diff != "" {
				t.Errorf("admission (-want +got):\n%s", diff)
			}
		})
	}
}

// TestAdmissionAtQueues replays bursts at plain servers that serve in order of arrival. It guards against requests that
// reach their deadline in a queue, and against refusals that leave servers idle: of all requests, at least as many
// must be answered in time as without admission, and at most half as many late (the bound of TestShortPromptsFirst).
func TestAdmissionAtQueues(t *testing.T) {
	type queueCase struct {
		Name            string
		Load, BurstLoad float64
		Period, Burst   time.Duration
		Servers         int
		AllServed       bool
	}
	const slots, queue, limit, hold = 6, 24, 1500 * time.Millisecond, 500 * time.Millisecond
	type result struct{ inTime, late, shed, refused int }
	for _, c := range tester.Load[queueCase](t, "queues.yaml") {
		play := func(admit bool) (out result) {
			r := rand.New(rand.NewPCG(6, 6))
			// Each server's slots hold the times at which they are free; reports are 50 ms old.
			servers := make([][]time.Duration, c.Servers)
			ends := make([][]time.Duration, c.Servers)
			for i := range ends {
				servers[i] = make([]time.Duration, slots)
			}
			for now := time.Duration(0); now < 2*time.Minute; {
				load := c.Load
				if now%c.Period < c.Burst {
					load = c.BurstLoad
				}
				now += time.Duration(r.ExpFloat64() * float64(hold) / float64(c.Servers*slots) / load)
				draw, took := r.Float64(), time.Duration(float64(hold)*(0.5+r.Float64()))
				best, busy, full := 0, make([]int, c.Servers), true
				for i := range ends {
					for _, end := range ends[i] {
						if end > now-50*time.Millisecond {
							busy[i]++
						}
					}
					if full = full && busy[i] >= slots; busy[i] < busy[best] {
						best = i
					}
				}
				in := AdmissionInput{Remaining: limit, Full: full, Busy: busy[best], Slots: slots, Reported: true, ReportAge: 50 * time.Millisecond, Hold: hold, Answer: hold}
				if admit && Admit(in, draw).Refuse {
					out.refused++
					continue
				}
				if busy[best] >= slots+queue {
					out.shed++
					continue
				}
				free := 0
				for i, at := range servers[best] {
					if at < servers[best][free] {
						free = i
					}
				}
				end := max(servers[best][free], now) + took
				servers[best][free] = end
				ends[best] = append(ends[best], end)
				if end-now <= limit {
					out.inTime++
				} else {
					out.late++
				}
			}
			return out
		}
		without, with := play(false), play(true)
		t.Logf("%s: without %+v, with %+v", c.Name, without, with)
		if with.inTime < without.inTime || with.late*2 > without.late {
			t.Errorf("%s: with admission %+v, without %+v; want as many in time and at most half of the late ones", c.Name, with, without)
		}
		if c.AllServed && with.refused+with.shed+with.late > 0 {
			t.Errorf("%s: %+v, want all served", c.Name, with)
		}
	}
}

func BenchmarkAdmit(b *testing.B) {
	in := AdmissionInput{Remaining: time.Second, Full: true, Busy: 30, Slots: 6, Reported: true, Hold: 200 * time.Millisecond, ByRank: true}
	b.ReportAllocs()
	for b.Loop() {
		Admit(in, 0.5)
	}
}
