package agent

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/messenger"
	"github.com/bramleyhinge/bramleyhinge/internal/tester"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// TestUnsoundHeadLooksLikeAnswer guards against an answer with a head or a trailer that HTTP does not allow and that an agent
// passes on, and against agents that refuse what is allowed.
func TestUnsoundHeadLooksLikeAnswer(t *testing.T) {
	type headCase struct {
		Name, Answer string
		Sound        bool
	}
	for _, c := range tester.Load[headCase](t, "heads.yaml") {
		for _, kind := range []model.Kind{model.KindPlain, model.KindModel} {
			t.Run(c.Name+", "+string(kind), func(t *testing.T) {
				t.Parallel()
				address := tester.ServeAnswer(t, strings.NewReplacer("|", "\r\n", "^", "\n", "{'", `{"`, "':'", `":"`, "'}", `"}`).Replace(c.Answer))
				r := newRun(t.Context(), messenger.Work{Request: "a", Budget: time.Minute, Method: http.MethodPost, Path: "/"}, time.Now())
				defer r.cancel()
				_, _, refusal := newBackend(backendConfig{URL: "http://" + address, Kind: kind}).call(r)
				if c.Sound && refusal != nil {
					t.Errorf("a sound answer is refused: %v", refusal)
				}
				if !c.Sound && (refusal == nil || refusal.Run != model.RunUnknown) {
					t.Errorf("refusal %v, want one that says that the request may have run", refusal)
				}
			})
		}
	}
}
