// Package seeder runs a package's tests with a fixed seed and number of rapid checks, so that every run
// has the same result. Only tests use it.
package seeder

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

const (
	seed   = "20261204"
	checks = "1000"
)

// Main is the body of a TestMain; flags on the command line override the fixed values.
func Main(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": seed, "rapid.checks": checks, "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	flag.Parse()
	fmt.Println("rapid seed", seed)
	os.Exit(m.Run())
}
