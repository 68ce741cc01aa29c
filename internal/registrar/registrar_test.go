package registrar

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

func drawList(t *rapid.T) []model.Instance {
	var list []model.Instance
	for i := range rapid.IntRange(0, 12).Draw(t, "instances") {
		if rapid.Bool().Draw(t, "absent") {
			continue
		}
		list = append(list, model.Instance{
			Instance: model.InstanceID(fmt.Sprint("i", i)),
			Role:     rapid.SampledFrom([]model.Role{model.RoleEntry, model.RoleAgent}).Draw(t, "role"),
			Place:    model.Place{Region: rapid.SampledFrom([]model.RegionID{"r1", "r2"}).Draw(t, "region")},
			Draining: rapid.Bool().Draw(t, "leaving"),
		})
	}
	return list
}

// TestDeltasRebuildRelayList checks that a poller that applies a relay's deltas has the relay's
// list.
func TestDeltasRebuildRelayList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		relay, poller := NewHistory(), NewHistory()
		for i := range rapid.IntRange(1, 10).Draw(t, "changes") {
			relay.Add(NewView(drawList(t), time.Unix(int64(i+1), 0)))
			if rapid.IntRange(0, 2).Draw(t, "misses") == 0 {
				continue
			}
			if d := relay.Since(poller.Current().Digest(), poller.Current().ReadAt()); d != nil {
				next, ok := poller.Current().Apply(d)
				if !ok {
					t.Fatal("delta could not be applied")
				}
				poller.Add(next)
			}
			if relay.Current().Digest() == 0 {
				continue
			}
			if diff := cmp.Diff(relay.Current().List(), poller.Current().List()); diff != "" {
				t.Fatalf("lists differ (-relay +poller):\n%s", diff)
			}
		}
	})
}

// TestEntryLossMovesOnlyItsKeys checks that the loss of one entry moves only the keys that it had,
// and that every process polls relays only.
func TestEntryLossMovesOnlyItsKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := drawList(t)
		v := NewView(list, time.Time{})
		entries := v.Entries()
		if len(entries) < 2 {
			return
		}
		lost := rapid.SampledFrom(entries).Draw(t, "lost")
		var rest []model.Instance
		for _, i := range list {
			if i.Instance != lost.Instance {
				rest = append(rest, i)
			}
		}
		after := NewView(rest, time.Time{})
		for shard := range 8 {
			key := fmt.Sprint("ledger/", shard)
			a, _ := v.TopRanked(key)
			b, _ := after.TopRanked(key)
			if a.Instance != lost.Instance && a.Instance != b.Instance {
				t.Fatalf("%s moved from %s to %s", key, a.Instance, b.Instance)
			}
		}
		for _, i := range list {
			for _, s := range v.Sources(i) {
				if !v.IsRelay(s) {
					t.Fatalf("%s polls %s, which is no relay", i.Instance, s.Instance)
				}
			}
		}
	})
}
