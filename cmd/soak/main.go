// Command soak runs entries of bramleyhinge as processes, injects faults into them and into the
// systems around them, and checks what callers and backend servers see.
package main

import (
	"os"

	"github.com/bramleyhinge/bramleyhinge/internal/cli"
)

func main() { os.Exit(cli.Soak(os.Args[1:], os.Stdout, os.Stderr)) }
