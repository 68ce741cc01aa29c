package cacher

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/bramleyhinge/bramleyhinge/internal/tester"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func parseChain(t *testing.T, m model.ModelID, text string) Chain {
	c := NewChain(m)
	for _, part := range strings.Fields(text) {
		id, tokens, _ := strings.Cut(part, ":")
		n, err := strconv.Atoi(tokens)
		if err != nil {
			t.Fatal(err)
		}
		c.Add(id, model.Tokens(n), true)
	}
	return c
}

// TestSegments guards against crediting an engine with tokens that it must read again, and against forgetting those that
// it holds.
func TestSegments(t *testing.T) {
	type step struct {
		Send     string
		Answered bool
		Failed   string
		Ask      string
		Want     model.Tokens
		Own      model.Tokens
		Busy     int
		At       time.Duration
		Start    int64
		Model    model.ModelID
	}
	type treeCase struct {
		Name     string
		Capacity model.Tokens
		Steps    []step
	}
	for _, c := range tester.Load[treeCase](t, "trees.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			k := New()
			for i, s := range c.Steps {
				now := testStart.Add(s.At)
				server := model.BackendServer{Backend: "e", StartUnixMilli: s.Start}
				e := Engine{Lifetime: server.Lifetime(), Capacity: c.Capacity, Busy: s.Busy}
				if s.Own > 0 {
					k.Observe(parseChain(t, s.Model, s.Send), s.Own, now)
				}
				if s.Send != "" {
					k.Send(e, parseChain(t, s.Model, s.Send), now)
				}
				if s.Answered {
					k.Answered(e, parseChain(t, s.Model, s.Send), now)
				}
				if s.Failed != "" {
					k.Failed(e, parseChain(t, s.Model, s.Failed), now)
				}
				if s.Ask == "" {
					continue
				}
				got := append(k.Cached(parseChain(t, s.Model, s.Ask), []model.ServerLifetime{e.Lifetime}, now), 0)[0]
				if diff := cmp.Diff(s.Want, got); diff != "" {
					t.Errorf("step %d: cached tokens (-want +got):\n%s", i, diff)
				}
			}
		})
	}
}

// TestBounds guards against growth without limit: of a tree, of the popular prefixes, of the engines, and of a chain whose
// length a caller sets.
func TestBounds(t *testing.T) {
	k := New()
	e := Engine{Lifetime: model.ServerLifetime{Backend: "e"}, Capacity: math.MaxInt32}
	for i := range 3 * maxPopular {
		c := parseChain(t, "m", fmt.Sprintf("a%d:1 b:1", i))
		k.Observe(c, 1, testStart)
		k.Send(e, c, testStart)
		k.Answered(Engine{Lifetime: model.ServerLifetime{Backend: "e", StartUnixMilli: int64(i)}}, c, testStart)
	}
	long := parseChain(t, "m", strings.Repeat("a:1 ", 1000))
	k.Send(e, long, testStart)
	got := []int{len(k.trees.entries[e.Lifetime].value.segments.entries), len(k.popularity.counts.entries), len(k.trees.entries), len(long.Segments)}
	if diff := cmp.Diff([]int{maxSegments, maxPopular, maxTrees, maxDepth}, got); diff != "" {
		t.Errorf("segments, prefixes, engines, depth (-want +got):\n%s", diff)
	}
	for range maxTrees {
		k.Send(e, long, testStart.Add(time.Minute))
	}
	if diff := cmp.Diff(1, len(k.trees.entries)); diff != "" {
		t.Errorf("engines after a minute without requests to the others (-want +got):\n%s", diff)
	}
}

// TestShares guards against prefixes that stay popular after their requests ended, and against a first request that
// counts as popular.
func TestShares(t *testing.T) {
	k := New()
	popular, rare := parseChain(t, "m", "a:1"), parseChain(t, "m", "b:1")
	k.Observe(popular, 1, testStart)
	first := k.Shares(popular, testStart)[0]
	for range 99 {
		k.Observe(popular, 1, testStart)
	}
	k.Observe(rare, 1, testStart)
	later := testStart.Add(10 * popularityHalfLife)
	got := []bool{first < 0.2, k.Shares(popular, testStart)[0] > 0.5, k.Shares(rare, testStart)[0] < 0.05, k.Shares(popular, later)[0] < 0.05}
	if diff := cmp.Diff([]bool{true, true, true, true}, got); diff != "" {
		t.Errorf("first, popular, rare, after requests ended (-want +got):\n%s", diff)
	}
}
