// Package limiter divides the limits of organisations over the live entries.
package limiter

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// Split divides a limit over entries. An entry that has not reported is given its even
// share, because that is what it falls back to; the others share the rest by demand
// (max-min fairness), and what nobody asks for is spread evenly among them.
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
	maps.Copy(grants, fill(rest, reporting, demand))
	return grants
}

// SplitInt divides a whole number as Split does; the parts add up to it, the largest
// fractions being rounded up.
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

// EvenSplitInt is one entry's even part of a whole number. All entries derive the same
// division: the remainder goes to those that rank first for the key.
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

// fill gives each entry its demand if the limit allows, the smallest demands first.
func fill(rest float64, entries []model.InstanceID, demand map[model.InstanceID]float64) map[model.InstanceID]float64 {
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
