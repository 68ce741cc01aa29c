// Package hasher turns names into numbers on which all instances agree.
package hasher

import "github.com/cespare/xxhash/v2"

// mantissa is the number of bits that a float64 holds exactly.
const mantissa = 53

// ToUnitInterval returns a number in [0, 1) that follows from a name alone; names spread evenly.
func ToUnitInterval(name string) float64 {
	return float64(xxhash.Sum64String(name)>>(64-mantissa)) / (1 << mantissa)
}
