package agent

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// The seed and number of random histories are fixed, so that every run has one verdict.
const (
	rapidSeed   = "20261204"
	rapidChecks = "1000"
)

func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": rapidSeed, "rapid.checks": rapidChecks, "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	flag.Parse()
	fmt.Println("rapid seed", rapidSeed)
	os.Exit(m.Run())
}
