// Package hasher maps names to numbers that are the same at all instances.
package hasher

import "github.com/cespare/xxhash/v2"

// mantissaBits is the number of bits that a float64 holds exactly.
const mantissaBits = 53

// ToUnitInterval hashes a name to a number in [0, 1). The numbers are evenly distributed.
func ToUnitInterval(name string) float64 {
	return float64(xxhash.Sum64String(name)>>(64-mantissaBits)) / (1 << mantissaBits)
}
