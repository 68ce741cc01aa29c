// Package limiter enforces the limits of organisations and divides them among the live entries.
package limiter

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// Split divides a limit among entries. An entry that has not reported its demand gets an even
// share, because it falls back to that one without a grant. The others share the rest by demand
// (max-min fairness), and any surplus over their demands is divided evenly among them.
func Split(limit float64, entries []model.InstanceID, demand map[model.InstanceID]float64) map[model.InstanceID]float64 {
	if len(entries) == 0 {
		return nil
	}
	grants := make(map[model.InstanceID]float64, len(entries))
	even := limit / float64(len(entries))
	rest := limit
	var reporting []model.InstanceID
	for _, e := range entries {
		if _, ok := demand[e]; ok {
			reporting = append(reporting, e)
			continue
		}
		grants[e] = even
		rest -= even
	}
	maps.Copy(grants, shareByDemand(rest, reporting, demand))
	return grants
}

// SplitInt divides an integer limit like Split. The largest fractions are rounded up, so that the
// parts add up to the limit.
func SplitInt(limit int, entries []model.InstanceID, demand map[model.InstanceID]float64) map[model.InstanceID]int {
	grants := make(map[model.InstanceID]int, len(entries))
	parts := Split(float64(limit), entries, demand)
	rest := limit
	for _, e := range entries {
		grants[e] = int(parts[e])
		rest -= grants[e]
	}
	order := slices.Clone(entries)
	slices.SortFunc(order, func(a, b model.InstanceID) int {
		return cmp.Or(cmp.Compare(parts[b]-float64(grants[b]), parts[a]-float64(grants[a])), cmp.Compare(a, b))
	})
	for _, e := range order[:min(max(rest, 0), len(order))] {
		grants[e]++
	}
	return grants
}

// EvenSplitInt returns one entry's even part of an integer limit. All entries derive the same
// division, because the remainder goes to those with the highest hash of key and name.
func EvenSplitInt(limit int, key string, self model.InstanceID, entries []model.InstanceID) int {
	n := max(len(entries), 1)
	part, rest := limit/n, limit%n
	if rest == 0 {
		return part
	}
	own := xxhash.Sum64String(key + string(self))
	rank := 0
	for _, e := range entries {
		if e != self && xxhash.Sum64String(key+string(e)) > own {
			rank++
		}
	}
	if rank < rest {
		part++
	}
	return part
}

// shareByDemand divides rest by max-min fairness: the smallest demands are met first, and any
// surplus is divided evenly.
func shareByDemand(rest float64, entries []model.InstanceID, demand map[model.InstanceID]float64) map[model.InstanceID]float64 {
	grants := make(map[model.InstanceID]float64, len(entries))
	order := slices.Clone(entries)
	slices.SortFunc(order, func(a, b model.InstanceID) int {
		return cmp.Or(cmp.Compare(demand[a], demand[b]), cmp.Compare(a, b))
	})
	for i, e := range order {
		share := rest / float64(len(order)-i)
		grants[e] = min(demand[e], share)
		rest -= grants[e]
	}
	for _, e := range order {
		grants[e] += rest / float64(len(order))
	}
	return grants
}
