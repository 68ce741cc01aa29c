package measurer

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/cacher"
)

// prefixPolicies lists the policies that are compared, the one in use last.
var prefixPolicies = []struct {
	name string
	new  func(l prefixLoad) prefixPolicy
}{
	{"none", func(prefixLoad) prefixPolicy { return ignorePrefixes{} }},
	{"hash", func(prefixLoad) prefixPolicy { return prefixHash{} }},
	{"previous", func(prefixLoad) prefixPolicy { return &previousPolicy{sentAt: map[string]time.Time{}} }},
	{"segments", func(l prefixLoad) prefixPolicy {
		return &segmentPolicy{cacher: cacher.New(), capacity: l.Capacity}
	}},
}

func runPrefixPolicies(l prefixLoad, scale Scale) (out []prefixOutcome) {
	for _, p := range prefixPolicies {
		out = append(out, runPrefixes(l, scale, func() prefixPolicy { return p.new(l) }))
	}
	return out
}

// Prefixes compares the policies that choose an engine by what its prefix cache holds.
func Prefixes(scale Scale) Section {
	s := Section{
		Title: "Prefixes",
		Method: "Seeded prompts of 5,300 tokens (a first segment, a document with Zipf-like popularity, a session of three turns, each at another entry) are replayed through the decision code of several entries, which exchange their open work every 100 ms. " +
			"Policies: none (waits alone), hash (the first engine in rendezvous order of the shared segments), previous (memory of 15 s by all shared segments), segments (in use). The data file is internal/measurer/testdata/prefixes.yaml.",
	}
	loads, err := prefixLoads()
	if err != nil {
		s.Rows = append(s.Rows, Row{Subject: "loads", Measured: err.Error()})
		return s
	}
	for _, l := range loads {
		out := runPrefixPolicies(l, scale)
		var described []string
		for i, o := range out {
			described = append(described, fmt.Sprintf("%s: %.1f%% of the tokens saved, imbalance %.2f, busiest engine %.0f s of work, first token %.3f s 95th", prefixPolicies[i].name, 100*o.Saved, o.Imbalance, o.Most, o.First))
		}
		n := len(out) - 1
		previous, now := out[n-1], out[n]
		row := Row{
			Subject: fmt.Sprintf("%s (%d entries, %d engines, %.0f prompts per second)", l.Name, l.Entries, l.Engines, l.Rate),
			Target:  "against the previous policy: more tokens saved, the busiest engine no busier, the first token no later", Baseline: strings.Join(described[:n], "; "), Measured: described[n],
			Met: now.Saved > previous.Saved && now.Most <= previous.Most && now.First <= previous.First,
		}
		if !l.Segments {
			row.Target, row.Met = "the same choices as the previous policy", slices.Equal(previous.Choices, now.Choices)
		}
		s.Rows = append(s.Rows, row)
	}
	return s
}

// maxDecisionCost is how much a decision may cost as a multiple of the previous policy's.
const maxDecisionCost = 1.2

// PrefixCost compares the real time of decisions, with the look-ups that they need, in the loads of Prefixes.
func PrefixCost(scale Scale) Section {
	s := Section{Title: "Cost of prefixes", Method: "The mean real time of a decision in the replays of Prefixes."}
	loads, err := prefixLoads()
	if err != nil {
		s.Rows = append(s.Rows, Row{Subject: "loads", Measured: err.Error()})
		return s
	}
	for _, l := range loads {
		out := runPrefixPolicies(l, scale)
		n := len(out) - 1
		s.Rows = append(s.Rows, Row{
			Subject: fmt.Sprintf("%s (%d engines)", l.Name, l.Engines), Target: "at most 1.2 times the previous policy",
			Baseline: fmt.Sprintf("none %v, previous %v", out[0].Cost, out[n-1].Cost), Measured: out[n].Cost.String(),
			Met: float64(out[n].Cost) <= maxDecisionCost*float64(out[n-1].Cost),
		})
	}
	return s
}
