package chooser

import (
	"encoding/hex"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/bramleyhinge/bramleyhinge/internal/tester"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// maxDatagramBytes is the size of the largest message that entries send each other.
const maxDatagramBytes = 1400

// TestSharedAnswers checks which messages are taken over. It guards against messages of other versions, or with figures
// that no entry has, that would outweigh what an entry has seen.
func TestSharedAnswers(t *testing.T) {
	for _, c := range tester.Load[struct {
		Name, Message string
		// Answers is the number of first answers of the smallest model that are known afterwards.
		Answers int
	}](t, "cascade_messages.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			b, err := hex.DecodeString(strings.ReplaceAll(c.Message, " ", ""))
			if err != nil {
				t.Fatal(err)
			}
			now := time.Unix(1_800_000_000, 0)
			a := NewAdaptiveCascade(CascadeConfig{Floors: []int{65}})
			a.OnBroadcast(b, now)
			got := 0
			if r := a.knowledge.find(0xaa, now); r != nil {
				got = int(r.first[0].answers)
			}
			if diff := cmp.Diff(c.Answers, got); diff != "" {
				t.Errorf("answers (-want +got):\n%s", diff)
			}
			if messages := a.Broadcasts(now); len(messages) > 0 {
				t.Errorf("%d messages pass on what another entry has told", len(messages))
			}
		})
	}
}

// TestSharingIsBounded checks the rate and the size of the messages of an entry whose organisations send one request each.
func TestSharingIsBounded(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	a := NewAdaptiveCascade(CascadeConfig{Floors: []int{65}})
	sent, last := 0, 0
	for i := range 6000 {
		now = now.Add(10 * time.Millisecond)
		if i < 4000 {
			request := CascadeRequest{Route: "chat", Organisation: model.OrganisationID(strconv.Itoa(i)), Models: []model.ModelID{"small", "large"}}
			a.Observe(NewCascadeKeys(request), 0, 10, 0, false, now)
		}
		for _, b := range a.Broadcasts(now) {
			sent, last = sent+1, i
			if len(b) >= maxDatagramBytes {
				t.Fatalf("a message has %d bytes", len(b))
			}
		}
	}
	if want := 4000*10/int(sharingInterval.Milliseconds()) + 1; sent > want || sent == 0 {
		t.Errorf("%d messages in 40 s, want 1 to %d", sent, want)
	}
	if last > 4000+int(sharingInterval/(10*time.Millisecond)) {
		t.Errorf("the last message came %d ms after the last answer", 10*(last-4000))
	}
}

// BenchmarkSharing measures what a full message costs its receiver.
func BenchmarkSharing(b *testing.B) {
	now := time.Unix(1_800_000_000, 0)
	from, to := NewAdaptiveCascade(CascadeConfig{Floors: []int{65}}), NewAdaptiveCascade(CascadeConfig{Floors: []int{65}})
	for i := range 200 {
		request := CascadeRequest{Route: "chat", Organisation: model.OrganisationID(strconv.Itoa(i)), Models: []model.ModelID{"small", "large"}}
		from.Observe(NewCascadeKeys(request), 0, 10, 0, false, now)
	}
	message := from.Broadcasts(now)[0]
	b.ReportAllocs()
	for b.Loop() {
		to.OnBroadcast(message, now)
	}
	b.ReportMetric(float64(len(message)), "bytes")
}
