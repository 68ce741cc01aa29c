package admitter

import (
	"cmp"
	"slices"
)

// Claim is what one organisation asks for of a resource that is shared, and its weight.
type Claim struct {
	Asked, Weight float64
}

// MaxMinShares divides a capacity by weighted max-min fairness: no claim gets more than it asks for, and what one gets
// could only be raised by taking from another that gets no more in proportion to its weight. It is made for one
// organisation that asks for many times its usual work: the others get what they ask for up to an equal part, and the
// flood gets the rest. Shares are in the order of the claims.
func MaxMinShares(capacity float64, claims []Claim) []float64 {
	order := make([]int, len(claims))
	weights := 0.0
	for i, c := range claims {
		order[i] = i
		weights += c.Weight
	}
	// The claims that ask for least in proportion to their weight are met first.
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Compare(claims[a].Asked*claims[b].Weight, claims[b].Asked*claims[a].Weight)
	})
	shares := make([]float64, len(claims))
	for _, i := range order {
		c := claims[i]
		if weights > 0 {
			shares[i] = min(c.Asked, capacity*c.Weight/weights)
		}
		capacity -= shares[i]
		weights -= c.Weight
	}
	return shares
}
